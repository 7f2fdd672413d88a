"""Search for the prompt parts that explain the crashes of targets.

All requests of a route may share a part, so that it is in flight at every crash.  A
part explains crashes only if it is in flight there more often than its share of the
other requests makes likely, and no attempt with it was answered since.

A request that comes again, or is tried again, crashes targets by itself, or is broken
off by another.  So it is evidence on its parts once, at the first of its crashes; where
it is tried again and alone in flight, there as well.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass

from reedspar.attempts import CrashSuspect

from .answer_history import AnswerHistory
from .crash_records import Cause, Crash, presence_by_chance

__all__ = ["PartCause", "find_part_causes"]

CRASHES_MIN = 4
REQUESTS_MIN = 3
"""Number of different requests with the part in flight at these crashes."""
SPAN_MIN_S = 0.3
"""Time from the first of these crashes to the last.

Targets that end at once may have many requests of any kind in flight together."""
CHANCE_MAX = 0.001
"""Maximum probability of the observations if the part has no influence."""

UNKNOWN_CHANCE_MAX = 0.0001
"""The same where few answers are known, so that shares are taken from the crashes."""


@dataclass(frozen=True, slots=True)
class PartCause:
    """Prompt parts that explain crashes."""

    cause: Cause
    last_s: float
    """Time of the last of these crashes."""
    chance: float
    """Probability of the observations if the parts have no influence."""


@dataclass(frozen=True, slots=True)
class _Known:
    first_crashes: Mapping[str, Crash]
    """First crash of each fingerprint."""
    blamed: Set[str]
    history: AnswerHistory


def find_part_causes(
    crashes: Iterable[Crash], blamed: Set[str], history: AnswerHistory
) -> list[PartCause]:
    """Return the parts that explain the crashes, the least likely by chance first.

    What one cause explains does not count for the next, and what a blamed request
    explains counts neither for nor against the parts that it lacks.
    """
    causes: list[PartCause] = []
    remaining = sorted(crashes, key=lambda crash: crash.at_s)
    known = _Known(_list_first_crashes(remaining), blamed, history)
    while (best := _find_best(remaining, known)) is not None:
        causes.append(best)
        remaining = [crash for crash in remaining if not best.cause.explains(crash)]
    return causes


def _list_first_crashes(crashes: Iterable[Crash]) -> dict[str, Crash]:
    """Return the first crash of each fingerprint; crashes are in order."""
    found: dict[str, Crash] = {}
    for crash in crashes:
        for suspect in crash.suspects:
            found.setdefault(suspect.fingerprint, crash)
    return found


def _find_best(crashes: Sequence[Crash], known: _Known) -> PartCause | None:
    counts = Counter(
        part
        for crash in crashes
        for part in crash.prompt_parts
        if known.history.last_answer_s(part) < crash.at_s
    )
    candidates = [part for part, count in counts.items() if count >= CRASHES_MIN]
    causes = [_make_cause(part, crashes, known) for part in candidates]
    found = [cause for cause in causes if cause is not None]
    return min(
        found,
        key=lambda item: (item.chance, *sorted(item.cause.prompt_parts)),
        default=None,
    )


def _make_cause(part: str, crashes: Sequence[Crash], known: _Known) -> PartCause | None:
    """Return the cause that `part` belongs to, None if it explains too little."""
    history = known.history
    counted = [
        crash
        for crash in crashes
        if crash.at_s > history.last_answer_s(part)
        and not _is_explained(part, crash, known)
    ]
    with_part = [crash for crash in counted if part in crash.prompt_parts]
    suspects = [s for c in with_part for s in c.suspects if part in s.prompt_parts]
    if len(with_part) < CRASHES_MIN:
        return None
    if len({suspect.fingerprint for suspect in suspects}) < REQUESTS_MIN:
        return None
    first_s = with_part[0].at_s
    if with_part[-1].at_s - first_s < SPAN_MIN_S:
        return None
    pools = {pool for pool, _ in (crash.scope for crash in with_part)}
    since_first = [
        crash for crash in counted if crash.at_s >= first_s and crash.scope[0] in pools
    ]
    part_count = len({name for crash in since_first for name in crash.prompt_parts})
    # With many parts in flight, one of them is often present by chance.
    presence = [part in crash.prompt_parts for crash in since_first]
    chance = part_count * presence_by_chance(part, since_first, presence, history)
    is_known = all(history.knows_shares(crash.scope) for crash in with_part)
    if chance > (CHANCE_MAX if is_known else UNKNOWN_CHANCE_MAX):
        return None
    # Parts that all these requests have cannot be told apart, but by answers.
    common = frozenset.intersection(*(frozenset(s.prompt_parts) for s in suspects))
    sound = {other for other in common if history.last_answer_s(other) >= first_s}
    cause = Cause(prompt_parts=(common - sound) | {part})
    return PartCause(cause, with_part[-1].at_s, chance)


def _is_explained(part: str, crash: Crash, known: _Known) -> bool:
    """Return whether a crash tells nothing new of the part.

    A request with the part was at an earlier crash as well, or a blamed one lacks it.
    """
    return any(
        _is_repeated(suspect, crash, known.first_crashes[suspect.fingerprint])
        if part in suspect.prompt_parts
        else suspect.fingerprint in known.blamed
        for suspect in crash.suspects
    )


def _is_repeated(suspect: CrashSuspect, crash: Crash, first: Crash) -> bool:
    """Return whether a request at a crash is no evidence beyond its first crash."""
    if crash.crash_id == first.crash_id:
        return False
    is_tried_again = bool(suspect.arrival) and suspect in first.suspects
    return not (is_tried_again and len(crash.suspects) == 1)
