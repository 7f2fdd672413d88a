"""Client that sends attempts to agents and receives their answers.

Message handlers are synchronous: they update the assembly and wake the one task
that waits for it.  All messages of one event loop iteration thus cost one wake-up
and one write to the caller.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio

from reedspar.attempts import (
    AttemptAck,
    AttemptCancel,
    AttemptData,
    AttemptEnd,
    AttemptHead,
    AttemptRefused,
    AttemptResume,
    AttemptStart,
    AttemptStatus,
    LeaveConfirmation,
    LeaveNotice,
)
from reedspar.errors import Failure, Reason
from reedspar.links import LinkChange, LinkEvent, Network
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .answer_buffers import HoldUps, RequestHold, create_free_hold
from .assembly import AnswerAssembly, Progress
from .hand_over import HandOver, Settlement

__all__ = [
    "AttemptClient",
    "ClientCounts",
    "OpenAttempt",
    "create_attempt_client",
    "wait_for_any",
]

SWEEP_INTERVAL_S = 0.25
RESUME_AFTER_SILENCE_S = 1.0
"""Time without a message after which the agent is asked to resume the answer."""
GAP_RESUME_INTERVAL_S = 0.1
"""Minimum time between two requests to resume an answer after a gap."""
SILENT_AFTER_S = 3.0
"""Time without a message after which another target may run an idempotent request."""
ANSWER_BUFFER_BYTES = 16 * 1024 * 1024
"""Maximum size of the unread part of one answer."""
ACK_INTERVAL_BYTES = 256 * 1024
"""Bytes between two acknowledgements of an answer."""


@dataclass(slots=True)
class ClientCounts:
    """Event counts of the client, for the metrics."""

    dropped: int = 0
    """Messages that belonged to no open attempt."""
    gaps: int = 0
    resumed: int = 0
    corrupt: int = 0
    silent: int = 0
    lost: int = 0


class OpenAttempt:
    """An attempt whose answer is being received; only one task may wait for it."""

    def __init__(self, assembly: AnswerAssembly, now_s: float) -> None:
        self.assembly = assembly
        self.started_s = now_s
        self.hand_over = HandOver(now_s)
        self.last_received_s = now_s
        self.last_resume_s = now_s
        self.acked_bytes = 0
        self.buffer_limit_bytes = ANSWER_BUFFER_BYTES
        self.is_streamed = False
        self.is_buffer_full = False
        self.hold: RequestHold = create_free_hold()
        self.hold_ups = HoldUps()
        self.is_abandoned: Callable[[], bool] = lambda: False
        """Tells whether nobody waits for the answer any more."""
        self.is_silent = False
        """Whether nothing has arrived for so long that another target may be faster."""
        self.while_silent: Callable[[], Awaitable[None]] | None = None
        """Tries other targets until the silent attempt goes on, ends or is replaced."""
        self._event: anyio.Event | None = None

    @property
    def target(self) -> str:
        """Return the name of the agent that the attempt was handed to."""
        return self.assembly.target

    @property
    def acknowledgeable_bytes(self) -> int:
        """Return how many bytes of the answer the agent may discard."""
        assembly = self.assembly
        unread_bytes = assembly.pending_bytes if self.is_streamed else 0
        return assembly.size_bytes - unread_bytes

    def wake(self) -> None:
        """Wake the waiting task, if there is one."""
        if self._event is not None:
            self._event.set()
            self._event = None

    def record_received(self, now_s: float) -> None:
        """Record that the answer goes on."""
        self.last_received_s = now_s
        self.is_silent = False

    def notify(self, event: anyio.Event) -> None:
        """Set `event` at the next call of `wake`."""
        self._event = event

    async def wait(self) -> None:
        """Wait until `wake` is called, or a silent attempt goes on or is replaced."""
        if self.is_silent and self.while_silent is not None:
            await self.while_silent()
        else:
            await wait_for_any(self)


async def wait_for_any(*attempts: OpenAttempt) -> None:
    """Wait until one of some attempts is woken."""
    event = anyio.Event()
    for attempt in attempts:
        attempt.notify(event)
    await event.wait()


class AttemptClient:
    """Hands requests over to agents and matches their messages to attempts."""

    def __init__(
        self,
        network: Network,
        timers: TimerService,
        *,
        resume_after_s: float = RESUME_AFTER_SILENCE_S,
        silent_after_s: float = SILENT_AFTER_S,
    ) -> None:
        self._network = network
        self._timers = timers
        self._resume_after_s = resume_after_s
        self._silent_after_s = silent_after_s
        self._open: dict[tuple[str, int], OpenAttempt] = {}
        self.counts = ClientCounts()
        network.subscribe(AttemptHead, self._on_head)
        network.subscribe(AttemptData, self._on_data)
        network.subscribe(AttemptEnd, self._on_end)
        network.subscribe(AttemptRefused, self._on_refused)
        network.subscribe(AttemptStatus, self._on_status)
        network.subscribe(LeaveNotice, self._on_leave_notice)
        network.on_link_event(self._on_link_event)
        timers.call_every(SWEEP_INTERVAL_S, self.sweep)

    @property
    def open_count(self) -> int:
        """Return the number of open attempts."""
        return len(self._open)

    def open(self, target: str, start: AttemptStart) -> OpenAttempt | Failure:
        """Hand a request over, or return a failure if nothing was handed over."""
        key = (start.request_id, start.attempt)
        attempt = OpenAttempt(AnswerAssembly(start, target), self._timers.now_s())
        self._open[key] = attempt
        failure = self._network.send(target, start)
        if failure is not None:
            del self._open[key]
            return failure
        return attempt

    def close(self, attempt: OpenAttempt) -> None:
        """Close an attempt; cancel it at its agent if it is unfinished."""
        start = attempt.assembly.start
        attempt.hand_over.settle(Settlement.CLOSED, self._timers.now_s())
        if self._open.pop((start.request_id, start.attempt), None) is None:
            return
        if attempt.assembly.end is not None:
            self._ack(attempt, is_complete=True)
        elif attempt.assembly.is_open:
            self.cancel(attempt)

    def cancel(self, attempt: OpenAttempt) -> None:
        """Ask the agent to revoke or cancel the attempt, without closing it."""
        start = attempt.assembly.start
        attempt.assembly.is_cancelled = True
        message = AttemptCancel(
            start.request_id, start.attempt, start.agent_incarnation
        )
        self._network.send(attempt.target, message)

    def read_available(self, attempt: OpenAttempt) -> bytes:
        """Return the bytes that arrived, and acknowledge them at intervals."""
        data = attempt.assembly.read_available()
        self._ack_progress(attempt)
        if attempt.is_buffer_full:
            attempt.is_buffer_full = False
            self._resume(attempt)
        return data

    def on_incarnation(self, target: str, incarnation: int) -> None:
        """Give up attempts that earlier incarnations of a restarted agent had."""
        for attempt in self._list_open_at(target):
            if 0 < attempt.assembly.start.agent_incarnation < incarnation:
                self._give_up(attempt, "the agent was restarted")

    def sweep(self) -> None:
        """Resume silent attempts; mark them after a longer silence."""
        now_s = self._timers.now_s()
        for attempt in list(self._open.values()):
            if not attempt.assembly.is_open:
                continue
            if now_s - attempt.last_received_s >= self._silent_after_s:
                self._mark_silent(attempt)
            asked_s = max(attempt.last_received_s, attempt.last_resume_s)
            if now_s - asked_s >= self._resume_after_s:
                self._resume(attempt)

    def _on_link_event(self, event: LinkEvent) -> None:
        """Resume attempts on a new link; mark or give up those whose agent is gone."""
        if event.change in (LinkChange.DOWN, LinkChange.REFUSED):
            is_gone = event.reason is Reason.UNAVAILABLE
            for attempt in self._list_open_at(event.peer):
                if is_gone:
                    self._give_up(attempt, "its agent is gone")
                else:
                    self._mark_silent(attempt)
            return
        self.on_incarnation(event.peer, event.incarnation)
        for attempt in self._list_open_at(event.peer):
            self._resume(attempt)

    def _list_open_at(self, target: str) -> list[OpenAttempt]:
        return [
            attempt
            for attempt in self._open.values()
            if attempt.target == target and attempt.assembly.is_open
        ]

    def _mark_silent(self, attempt: OpenAttempt) -> None:
        """Let another target be tried, if the request may be repeated."""
        if not attempt.is_silent:
            attempt.is_silent = True
            self.counts.silent += 1
            attempt.wake()

    def _give_up(self, attempt: OpenAttempt, detail: str) -> None:
        if attempt.assembly.on_lost(detail) is Progress.CHANGED:
            self.counts.lost += 1
            self.cancel(attempt)
            attempt.wake()

    def _resume(self, attempt: OpenAttempt) -> None:
        assembly = attempt.assembly
        attempt.last_resume_s = self._timers.now_s()
        self.counts.resumed += 1
        start = assembly.start
        message = AttemptResume(
            start.request_id,
            start.attempt,
            assembly.size_bytes,
            start.agent_incarnation,
        )
        self._network.send(attempt.target, message)

    def _ack_progress(self, attempt: OpenAttempt) -> None:
        """Acknowledge the answer if enough of it is new, to open the agent's window.

        A stream is acknowledged as its caller reads it, any other answer as it
        arrives.
        """
        if attempt.acknowledgeable_bytes - attempt.acked_bytes >= ACK_INTERVAL_BYTES:
            self._ack(attempt, is_complete=False)

    def _ack(self, attempt: OpenAttempt, *, is_complete: bool) -> None:
        start = attempt.assembly.start
        attempt.acked_bytes = attempt.acknowledgeable_bytes
        message = AttemptAck(
            start.request_id, start.attempt, attempt.acked_bytes, is_complete
        )
        self._network.send(attempt.target, message)

    def _on_head(self, sender: Sender, message: AttemptHead) -> None:
        self._handle_message(
            sender, message, lambda assembly: assembly.on_head(message)
        )

    def _on_data(self, sender: Sender, message: AttemptData) -> None:
        attempt = self._find_attempt(sender, message)
        if attempt is not None:
            progress = attempt.assembly.on_data(message, attempt.buffer_limit_bytes)
            self._apply_progress(attempt, progress)
            if not attempt.is_streamed:
                self._ack_progress(attempt)

    def _on_end(self, sender: Sender, message: AttemptEnd) -> None:
        self._handle_message(sender, message, lambda assembly: assembly.on_end(message))

    def _on_refused(self, sender: Sender, message: AttemptRefused) -> None:
        attempt = self._find_attempt(sender, message)
        if attempt is not None:
            age_s = attempt.last_received_s - attempt.started_s
            progress = attempt.assembly.on_refused(message, sender.incarnation, age_s)
            self._apply_progress(attempt, progress)

    def _on_status(self, sender: Sender, message: AttemptStatus) -> None:
        self._handle_message(
            sender,
            message,
            lambda assembly: assembly.on_status(message, sender.incarnation),
        )

    def _on_leave_notice(self, sender: Sender, message: LeaveNotice) -> None:
        # The agent's report before it excludes the target from further requests.
        self._network.send(sender.name, LeaveConfirmation(message.number))

    def _handle_message(
        self, sender: Sender, message: Any, handle: Callable[[AnswerAssembly], Progress]
    ) -> None:
        attempt = self._find_attempt(sender, message)
        if attempt is not None:
            self._apply_progress(attempt, handle(attempt.assembly))

    def _find_attempt(self, sender: Sender, message: Any) -> OpenAttempt | None:
        attempt = self._open.get((message.request_id, message.attempt))
        if attempt is None or attempt.target != sender.name:
            self.counts.dropped += 1
            self._discard_answer(sender, message)
            return None
        attempt.record_received(self._timers.now_s())
        return attempt

    def _discard_answer(self, sender: Sender, message: Any) -> None:
        """Acknowledge an answer that no attempt waits for any more.

        Otherwise the agent would keep the answer and delay its graceful stop.
        """
        if isinstance(message, AttemptEnd):
            key = (message.request_id, message.attempt)
            ack = AttemptAck(*key, message.length_bytes, is_complete=True)
            self._network.send(sender.name, ack)

    def _apply_progress(self, attempt: OpenAttempt, progress: Progress) -> None:
        if progress is Progress.CHANGED:
            attempt.wake()
        elif progress is Progress.MISSING:
            self.cancel(attempt)
        elif progress is Progress.FULL:
            attempt.is_buffer_full = True
        elif progress is Progress.GAP and not attempt.is_buffer_full:
            self.counts.gaps += 1
            if attempt.last_received_s - attempt.last_resume_s >= GAP_RESUME_INTERVAL_S:
                self._resume(attempt)


def create_attempt_client(network: Network, timers: TimerService) -> AttemptClient:
    """Create a client and subscribe it to the messages of agents."""
    return AttemptClient(network, timers)
