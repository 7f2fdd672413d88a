"""Which chunk to ask for next, and which neighbour: rarest first, least asked."""

import random
from collections.abc import Callable
from itertools import islice

from .neighbours import iterate_bits
from .transfers import Transfer

__all__ = ["pick_pull"]

SAMPLE = 64
"""Chunks compared; among more, the rarest differ little."""
SCAN_LIMIT = 512


def pick_pull(
    transfer: Transfer,
    is_free: Callable[[str], bool],
    load_of: Callable[[str], int | None],
    rng: random.Random,
    limit: int,
) -> tuple[int, str] | None:
    """Return a chunk and a neighbour that holds it, or None if there is none now.

    `is_free` tells whether a chunk may be asked for; `load_of` gives what a
    neighbour was asked for already, or None if it is not to be asked now.
    Chunks from `limit` on are left out.
    """
    window = (1 << limit) - 1
    available = transfer.missing_map & transfer.table.available_map & window
    if not available:
        return None
    loads: dict[str, int | None] = {}
    candidates: list[tuple[int, float, int]] = []
    for index in _sample(transfer, available, rng):
        if is_free(transfer.digests[index]):
            candidates.append((transfer.table.count(index), rng.random(), index))
    for _, _, index in sorted(candidates):
        best: tuple[int, float, str] | None = None
        for name in transfer.table.holders(index):
            if name not in loads:
                loads[name] = load_of(name)
            load = loads[name]
            if load is None:
                continue
            choice = (load, rng.random(), name)
            if best is None or choice < best:
                best = choice
        if best is not None:
            return index, best[2]
    return None


def _sample(transfer: Transfer, available: int, rng: random.Random) -> list[int]:
    """Return some of the available chunks that are still to be got."""
    if available.bit_count() <= SAMPLE:
        return list(iterate_bits(available))
    missing = transfer.missing
    start = rng.randrange(len(missing))
    chosen: list[int] = []
    for offset in range(min(len(missing), SCAN_LIMIT)):
        index = missing[(start + offset) % len(missing)]
        if available >> index & 1:
            chosen.append(index)
            if len(chosen) >= SAMPLE:
                break
    return chosen or list(islice(iterate_bits(available), SAMPLE))
