"""A pause for which a target asks when it refuses a request."""

import logging
from collections.abc import Callable, Iterable

from reedspar.timers import TimerService
from reedspar.utils import parse_non_negative

__all__ = ["TargetPause", "read_pause_s"]

RETRY_AFTER_HEADER = "retry-after"
SERVICE_UNAVAILABLE_STATUS = 503
LOGGED_VALUE_MAX = 40
"""Maximum number of characters of a header's value in a log line."""

_logger = logging.getLogger(__name__)


class TargetPause:
    """The time for which the target wants no requests."""

    def __init__(self, timers: TimerService, on_end: Callable[[], None]) -> None:
        self._timers = timers
        self._on_end = on_end
        self._until_s = float("-inf")

    @property
    def left_s(self) -> float:
        """Return the rest of the pause, 0 if there is none."""
        return max(0.0, self._until_s - self._timers.now_s())

    def extend(self, duration_s: float) -> None:
        """Begin a pause; a shorter one does not cut one that is in force."""
        until_s = self._timers.now_s() + duration_s
        if until_s <= self._until_s:
            return
        self._until_s = until_s
        _logger.info("target asks for a pause", extra={"pause_s": duration_s})
        self._timers.call_after(duration_s, self._handle_end)

    def end(self) -> None:
        """End the pause, as the target has restarted."""
        self._until_s = float("-inf")

    def _handle_end(self) -> None:
        if not self.left_s:
            self._on_end()


def read_pause_s(status: int, headers: Iterable[tuple[str, str]]) -> float | None:
    """Return for how long a target that refuses a request wants no more, if it says so.

    Of the two forms in RFC 9110, section 10.2.3, only the number of seconds is read.
    """
    if status != SERVICE_UNAVAILABLE_STATUS:
        return None
    texts = (value for name, value in headers if name.lower() == RETRY_AFTER_HEADER)
    text = next(texts, None)
    if text is None:
        return None
    pause_s = parse_non_negative(text)
    if pause_s is None:
        extra = {"value": text[:LOGGED_VALUE_MAX]}
        _logger.warning("pause of a target is unreadable", extra=extra)
    return pause_s
