"""The filters that refuse early: quarantine, and admission to a pool."""

import anyio

from reedspar.configuration import WorkspaceConfiguration
from reedspar.errors import Failure, Reason, Step
from reedspar.timers import TimerService

from .admission import AdmissionControl, WorkspaceLimits
from .endings import make_not_run
from .quarantine import Quarantine, Standing
from .request import Answer, Outcome, Proceed, Request
from .target_directory import TargetDirectory
from .views import ConfigurationView

__all__ = ["AdmissionFilter", "QuarantineFilter"]

LOAD_REASONS = frozenset({Reason.OVERLOADED, Reason.COLD})
FORGET_S = 10.0
DEFAULT_WORKSPACE = WorkspaceConfiguration()


class QuarantineFilter:
    """Refuse blamed requests; let suspects run one at a time."""

    def __init__(self, quarantine: Quarantine, timers: TimerService) -> None:
        self._quarantine = quarantine
        self._timers = timers
        self._turn = anyio.Semaphore(1)

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Let the request proceed as far as its standing allows."""
        standing, after_s = self._stand(request)
        if standing is Standing.BLAMED:
            return _refuse_blamed(after_s)
        if standing is Standing.SUSPECT:
            return await self._run_alone(request, proceed)
        return await self._run(request, proceed)

    async def _run_alone(self, request: Request, proceed: Proceed) -> Answer:
        """Wait for the turn: what ran before may have cleared or blamed this one."""
        remaining_s = request.deadline_s - self._timers.now_s()
        with anyio.move_on_after(remaining_s) as scope:
            await self._turn.acquire()
        if scope.cancelled_caught:
            detail = "other suspects of crashes ran until the deadline"
            failure = Failure(Reason.EXPIRED, Step.QUARANTINE, detail=detail)
            return make_not_run(failure)
        try:
            standing, after_s = self._stand(request)
            if standing is Standing.BLAMED:
                return _refuse_blamed(after_s)
            return await self._run(request, proceed)
        finally:
            self._turn.release()

    async def _run(self, request: Request, proceed: Proceed) -> Answer:
        answer = await proceed(request)
        if answer.outcome is Outcome.ANSWERED:
            now_s = self._timers.now_s()
            self._quarantine.on_answered(request.fingerprint, now_s)
        return answer

    def _stand(self, request: Request) -> tuple[Standing, float]:
        return self._quarantine.standing(request.fingerprint, self._timers.now_s())


def _refuse_blamed(after_s: float) -> Answer:
    detail = "requests like this one crashed two targets"
    failure = Failure(
        Reason.QUARANTINED, Step.QUARANTINE, detail=detail, retry_after_s=after_s
    )
    return make_not_run(failure)


class AdmissionFilter:
    """Refuse what the pool does not bear now, by priority and by workspace."""

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
        timers.call_every(FORGET_S, self._forget_idle)

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Hold a place of the pool while the request runs."""
        control = self.pools.setdefault(request.pool, AdmissionControl())
        workspace = request.workspace
        started_s = self._timers.now_s()
        terms = self._find_terms(workspace)
        failure = control.try_admit(
            workspace,
            terms,
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
            control.on_other(workspace)

    def _find_terms(self, workspace: str) -> WorkspaceLimits:
        document = self._configuration.document
        if document is None:
            return WorkspaceLimits()
        found = document.workspaces.get(workspace, DEFAULT_WORKSPACE)
        return WorkspaceLimits(found.share, found.priority, found.max_in_flight)

    def _forget_idle(self) -> None:
        now_s = self._timers.now_s()
        for control in self.pools.values():
            control.forget_idle(now_s)
