"""Detection of requests that crash targets, by their fingerprints and prompt parts.

A fingerprint that was in flight at two crashes is a suspect, and is not retried.  It is
blamed if it explains crashes that no other request explains better, and a prompt part
if requests that have it explain them together.  An answer clears both, because a
request that crashes every target is never answered.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from reedspar.attempts import CrashSuspect

from .attempt_history import AttemptHistory, Scope
from .crash_causes import find_causes, list_evidence
from .crashes import Crash, create_crash
from .part_causes import find_part_causes

__all__ = ["Crash", "PartVerdict", "Quarantine", "Standing"]

QUARANTINE_S = 300.0
"""How long a blamed fingerprint or prompt part is refused after its last crash."""
CRASHES_MAX = 256
"""Maximum number of crashes remembered."""
RELEASED_PARTS_MAX = 64
"""Maximum number of parts remembered whose quarantine is over."""
SUSPECT_CRASHES_MIN = 2
"""Number of crashes that make a fingerprint a suspect."""

_logger = logging.getLogger(__name__)


class Standing(Enum):
    """Whether a request runs normally, runs without a retry or is refused."""

    CLEAR = auto()
    SUSPECT = auto()
    BLAMED = auto()


@dataclass(frozen=True, slots=True)
class PartVerdict:
    """Whether requests with all of these prompt parts crash targets."""

    parts: frozenset[str]
    at_s: float
    """Time of the last crash or answer that the verdict follows from."""
    is_blamed: bool


VerdictListener = Callable[[PartVerdict], None]


@dataclass(slots=True)
class Quarantine:
    """Recent crashes known to this entry, and the standings that follow."""

    quarantine_s: float = QUARANTINE_S
    history: AttemptHistory = field(default_factory=AttemptHistory)
    _crashes: OrderedDict[str, Crash] = field(default_factory=OrderedDict)
    _blamed_s: dict[str, float] = field(default_factory=dict)
    """Time of the last crash of each blamed fingerprint."""
    _blamed_parts_s: dict[frozenset[str], float] = field(default_factory=dict)
    """Time of the last crash, by the parts that a request needs to have."""
    _released_parts: OrderedDict[frozenset[str], None] = field(
        default_factory=OrderedDict
    )
    """Parts whose quarantine is over, and whose requests were not answered since."""
    _evidence: dict[str, list[Crash]] = field(default_factory=dict)
    """Crashes of each fingerprint since it was last answered."""
    _last_crash_s: dict[str, float] = field(default_factory=dict)
    """Time of the last crash of each fingerprint and part."""
    _listeners: list[VerdictListener] = field(default_factory=list)

    def on_verdict(self, listener: VerdictListener) -> None:
        """Call `listener` with each new verdict on prompt parts."""
        self._listeners.append(listener)

    def on_crash(
        self,
        crash_id: str,
        suspects: Iterable[CrashSuspect],
        at_s: float,
        now_s: float,
        scope: Scope = ("", ""),
    ) -> bool:
        """Record a crash, or more suspects of it; return whether that is news."""
        self._remove_expired(now_s)
        if now_s - at_s > self.quarantine_s:
            return False
        in_flight = frozenset(suspects)
        known = self._crashes.get(crash_id)
        if known is not None:
            if in_flight <= known.suspects:
                return False
            at_s, in_flight = known.at_s, in_flight | known.suspects
        crash = create_crash(crash_id, scope, at_s, in_flight)
        self._crashes[crash_id] = crash
        while len(self._crashes) > CRASHES_MAX:
            self._crashes.popitem(last=False)
        self._blame_released(crash)
        self._update()
        self._log_suspects(crash, now_s)
        return True

    def on_answered(
        self, fingerprint: str, now_s: float, prompt_parts: tuple[str, ...] = ()
    ) -> None:
        """Clear a request that a target answered without crashing, and its parts."""
        traits = (fingerprint, *prompt_parts)
        was_evidence = any(
            self.history.last_answer_s(trait)
            < self._last_crash_s.get(trait, float("-inf"))
            for trait in traits
        )
        if self._is_suspect(fingerprint):
            _logger.info("request cleared", extra={"fingerprint": fingerprint})
        self.history.record_answer(traits, now_s)
        cleared = [p for p in self._blamed_parts_s if p.issubset(prompt_parts)]
        for parts in cleared:
            self._set_verdict(PartVerdict(parts, now_s, is_blamed=False))
        for parts in [p for p in self._released_parts if p.issubset(prompt_parts)]:
            del self._released_parts[parts]
        if was_evidence:
            self._update()

    def adopt_verdict(self, verdict: PartVerdict) -> None:
        """Apply the verdict of another entry unless newer evidence contradicts it."""
        if verdict.is_blamed:
            answered_s = min(map(self.history.last_answer_s, verdict.parts))
            if answered_s < verdict.at_s:
                self._set_verdict(verdict)
        elif verdict.at_s >= self._blamed_parts_s.get(verdict.parts, float("inf")):
            self.history.record_answer(verdict.parts, verdict.at_s)
            self._set_verdict(verdict)
            self._update()

    def standing(
        self, fingerprint: str, now_s: float, prompt_parts: tuple[str, ...] = ()
    ) -> tuple[Standing, float]:
        """Return a request's standing, and the time it is still refused for."""
        self._remove_expired(now_s)
        crashes_s = [
            at_s
            for parts, at_s in self._blamed_parts_s.items()
            if parts.issubset(prompt_parts)
        ]
        if fingerprint in self._blamed_s:
            crashes_s.append(self._blamed_s[fingerprint])
        if crashes_s:
            return Standing.BLAMED, max(crashes_s) + self.quarantine_s - now_s
        if self._is_suspect(fingerprint):
            return Standing.SUSPECT, 0.0
        return Standing.CLEAR, 0.0

    def list_recent(self, now_s: float) -> list[Crash]:
        """Return the crashes within the quarantine period, newest first."""
        self._remove_expired(now_s)
        return list(reversed(self._crashes.values()))

    def list_blamed_parts(self, now_s: float) -> list[PartVerdict]:
        """Return the verdicts by which requests are refused for their prompt parts."""
        self._remove_expired(now_s)
        return [
            PartVerdict(parts, at_s, is_blamed=True)
            for parts, at_s in self._blamed_parts_s.items()
        ]

    def _is_suspect(self, fingerprint: str) -> bool:
        return len(self._evidence.get(fingerprint, ())) >= SUSPECT_CRASHES_MIN

    def _blame_released(self, crash: Crash) -> None:
        """Blame parts again whose requests crash a target after their quarantine."""
        for parts in list(self._released_parts):
            if any(parts.issubset(suspect.prompt_parts) for suspect in crash.suspects):
                self._set_verdict(PartVerdict(parts, crash.at_s, is_blamed=True))

    def _set_verdict(self, verdict: PartVerdict) -> None:
        """Apply a verdict; log it and call the listeners if it changes anything."""
        known_s = self._blamed_parts_s.get(verdict.parts)
        is_change = verdict.is_blamed is (known_s is None)
        if verdict.is_blamed:
            self._blamed_parts_s[verdict.parts] = max(
                verdict.at_s, verdict.at_s if known_s is None else known_s
            )
        else:
            self._blamed_parts_s.pop(verdict.parts, None)
        if not is_change:
            return
        message = "prompt parts blamed" if verdict.is_blamed else "prompt parts cleared"
        _logger.info(message, extra={"prompt_parts": sorted(verdict.parts)})
        for listener in self._listeners:
            listener(verdict)

    def _update(self) -> None:
        """Derive evidence and blame from the crashes and the answers since."""
        part_causes = find_part_causes(
            self._crashes.values(), self._blamed_s.keys(), self.history
        )
        for cause in part_causes:
            self._set_verdict(PartVerdict(cause.parts, cause.last_s, is_blamed=True))
        unexplained = [
            crash
            for crash in self._crashes.values()
            if not self._has_blamed_parts(crash)
        ]
        self._evidence = list_evidence(unexplained, self.history)
        self._blamed_s = {
            fingerprint: crashes[-1].at_s
            for fingerprint, crashes in find_causes(unexplained, self.history).items()
        }
        self._last_crash_s = {
            trait: crash.at_s
            for crash in sorted(self._crashes.values(), key=lambda crash: crash.at_s)
            for suspect in crash.suspects
            for trait in (suspect.fingerprint, *suspect.prompt_parts)
        }

    def _has_blamed_parts(self, crash: Crash) -> bool:
        return any(
            parts.issubset(suspect.prompt_parts)
            for suspect in crash.suspects
            for parts in self._blamed_parts_s
        )

    def _log_suspects(self, crash: Crash, now_s: float) -> None:
        """Log the suspects in flight at a crash, with the number of their crashes."""
        fingerprints = sorted(suspect.fingerprint for suspect in crash.suspects)
        counts = {
            fingerprint: len(self._evidence[fingerprint])
            for fingerprint in fingerprints
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
        for parts in [
            p for p, at_s in self._blamed_parts_s.items() if at_s < horizon_s
        ]:
            del self._blamed_parts_s[parts]
            self._released_parts[parts] = None
        while len(self._released_parts) > RELEASED_PARTS_MAX:
            self._released_parts.popitem(last=False)
        expired = [c.crash_id for c in self._crashes.values() if c.at_s < horizon_s]
        if not expired:
            return
        for crash_id in expired:
            del self._crashes[crash_id]
        self._update()
