"""Search for the prompt parts that explain the crashes of targets.

All requests of a route may share a part, so that it is in flight at every crash.  A
part explains crashes only if it is in flight there more often than its share of the
answered attempts makes likely, and no attempt with it was answered since.
"""

from collections import Counter
from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass

from .answer_history import AnswerHistory
from .crash_records import Cause, Crash, presence_by_chance

__all__ = ["PartCause", "find_part_causes"]

CRASHES_MIN = 4
REQUESTS_MIN = 3
"""Number of different requests with the part in flight at these crashes."""
OTHER_CRASHES_MIN = 2
"""Number of these crashes without the request that was in flight at most of them.

That request may itself be the cause."""
SPAN_MIN_S = 0.3
"""Time from the first of these crashes to the last.

Targets that end at once may have many requests of any kind in flight together."""
CHANCE_MAX = 0.001
"""Maximum probability of the observations if the part has no influence."""


@dataclass(frozen=True, slots=True)
class PartCause:
    """Prompt parts that explain crashes."""

    cause: Cause
    last_s: float
    """Time of the last of these crashes."""
    chance: float
    """Probability of the observations if the parts have no influence."""


def find_part_causes(
    crashes: Iterable[Crash], blamed: Set[str], history: AnswerHistory
) -> list[PartCause]:
    """Return the parts that explain the crashes, the least likely by chance first.

    What one cause explains does not count for the next, and what a blamed request
    explains counts only for its own parts.
    """
    causes: list[PartCause] = []
    remaining = sorted(crashes, key=lambda crash: crash.at_s)
    while (best := _find_best(remaining, blamed, history)) is not None:
        causes.append(best)
        remaining = [crash for crash in remaining if not best.cause.explains(crash)]
    return causes


def _find_best(
    crashes: Sequence[Crash], blamed: Set[str], history: AnswerHistory
) -> PartCause | None:
    counts = Counter(
        part
        for crash in crashes
        for part in crash.prompt_parts
        if history.last_answer_s(part) < crash.at_s
    )
    candidates = [part for part, count in counts.items() if count >= CRASHES_MIN]
    causes = [_make_cause(part, crashes, blamed, history) for part in candidates]
    found = [cause for cause in causes if cause is not None]
    return min(
        found,
        key=lambda item: (item.chance, *sorted(item.cause.prompt_parts)),
        default=None,
    )


def _make_cause(
    part: str, crashes: Sequence[Crash], blamed: Set[str], history: AnswerHistory
) -> PartCause | None:
    """Return the cause that `part` belongs to, None if it explains too little."""
    unanswered = [
        crash
        for crash in crashes
        if crash.at_s > history.last_answer_s(part)
        and not _is_explained_without(part, crash, blamed)
    ]
    with_part = [crash for crash in unanswered if part in crash.prompt_parts]
    if len(with_part) < CRASHES_MIN:
        return None
    suspects = [s for c in with_part for s in c.suspects if part in s.prompt_parts]
    by_request = Counter(suspect.fingerprint for suspect in suspects)
    other_crashes = len(with_part) - max(by_request.values())
    if len(by_request) < REQUESTS_MIN or other_crashes < OTHER_CRASHES_MIN:
        return None
    first_s = with_part[0].at_s
    if with_part[-1].at_s - first_s < SPAN_MIN_S:
        return None
    pools = {pool for pool, _ in (crash.scope for crash in with_part)}
    since_first = [
        crash
        for crash in unanswered
        if crash.at_s >= first_s and crash.scope[0] in pools
    ]
    part_count = len({name for crash in since_first for name in crash.prompt_parts})
    # With many parts in flight, one of them is often present by chance.
    presence = [part in crash.prompt_parts for crash in since_first]
    chance = part_count * presence_by_chance(part, since_first, presence, history)
    if chance > CHANCE_MAX:
        return None
    # Parts that all these requests have cannot be told apart, but by answers.
    common = frozenset.intersection(*(frozenset(s.prompt_parts) for s in suspects))
    sound = {other for other in common if history.last_answer_s(other) >= first_s}
    cause = Cause(prompt_parts=(common - sound) | {part})
    return PartCause(cause, with_part[-1].at_s, chance)


def _is_explained_without(part: str, crash: Crash, blamed: Set[str]) -> bool:
    """Return whether blamed requests were in flight, and none of them has the part."""
    explaining = [item for item in crash.suspects if item.fingerprint in blamed]
    return bool(explaining) and all(
        part not in item.prompt_parts for item in explaining
    )
