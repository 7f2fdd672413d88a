"""Runtime checks of invariants, also enabled in production.

A violation is counted, logged and recorded in the time line.  It stops the program only
if the reporter is fatal, as in tests.  In production a daemon that stops would lose all
of its requests, so it continues, and an alarm on the metric alerts an operator.
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
    """Report invariant violations by metric, log and event."""

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
        """Return the number of reported violations."""
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


_installed_reporter = InvariantReporter()


def create_invariant_reporter(
    metrics: Metrics | None = None,
    recorder: EventRecorder | None = None,
    *,
    is_fatal: bool = False,
) -> InvariantReporter:
    """Create a reporter; `install_invariant_reporter` puts it into use."""
    return InvariantReporter(metrics, recorder, is_fatal=is_fatal)


def install_invariant_reporter(reporter: InvariantReporter) -> InvariantReporter:
    """Use `reporter` in this process; return the previous one."""
    global _installed_reporter
    before = _installed_reporter
    _installed_reporter = reporter
    return before


def check_invariant(condition: bool, name: str, detail: object = "") -> bool:
    """Report a violation unless `condition` holds; return `condition`.

    `name` is a constant such as ``attempt.at_most_once``; `detail` is converted to text
    only if the invariant is violated.
    """
    if not condition:
        _installed_reporter.report(name, str(detail))
    return condition
