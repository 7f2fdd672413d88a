"""Detection of requests that crash targets, by their fingerprints.

A fingerprint that was in flight at two crashes is a suspect.  It is blamed if it
was the only suspect in flight at one of them.  An answer clears it, because a
request that crashes every target is never answered.  Suspects run one at a time,
so that the next crash or answer identifies the cause.
"""

import logging
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

__all__ = ["Crash", "Quarantine", "Standing"]

QUARANTINE_S = 300.0
"""How long a blamed fingerprint is refused after its last crash."""
CRASHES_MAX = 256
"""Maximum number of crashes remembered."""
SUSPECT_CRASHES_MIN = 2
"""Number of crashes that make a fingerprint a suspect."""

_logger = logging.getLogger(__name__)


class Standing(Enum):
    """Whether a fingerprint runs normally, runs alone or is refused."""

    CLEAR = auto()
    SUSPECT = auto()
    BLAMED = auto()


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a target, and the fingerprints in flight at it."""

    crash_id: str
    at_s: float
    fingerprints: frozenset[str]


@dataclass(slots=True)
class Quarantine:
    """Recent crashes known to this entry, and the standings that follow."""

    quarantine_s: float = QUARANTINE_S
    _crashes: OrderedDict[str, Crash] = field(default_factory=OrderedDict)
    _cleared_s: dict[str, float] = field(default_factory=dict)
    _blamed_s: dict[str, float] = field(default_factory=dict)

    def on_crash(
        self, crash_id: str, fingerprints: Iterable[str], at_s: float, now_s: float
    ) -> bool:
        """Record a crash, or more fingerprints of it; return whether that is news."""
        self._remove_expired(now_s)
        if now_s - at_s > self.quarantine_s:
            return False
        in_flight = frozenset(fingerprints)
        known = self._crashes.get(crash_id)
        if known is not None:
            if in_flight <= known.fingerprints:
                return False
            at_s, in_flight = known.at_s, in_flight | known.fingerprints
        self._crashes[crash_id] = Crash(crash_id, at_s, in_flight)
        while len(self._crashes) > CRASHES_MAX:
            self._crashes.popitem(last=False)
        self._update_blamed()
        self._log_suspects(self._crashes[crash_id], now_s)
        return True

    def on_answered(self, fingerprint: str, now_s: float) -> None:
        """Clear a fingerprint that a target answered without crashing."""
        if any(fingerprint in crash.fingerprints for crash in self._crashes.values()):
            if fingerprint in self._suspects():
                _logger.info("request cleared", extra={"fingerprint": fingerprint})
            self._cleared_s[fingerprint] = now_s
            self._update_blamed()

    def standing(self, fingerprint: str, now_s: float) -> tuple[Standing, float]:
        """Return the fingerprint's standing, and the time it is still refused for."""
        self._remove_expired(now_s)
        blamed_s = self._blamed_s.get(fingerprint)
        if blamed_s is not None:
            return Standing.BLAMED, blamed_s + self.quarantine_s - now_s
        if fingerprint in self._suspects():
            return Standing.SUSPECT, 0.0
        return Standing.CLEAR, 0.0

    def list_recent(self, now_s: float) -> list[Crash]:
        """Return the crashes within the quarantine period, newest first."""
        self._remove_expired(now_s)
        return list(reversed(self._crashes.values()))

    def _suspects(self) -> set[str]:
        counts: dict[str, int] = {}
        for crash in self._crashes.values():
            for fingerprint in crash.fingerprints:
                if self._cleared_s.get(fingerprint, -1.0) < crash.at_s:
                    counts[fingerprint] = counts.get(fingerprint, 0) + 1
        return {name for name, count in counts.items() if count >= SUSPECT_CRASHES_MIN}

    def _update_blamed(self) -> None:
        suspects = self._suspects()
        for crash in self._crashes.values():
            suspects_in_flight = crash.fingerprints & suspects
            if len(suspects_in_flight) == 1:
                (fingerprint,) = suspects_in_flight
                last_s = max(
                    other.at_s
                    for other in self._crashes.values()
                    if fingerprint in other.fingerprints
                )
                self._blamed_s[fingerprint] = last_s
        for fingerprint in list(self._blamed_s):
            if fingerprint not in suspects:
                del self._blamed_s[fingerprint]

    def _log_suspects(self, crash: Crash, now_s: float) -> None:
        """Log the suspects in flight at a crash, with the number of their crashes."""
        suspects = crash.fingerprints & self._suspects()
        if not suspects:
            return
        counts = {
            fingerprint: sum(
                fingerprint in other.fingerprints for other in self._crashes.values()
            )
            for fingerprint in sorted(suspects)
        }
        _logger.info(
            "requests suspected of a crash",
            extra={
                "target": crash.crash_id,
                "age_s": round(now_s - crash.at_s, 3),
                "crashes_by_fingerprint": counts,
                "blamed": sorted(self._blamed_s.keys() & counts.keys()),
            },
        )

    def _remove_expired(self, now_s: float) -> None:
        if not self._crashes:
            return
        horizon_s = now_s - self.quarantine_s
        for crash_id, crash in list(self._crashes.items()):
            if crash.at_s < horizon_s:
                del self._crashes[crash_id]
        for times in (self._cleared_s, self._blamed_s):
            for name in [name for name, at_s in times.items() if at_s < horizon_s]:
                del times[name]
