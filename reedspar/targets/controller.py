"""Controller of the target beside an agent.

It polls the target's state, decides whether attempts may start, reports the target's
status to the entries, and drains it.
"""

import logging
from collections.abc import Callable
from typing import Protocol

import anyio

from reedspar.attempts import (
    AttemptStart,
    CrashNotice,
    EndKind,
    LoadedWeights,
    TargetReport,
    TargetStatus,
    create_suspect,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.links import Network, Role
from reedspar.platform import EngineState, Target
from reedspar.settings import DaemonSettings, TargetSettings
from reedspar.timers import TimerService

from .crash_suspects import CrashSuspects
from .dispatcher import AttemptDispatcher
from .gate import ColdStartGate, GateSettings
from .pause import TargetPause
from .queue import AttemptQueue
from .reports import ReportPublisher
from .runner import AttemptOutcome, AttemptRunner
from .table import AttemptRecord, AttemptTable

__all__ = ["OfferSource", "TargetController", "create_target_controller"]

POLL_INTERVAL_S = 0.25
IDLE_POLL_INTERVAL_S = 1.0
"""Interval without requests.

Polling causes most of an idle agent's load, and the target's state is read again when
requests arrive after an idle period."""
MISSED_POLLS_MAX = 3
POLL_OVERDUE_S = 1.0
"""Duration of an unanswered poll after which the cold limit applies."""
POLL_TIMEOUT_S = 3.0
"""Duration of an unanswered poll after which the target gets no work."""
_logger = logging.getLogger(__name__)


class OfferSource(Protocol):
    """Source of the weights that the target is confirmed to hold."""

    def offered(self) -> tuple[LoadedWeights, ...]:
        """Return the confirmed weights."""
        ...

    def is_offering(self) -> bool:
        """Return whether all weights that the pool needs are confirmed."""
        ...

    def record_engine_state(self, state: EngineState | None) -> None:
        """Process the target's state, or None if it is unreachable."""
        ...


class TargetController:
    """Polls one target, admits its attempts and reports its status."""

    def __init__(
        self,
        settings: DaemonSettings,
        target_settings: TargetSettings,
        incarnation: int,
        network: Network,
        timers: TimerService,
        target: Target,
        offers: OfferSource,
        check_work_allowed: Callable[[], Failure | None],
        spawn: Callable[..., object],
    ) -> None:
        self._settings = settings
        self._target_settings = target_settings
        self._network = network
        self._timers = timers
        self._target = target
        self._offers = offers
        self._check_work_allowed = check_work_allowed
        self._spawn = spawn
        limit = target_settings.concurrency_limit
        gate_settings = GateSettings(
            target_settings.cold_concurrency, limit, target_settings.report_lag_s
        )
        self._gate = ColdStartGate(gate_settings)
        self._incarnation = incarnation
        self._crashes = CrashSuspects()
        self._last_crash_notice: CrashNotice | None = None
        self._pause = TargetPause(timers, self._handle_target_pause_end)
        self._is_reachable = False
        self._is_draining = False
        self._switching_models: set[str] = set()
        self._is_polling = False
        self._poll_started_s = float("-inf")
        self._missed_polls = 0
        runner = AttemptRunner(
            target,
            timers.clock,
            network.send,
            self._accepts_digest,
            self._gate.record_first_byte,
        )
        self._dispatcher = AttemptDispatcher(
            AttemptTable(incarnation, target_settings.answer_ttl_s),
            self._gate,
            AttemptQueue(limit),
            runner,
            network,
            timers,
            self,
            spawn,
        )
        self._reports = ReportPublisher(network, timers, self._build_report)
        timers.call_every(POLL_INTERVAL_S, self._poll_if_due)
        timers.on_pause(self._handle_pause)

    @property
    def gate(self) -> ColdStartGate:
        """Return the concurrency gate of the target."""
        return self._gate

    @property
    def status(self) -> TargetStatus:
        """Return the target's status as entries see it."""
        if self._is_draining:
            return TargetStatus.LEAVING
        if not self._is_reachable or not self._offers.is_offering():
            return TargetStatus.DOWN
        if self._switching_models or self._pause.left_s:
            return TargetStatus.DOWN
        return TargetStatus.COLD if self._gate.is_cold else TargetStatus.READY

    @property
    def running_count(self) -> int:
        """Return the number of attempts running at the target."""
        return self._dispatcher.running_count

    @property
    def queued_count(self) -> int:
        """Return the number of queued attempts."""
        return self._dispatcher.queued_count

    def publish(self) -> None:
        """Send a report to all linked entries."""
        self._reports.publish()

    def handle_offers_changed(self) -> None:
        """Report a change of the confirmed weights."""
        self._reports.publish_if_changed()

    async def begin_switch(self, model: str) -> None:
        """Refuse new work and wait until nothing uses the model's old weights."""
        self._switching_models.add(model)
        self._refuse_queued(Reason.DRAINING, "switching weights")
        self._reports.publish_if_changed()
        await self._dispatcher.wait_idle()

    def end_switch(self, model: str) -> None:
        """Accept new work again."""
        self._switching_models.discard(model)
        self._reports.publish_if_changed()

    def begin_drain(self) -> None:
        """Refuse new work from now on; running attempts continue."""
        if self._is_draining:
            return
        self._is_draining = True
        self._refuse_queued(Reason.DRAINING, "leaving")
        self._reports.publish()

    async def drain(self, timeout_s: float) -> bool:
        """Refuse new work and wait for delivery of all answers.

        Returns whether all attempts have ended within the timeout.
        """
        self.begin_drain()
        with anyio.move_on_after(timeout_s):
            await self._dispatcher.wait_delivered()
        return self._dispatcher.running_count == 0

    def _refuse_queued(
        self, reason: Reason, detail: str, retry_after_s: float | None = None
    ) -> None:
        step = Step.AGENT_ADMIT
        self._dispatcher.refuse_queued(
            Failure(reason, step, detail=detail, retry_after_s=retry_after_s)
        )

    def _accepts_digest(self, digest: str) -> bool:
        return any(weights.root_digest == digest for weights in self._offers.offered())

    def _build_report(self, sequence: int) -> TargetReport:
        return TargetReport(
            target=self._settings.name,
            pool=self._target_settings.pool,
            zone=self._settings.zone,
            status=self.status,
            boot_id=self._gate.boot_id,
            in_flight=self._gate.in_flight,
            queued=self._dispatcher.queued_count,
            limit=self._gate.limit,
            offered=self._offers.offered(),
            sequence=sequence,
            latency_s=self._gate.latency_s,
        )

    def check_admission(self, start: AttemptStart) -> Failure | None:
        """Return why this attempt may not start now, or None if it may."""
        self._timers.check_pause()
        step = Step.AGENT_ADMIT
        if start.agent_incarnation not in (0, self._incarnation):
            return Failure(Reason.STALE, step, detail="meant for a predecessor")
        if start.pool != self._target_settings.pool:
            return Failure(Reason.NO_TARGET, step, detail=f"not of pool {start.pool}")
        if self._is_draining or self._switching_models:
            return Failure(Reason.DRAINING, step)
        if pause_s := self._pause.left_s:
            detail = "the target asked for a pause"
            return Failure(
                Reason.OVERLOADED, step, detail=detail, retry_after_s=pause_s
            )
        failure = self._check_work_allowed()
        if failure is not None:
            return failure
        if not self._is_reachable or not self._offers.is_offering():
            return Failure(Reason.NOT_READY, step, detail="target or weights")
        if start.weights_digest and not self._accepts_digest(start.weights_digest):
            return Failure(Reason.NO_TARGET, step, detail="other weights")
        # A single request starts without a poll, which would cost about as much as
        # the request itself.  Further concurrent requests wait for a poll.
        is_alone = not self._gate.in_flight and not self._dispatcher.queued_count
        if not self._gate.is_confirmed and not is_alone:
            self._start_poll()
        return None

    def record_outcome(self, record: AttemptRecord, outcome: AttemptOutcome) -> None:
        """Process the outcome of an attempt."""
        if outcome.pause_s:
            self._pause.extend(outcome.pause_s)
            detail = "the target asked for a pause"
            self._refuse_queued(Reason.OVERLOADED, detail, self._pause.left_s)
        elif outcome.kind is EndKind.COMPLETE:
            self._gate.record_completed()
        elif outcome.reason is not Reason.CANCELLED:
            self._handle_broken_attempt(record, outcome.reason)
        self._reports.publish_if_changed()

    def _handle_target_pause_end(self) -> None:
        self._reports.publish_if_changed()

    def _handle_broken_attempt(self, record: AttemptRecord, reason: Reason) -> None:
        if reason is Reason.TIMEOUT:
            return
        self._gate.record_broken()
        now_s = self._timers.now_s()
        start = record.start
        if start is not None and record.may_crash_target(now_s):
            self._crashes.record_broken(create_suspect(start), now_s)
        self._start_poll()

    def _poll_if_due(self) -> None:
        now_s = self._timers.now_s()
        if self._is_polling:
            self._handle_overdue_poll(now_s - self._poll_started_s)
            return
        is_busy = self._dispatcher.running_count > 0 or not self._offers.is_offering()
        interval_s = POLL_INTERVAL_S if is_busy else IDLE_POLL_INTERVAL_S
        if now_s - self._poll_started_s >= interval_s:
            self._start_poll()

    def _start_poll(self) -> None:
        if not self._is_polling:
            self._is_polling = True
            self._poll_started_s = self._timers.now_s()
            self._spawn(self._poll)

    async def _poll(self) -> None:
        try:
            state = await self._target.read_state()
        finally:
            self._is_polling = False
        if isinstance(state, Failure):
            self._handle_failed_poll(state)
        else:
            self._apply_state(state)
        self._dispatcher.dispatch_queued()
        self._reports.publish_if_changed()

    def _handle_failed_poll(self, failure: Failure) -> None:
        """Process a poll that returned no state.

        A refused connection proves that the target's process is gone.  A timeout may
        only mean that it is busy, so the target counts as unreachable after several.
        """
        self._missed_polls += 1
        is_gone = failure.reason is Reason.UNAVAILABLE
        if is_gone:
            self._report_crash(self._gate.boot_id)
        if is_gone or self._missed_polls >= MISSED_POLLS_MAX:
            self._mark_unreachable()

    def _handle_overdue_poll(self, waited_s: float) -> None:
        """Reduce the limit, or stop giving work, while a poll is unanswered.

        A stalled network path may hold back requests, and the target may turn cold
        meanwhile.  With the warm limit still in force, all held requests would reach
        the cold target at once when the path recovers.
        """
        if waited_s >= POLL_OVERDUE_S:
            self._gate.record_overdue_report()
        if waited_s >= POLL_TIMEOUT_S and self._is_reachable:
            self._mark_unreachable()
            self._reports.publish_if_changed()

    def _mark_unreachable(self) -> None:
        """Give no work to the target and offer no weights until it responds again."""
        self._invalidate_state()
        self._offers.record_engine_state(None)

    def _invalidate_state(self) -> None:
        """Treat the target's state as unknown until the next successful poll."""
        self._is_reachable = False
        self._gate.drop_to_cold_limit()

    def _handle_pause(self, gap_s: float) -> None:
        # The target may have restarted while this process was paused.
        self._invalidate_state()
        self._start_poll()

    def _apply_state(self, state: EngineState) -> None:
        now_s = self._timers.now_s()
        previous = self._gate.boot_id
        if self._gate.record_boot(state.boot_id, now_s) and previous:
            self._pause.end()
            _logger.warning("target restarted", extra={"boot_id": previous})
            self._report_crash(previous)
        self._gate.record_report(is_cold=state.is_cold, now_s=now_s)
        self._is_reachable = True
        self._missed_polls = 0
        self._offers.record_engine_state(state)

    def _report_crash(self, boot_id: str) -> None:
        """Report suspects of a run that is over, unless they are reported already."""
        now_s = self._timers.now_s()
        in_flight = self._dispatcher.list_suspects(now_s)
        suspects = self._crashes.pop_suspects(in_flight, now_s)
        notice = CrashNotice(
            self._settings.name,
            self._target_settings.pool,
            self._settings.zone,
            boot_id,
            suspects,
        )
        if not suspects or notice == self._last_crash_notice:
            return
        self._last_crash_notice = notice
        _logger.warning(
            "target crashed", extra={"boot_id": boot_id, "suspects": len(suspects)}
        )
        for peer in self._network.peers(Role.ENTRY):
            self._network.send(peer, notice)


def create_target_controller(
    settings: DaemonSettings,
    incarnation: int,
    network: Network,
    timers: TimerService,
    target: Target,
    offers: OfferSource,
    check_work_allowed: Callable[[], Failure | None],
    spawn: Callable[..., object],
) -> TargetController:
    """Create the controller of the target described by the settings."""
    if settings.target is None:
        raise ValueError("an entry daemon has no target")
    return TargetController(
        settings,
        settings.target,
        incarnation,
        network,
        timers,
        target,
        offers,
        check_work_allowed,
        spawn,
    )
