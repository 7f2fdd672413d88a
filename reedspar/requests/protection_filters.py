"""Filters that protect targets: quarantine of requests, and admission to a pool."""

import anyio

from reedspar.configuration import WorkspaceConfiguration
from reedspar.errors import Failure, Reason, Step
from reedspar.timers import TimerService

from .admission import AdmissionControl, WorkspaceLimits
from .outcome_encoding import make_not_run
from .quarantine import Quarantine, Standing
from .request import Answer, Outcome, Proceed, Request
from .target_directory import TargetDirectory
from .views import ConfigurationView

__all__ = ["AdmissionFilter", "QuarantineFilter"]

LOAD_REASONS = frozenset({Reason.OVERLOADED, Reason.COLD})
IDLE_REMOVAL_INTERVAL_S = 10.0
DEFAULT_WORKSPACE = WorkspaceConfiguration()


class QuarantineFilter:
    """Refuses requests that crash targets, and runs suspected ones one at a time."""

    def __init__(self, quarantine: Quarantine, timers: TimerService) -> None:
        self._quarantine = quarantine
        self._timers = timers
        self._suspect_slot = anyio.Semaphore(1)

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Run or refuse the request according to its standing."""
        standing, after_s = self._get_standing(request)
        if standing is Standing.BLAMED:
            return _refuse_blamed(after_s)
        if standing is Standing.SUSPECT:
            return await self._run_alone(request, proceed)
        return await self._run(request, proceed)

    async def _run_alone(self, request: Request, proceed: Proceed) -> Answer:
        """Run a suspect alone; an earlier suspect may have cleared or blamed it."""
        remaining_s = request.deadline_s - self._timers.now_s()
        with anyio.move_on_after(remaining_s) as scope:
            await self._suspect_slot.acquire()
        if scope.cancelled_caught:
            detail = "other suspects of crashes ran until the deadline"
            failure = Failure(Reason.EXPIRED, Step.QUARANTINE, detail=detail)
            return make_not_run(failure)
        try:
            standing, after_s = self._get_standing(request)
            if standing is Standing.BLAMED:
                return _refuse_blamed(after_s)
            return await self._run(request, proceed)
        finally:
            self._suspect_slot.release()

    async def _run(self, request: Request, proceed: Proceed) -> Answer:
        answer = await proceed(request)
        if answer.outcome is Outcome.ANSWERED:
            now_s = self._timers.now_s()
            self._quarantine.on_answered(request.fingerprint, now_s)
        return answer

    def _get_standing(self, request: Request) -> tuple[Standing, float]:
        return self._quarantine.standing(request.fingerprint, self._timers.now_s())


def _refuse_blamed(after_s: float) -> Answer:
    detail = "requests like this one crashed two targets"
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
