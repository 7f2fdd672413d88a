"""Dispatch of attempts at an agent: start, queue, run, cancel and resume."""

from collections.abc import Callable
from typing import Any, Protocol

import anyio

from reedspar.attempts import (
    AttemptAck,
    AttemptCancel,
    AttemptData,
    AttemptPhase,
    AttemptResume,
    AttemptStart,
    AttemptStatus,
    CrashSuspect,
    EndKind,
    create_suspect,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.supervision import report_unexpected_error
from reedspar.timers import TimerService

from .gate import ColdStartGate
from .leave_notices import LeaveNotices
from .queue import AttemptQueue
from .runner import AttemptOutcome, AttemptRunner, RunHandle, may_cancel
from .table import AttemptKey, AttemptRecord, AttemptTable

__all__ = ["AttemptDispatcher", "DispatchPolicy"]

EXPIRE_INTERVAL_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
RESEND_EVERY_POLLS = 10
"""Polls of a drain between two repetitions of unacknowledged `AttemptEnd` messages."""
ENTRY_RECONNECT_TIMEOUT_S = 3.0
"""Time in which a live entry replaces a broken link to a stopping agent."""
RETRY_AFTER_MIN_S = 0.25


class DispatchPolicy(Protocol):
    """Decisions that the target's controller makes for the dispatcher."""

    def check_admission(self, start: AttemptStart) -> Failure | None:
        """Return why this attempt may not start now, or None if it may."""
        ...

    def record_outcome(self, record: AttemptRecord, outcome: AttemptOutcome) -> None:
        """Process the outcome of an attempt."""
        ...


class AttemptDispatcher:
    """Runs each attempt at most once and sends its answer to the entry."""

    def __init__(
        self,
        table: AttemptTable,
        gate: ColdStartGate,
        queue: AttemptQueue,
        runner: AttemptRunner,
        network: Network,
        timers: TimerService,
        policy: DispatchPolicy,
        spawn: Callable[..., object],
    ) -> None:
        self._table = table
        self._gate = gate
        self._queue = queue
        self._runner = runner
        self._network = network
        self._timers = timers
        self._policy = policy
        self._spawn = spawn
        self._handles: dict[AttemptKey, RunHandle] = {}
        self._leave_notices = LeaveNotices(network)
        self._replied_count = 0
        """Messages of entries that this agent has replied to."""
        network.subscribe(AttemptStart, self._on_start)
        network.subscribe(AttemptCancel, self._on_cancel)
        network.subscribe(AttemptResume, self._on_resume)
        network.subscribe(AttemptAck, self._on_ack)
        timers.call_every(EXPIRE_INTERVAL_S, self._expire)

    @property
    def running_count(self) -> int:
        """Return the number of attempts running at the target."""
        return len(self._handles)

    @property
    def queued_count(self) -> int:
        """Return the number of queued attempts."""
        return len(self._queue)

    def list_suspects(self, now_s: float) -> list[CrashSuspect]:
        """Return the running requests that may have crashed the target by now."""
        records = self._table.unfinished()
        return [
            create_suspect(record.start)
            for record in records
            if record.start is not None
            and record.phase is AttemptPhase.RUNNING
            and record.may_crash_target(now_s)
        ]

    def refuse_queued(self, failure: Failure) -> None:
        """Refuse all queued attempts; they provably did not run."""
        while (record := self._queue.pop()) is not None:
            self._refuse(record, failure)

    def dispatch_queued(self) -> None:
        """Start queued attempts while the gate has room."""
        while self._gate.has_room:
            record = self._queue.pop()
            if record is None:
                return
            assert record.start is not None
            failure = self._policy.check_admission(record.start)
            if failure is not None:
                self._refuse(record, failure)
                continue
            self._launch(record)

    async def wait_idle(self) -> None:
        """Wait until no attempt is running at the target."""
        while self._handles:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)

    async def wait_delivered(self) -> None:
        """Wait until each entry has every answer, and nothing is on its way to here.

        The entries must have been told that this agent accepts no more attempts.
        """
        is_settled = False
        while not is_settled:
            await self._wait_acknowledged()
            replied_count = self._replied_count
            await self._leave_notices.wait_confirmed()
            is_settled = self._replied_count == replied_count

    async def _wait_acknowledged(self) -> None:
        """Wait until every answer has been acknowledged by its entry.

        A killed entry acknowledges nothing, and the `AttemptEnd` of an abandoned
        attempt may have been lost; waiting for either would use up the whole stop
        timeout.  `AttemptEnd` is therefore sent repeatedly: an entry that no longer
        needs the answer acknowledges it, and one without a link gets
        `ENTRY_RECONNECT_TIMEOUT_S` to reconnect.
        """
        polls = 0
        while self._handles or self._has_pending_delivery(
            polls * DRAIN_POLL_INTERVAL_S
        ):
            if polls % RESEND_EVERY_POLLS == 0:
                self._resend_ends()
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
            polls = 0 if self._handles else polls + 1

    def _has_pending_delivery(self, idle_s: float) -> bool:
        undelivered = self._table.undelivered()
        if idle_s < ENTRY_RECONNECT_TIMEOUT_S:
            return bool(undelivered)
        connected = self._network.peers(Role.ENTRY)
        return any(record.entry in connected for record in undelivered)

    def _resend_ends(self) -> None:
        for record in self._table.undelivered():
            self._send(record.entry, record.end)

    def _send(self, peer: str, message: Any) -> None:
        # A failed send needs no retry: the entry resumes from the bytes it has.
        self._network.send(peer, message)

    def _on_start(self, sender: Sender, start: AttemptStart) -> None:
        self._replied_count += 1
        known = self._table.get(start.request_id, start.attempt)
        if known is not None:
            self._send(sender.name, known.refusal or known.describe())
            return
        record = self._table.open(sender.name, start, self._timers.now_s())
        failure = self._policy.check_admission(start)
        if failure is not None:
            self._refuse(record, failure)
        elif self._gate.has_room and not len(self._queue):
            self._launch(record)
        elif self._queue.is_full:
            detail = "queue is full"
            self._refuse(
                record, Failure(Reason.OVERLOADED, Step.AGENT_ADMIT, detail=detail)
            )
        else:
            self._queue.push(record)

    def _refuse(self, record: AttemptRecord, failure: Failure) -> None:
        retry_after_s = failure.retry_after_s or self._estimate_wait_s()
        refusal = self._table.refuse(
            record, failure.reason, failure.detail, retry_after_s
        )
        self._send(record.entry, refusal)

    def _estimate_wait_s(self) -> float:
        attempts_ahead = len(self._queue) + self._gate.in_flight
        rounds = 1 + attempts_ahead / max(self._gate.limit, 1)
        return max(rounds * self._gate.latency_s, RETRY_AFTER_MIN_S)

    def _launch(self, record: AttemptRecord) -> None:
        self._table.mark_running(record)
        self._gate.record_started()
        self._handles[record.key] = RunHandle()
        self._spawn(self._run, record)

    async def _run(self, record: AttemptRecord) -> None:
        try:
            outcome = await self._runner.run(record, self._handles[record.key])
        except Exception as error:
            # The entry must learn how the attempt ended, and its slot must be freed.
            report_unexpected_error("attempt", error, record.entry)
            outcome = AttemptOutcome(EndKind.BROKEN, Reason.OUTCOME_UNKNOWN, "failed")
        del self._handles[record.key]
        self._gate.record_ended()
        self._policy.record_outcome(record, outcome)
        end = self._table.finish(record, outcome.kind, outcome.reason, outcome.detail)
        self._send(record.entry, end)
        self.dispatch_queued()

    def _on_cancel(self, sender: Sender, cancel: AttemptCancel) -> None:
        self._replied_count += 1
        record = self._table.get(cancel.request_id, cancel.attempt)
        if record is None:
            reply: Any = self._table.revoke_unknown(
                cancel.request_id,
                cancel.attempt,
                sender.name,
                cancel.agent_incarnation,
                self._timers.now_s(),
            )
            self._send(sender.name, reply)
            return
        if record.phase is AttemptPhase.QUEUED and self._queue.remove(record):
            self._refuse(
                record,
                Failure(Reason.CANCELLED, Step.AGENT_ADMIT, detail="revoked"),
            )
            return
        handle = self._handles.get(record.key)
        if handle is not None and record.start and may_cancel(record.start):
            handle.cancel()
        self._send(sender.name, record.refusal or record.describe())

    def _on_resume(self, sender: Sender, resume: AttemptResume) -> None:
        self._replied_count += 1
        record = self._table.get(resume.request_id, resume.attempt)
        if record is None or resume.agent_incarnation != self._table.incarnation:
            status = AttemptStatus(
                resume.request_id, resume.attempt, AttemptPhase.UNKNOWN, 0
            )
            self._send(sender.name, status)
            return
        if record.refusal is not None:
            self._send(sender.name, record.refusal)
            return
        record.entry = sender.name
        self._send(sender.name, record.describe())
        self._resend_from(record, resume.offset)

    def _resend_from(self, record: AttemptRecord, offset: int) -> None:
        if record.head is not None:
            self._send(record.entry, record.head)
        data = record.read_from(offset)
        key = record.key
        if data:
            self._send(
                record.entry, AttemptData(key.request_id, key.attempt, offset, data)
            )
        if record.end is not None:
            self._send(record.entry, record.end)

    def _on_ack(self, sender: Sender, ack: AttemptAck) -> None:
        record = self._table.acknowledge(ack)
        if record is None:
            return
        handle = self._handles.get(record.key)
        if handle is not None:
            handle.record_acknowledgement()

    def _expire(self) -> None:
        now_s = self._timers.now_s()
        for record in self._queue.pop_expired(now_s):
            self._refuse(record, Failure(Reason.EXPIRED, Step.AGENT_ADMIT))
        self._table.remove_expired(now_s)
