"""Detection of requests that crash targets, by their fingerprints and prompt parts.

A fingerprint that was in flight at two crashes is a suspect, and is not retried.  It is
blamed if it explains crashes that nothing else explains better, and a prompt part if
requests that have it explain them together.  An answer clears both, because a request
that crashes every target is never answered; so does a better explanation.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, auto

from reedspar.attempts import CrashSuspect

from .answer_history import AnswerHistory, AnswerShares, Scope
from .crash_ledger import CrashLedger
from .crash_records import Cause, Crash, create_crash

__all__ = ["Crash", "Quarantine", "Standing", "Verdict"]

QUARANTINE_S = 300.0
"""How long a cause of crashes is refused after its last crash."""
RELEASED_MAX = 64
"""Maximum number of causes remembered whose quarantine is over, or that another cause
replaced."""
SETTLE_S = 0.3
"""Age of a crash from which all entries have reported what they had in flight there."""
REPLACED_MARGIN_S = 1.0
"""Time after a replaced cause's last crash up to which other entries' blame is stale.

Ages of verdicts grow less than the time that they take from entry to entry."""
SUSPECT_CRASHES_MIN = 2
"""Number of crashes that make a fingerprint a suspect."""

_logger = logging.getLogger(__name__)


class Standing(Enum):
    """Whether a request runs normally, runs without a retry or is refused."""

    CLEAR = auto()
    SUSPECT = auto()
    BLAMED = auto()


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether requests crash targets, by what they have in common."""

    cause: Cause
    at_s: float
    """Time of the last crash or answer that the verdict follows from."""
    is_blamed: bool
    is_replaced: bool = False
    """Whether it is cleared since another cause explains the crashes."""


VerdictListener = Callable[[Verdict], None]


