"""Which requests are among an admitted fraction, and when a refused one will be."""

import hashlib
from dataclasses import dataclass

from .demand import TURN_S

__all__ = ["Place", "find_place", "retry_after_s"]

TURN_STEP = 0.6180339887498949
"""Part of all places by which a turn moves each of them.

Multiples of the golden ratio are spread evenly and never repeat, so each place comes
below any threshold after about as few turns as possible."""
PLACE_RANGE = 2.0**32
TURNS_MAX = 3
"""Most turns that a refused caller of the least urgent rank is asked to wait."""
LATEST_FRACTION_OF_TIME_LEFT = 0.3
"""Longest retry delay by the caller's time left.

Callers wait for a retry at most a third of their time."""
RETRY_MIN_S = 0.1
RETRY_SPREAD_BEGIN = 0.1
RETRY_SPREAD = 0.6
"""Part of a turn over which those whose turn it is are spread, and where it begins.

What is left at both ends allows for entries whose turns change at slightly different
times."""


@dataclass(frozen=True, slots=True)
class Place:
    """Place of a request among all in the present turn, from 0 to below 1."""

    value: float
    spread: float
    """Number from 0 to below 1 that spreads retries, equal at every entry."""

    def is_below(self, threshold: float) -> bool:
        """Return whether the request is among the admitted fraction."""
        return self.value < threshold

    def turns_until_below(self, threshold: float, turns_max: int) -> int:
        """Return the number of turns until the place is below, `turns_max` at most."""
        for turns in range(1, turns_max):
            if (self.value + turns * TURN_STEP) % 1.0 < threshold:
                return turns
        return turns_max


def find_place(fingerprint: str, turn: int) -> Place:
    """Return the place of a request, which is the same in every process."""
    digest = hashlib.blake2b(fingerprint.encode(), digest_size=8).digest()
    first = int.from_bytes(digest[:4], "big") / PLACE_RANGE
    spread = int.from_bytes(digest[4:], "big") / PLACE_RANGE
    return Place((first + turn * TURN_STEP) % 1.0, spread)


def retry_after_s(
    place: Place, threshold: float, rank: int, turn_age_s: float, time_left_s: float
) -> float:
    """Return the time until a refused request's place is reached.

    It is never more than is useful to the caller, and less for the more urgent.
    """
    turns = place.turns_until_below(threshold, min(TURNS_MAX, 1 + rank))
    spread_s = TURN_S * (RETRY_SPREAD_BEGIN + RETRY_SPREAD * place.spread)
    until_s = turns * TURN_S - min(turn_age_s, TURN_S) + spread_s
    latest_s = LATEST_FRACTION_OF_TIME_LEFT * time_left_s * (1 - place.spread / 3)
    return max(RETRY_MIN_S, min(until_s, latest_s))
