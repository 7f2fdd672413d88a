"""Failures of answers that a target began, and their log lines."""

import logging

from reedspar.errors import Failure, Reason, Step
from reedspar.requests.attempt_client import OpenAttempt

__all__ = ["log_truncated", "make_endless_failure", "make_unread_failure"]

_logger = logging.getLogger(__name__)


def make_endless_failure(attempt: OpenAttempt, excess: str) -> Failure:
    """Return the failure of an answer that goes on without progress."""
    _logger.warning(
        "answer without end",
        extra={
            "target": attempt.target,
            "attempt": attempt.assembly.start.request_id,
            "excess": excess,
        },
    )
    return Failure(Reason.CORRUPT, Step.TARGET_CALL, attempt.target, excess)


def make_unread_failure(attempt: OpenAttempt) -> Failure:
    """Return the failure of an answer that was cut while nobody read it.

    Its reason is none of the target's faults: a crash would be read the same way, but
    without one the target would be suspected for what its caller did.
    """
    detail = "the target cut an answer that its caller did not read"
    _logger.info(
        "unread answer was cut",
        extra={"target": attempt.target, "attempt": attempt.assembly.start.request_id},
    )
    return Failure(Reason.CANCELLED, Step.RELAY, attempt.target, detail)


def log_truncated(attempt: OpenAttempt, *, is_delimited: bool) -> None:
    """Log an answer that ended inside an event."""
    assembly = attempt.assembly
    _logger.warning(
        "stream ended inside an event",
        extra={
            "target": attempt.target,
            "attempt": assembly.start.request_id,
            "size_bytes": assembly.size_bytes,
            "is_delimited": is_delimited,
        },
    )
