"""Invariants asserted inside the program, always on.

A broken invariant is counted, logged and recorded in the time line; it stops
the program only where the reporter is fatal, as in tests.  In production a
daemon that stops takes all of its requests with it, so it counts and goes on,
and the alarm on the metric calls an operator.
"""

import logging

from reedspar.errors import InvariantError
from reedspar.timeline import EventKind, EventRecorder

from .metrics import Metrics

__all__ = [
    "InvariantReporter",
    "check_invariant",
    "create_invariant_reporter",
    "install_invariant_reporter",
]

logger = logging.getLogger("reedspar.invariants")


class InvariantReporter:
    """Tell of broken invariants by metric, log and event."""

    def __init__(
        self,
        metrics: Metrics | None = None,
        recorder: EventRecorder | None = None,
        *,
        is_fatal: bool = False,
    ) -> None:
        self._metrics = metrics
        self._recorder = recorder
        self._is_fatal = is_fatal
        self._violation_count = 0

    @property
    def violation_count(self) -> int:
        """Return how many violations were reported."""
        return self._violation_count

    def report(self, name: str, detail: str) -> None:
        """Report a violation; raise `InvariantError` if fatal."""
        self._violation_count += 1
        logger.error("invariant broken", extra={"invariant": name, "detail": detail})
        if self._metrics is not None:
            self._metrics.invariant_violations.add(1, {"name": name})
        if self._recorder is not None:
            self._recorder.record(
                EventKind.INVARIANT_BROKEN, detail=f"{name}: {detail}"
            )
        if self._is_fatal:
            raise InvariantError(f"{name}: {detail}")


_installed = InvariantReporter()


def create_invariant_reporter(
    metrics: Metrics | None = None,
    recorder: EventRecorder | None = None,
    *,
    is_fatal: bool = False,
) -> InvariantReporter:
    """Make a reporter; it takes effect once installed."""
    return InvariantReporter(metrics, recorder, is_fatal=is_fatal)


def install_invariant_reporter(reporter: InvariantReporter) -> InvariantReporter:
    """Send this process's violations to `reporter`; return the one before."""
    global _installed
    before = _installed
    _installed = reporter
    return before


def check_invariant(condition: bool, name: str, detail: object = "") -> bool:
    """Report a violation unless `condition` holds; return `condition`.

    `name` is a constant such as ``attempt.at_most_once``; `detail` is turned
    into text only when the invariant is broken.
    """
    if not condition:
        _installed.report(name, str(detail))
    return condition
