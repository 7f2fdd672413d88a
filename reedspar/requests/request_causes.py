"""Search for the requests that explain the crashes of targets.

A request that an entry tries again stands at several crashes without being their cause.
So what counts is how often it came from its caller and was at a crash.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from .answer_history import AnswerHistory
from .crash_records import Cause, Crash, presence_by_chance

__all__ = ["ARRIVALS_MIN", "Evidence", "find_causes", "list_evidence"]

ARRIVALS_MIN = 3
"""Number of arrivals from which a fingerprint may explain crashes, whatever was beside.

Each of them was at a crash of its own."""
SOLE_ARRIVALS_MIN = 2
"""The same if no other request was in flight at one of them."""
CHANCE_MAX = 0.05
"""Maximum probability of its crashes if the request has no influence."""
UNKNOWN_CHANCE_MAX = 0.1
"""The same where hardly anything is known of what is usual."""

Evidence = dict[str, list[Crash]]
"""Crashes of each fingerprint since it was last answered, in the order of time."""


def find_causes(
    crashes: Iterable[Crash],
    history: AnswerHistory,
    part_causes: Sequence[Cause] = (),
    *,
    is_strict: bool = False,
) -> Evidence:
    """Return the fingerprints that explain the crashes, each with its crashes.

    Where targets fall one after the other, requests that are tried again are in flight
    at several crashes as well.  The fingerprint that is there least likely by chance
    explains these, and the others must explain what remains.  What prompt parts explain
    counts for requests with these parts alone.

    Unless `is_strict`, a request that was alone at all its crashes counts at each of
    them, and one need not be that unusual where hardly anything is known; both may
    change with the next report.
    """
    causes: Evidence = {}
    remaining = list(crashes)
    while found := _find_best(remaining, history, part_causes, is_strict):
        causes |= found
        explained = {crash.crash_id for ids in found.values() for crash in ids}
        remaining = [crash for crash in remaining if crash.crash_id not in explained]
    return causes


def list_evidence(
    crashes: Iterable[Crash], history: AnswerHistory, part_causes: Sequence[Cause] = ()
) -> Evidence:
    """Return the crashes of each fingerprint since it was last answered."""
    found: defaultdict[str, list[Crash]] = defaultdict(list)
    for crash in sorted(crashes, key=lambda crash: crash.at_s):
        explaining = [cause for cause in part_causes if cause.explains(crash)]
        fingerprints = {
            item.fingerprint
            for item in crash.suspects
            if not explaining
            or any(c.matches(item.fingerprint, item.prompt_parts) for c in explaining)
        }
        for fingerprint in sorted(fingerprints):
            if history.last_answer_s(fingerprint) < crash.at_s:
                found[fingerprint].append(crash)
    return dict(found)


def _find_best(
    crashes: Sequence[Crash],
    history: AnswerHistory,
    part_causes: Sequence[Cause],
    is_strict: bool,
) -> Evidence:
    """Return the fingerprints least likely by chance, if they are a cause."""
    evidence = list_evidence(crashes, history, part_causes)
    arrivals = {
        name: len(found)
        if not is_strict and all(map(_has_one, found))
        else _count_arrivals(name, found)
        for name, found in evidence.items()
    }
    candidates = {
        name: found
        for name, found in evidence.items()
        if arrivals[name] >= SOLE_ARRIVALS_MIN
    }
    if not candidates:
        return {}
    unexplained = [
        crash
        for crash in crashes
        if not any(cause.explains(crash) for cause in part_causes)
    ]
    chances = {
        name: _chance_of(name, found, unexplained, history)
        for name, found in candidates.items()
    }
    causes = {
        name: found
        for name, found in candidates.items()
        if (not is_strict and all(map(_has_one, found)))
        or chances[name] <= _chance_max(found, history, is_strict)
    }
    proven = [name for name in causes if arrivals[name] >= ARRIVALS_MIN]
    if proven:
        least = min(chances[name] for name in proven)
        return {name: causes[name] for name in proven if chances[name] == least}
    return {name: found for name, found in causes.items() if any(map(_has_one, found))}


def _count_arrivals(fingerprint: str, found: Sequence[Crash]) -> int:
    """Return how often a request came from its caller and was at a crash of its own."""
    arrivals = {
        suspect.arrival or crash.crash_id
        for crash in found
        for suspect in crash.suspects
        if suspect.fingerprint == fingerprint
    }
    return min(len(arrivals), len(found))


def _chance_of(
    fingerprint: str,
    found: Sequence[Crash],
    unexplained: Sequence[Crash],
    history: AnswerHistory,
) -> float:
    """Return the probability that a request without influence is at these crashes."""
    found_ids = {crash.crash_id for crash in found}
    others = [
        crash
        for crash in unexplained
        if crash.at_s >= found[0].at_s and crash.crash_id not in found_ids
    ]
    presence = [True] * len(found) + [False] * len(others)
    return presence_by_chance(fingerprint, [*found, *others], presence, history)


def _chance_max(
    found: Sequence[Crash], history: AnswerHistory, is_strict: bool
) -> float:
    """Return the probability up to which a request may be a cause of crashes."""
    is_known = is_strict or all(history.knows_usual(crash.scope) for crash in found)
    return CHANCE_MAX if is_known else UNKNOWN_CHANCE_MAX


def _has_one(crash: Crash) -> bool:
    """Return whether one request alone was in flight at a crash."""
    return len({suspect.fingerprint for suspect in crash.suspects}) == 1
