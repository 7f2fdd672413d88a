"""Search for the prompt parts that explain the crashes of targets.

All requests of a route may share a part, so that it is in flight at every crash.  A
part explains crashes only if it is in flight there more often than its share of the
attempts makes likely, while no attempt with it is answered.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .attempt_history import AttemptHistory, Scope
from .crashes import Crash, presence_by_chance

__all__ = ["PartCause", "find_part_causes"]

CRASHES_MIN = 4
REQUESTS_MIN = 3
"""Number of different requests with the part in flight at these crashes."""
OTHER_CRASHES_MIN = 2
"""Number of these crashes without the request that was in flight at most of them.

That request may itself be the cause."""
CHANCE_MAX = 0.001
"""Maximum probability of the observations if the part has no influence."""


@dataclass(frozen=True, slots=True)
class PartCause:
    """Prompt parts that crash targets if a request has all of them."""

    parts: frozenset[str]
    last_s: float
    """Time of the last of these crashes."""
    chance: float
    """Probability of the observations if the parts have no influence."""

    def explains(self, crash: Crash) -> bool:
        """Return whether a request with all these parts was in flight at a crash."""
        return any(self.parts.issubset(item.prompt_parts) for item in crash.suspects)


def find_part_causes(
    crashes: Iterable[Crash], history: AttemptHistory
) -> list[PartCause]:
    """Return the parts that explain the crashes, the least likely by chance first.

    What one cause explains does not count for the next.
    """
    causes: list[PartCause] = []
    remaining = sorted(crashes, key=lambda crash: crash.at_s)
    while (cause := _find_best(remaining, history)) is not None:
        causes.append(cause)
        remaining = [crash for crash in remaining if not cause.explains(crash)]
    return causes


def _find_best(crashes: Sequence[Crash], history: AttemptHistory) -> PartCause | None:
    counts = Counter(
        part
        for crash in crashes
        for part in crash.prompt_parts
        if history.last_answer_s(part) < crash.at_s
    )
    candidates = [part for part, count in counts.items() if count >= CRASHES_MIN]
    causes = [_make_cause(part, crashes, history) for part in candidates]
    found = [cause for cause in causes if cause is not None]
    return min(
        found, key=lambda cause: (cause.chance, *sorted(cause.parts)), default=None
    )


def _make_cause(
    part: str, crashes: Sequence[Crash], history: AttemptHistory
) -> PartCause | None:
    """Return the cause that `part` belongs to, None if it explains too little."""
    unanswered = [c for c in crashes if c.at_s > history.last_answer_s(part)]
    with_part = [crash for crash in unanswered if part in crash.prompt_parts]
    suspects = [s for c in with_part for s in c.suspects if part in s.prompt_parts]
    by_request = Counter(suspect.fingerprint for suspect in suspects)
    other_crashes = len(with_part) - max(by_request.values())
    if len(by_request) < REQUESTS_MIN or other_crashes < OTHER_CRASHES_MIN:
        return None
    first_s = with_part[0].at_s
    since_first = [crash for crash in unanswered if crash.at_s >= first_s]
    part_count = len({name for crash in since_first for name in crash.prompt_parts})
    # With many parts in flight, one of them is often present by chance.
    presence = [part in crash.prompt_parts for crash in since_first]
    chance = part_count * presence_by_chance(part, since_first, presence, history)
    scopes = {crash.scope for crash in with_part}
    chance *= _failures_by_chance(part, scopes, first_s, len(by_request), history)
    if chance > CHANCE_MAX:
        return None
    # Parts that all these requests have cannot be told apart, but by answers.
    common = frozenset.intersection(*(frozenset(s.prompt_parts) for s in suspects))
    sound = {other for other in common if history.last_answer_s(other) >= first_s}
    return PartCause((common - sound) | {part}, with_part[-1].at_s, chance)


def _failures_by_chance(
    part: str,
    scopes: Iterable[Scope],
    since_s: float,
    request_count: int,
    history: AttemptHistory,
) -> float:
    """Return the probability that none of the requests with a part was answered.

    It follows from the attempts without the part (Fisher's exact test).
    """
    counts = [history.count_ended_without(part, scope, since_s) for scope in scopes]
    ended = sum(count for count, _ in counts)
    answered = sum(count for _, count in counts)
    return math.comb(ended, answered) / math.comb(ended + request_count, answered)
