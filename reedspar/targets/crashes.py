"""Remember which requests were at the target when its process ended.

The streams break before the new boot shows, so requests that broke lately
count as in flight at the crash.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ["CrashSuspects"]

SUSPECT_WINDOW_S = 10.0


@dataclass(frozen=True, slots=True)
class _BrokenRequest:
    fingerprint: str
    at_s: float


class CrashSuspects:
    """Fingerprints of requests that the target broke off lately."""

    def __init__(self) -> None:
        self._broken: deque[_BrokenRequest] = deque()

    def note_broken(self, fingerprint: str, now_s: float) -> None:
        """Take in that the target broke off a request."""
        if fingerprint:
            self._broken.append(_BrokenRequest(fingerprint, now_s))
        self._drop_expired(now_s)

    def pop_suspects(self, in_flight: list[str], now_s: float) -> tuple[str, ...]:
        """Return who was there when the target's process ended, each once."""
        self._drop_expired(now_s)
        broken = [item.fingerprint for item in self._broken]
        self._broken.clear()
        return tuple(dict.fromkeys([*broken, *filter(None, in_flight)]))

    def _drop_expired(self, now_s: float) -> None:
        while self._broken and self._broken[0].at_s < now_s - SUSPECT_WINDOW_S:
            self._broken.popleft()
