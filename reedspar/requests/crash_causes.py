"""Search for the requests that explain the crashes of targets."""

from collections import defaultdict
from collections.abc import Mapping, Set

__all__ = ["CRASHES_MIN", "find_causes", "list_crashes"]

CRASHES_MIN = 3
"""Number of crashes from which a fingerprint may explain them, whatever was beside."""
SOLE_CRASHES_MIN = 2
"""The same if no other request was in flight at one of them."""


def find_causes(crashes: Mapping[str, Set[str]]) -> dict[str, frozenset[str]]:
    """Return the fingerprints that explain the crashes, each with its crashes.

    `crashes` maps crash ids to the fingerprints in flight.  Where targets fall one
    after the other, requests that are tried again are in flight at several crashes as
    well.  The fingerprint at most of them explains these, and the others must explain
    what remains.
    """
    causes: dict[str, frozenset[str]] = {}
    remaining = dict(crashes)
    while found := _find_best(remaining):
        causes |= found
        explained = frozenset().union(*found.values())
        remaining = {
            crash_id: fingerprints
            for crash_id, fingerprints in remaining.items()
            if crash_id not in explained
        }
    return causes


def list_crashes(crashes: Mapping[str, Set[str]]) -> dict[str, frozenset[str]]:
    """Return the crashes at which each fingerprint was in flight."""
    found: defaultdict[str, set[str]] = defaultdict(set)
    for crash_id, fingerprints in crashes.items():
        for fingerprint in fingerprints:
            found[fingerprint].add(crash_id)
    return {fingerprint: frozenset(ids) for fingerprint, ids in found.items()}


def _find_best(crashes: Mapping[str, Set[str]]) -> dict[str, frozenset[str]]:
    """Return the fingerprints at most crashes, if these are enough to be the cause."""
    by_fingerprint = list_crashes(crashes)
    most = max(map(len, by_fingerprint.values()), default=0)
    if most >= CRASHES_MIN:
        return {name: ids for name, ids in by_fingerprint.items() if len(ids) == most}
    sole = [next(iter(names)) for names in crashes.values() if len(names) == 1]
    return {
        name: by_fingerprint[name]
        for name in sole
        if len(by_fingerprint[name]) >= SOLE_CRASHES_MIN
    }
