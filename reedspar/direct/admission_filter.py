"""Filter that refuses what targets can't bear, and the pools for which it is active."""

from reedspar.admission import (
    AdmissionControl,
    Refused,
    RequestFacts,
    request_work_s,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import FleetView
from reedspar.requests.outcome_encoding import make_not_run
from reedspar.requests.request import Answer, Outcome, Proceed, Request
from reedspar.routes import EngineParameters, PoolRanks, RouteTable
from reedspar.settings import AdmissionMode
from reedspar.timers import TimerService

__all__ = ["AdmissionFilter", "RankedPools"]

IDLE_REMOVAL_INTERVAL_S = 10.0


class RankedPools:
    """Tells for which pools admission is active, and how their ranks compete."""

    def __init__(
        self, view: FleetView, mode: AdmissionMode, control: AdmissionControl
    ) -> None:
        self._view = view
        self._mode = mode
        self._control = control
        self._table: RouteTable | None = None
        self._engines: dict[str, EngineParameters] = {}

    @property
    def is_any_active(self) -> bool:
        """Return whether admission is active for any pool."""
        return bool(self._find_engines())

    def engine(self, pool: str) -> EngineParameters | None:
        """Return the engine parameters of an active pool, None of another one."""
        return self._find_engines().get(pool)

    def _find_engines(self) -> dict[str, EngineParameters]:
        table = self._view.routes
        if table is not self._table:
            self._table = table
            self._engines = _find_active(table, self._mode) if table else {}
        return self._engines

    def share_ahead(self, request: Request, now_s: float) -> float | None:
        """Return the share of others' requests that an engine admits before one.

        None if ranks don't compete in the request's pool.
        """
        if self.engine(request.pool) is None:
            return None
        return self._control.share_ahead(request.pool, request.priority, now_s)

    def occupancy(self, pool: str, now_s: float) -> float | None:
        """Return an active pool's occupancy, None if it is not known."""
        if self.engine(pool) is None:
            return None
        return self._control.occupancy(pool, now_s)


class AdmissionFilter:
    """Refuses requests by rank and workspace while targets can't bear all."""

    def __init__(
        self, pools: RankedPools, control: AdmissionControl, timers: TimerService
    ) -> None:
        self._pools = pools
        self._control = control
        self._timers = timers
        timers.call_every(IDLE_REMOVAL_INTERVAL_S, self._remove_idle)

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Refuse a request, or pass it on; a resumed stream is not judged again."""
        engine = self._pools.engine(request.pool)
        if engine is None or request.last_event_id:
            return await proceed(request)
        now_s = self._timers.now_s()
        facts = RequestFacts(
            request.pool,
            request.priority,
            request.workspace,
            request.fingerprint or request.request_id,
            request_work_s(engine, request.prompt_tokens, request.answer_tokens),
            request.deadline_s - now_s,
        )
        decision = self._control.decide(facts, now_s)
        if isinstance(decision, Refused):
            request.refusal = decision
            return make_not_run(_make_failure(decision))
        answer = await proceed(request)
        if answer.outcome is Outcome.NOT_RUN:
            self._control.record_not_run(facts, self._timers.now_s())
        return answer

    def _remove_idle(self) -> None:
        self._control.remove_idle(self._timers.now_s())


def _make_failure(refused: Refused) -> Failure:
    detail = (
        f"rank {refused.key.rank}: {refused.threshold:.2f} of the requests of this "
        f"workspace are admitted, it offers {refused.share_used:.2f} of its share"
    )
    return Failure(
        Reason.OVERLOADED,
        Step.ADMIT,
        detail=detail,
        retry_after_s=refused.retry_after_s,
    )


def _find_active(table: RouteTable, mode: AdmissionMode) -> dict[str, EngineParameters]:
    """Return the engine parameters of the pools for which admission is active."""
    ranks = PoolRanks(table)
    return {
        name: service.engine
        for name, service in table.services.items()
        if service.engine is not None
        and mode != "off"
        and (mode == "on" or ranks.competes(name))
    }
