"""Decision: put the messages of one attempt together to a whole answer, or to less.

Messages come late, twice, out of order or not at all, since links are replaced
under a running attempt.  Bytes are taken once and in order; whatever leaves a
gap is dropped, because the agent keeps the answer and sends it again from the
offset that is asked for.
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

__all__ = ["AnswerAssembly", "Progress", "Verdict"]


PROOF_AGE_S = 30.0
"""Half of the least time that an agent remembers an ended attempt."""
UNPROVED_REASONS = frozenset(
    {Reason.OUTCOME_UNKNOWN, Reason.TIMEOUT, Reason.CORRUPT, Reason.CANCELLED}
)
"""Failures of a target that don't prove that it did not run the request."""


class Verdict(Enum):
    """What is known of an attempt."""

    OPEN = auto()
    WHOLE = auto()
    NOT_RUN = auto()
    UNKNOWN = auto()


class Progress(Enum):
    """What a message brought."""

    NEWS = auto()
    NOTHING = auto()
    GAP = auto()
    """Something before it is missing: ask for it again."""
    MISSING = auto()
    """The agent never got it: revoke it, to have proof."""
    FULL = auto()
    """The caller reads too slowly: ask for it again once it has read on."""


@dataclass(slots=True)
class AnswerAssembly:
    """The answer of one attempt as far as it has arrived."""

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

    @property
    def is_open(self) -> bool:
        """Tell whether more can be learned."""
        return self.verdict is Verdict.OPEN

    def on_head(self, message: AttemptHead) -> Progress:
        """Take the head; an answer never joins two of them."""
        if self.head is not None or not self.is_open:
            return Progress.NOTHING
        self.head = message
        return Progress.NEWS

    def on_data(self, message: AttemptData, room_bytes: int) -> Progress:
        """Take what is new of `message`, if it fits into `buffer_limit_bytes`."""
        if not self.is_open:
            return Progress.NOTHING
        skip = self.size_bytes - message.offset
        if skip < 0 or self.head is None:
            return Progress.GAP
        data = message.data[skip:] if skip else message.data
        if not data:
            return Progress.NOTHING
        if self.pending_bytes and self.pending_bytes + len(data) > room_bytes:
            return Progress.FULL
        self._hash.update(data)
        self.pieces.append(data)
        self.size_bytes += len(data)
        self.pending_bytes += len(data)
        return self._check_end() or Progress.NEWS

    def on_end(self, message: AttemptEnd) -> Progress:
        """Take the end marker; what it marks may still be missing."""
        if not self.is_open:
            return Progress.NOTHING
        self.end = message
        if message.kind is EndKind.NOT_RUN and self.head is None:
            return self._finish(Verdict.NOT_RUN, message.reason, message.detail)
        if message.kind is not EndKind.COMPLETE:
            return self._finish(Verdict.UNKNOWN, message.reason, message.detail)
        return self._check_end() or Progress.GAP

    def on_direct_end(self, failure: Failure | None) -> Progress:
        """Take the end of an answer that came straight from the target.

        Its connection has kept the bytes in order, and its framing has told
        whether they are whole, so there is no digest to check.
        """
        if not self.is_open:
            return Progress.NOTHING
        if failure is None:
            self.verdict = Verdict.WHOLE
            return Progress.NEWS
        may_have_run = self.head is not None or failure.reason in UNPROVED_REASONS
        self.verdict = Verdict.UNKNOWN if may_have_run else Verdict.NOT_RUN
        self.failure = failure
        return Progress.NEWS

    def on_refused(
        self, message: AttemptRefused, incarnation: int, age_s: float
    ) -> Progress:
        """Take a refusal, if it proves that the attempt never ran."""
        if not self.is_open:
            return Progress.NOTHING
        # A refusal of the one copy that was handed over is proof from any
        # incarnation.  After a cancel it may answer that instead: from another
        # incarnation, or once the agent may have forgotten that the attempt
        # ran (an entry that was frozen asks so late), it proves nothing, and
        # an order that ran would be called not run.
        is_other = incarnation != self.start.agent_incarnation
        if self.is_cancelled and (is_other or age_s > PROOF_AGE_S):
            return self.on_lost("revoked too late for proof")
        after_s = message.retry_after_s or None
        return self._finish(
            Verdict.NOT_RUN, message.reason, message.detail, after_s, Step.AGENT_ADMIT
        )

    def on_status(self, message: AttemptStatus, incarnation: int) -> Progress:
        """Take the agent's word on how far the attempt is."""
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
        """Give up: nothing more will be learned from the agent."""
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
        self.verdict = Verdict.WHOLE
        return Progress.NEWS

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
        return Progress.NEWS
