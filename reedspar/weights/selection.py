"""Which chunk to ask for next, and which neighbour: rarest first, least asked."""

import random
from collections.abc import Callable
from dataclasses import dataclass
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
    neighbour was asked for already, or None if it is not to be asked now.  One below
    zero is asked before all others, the least asked first: were all agents to ask for
    the rarest chunk, they would wait for the one cache that has it.
    Chunks from `limit` on are left out.
    """
    window = (1 << limit) - 1
    available = transfer.missing_map & transfer.table.available_map & window
    if not available:
        return None
    loads = _Loads(load_of)
    candidates: list[tuple[int, float, int]] = []
    for index in _sample(transfer, available, rng):
        if is_free(transfer.digests[index]):
            candidates.append((transfer.table.count(index), rng.random(), index))
    fallback: tuple[int, str] | None = None
    preferred: _Pull | None = None
    for _, _, index in sorted(candidates):
        best = loads.pick_least(transfer.table.holders(index), rng)
        if best is None:
            continue
        fallback = fallback or (index, best.name)
        if best.load < 0 and (preferred is None or best.load < preferred.load):
            preferred = _Pull(index, best.name, best.load)
    return fallback if preferred is None else (preferred.index, preferred.name)


@dataclass(frozen=True, slots=True)
class _Pull:
    index: int
    name: str
    load: int


@dataclass(frozen=True, slots=True)
class _Holder:
    name: str
    load: int


class _Loads:
    """What neighbours were asked for, looked up once for each."""

    def __init__(self, load_of: Callable[[str], int | None]) -> None:
        self._load_of = load_of
        self._loads: dict[str, int | None] = {}

    def pick_least(self, names: list[str], rng: random.Random) -> _Holder | None:
        """Return the neighbour that was asked for least, or None if none may be."""
        for name in names:
            if name not in self._loads:
                self._loads[name] = self._load_of(name)
        found = [
            (load, name) for name in names if (load := self._loads[name]) is not None
        ]
        if not found:
            return None
        load, _, name = min((load, rng.random(), name) for load, name in found)
        return _Holder(name, load)


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
