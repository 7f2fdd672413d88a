"""What the attempts of one request have led to so far."""

from dataclasses import dataclass, field

from reedspar.errors import Failure, Reason, Step

from .assembly import Verdict
from .attempt_client import OpenAttempt
from .outcome_encoding import make_not_run
from .relay_interfaces import ChosenTarget
from .request import Answer, Outcome
from .request_retries import RequestRetries
from .stream_forwarder import StreamForwarder

__all__ = ["Backup", "RelayState", "make_answer"]

NOT_TARGET_FAULT_REASONS = frozenset({Reason.CORRUPT, Reason.TIMEOUT, Reason.CANCELLED})
"""Reasons of unknown outcomes that don't count as a broken target."""


@dataclass(frozen=True, slots=True)
class Backup:
    """An attempt that was opened while the one before it was silent."""

    chosen: ChosenTarget
    attempt: OpenAttempt


@dataclass(slots=True)
class RelayState:
    """Attempts of one request so far, and their result."""

    forwarder: StreamForwarder
    retries: RequestRetries
    tried: set[str] = field(default_factory=set)
    result: Answer | None = None
    """Answer that follows from all attempts so far."""
    opened_count: int = 0
    handed_over_count: int = 0
    """Attempts that ended and may have reached a target."""
    unreached_count: int = 0
    """Attempts that ended before anything reached a target."""
    broken_count: int = 0
    """Attempts without a complete answer through a fault of the target."""
    backup: Backup | None = None
    """Attempt that answers in the place of a silent one."""

    @property
    def may_have_run(self) -> bool:
        """Return whether an attempt that has ended may have run."""
        return self.result is not None and self.result.outcome is not Outcome.NOT_RUN

    def record(self, latest: Answer) -> None:
        """Record how an attempt ended."""
        if _is_unreached(latest):
            self.unreached_count += 1
        else:
            self.handed_over_count += 1
        self.broken_count += _is_broken(latest)
        self.result = _combine(self.result, latest)

    def take_backup(self) -> Backup | None:
        """Return the attempt that answers in the place of a silent one, once."""
        backup, self.backup = self.backup, None
        return backup


def make_answer(attempt: OpenAttempt, *, has_started: bool) -> Answer:
    """Return how an attempt ended that was not forwarded while it arrived."""
    assembly = attempt.assembly
    head = assembly.head
    if assembly.verdict is Verdict.COMPLETE and head is not None:
        return Answer(
            Outcome.ANSWERED,
            head.status,
            head.headers,
            assembly.read_available(),
            head.weights_digest,
        )
    failure = assembly.failure or Failure(Reason.OUTCOME_UNKNOWN, Step.RELAY)
    if assembly.verdict is Verdict.NOT_RUN:
        return make_not_run(failure)
    return Answer(
        Outcome.UNKNOWN, failure=failure, is_sent=has_started, is_truncated=has_started
    )


def _is_unreached(answer: Answer) -> bool:
    """Return whether an attempt ended before anything reached a target."""
    failure = answer.failure
    is_not_run = answer.outcome is Outcome.NOT_RUN and failure is not None
    return is_not_run and failure is not None and failure.step is Step.LINK


def _is_broken(answer: Answer) -> bool:
    failure = answer.failure
    if answer.outcome is not Outcome.UNKNOWN or failure is None:
        return False
    is_at_target = failure.step is Step.TARGET_CALL
    return is_at_target and failure.reason not in NOT_TARGET_FAULT_REASONS


def _combine(earlier: Answer | None, latest: Answer) -> Answer:
    """Return the answer that follows from both attempts.

    An idempotent request whose first attempt broke may have run, even if the
    second was refused, so "not run" would be false.  An earlier server error, or
    a part already sent to the caller, takes precedence over a later failure.
    """
    if earlier is None or latest.outcome is Outcome.ANSWERED:
        return latest
    if earlier.outcome is Outcome.ANSWERED:
        return earlier
    if latest.outcome is Outcome.UNKNOWN:
        return latest
    return earlier if earlier.outcome is Outcome.UNKNOWN else latest
