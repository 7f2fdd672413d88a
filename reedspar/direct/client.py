"""Client for attempts that an entry sends directly to a target.

Each attempt uses a connection of its own and closes it at its end.  Surplus or late
bytes from a target can't reach another request, and no request is sent on a connection
that the target is about to close.
"""

import logging
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

import anyio

from reedspar.attempts import (
    AnswerProgress,
    AttemptData,
    AttemptHead,
    AttemptStart,
    Header,
    read_declared_bytes,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.platform import TargetRequest, TargetResponse
from reedspar.requests.assembly import AnswerAssembly
from reedspar.requests.attempt_client import OpenAttempt
from reedspar.requests.event_stream import is_event_stream
from reedspar.requests.hand_over import Settlement
from reedspar.supervision import TaskSpawner, report_unexpected_error
from reedspar.timers import TimerService

from .attempt_checks import AttemptChecks
from .attempt_failures import log_truncated, make_endless_failure, make_unread_failure
from .late_arrivals import Address, LateArrivals
from .loads import LoadReport
from .notices import NoticeListener

__all__ = [
    "DirectAttemptClient",
    "DirectResponse",
    "TargetDialer",
    "create_direct_attempt_client",
]

SILENCE_TIMEOUT_S = 1.5
"""Silence after which an idempotent request is sent to another target, too.

Callers abandon a stream after 2 s without an event, and the next target needs 0.5 s for
the prompt."""
SWEEP_INTERVAL_S = 0.1
_logger = logging.getLogger(__name__)


class DirectResponse(TargetResponse, Protocol):
    """Answer of a target while it arrives, with the load report from its headers."""

    load: LoadReport | None
    is_delimited: bool
    """Whether a length or chunks tell where the body ends."""


class TargetDialer(Protocol):
    """Sends requests to targets identified by their ids."""

    def has_address(self, target_id: str) -> bool:
        """Return whether the target's address is known."""
        ...

    def on_notice(self, listener: NoticeListener) -> None:
        """Call `listener` for each answer, before it is yielded."""
        ...

    async def refuses_connections(self, target_id: str) -> bool:
        """Return whether no process listens at the target's address."""
        ...

    def send(
        self,
        target_id: str,
        request: TargetRequest,
        check_before_write: Callable[[], Failure | None],
    ) -> AbstractAsyncContextManager[DirectResponse | Failure]:
        """Send a request on a connection of its own.

        `check_before_write` is called between connecting and writing.  If it returns
        a failure, that failure is yielded and nothing is written.

        A failure at `Step.LINK` means that nothing reached the target; at
        `Step.TARGET_CALL` its reason says whether the target may have run it.
        """
        ...


@dataclass(slots=True)
class _RunningAttempt:
    """An open attempt and the task that reads its answer."""

    attempt: OpenAttempt
    scope: anyio.CancelScope
    buffer_has_room: anyio.Event
    address: Address | None
    failure: Failure | None = None
    """Reason why this entry ended the attempt."""


class DirectAttemptClient:
    """Opens attempts at targets (see `AttemptOpener`)."""

    def __init__(
        self,
        dialer: TargetDialer,
        timers: TimerService,
        tasks: TaskSpawner,
        record_report: Callable[[str, LoadReport], None],
        checks: AttemptChecks,
        late_arrivals: LateArrivals,
        plain_max_bytes: float,
    ) -> None:
        self._late_arrivals = late_arrivals
        self._plain_max_bytes = plain_max_bytes
        self._dialer = dialer
        self._timers = timers
        self._tasks = tasks
        self._record_report = record_report
        self._checks = checks
        self._running: dict[int, _RunningAttempt] = {}
        timers.call_every(SWEEP_INTERVAL_S, self.sweep)

    @property
    def open_count(self) -> int:
        """Return the number of open attempts."""
        return len(self._running)

    def open(self, target: str, start: AttemptStart) -> OpenAttempt | Failure:
        """Start an attempt; a failure means that nothing was sent."""
        if not self._dialer.has_address(target):
            return Failure(Reason.UNAVAILABLE, Step.LINK, target, "has no address")
        attempt = OpenAttempt(AnswerAssembly(start, target), self._timers.now_s())
        running = _RunningAttempt(
            attempt,
            anyio.CancelScope(),
            anyio.Event(),
            self._late_arrivals.address_of(target),
        )
        self._running[id(attempt)] = running
        self._tasks.start_soon(self._run, attempt, running)
        return attempt

    def read_available(self, attempt: OpenAttempt) -> bytes:
        """Return the bytes that arrived, and resume reading from the target."""
        data = attempt.assembly.read_available()
        attempt.hold.set_pending(0)
        running = self._running.get(id(attempt))
        if running is not None:
            running.buffer_has_room.set()
        return data

    def close(self, attempt: OpenAttempt) -> None:
        """Close an attempt and its connection, which stops the target's work."""
        running = self._running.pop(id(attempt), None)
        attempt.hold.set_pending(0)
        if running is not None:
            running.scope.cancel()

    def sweep(self) -> None:
        """Withdraw attempts that may no longer begin, and find the silent ones.

        If a connection stalls without a reset or a target hangs, the request would
        otherwise wait until its caller abandons it.
        """
        now_s = self._timers.now_s()
        waiting = [r for r in self._running.values() if _awaits_head(r)]
        withdrawn = sum(self._withdraw(running) for running in waiting)
        if withdrawn:
            _logger.info("attempts withdrawn", extra={"count": withdrawn})
        for running in list(self._running.values()):
            attempt = running.attempt
            silent_s = now_s - attempt.last_received_s
            awaits_body = attempt.assembly.is_open and not attempt.assembly.pieces
            awaits_body = awaits_body and not attempt.hold_ups.is_held_up
            is_silent = silent_s >= self._silence_timeout_s(attempt)
            if awaits_body and is_silent and not attempt.is_silent:
                attempt.is_silent = True
                attempt.wake()

    def _silence_timeout_s(self, attempt: OpenAttempt) -> float:
        """Return the silence after which another target is tried."""
        request_id = attempt.assembly.start.request_id
        limit_s = self._checks.silence_limit_s(attempt.target, request_id)
        if limit_s is None:
            return SILENCE_TIMEOUT_S
        return min(SILENCE_TIMEOUT_S, limit_s)

    def _withdraw(self, running: _RunningAttempt) -> bool:
        """End an attempt that may no longer begin; return whether it was ended."""
        attempt = running.attempt
        request_id = attempt.assembly.start.request_id
        failure = self._checks.check_waiting(
            attempt.target, request_id, SWEEP_INTERVAL_S
        )
        if failure is None:
            return False
        running.failure = failure
        running.scope.cancel()
        return True

    async def _run(self, attempt: OpenAttempt, running: _RunningAttempt) -> None:
        target = attempt.target
        failure: Failure | None = Failure(
            Reason.CANCELLED, Step.TARGET_CALL, target, "let go of"
        )
        with running.scope:
            try:
                failure = await self._read(attempt, running)
            except Exception as error:
                report_unexpected_error("attempt", error, target)
                detail = f"{type(error).__name__}: {error}"
                failure = Failure(
                    Reason.OUTCOME_UNKNOWN, Step.TARGET_CALL, target, detail
                )
        self._settle(running)
        attempt.assembly.on_direct_end(running.failure or failure)
        attempt.wake()

    def _settle(self, running: _RunningAttempt) -> None:
        """Settle an attempt that has ended, or follow what was written of it."""
        hand_over = running.attempt.hand_over
        if hand_over.settlement is not None:
            return
        if hand_over.written_s is None:
            hand_over.settle(Settlement.UNSENT, self._timers.now_s())
        else:
            self._late_arrivals.expect(running.address, hand_over)

    def _record_reply(self, running: _RunningAttempt) -> None:
        """Record that a target has answered, or has ended the connection."""
        hand_over = running.attempt.hand_over
        hand_over.settle(Settlement.ANSWERED, self._timers.now_s())
        self._late_arrivals.record_reply(running.address, hand_over)

    async def _read(
        self, attempt: OpenAttempt, running: _RunningAttempt
    ) -> Failure | None:
        """Read an answer to its end; return why it is incomplete, None if complete."""
        start = attempt.assembly.start
        request = TargetRequest(
            start.request_id,
            start.method,
            start.path,
            tuple((header.name, header.value) for header in start.headers),
            start.body,
            start.timeout_s,
            start.priority,
            start.workspace,
            start.weights_digest,
            is_idempotent=start.is_idempotent,
        )
        target = attempt.target

        def check_before_write() -> Failure | None:
            if attempt.is_abandoned():
                detail = "its caller has left"
                return Failure(Reason.EXPIRED, Step.LINK, target, detail)
            failure = self._checks.check_hand_over(
                target, start.request_id, SWEEP_INTERVAL_S
            )
            if failure is None:
                attempt.hand_over.written_s = self._timers.now_s()
            return failure

        async with self._dialer.send(target, request, check_before_write) as response:
            if isinstance(response, Failure):
                if (
                    response.step is not Step.LINK
                    and response.reason is not Reason.LOST
                ):
                    self._record_reply(running)
                return response
            self._record_reply(running)
            headers = tuple(Header(name, value) for name, value in response.headers)
            head = AttemptHead(
                start.request_id,
                start.attempt,
                response.status,
                headers,
                response.weights_digest,
            )
            attempt.assembly.on_head(head)
            if response.load is not None:
                self._record_report(attempt.target, response.load)
            self._mark_received(attempt)
            failure = await self._read_body(attempt, running, response)
            if failure is None and not attempt.assembly.ends_inside_event:
                return None
            if attempt.hold_ups.explains_cut(self._timers.now_s()):
                return make_unread_failure(attempt)
            if failure is None:
                log_truncated(attempt, is_delimited=response.is_delimited)
            return failure

    async def _read_body(
        self, attempt: OpenAttempt, running: _RunningAttempt, response: TargetResponse
    ) -> Failure | None:
        assembly = attempt.assembly
        key = (assembly.start.request_id, assembly.start.attempt)
        headers = assembly.head.headers if assembly.head is not None else ()
        progress = AnswerProgress(
            is_event_stream=is_event_stream(headers),
            plain_max_bytes=max(self._plain_max_bytes, read_declared_bytes(headers)),
        )
        async for piece in response.iterate():
            if isinstance(piece, Failure):
                return piece
            data = AttemptData(*key, assembly.size_bytes, piece)
            room_bytes = assembly.pending_bytes + len(piece)
            assembly.on_data(data, room_bytes)
            self._checks.record_data(attempt.target, assembly.start.request_id)
            attempt.hold.set_pending(assembly.pending_bytes)
            has_progressed = progress.feed(piece, self._timers.now_s())
            excess = progress.find_excess()
            if excess:
                return make_endless_failure(attempt, excess)
            if has_progressed:
                self._mark_received(attempt)
            else:
                attempt.wake()
            if _is_full(attempt):
                await self._wait_for_room(attempt, running)
                progress.restart_time(self._timers.now_s())
        return None

    async def _wait_for_room(
        self, attempt: OpenAttempt, running: _RunningAttempt
    ) -> None:
        """Read nothing until the caller has taken enough of the answer."""
        attempt.hold_ups.begin(self._timers.now_s())
        attempt.wake()
        while _is_full(attempt):
            running.buffer_has_room = anyio.Event()
            attempt.hold.on_released = running.buffer_has_room.set
            await running.buffer_has_room.wait()
        attempt.hold.on_released = None
        now_s = self._timers.now_s()
        attempt.hold_ups.end(now_s)
        attempt.record_received(now_s)

    def _mark_received(self, attempt: OpenAttempt) -> None:
        attempt.record_received(self._timers.now_s())
        attempt.wake()


def _is_full(attempt: OpenAttempt) -> bool:
    """Return whether no more of an answer may be read now."""
    is_full = attempt.assembly.pending_bytes >= attempt.buffer_limit_bytes
    return is_full or attempt.hold.is_full


def _is_reply(failure: Failure) -> bool:
    """Return whether a failure tells that the target has read the connection."""
    return failure.step is not Step.LINK and failure.reason is not Reason.LOST


def _awaits_head(running: _RunningAttempt) -> bool:
    """Return whether a running attempt has not received its answer's head."""
    assembly = running.attempt.assembly
    return assembly.is_open and assembly.head is None and running.failure is None


def create_direct_attempt_client(
    dialer: TargetDialer,
    timers: TimerService,
    tasks: TaskSpawner,
    record_report: Callable[[str, LoadReport], None],
    checks: AttemptChecks,
    late_arrivals: LateArrivals,
    plain_max_bytes: float,
) -> DirectAttemptClient:
    """Create a client whose attempts run in `tasks`.

    `plain_max_bytes` is the largest answer that is no stream of events and does not
    declare its size.
    """
    return DirectAttemptClient(
        dialer, timers, tasks, record_report, checks, late_arrivals, plain_max_bytes
    )
