"""Requests that may have crashed a target.

Answers break off before a poll returns the new boot id, so requests that broke off
recently count as in flight at the crash.
"""

from collections import deque
from dataclasses import dataclass

from reedspar.attempts import CrashSuspect

__all__ = ["CrashSuspects"]

SUSPECT_WINDOW_S = 10.0
"""Age up to which a request that broke off is a suspect."""


@dataclass(frozen=True, slots=True)
class _BrokenRequest:
    suspect: CrashSuspect
    at_s: float


class CrashSuspects:
    """Requests that the target broke off recently."""

    def __init__(self) -> None:
        self._broken: deque[_BrokenRequest] = deque()

    def record_broken(self, suspect: CrashSuspect, now_s: float) -> None:
        """Record that the target broke off a request."""
        if suspect.fingerprint:
            self._broken.append(_BrokenRequest(suspect, now_s))
        self._drop_expired(now_s)

    def pop_suspects(
        self, in_flight: list[CrashSuspect], now_s: float
    ) -> tuple[CrashSuspect, ...]:
        """Return the distinct requests that may have caused a crash."""
        self._drop_expired(now_s)
        broken = [item.suspect for item in self._broken]
        self._broken.clear()
        running = [suspect for suspect in in_flight if suspect.fingerprint]
        return tuple(dict.fromkeys([*broken, *running]))

    def _drop_expired(self, now_s: float) -> None:
        while self._broken and self._broken[0].at_s < now_s - SUSPECT_WINDOW_S:
            self._broken.popleft()
