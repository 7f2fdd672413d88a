"""Filters that protect targets: quarantine of requests, and admission to a pool."""

from reedspar.configuration import WorkspaceConfiguration
from reedspar.errors import Failure, Reason, Step
from reedspar.timers import TimerService

from .admission import AdmissionControl, WorkspaceLimits
from .outcome_encoding import make_not_run
from .quarantine import Quarantine, Standing
from .request import Answer, Outcome, Proceed, Request, is_success
from .target_directory import TargetDirectory
from .views import ConfigurationView

__all__ = ["AdmissionFilter", "QuarantineFilter"]

LOAD_REASONS = frozenset({Reason.OVERLOADED, Reason.COLD})
IDLE_REMOVAL_INTERVAL_S = 10.0
DEFAULT_WORKSPACE = WorkspaceConfiguration()


class QuarantineFilter:
    """Refuses requests that crash targets."""

    def __init__(self, quarantine: Quarantine, timers: TimerService) -> None:
        self._quarantine = quarantine
        self._timers = timers

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Run or refuse the request according to its standing."""
        now_s = self._timers.now_s()
        standing, after_s = self._quarantine.standing(
            request.fingerprint, now_s, request.prompt_parts
        )
        if standing is Standing.BLAMED:
            return _refuse_blamed(after_s)
        answer = await proceed(request)
        if is_success(answer):
            now_s = self._timers.now_s()
            self._quarantine.on_answered(
                request.fingerprint, now_s, request.prompt_parts
            )
        return answer


def _refuse_blamed(after_s: float) -> Answer:
    detail = "requests like this one crashed targets"
    failure = Failure(
        Reason.QUARANTINED, Step.QUARANTINE, detail=detail, retry_after_s=after_s
    )
    return make_not_run(failure)


class AdmissionFilter:
    """Refuses requests beyond the pool's capacity, by priority and workspace."""

    def __init__(
        self,
        configuration: ConfigurationView,
        directory: TargetDirectory,
        timers: TimerService,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._timers = timers
        self.pools: dict[str, AdmissionControl] = {}
        timers.call_every(IDLE_REMOVAL_INTERVAL_S, self._remove_idle)

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Hold an admission slot of the pool while the request runs."""
        control = self.pools.setdefault(request.pool, AdmissionControl())
        workspace = request.workspace
        started_s = self._timers.now_s()
        limits = self._find_limits(workspace)
        failure = control.try_admit(
            workspace,
            limits,
            started_s,
            has_spare_capacity=self._directory.has_spare_capacity(request.pool),
        )
        if failure is not None:
            return make_not_run(failure)
        answer: Answer | None = None
        try:
            answer = await proceed(request)
        finally:
            self._release(control, workspace, answer, started_s)
        return answer

    def _release(
        self,
        control: AdmissionControl,
        workspace: str,
        answer: Answer | None,
        started_s: float,
    ) -> None:
        now_s = self._timers.now_s()
        failure = answer.failure if answer is not None else None
        if answer is not None and answer.outcome is Outcome.ANSWERED:
            control.on_answered(workspace, now_s - started_s, now_s)
        elif failure is not None and failure.reason in LOAD_REASONS:
            control.on_refused(workspace, now_s)
        else:
            control.on_neutral_end(workspace)

    def _find_limits(self, workspace: str) -> WorkspaceLimits:
        document = self._configuration.document
        if document is None:
            return WorkspaceLimits()
        found = document.workspaces.get(workspace, DEFAULT_WORKSPACE)
        return WorkspaceLimits(found.share, found.priority, found.max_in_flight)

    def _remove_idle(self) -> None:
        now_s = self._timers.now_s()
        for control in self.pools.values():
            control.remove_idle(now_s)
