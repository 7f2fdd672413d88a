"""Reports of exceptions that no code was written for.

Expected errors are `Failure` values.  An exception that reaches the border of a task or
a callback is a defect; it is logged and counted, and what is independent of it goes on.
"""

import logging
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

__all__ = [
    "UnexpectedErrors",
    "call_contained",
    "install_unexpected_errors",
    "read_error_counts",
    "report_unexpected_error",
]

TRACEBACK_INTERVAL_S = 10.0
"""Minimum time between two log lines on errors of one type in one task.

A task that fails at each of its runs would fill the log; the counter has them all."""

_logger = logging.getLogger(__name__)


class UnexpectedErrors:
    """Counts and logs unexpected errors by task."""

    def __init__(self, *, is_fatal: bool = False) -> None:
        self._is_fatal = is_fatal
        self._counts: Counter[str] = Counter()
        self._unlogged: Counter[tuple[str, str]] = Counter()
        self._last_logged_s: dict[tuple[str, str], float] = {}

    @property
    def counts(self) -> dict[str, int]:
        """Return the number of errors by task."""
        return dict(self._counts)

    def report(self, task: str, error: Exception, subject: str = "") -> None:
        """Report an error; raise it if fatal.

        `task` is from a closed set, `subject` names the peer, target or key concerned.
        """
        if self._is_fatal:
            raise error
        self._counts[task] += 1
        key = (task, type(error).__name__)
        now_s = time.monotonic()
        if now_s - self._last_logged_s.get(key, float("-inf")) < TRACEBACK_INTERVAL_S:
            self._unlogged[key] += 1
            return
        self._last_logged_s[key] = now_s
        _logger.error(
            "unexpected error",
            exc_info=error,
            extra={
                "task": task,
                "subject": subject,
                "unlogged_before": self._unlogged.pop(key, 0),
            },
        )


_installed = UnexpectedErrors()


def install_unexpected_errors(errors: UnexpectedErrors) -> UnexpectedErrors:
    """Report to `errors` in this process; return what was used before."""
    global _installed
    before = _installed
    _installed = errors
    return before


def report_unexpected_error(task: str, error: Exception, subject: str = "") -> None:
    """Report an error to the installed `UnexpectedErrors`."""
    _installed.report(task, error, subject)


def call_contained(
    task: str, function: Callable[..., Any], *args: Any, subject: str = ""
) -> None:
    """Call a listener; report an exception in it, so that the others are called."""
    try:
        function(*args)
    except Exception as error:
        report_unexpected_error(task, error, subject)


def read_error_counts() -> list[tuple[float, dict[str, str]]]:
    """Return the number of errors by task, as readings of a metric."""
    return [(count, {"task": task}) for task, count in _installed.counts.items()]
