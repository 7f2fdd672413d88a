"""Records of crashes of targets, and the probability of what was in flight there."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import fmean

from reedspar.attempts import CrashSuspect

from .answer_history import AnswerHistory, Scope

__all__ = ["Cause", "Crash", "create_crash", "presence_by_chance"]


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a target, and the requests in flight at it."""

    crash_id: str
    scope: Scope
    at_s: float
    suspects: frozenset[CrashSuspect]
    prompt_parts: frozenset[str]
    """Parts of all these requests."""


@dataclass(frozen=True, slots=True)
class Cause:
    """What requests that crash targets share: a fingerprint, or prompt parts."""

    fingerprint: str = ""
    prompt_parts: frozenset[str] = frozenset()
    """Parts that a request needs to have, all of them; empty with a fingerprint."""

    @property
    def traits(self) -> frozenset[str]:
        """Return the fingerprint or the parts."""
        return frozenset({self.fingerprint}) if self.fingerprint else self.prompt_parts

    def matches(self, fingerprint: str, prompt_parts: Iterable[str]) -> bool:
        """Return whether a request has this in common with others."""
        if self.fingerprint:
            return fingerprint == self.fingerprint
        return self.prompt_parts.issubset(prompt_parts)

    def explains(self, crash: Crash) -> bool:
        """Return whether such a request was in flight at a crash."""
        return any(
            self.matches(item.fingerprint, item.prompt_parts) for item in crash.suspects
        )


def create_crash(
    crash_id: str, scope: Scope, at_s: float, suspects: frozenset[CrashSuspect]
) -> Crash:
    """Create the record of a crash."""
    parts = frozenset(part for suspect in suspects for part in suspect.prompt_parts)
    return Crash(crash_id, scope, at_s, suspects, parts)


def presence_by_chance(
    trait: str,
    crashes: Sequence[Crash],
    presence: Sequence[bool],
    history: AnswerHistory,
) -> float:
    """Return the probability that a trait is in flight at so many of the crashes.

    A trait is a fingerprint or a prompt part; `presence` tells at which crashes it was.
    Its share is that among the answered attempts, and among the requests in flight
    beside the one that would be the cause.  For a fingerprint it is the larger of both:
    what many callers have just begun to send alike is not answered yet.
    """
    count = sum(presence)
    beside = sum(len(crash.suspects) for crash in crashes) - count
    beside_with = sum(_count_with(trait, crash) for crash in crashes) - count
    is_request = any(
        trait == item.fingerprint for crash in crashes for item in crash.suspects
    )
    share_min = (beside_with + 1) / (beside + 2) if is_request and beside_with else 0.0
    likely = [
        1
        - (
            1
            - max(share_min, history.share_of(trait, crash.scope, beside_with, beside))
        )
        ** len(crash.suspects)
        for crash in crashes
    ]
    return _binomial_tail(count, len(crashes), fmean(likely))


def _count_with(trait: str, crash: Crash) -> int:
    return sum(
        trait == item.fingerprint or trait in item.prompt_parts
        for item in crash.suspects
    )


def _binomial_tail(successes: int, trials: int, probability: float) -> float:
    """Return the probability of at least so many successes."""
    return sum(
        math.comb(trials, count)
        * probability**count
        * (1 - probability) ** (trials - count)
        for count in range(successes, trials + 1)
    )
