"""Detection of requests that crash targets, by their fingerprints.

A fingerprint that was in flight at two crashes is a suspect, and is not retried.  It is
blamed if it explains crashes that no other request explains better.  An answer clears
it, because a request that crashes every target is never answered.
"""

import logging
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from .crash_causes import find_causes, list_crashes

__all__ = ["Crash", "Quarantine", "Standing"]

QUARANTINE_S = 300.0
"""How long a blamed fingerprint is refused after its last crash."""
CRASHES_MAX = 256
"""Maximum number of crashes remembered."""
SUSPECT_CRASHES_MIN = 2
"""Number of crashes that make a fingerprint a suspect."""

_logger = logging.getLogger(__name__)


class Standing(Enum):
    """Whether a fingerprint runs normally, runs without a retry or is refused."""

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
    """Time of the last crash of each blamed fingerprint."""
    _evidence: dict[str, frozenset[str]] = field(default_factory=dict)
    """Crashes of each fingerprint since it was last answered."""

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
        self._update()
        self._log_suspects(self._crashes[crash_id], now_s)
        return True

    def on_answered(self, fingerprint: str, now_s: float) -> None:
        """Clear a fingerprint that a target answered without crashing."""
        if fingerprint not in self._evidence:
            return
        if self._is_suspect(fingerprint):
            _logger.info("request cleared", extra={"fingerprint": fingerprint})
        self._cleared_s[fingerprint] = now_s
        self._update()

    def standing(self, fingerprint: str, now_s: float) -> tuple[Standing, float]:
        """Return the fingerprint's standing, and the time it is still refused for."""
        self._remove_expired(now_s)
        blamed_s = self._blamed_s.get(fingerprint)
        if blamed_s is not None:
            return Standing.BLAMED, blamed_s + self.quarantine_s - now_s
        if self._is_suspect(fingerprint):
            return Standing.SUSPECT, 0.0
        return Standing.CLEAR, 0.0

    def list_recent(self, now_s: float) -> list[Crash]:
        """Return the crashes within the quarantine period, newest first."""
        self._remove_expired(now_s)
        return list(reversed(self._crashes.values()))

    def _is_suspect(self, fingerprint: str) -> bool:
        return len(self._evidence.get(fingerprint, ())) >= SUSPECT_CRASHES_MIN

    def _update(self) -> None:
        """Derive evidence and blame from the crashes and the answers since."""
        crashes = {
            crash.crash_id: frozenset(
                fingerprint
                for fingerprint in crash.fingerprints
                if self._cleared_s.get(fingerprint, float("-inf")) < crash.at_s
            )
            for crash in self._crashes.values()
        }
        self._evidence = list_crashes(crashes)
        self._blamed_s = {
            fingerprint: max(self._crashes[crash_id].at_s for crash_id in crash_ids)
            for fingerprint, crash_ids in find_causes(crashes).items()
        }

    def _log_suspects(self, crash: Crash, now_s: float) -> None:
        """Log the suspects in flight at a crash, with the number of their crashes."""
        counts = {
            fingerprint: len(self._evidence[fingerprint])
            for fingerprint in sorted(crash.fingerprints)
            if self._is_suspect(fingerprint)
        }
        if not counts:
            return
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
        horizon_s = now_s - self.quarantine_s
        expired = [c.crash_id for c in self._crashes.values() if c.at_s < horizon_s]
        if not expired:
            return
        for crash_id in expired:
            del self._crashes[crash_id]
        for name in [
            name for name, at_s in self._cleared_s.items() if at_s < horizon_s
        ]:
            del self._cleared_s[name]
        self._update()
