"""Random samples of bounded size."""

import random
from collections.abc import Sequence
from typing import TypeVar

__all__ = ["sample_up_to"]

ItemT = TypeVar("ItemT")


def sample_up_to(
    rng: random.Random, items: Sequence[ItemT], count_max: int
) -> list[ItemT]:
    """Return `count_max` different items drawn at random, or all if there are fewer."""
    return rng.sample(items, min(count_max, len(items)))
