"""Assembly of an attempt's messages into an answer, and its verdict.

Messages may be late, duplicated, out of order or lost, because a link can be
replaced during an attempt.  Each byte is accepted once and in order.  Data after
a gap is dropped: the agent keeps the answer and sends it again from the offset
that the client asks for.
"""

import hashlib
from dataclasses import dataclass, field
from enum import Enum, auto

from reedspar.attempts import (
    AttemptData,
    AttemptEnd,
    AttemptHead,
    AttemptPhase,
    AttemptRefused,
    AttemptStart,
    AttemptStatus,
    EndKind,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.utils import is_final_status

from .event_stream import EventBoundary, is_event_stream

__all__ = ["AnswerAssembly", "Progress", "Verdict"]


REFUSAL_PROOF_AGE_MAX_S = 30.0
"""Age of an attempt up to which a refusal after its cancel proves that it did not run.

Half of the minimum time that an agent keeps the record of an ended attempt."""
INCONCLUSIVE_REASONS = frozenset(
    {
        Reason.OUTCOME_UNKNOWN,
        Reason.LOST,
        Reason.TIMEOUT,
        Reason.CORRUPT,
        Reason.CANCELLED,
    }
)
"""Failures at a target after which the request may have run."""


class Verdict(Enum):
    """What is known about the result of an attempt."""

    OPEN = auto()
    """The attempt may still be answered."""
    COMPLETE = auto()
    """The complete answer has arrived."""
    NOT_RUN = auto()
    """The attempt provably did not run."""
    UNKNOWN = auto()
    """The attempt may have run, but has no complete answer."""


class Progress(Enum):
    """Effect of a message on the assembly, and what the client must do next."""

    CHANGED = auto()
    """The state changed: wake the waiting task."""
    NOTHING = auto()
    GAP = auto()
    """Earlier data is missing: ask the agent to send it again."""
    MISSING = auto()
    """The agent has not received the attempt: revoke it, to prove that it can't run."""
    FULL = auto()
    """The buffer is full: ask for the data again once the caller has read more."""


@dataclass(slots=True)
class AnswerAssembly:
    """The part of an attempt's answer that has arrived, and what it proves."""

    start: AttemptStart
    target: str
    head: AttemptHead | None = None
    end: AttemptEnd | None = None
    verdict: Verdict = Verdict.OPEN
    failure: Failure | None = None
    size_bytes: int = 0
    phase: AttemptPhase = AttemptPhase.UNKNOWN
    is_cancelled: bool = False
    pieces: list[bytes] = field(default_factory=list)
    pending_bytes: int = 0
    _hash: "hashlib._Hash" = field(default_factory=hashlib.sha256)
    _event_boundary: EventBoundary | None = None
    """None unless the answer is a stream of events."""

    @property
    def is_open(self) -> bool:
        """Return whether the verdict is still open."""
        return self.verdict is Verdict.OPEN

    @property
    def ends_inside_event(self) -> bool:
        """Return whether the answer is a stream whose last event is incomplete."""
        boundary = self._event_boundary
        return boundary is not None and boundary.is_inside_event

    def on_head(self, message: AttemptHead) -> Progress:
        """Store the status and headers; repeated ones are ignored."""
        if self.head is not None or not self.is_open:
            return Progress.NOTHING
        if not is_final_status(message.status):
            detail = f"status {message.status} of a final answer"
            return self._finish(Verdict.UNKNOWN, Reason.CORRUPT, detail)
        self.head = message
        if is_event_stream(message.headers):
            self._event_boundary = EventBoundary()
        return Progress.CHANGED

    def on_data(self, message: AttemptData, limit_bytes: int) -> Progress:
        """Append the new bytes of `message` if the buffer stays within `limit_bytes`.

        An empty buffer accepts a message of any size.
        """
        if not self.is_open:
            return Progress.NOTHING
        skip = self.size_bytes - message.offset
        if skip < 0 or self.head is None:
            return Progress.GAP
        data = message.data[skip:] if skip else message.data
        if not data:
            return Progress.NOTHING
        if self.pending_bytes and self.pending_bytes + len(data) > limit_bytes:
            return Progress.FULL
        self._hash.update(data)
        self.pieces.append(data)
        if self._event_boundary is not None:
            self._event_boundary.feed(data)
        self.size_bytes += len(data)
        self.pending_bytes += len(data)
        return self._check_end() or Progress.CHANGED

    def on_end(self, message: AttemptEnd) -> Progress:
        """Handle the end marker, which may arrive before the last data."""
        if not self.is_open:
            return Progress.NOTHING
        self.end = message
        if message.kind is EndKind.NOT_RUN and self.head is None:
            return self._finish(Verdict.NOT_RUN, message.reason, message.detail)
        if message.kind is not EndKind.COMPLETE:
            return self._finish(Verdict.UNKNOWN, message.reason, message.detail)
        return self._check_end() or Progress.GAP

    def on_direct_end(self, failure: Failure | None) -> Progress:
        """Handle the end of an answer that came directly from the target.

        TCP keeps the bytes in order, so there is no digest to check.
        """
        if not self.is_open:
            return Progress.NOTHING
        if failure is None:
            return self._complete()
        may_have_run = self.head is not None or failure.reason in INCONCLUSIVE_REASONS
        self.verdict = Verdict.UNKNOWN if may_have_run else Verdict.NOT_RUN
        self.failure = failure
        return Progress.CHANGED

    def on_refused(
        self, message: AttemptRefused, incarnation: int, age_s: float
    ) -> Progress:
        """Handle a refusal, which usually proves that the attempt never ran."""
        if not self.is_open:
            return Progress.NOTHING
        # The attempt was sent once, so its refusal is proof from any incarnation.
        # After a cancel, the refusal may be the reply to the cancel instead.  Then
        # it proves nothing if it comes from another incarnation, or so late (after
        # a pause of this process) that the agent may have dropped the record of the
        # attempt.  A request that ran would then be reported as not run.
        is_other_incarnation = incarnation != self.start.agent_incarnation
        if self.is_cancelled and (
            is_other_incarnation or age_s > REFUSAL_PROOF_AGE_MAX_S
        ):
            return self.on_lost("revoked too late for proof")
        after_s = message.retry_after_s or None
        return self._finish(
            Verdict.NOT_RUN, message.reason, message.detail, after_s, Step.AGENT_ADMIT
        )

    def on_status(self, message: AttemptStatus, incarnation: int) -> Progress:
        """Handle the agent's report of the attempt's phase."""
        if not self.is_open:
            return Progress.NOTHING
        expected = self.start.agent_incarnation
        if expected and incarnation != expected:
            return self.on_lost("the agent was restarted")
        if message.phase is AttemptPhase.UNKNOWN:
            if self.head is None and self.phase is AttemptPhase.UNKNOWN:
                return Progress.MISSING
            return self.on_lost("the agent has let go of it")
        self.phase = message.phase
        if message.phase is AttemptPhase.REVOKED:
            return self._finish(Verdict.NOT_RUN, Reason.CANCELLED, "revoked")
        return Progress.NOTHING

    def on_lost(self, detail: str) -> Progress:
        """Set the verdict to unknown, as no more messages are expected."""
        if not self.is_open:
            return Progress.NOTHING
        return self._finish(
            Verdict.UNKNOWN, Reason.OUTCOME_UNKNOWN, detail, step=Step.LINK
        )

    def read_available(self) -> bytes:
        """Return the bytes that arrived since the last call."""
        pieces = self.pieces
        data = pieces[0] if len(pieces) == 1 else b"".join(pieces)
        pieces.clear()
        self.pending_bytes = 0
        return data

    def _check_end(self) -> Progress | None:
        if self.end is None or self.head is None:
            return None
        if self.size_bytes < self.end.length_bytes:
            return None
        if (
            self.size_bytes != self.end.length_bytes
            or self._hash.hexdigest() != self.end.digest
        ):
            return self._finish(
                Verdict.UNKNOWN,
                Reason.CORRUPT,
                "length or digest differ from the end's",
            )
        return self._complete()

    def _complete(self) -> Progress:
        """Handle the regular end of an answer.

        The end of a connection may be the end of the answer on it, so the framing does
        not show whether a stream of events was broken off.
        """
        if self.ends_inside_event:
            detail = "the stream ended inside an event"
            return self._finish(Verdict.UNKNOWN, Reason.OUTCOME_UNKNOWN, detail)
        self.verdict = Verdict.COMPLETE
        return Progress.CHANGED

    def _finish(
        self,
        verdict: Verdict,
        reason: Reason,
        detail: str,
        after_s: float | None = None,
        step: Step = Step.TARGET_CALL,
    ) -> Progress:
        self.verdict = verdict
        self.failure = Failure(reason, step, self.target, detail, after_s)
        return Progress.CHANGED