@dataclass(slots=True)
class Quarantine:
    """Recent crashes known to this entry, and the standings that follow."""

    quarantine_s: float = QUARANTINE_S
    history: AnswerHistory = field(default_factory=AnswerHistory)
    _ledger: CrashLedger = field(init=False)
    _blamed_s: dict[Cause, float] = field(default_factory=dict)
    """Time of the last crash of each cause, by verdicts that hold until an answer."""
    _tentative_s: dict[str, float] = field(default_factory=dict)
    """Time of the last crash of each fingerprint that explains the crashes so far.

    Other entries may yet report what else was in flight there."""
    _released: OrderedDict[Cause, None] = field(default_factory=OrderedDict)
    """Causes whose quarantine is over, and whose requests were not answered since."""
    _replaced_s: OrderedDict[Cause, float] = field(default_factory=OrderedDict)
    """Time of the last crash of each cause that a better one replaced."""
    _settles_s: float = float("inf")
    """Time from which the next crash is reported by all entries."""
    _listeners: list[VerdictListener] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._ledger = CrashLedger(self.history)

    def on_verdict(self, listener: VerdictListener) -> None:
        """Call `listener` with each new verdict."""
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
        self._apply_time(now_s)
        if now_s - at_s > self.quarantine_s:
            return False
        in_flight = frozenset(suspects)
        known = self._ledger.find(crash_id)
        if known is not None:
            if in_flight <= known.suspects:
                return False
            at_s, in_flight = known.at_s, in_flight | known.suspects
        crash = create_crash(crash_id, scope, at_s, in_flight)
        self._ledger.record(crash)
        self._settles_s = min(self._settles_s, now_s + SETTLE_S)
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
            < self._ledger.last_crash_s.get(trait, float("-inf"))
            for trait in traits
        )
        if self._is_suspect(fingerprint):
            _logger.info("request cleared", extra={"fingerprint": fingerprint})
        self.history.record_last_answer(traits, now_s)
        for cause in [*self._blamed_s, *self._released]:
            if cause.matches(fingerprint, prompt_parts):
                self._set_verdict(Verdict(cause, now_s, is_blamed=False))
        if was_evidence:
            self._update()

    def adopt_shares(self, entry: str, shares: Mapping[Scope, AnswerShares]) -> None:
        """Judge the crashes by another entry's answers as well."""
        known = {scope for scope in shares if self.history.knows_shares(scope)}
        for scope, item in shares.items():
            self.history.adopt_shares(entry, scope, item)
        if any(map(self.history.knows_shares, shares.keys() - known)):
            self._update()

    def adopt_verdict(self, verdict: Verdict) -> Verdict | None:
        """Apply the verdict of another entry unless newer evidence contradicts it.

        Return the verdict that replaced it before, which that entry has missed.
        """
        if not verdict.cause.traits:
            # A cause that names nothing would match every request.
            _logger.warning("verdict names no cause of crashes")
            return None
        if verdict.is_blamed:
            return self._adopt_blame(verdict)
        elif verdict.at_s >= self._blamed_s.get(verdict.cause, float("inf")):
            if verdict.is_replaced:
                self._adopt_replacement(verdict)
                return None
            self.history.record_last_answer(verdict.cause.traits, verdict.at_s)
            self._set_verdict(verdict)
            self._update()
        return None

    def standing(
        self, fingerprint: str, now_s: float, prompt_parts: tuple[str, ...] = ()
    ) -> tuple[Standing, float]:
        """Return a request's standing, and the time it is still refused for."""
        self._apply_time(now_s)
        crashes_s = [
            at_s
            for cause, at_s in self._blamed_s.items()
            if cause.matches(fingerprint, prompt_parts)
        ]
        if fingerprint in self._tentative_s:
            crashes_s.append(self._tentative_s[fingerprint])
        if crashes_s:
            return Standing.BLAMED, max(crashes_s) + self.quarantine_s - now_s
        if self._is_suspect(fingerprint):
            return Standing.SUSPECT, 0.0
        return Standing.CLEAR, 0.0

    def list_recent(self, now_s: float) -> list[Crash]:
        """Return the crashes within the quarantine period, newest first."""
        self._apply_time(now_s)
        return self._ledger.list_recent()

    def list_blamed(self, now_s: float) -> list[Verdict]:
        """Return the verdicts by which requests are refused."""
        self._apply_time(now_s)
        return [
            Verdict(cause, at_s, is_blamed=True)
            for cause, at_s in self._blamed_s.items()
        ]

    def list_replaced(self, now_s: float) -> list[Verdict]:
        """Return the verdicts that another cause replaced within the quarantine."""
        horizon_s = now_s - self.quarantine_s
        return [
            Verdict(cause, at_s, is_blamed=False, is_replaced=True)
            for cause, at_s in self._replaced_s.items()
            if at_s >= horizon_s and cause not in self._blamed_s
        ]

    def _is_suspect(self, fingerprint: str) -> bool:
        return len(self._ledger.evidence.get(fingerprint, ())) >= SUSPECT_CRASHES_MIN

    def _adopt_blame(self, verdict: Verdict) -> Verdict | None:
        """Apply another entry's blame unless an answer or a replacement is newer.

        Return the replacement if there is one.
        """
        cause = verdict.cause
        answered_s = min(map(self.history.last_answer_s, cause.traits))
        replaced_s = self._replaced_s.get(cause, float("-inf")) + REPLACED_MARGIN_S
        if verdict.at_s > max(answered_s, replaced_s):
            is_new = cause not in self._blamed_s
            self._set_verdict(verdict)
            if is_new:
                self._update()
        elif verdict.at_s <= replaced_s:
            return replace(verdict, is_blamed=False, is_replaced=True)
        return None

    def _adopt_replacement(self, verdict: Verdict) -> None:
        """Clear what another entry explains better, unless crashes here prove it."""
        if not self._ledger.proves(verdict.cause):
            self._set_verdict(verdict)
            self._update()

    def _blame_released(self, crash: Crash) -> None:
        """Blame a cause again that crashes a target after its quarantine."""
        for cause in [cause for cause in self._released if cause.explains(crash)]:
            self._set_verdict(Verdict(cause, crash.at_s, is_blamed=True))

    def _set_verdict(self, verdict: Verdict) -> None:
        """Apply a verdict; log it and call the listeners if it changes anything."""
        cause = verdict.cause
        known_s = self._blamed_s.get(cause)
        is_change = verdict.is_blamed is (known_s is None)
        if verdict.is_blamed:
            self._blamed_s[cause] = max(verdict.at_s, known_s or verdict.at_s)
        else:
            self._blamed_s.pop(cause, None)
            self._released.pop(cause, None)
        if verdict.is_replaced:
            self._remember_replaced(verdict)
        if not is_change:
            return
        _logger.info(
            "cause of crashes %s",
            _describe(verdict),
            extra={
                "fingerprint": cause.fingerprint,
                "prompt_parts": sorted(cause.prompt_parts),
            },
        )
        for listener in self._listeners:
            listener(verdict)

    def _remember_replaced(self, verdict: Verdict) -> None:
        self._replaced_s[verdict.cause] = verdict.at_s
        self._replaced_s.move_to_end(verdict.cause)
        while len(self._replaced_s) > RELEASED_MAX:
            self._replaced_s.popitem(last=False)

    def _update(self) -> None:
        """Derive evidence and blame from the crashes and the answers since."""
        for found in self._ledger.find_parts(self._blamed_s):
            self._set_verdict(Verdict(found.cause, found.last_s, is_blamed=True))
        for replaced in self._ledger.find_replaced(list(self._blamed_s)):
            at_s = max(replaced.last_s, self._blamed_s[replaced.cause])
            verdict = Verdict(replaced.cause, at_s, is_blamed=False, is_replaced=True)
            self._set_verdict(verdict)
        self._ledger.find_requests(self._list_blamed_parts())
        self._tentative_s = {
            fingerprint: found_at[-1].at_s
            for fingerprint, found_at in self._ledger.requests.items()
        }

    def _list_blamed_parts(self) -> list[Cause]:
        return [cause for cause in self._blamed_s if cause.prompt_parts]

    def _blame_settled(self, now_s: float) -> None:
        """Blame the requests that explain the crashes that all have reported."""
        horizon_s = now_s - SETTLE_S
        parts = self._list_blamed_parts()
        for found in self._ledger.find_settled(horizon_s, parts):
            self._set_verdict(Verdict(found.cause, found.last_s, is_blamed=True))
        self._settles_s = self._ledger.next_unsettled_s(horizon_s) + SETTLE_S

    def _log_suspects(self, crash: Crash, now_s: float) -> None:
        """Log the suspects in flight at a crash, with the number of their crashes."""
        fingerprints = sorted({suspect.fingerprint for suspect in crash.suspects})
        counts = {
            fingerprint: len(self._ledger.evidence[fingerprint])
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
                "blamed": sorted(self._tentative_s.keys() & counts.keys()),
            },
        )

    def _apply_time(self, now_s: float) -> None:
        """Release what has expired, and judge crashes that are settled by now."""
        horizon_s = now_s - self.quarantine_s
        for cause in [c for c, at_s in self._blamed_s.items() if at_s < horizon_s]:
            del self._blamed_s[cause]
            self._released[cause] = None
        while len(self._released) > RELEASED_MAX:
            self._released.popitem(last=False)
        if self._ledger.remove_older(horizon_s):
            self._update()
        if now_s >= self._settles_s:
            self._blame_settled(now_s)


def _describe(verdict: Verdict) -> str:
    if verdict.is_replaced:
        return "replaced"
    return "blamed" if verdict.is_blamed else "cleared"
