"""What targets announce about themselves in the heads of their answers."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from reedspar.timers import TimerService
from reedspar.utils import TokenBucket

from .loads import TargetLoads
from .run_states import RunStates

__all__ = ["NoticeListener", "TargetNotice", "TargetNotices"]

LEAVING_TTL_S = 600.0
"""Time without evidence after which an announced shutdown is forgotten.

It bounds the number of runs that are kept.  The next run of a target has another boot
id, and gets requests at once."""
LOG_LINES_PER_S = 5.0
LOG_LINES_BURST = 20.0

_logger = logging.getLogger(__name__)


ShutdownListener = Callable[[str, str], None]
"""Called with the target's id and boot id."""


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """What the head of one answer says of the target itself."""

    target_id: str
    boot_id: str
    """Run of the target's process, as known when the request was sent."""
    request_id: str
    is_leaving: bool = False
    """The target has announced its shutdown."""
    pause_s: float | None = None
    """Time for which the target wants no requests from this entry, if it asks for a
    pause."""
    rate_per_s: float | None = None
    """Requests a second that the target takes from all entries, None if unlimited."""
    shows_rate_limit: bool = True
    """Whether the answer tells if there is a rate limit."""


class NoticeListener(Protocol):
    """Callback for what the head of an answer says of its target."""

    def __call__(self, notice: TargetNotice) -> None:
        """Process a notice before the answer itself is processed."""
        ...


@dataclass(slots=True)
class _Announced:
    """What one run of a target has announced."""

    expires_s: float = float("-inf")
    is_leaving: bool = False
    paused_at_s: float = float("-inf")
    """When the target first asked for the pause that is in force."""
    pause_until_s: float = float("-inf")


class TargetNotices:
    """Keeps the announcements of targets by boot id."""

    def __init__(self, loads: TargetLoads, timers: TimerService) -> None:
        self._loads = loads
        self._timers = timers
        self._announced = RunStates(
            _Announced, lambda announced, now_s: now_s >= announced.expires_s
        )
        self._counts: Counter[str] = Counter(leaving=0, pause=0)
        self._shutdown_listeners: list[ShutdownListener] = []
        self._bucket = TokenBucket(LOG_LINES_PER_S, LOG_LINES_BURST)

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the counts of announcements, with labels."""
        return [(count, {"notice": name}) for name, count in self._counts.items()]

    def is_leaving(self, boot_id: str) -> bool:
        """Return whether a run of a target has announced its shutdown."""
        announced = self._announced.find(boot_id, self._timers.now_s())
        return announced is not None and announced.is_leaving

    def pause_left_s(self, boot_id: str, now_s: float) -> float:
        """Return for how long a run of a target wants no requests, 0 if it does."""
        announced = self._announced.find(boot_id, now_s)
        return max(0.0, announced.pause_until_s - now_s) if announced else 0.0

    def on_shutdown(self, listener: ShutdownListener) -> None:
        """Call `listener` when an answer is the first to announce a shutdown."""
        self._shutdown_listeners.append(listener)

    def record(self, notice: TargetNotice) -> None:
        """Record what an answer announces."""
        if notice.is_leaving:
            is_new = self.record_shutdown(notice.target_id, notice.boot_id)
            if is_new:
                for listener in self._shutdown_listeners:
                    listener(notice.target_id, notice.boot_id)
        if notice.pause_s is not None:
            self._record_pause(notice, notice.pause_s)

    def record_shutdown(self, target_id: str, boot_id: str, peer: str = "") -> bool:
        """Record an announced shutdown; return whether it was unknown.

        `peer` is the entry that tells of it, empty for an answer to this entry.
        """
        now_s = self._timers.now_s()
        announced = self._announced.find_or_add(boot_id, now_s)
        announced.expires_s = max(announced.expires_s, now_s + LEAVING_TTL_S)
        if announced.is_leaving:
            return False
        announced.is_leaving = True
        self._counts["leaving"] += 1
        extra = {"target": target_id, "peer": peer}
        _logger.info("target announces its shutdown", extra=extra)
        return True

    def _record_pause(self, notice: TargetNotice, pause_s: float) -> None:
        """Extend the pause; a shorter one asked for later does not cut it."""
        now_s = self._timers.now_s()
        announced = self._announced.find_or_add(notice.boot_id, now_s)
        is_repeated = now_s < announced.pause_until_s
        if not is_repeated:
            announced.paused_at_s = now_s
        announced.pause_until_s = max(announced.pause_until_s, now_s + pause_s)
        announced.expires_s = max(announced.expires_s, announced.pause_until_s)
        self._counts["pause"] += 1
        if self._bucket.try_consume(1, now_s):
            self._log_pause(notice, announced, now_s, is_repeated=is_repeated)

    def _log_pause(
        self,
        notice: TargetNotice,
        announced: _Announced,
        now_s: float,
        *,
        is_repeated: bool,
    ) -> None:
        extra: dict[str, object] = {
            "target": notice.target_id,
            "request": notice.request_id,
            "pause_s": notice.pause_s,
        }
        attempt = self._loads.find_attempt(notice.target_id, notice.request_id)
        if is_repeated and attempt is not None:
            extra |= attempt.times_since_ms(announced.paused_at_s, now_s)
        _logger.info("target asks for a pause", extra=extra)
