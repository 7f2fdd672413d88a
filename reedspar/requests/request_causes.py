"""Search for the requests that explain the crashes of targets."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from .answer_history import AnswerHistory
from .crash_records import Crash, presence_by_chance

__all__ = ["CRASHES_MIN", "find_causes", "list_evidence"]

CRASHES_MIN = 3
"""Number of crashes from which a fingerprint may explain them, whatever was beside."""
SOLE_CRASHES_MIN = 2
"""The same if no other request was in flight at one of them."""
CHANCE_MAX = 0.05
"""Maximum probability of its crashes if the request has no influence."""

Evidence = dict[str, list[Crash]]
"""Crashes of each fingerprint since it was last answered, in the order of time."""


def find_causes(crashes: Iterable[Crash], history: AnswerHistory) -> Evidence:
    """Return the fingerprints that explain the crashes, each with its crashes.

    Where targets fall one after the other, requests that are tried again are in flight
    at several crashes as well.  The fingerprint at most of them explains these, and the
    others must explain what remains.
    """
    causes: Evidence = {}
    remaining = list(crashes)
    while found := _find_best(remaining, history):
        causes |= found
        explained = {crash.crash_id for ids in found.values() for crash in ids}
        remaining = [crash for crash in remaining if crash.crash_id not in explained]
    return causes


def list_evidence(crashes: Iterable[Crash], history: AnswerHistory) -> Evidence:
    """Return the crashes of each fingerprint since it was last answered."""
    found: defaultdict[str, list[Crash]] = defaultdict(list)
    for crash in sorted(crashes, key=lambda crash: crash.at_s):
        for fingerprint in {suspect.fingerprint for suspect in crash.suspects}:
            if history.last_answer_s(fingerprint) < crash.at_s:
                found[fingerprint].append(crash)
    return dict(found)


def _find_best(crashes: Sequence[Crash], history: AnswerHistory) -> Evidence:
    """Return the fingerprints at most crashes, if these are enough to be the cause."""
    causes = {
        fingerprint: found
        for fingerprint, found in list_evidence(crashes, history).items()
        if len(found) >= SOLE_CRASHES_MIN
        and _is_unusual(fingerprint, found, crashes, history)
    }
    most = max(map(len, causes.values()), default=0)
    if most >= CRASHES_MIN:
        return {name: found for name, found in causes.items() if len(found) == most}
    return {
        fingerprint: found
        for fingerprint, found in causes.items()
        if any(map(_has_one_suspect, found))
    }


def _is_unusual(
    fingerprint: str,
    found: Sequence[Crash],
    crashes: Sequence[Crash],
    history: AnswerHistory,
) -> bool:
    """Return whether a request is at more crashes than its share makes likely."""
    if not all(history.knows_usual(crash.scope) for crash in found):
        return True
    since_first = [crash for crash in crashes if crash.at_s >= found[0].at_s]
    found_ids = {crash.crash_id for crash in found}
    presence = [crash.crash_id in found_ids for crash in since_first]
    chance = presence_by_chance(fingerprint, since_first, presence, history)
    return chance <= CHANCE_MAX


def _has_one_suspect(crash: Crash) -> bool:
    return len({suspect.fingerprint for suspect in crash.suspects}) == 1
