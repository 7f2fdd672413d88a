"""Rarest-first selection of chunks, and of their least loaded holder."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from .neighbours import iterate_bits
from .transfers import Transfer

__all__ = ["pick_request"]

CANDIDATES_MAX = 64
"""Number of chunks compared; a larger sample would hardly contain rarer ones."""
SCANNED_CHUNKS_MAX = 512


def pick_request(
    transfer: Transfer,
    may_request: Callable[[str], bool],
    load_of: Callable[[str], int | None],
    rng: random.Random,
    end_index: int,
) -> tuple[int, str] | None:
    """Return the chunk to request next and a neighbour that holds it, or None.

    `may_request` returns whether a chunk may be requested.  `load_of` returns the load
    of a neighbour, or None if it gets no requests now.  Neighbours with a negative load
    have precedence, least loaded first: if all agents requested the rarest chunk, they
    would wait for the only cache that holds it.  Chunks from index `end_index` on are
    excluded.
    """
    window_map = (1 << end_index) - 1
    available = transfer.missing_map & transfer.table.available_map & window_map
    if not available:
        return None
    loads = _Loads(load_of)
    candidates: list[tuple[int, float, int]] = []
    for index in _sample(transfer, available, rng):
        if may_request(transfer.digests[index]):
            candidates.append((transfer.table.count(index), rng.random(), index))
    fallback: tuple[int, str] | None = None
    preferred: _Candidate | None = None
    for _, _, index in sorted(candidates):
        best = loads.pick_least(transfer.table.holders(index), rng)
        if best is None:
            continue
        fallback = fallback or (index, best.name)
        if best.load < 0 and (preferred is None or best.load < preferred.load):
            preferred = _Candidate(index, best.name, best.load)
    return fallback if preferred is None else (preferred.index, preferred.name)


@dataclass(frozen=True, slots=True)
class _Candidate:
    index: int
    name: str
    load: int


@dataclass(frozen=True, slots=True)
class _Holder:
    name: str
    load: int


class _Loads:
    """Loads of neighbours, each looked up once."""

    def __init__(self, load_of: Callable[[str], int | None]) -> None:
        self._load_of = load_of
        self._loads: dict[str, int | None] = {}

    def pick_least(self, names: list[str], rng: random.Random) -> _Holder | None:
        """Return the least loaded neighbour that gets requests, or None."""
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
    """Return a random sample of the available chunks that are missing."""
    if available.bit_count() <= CANDIDATES_MAX:
        return list(iterate_bits(available))
    missing = transfer.missing
    start = rng.randrange(len(missing))
    chosen: list[int] = []
    for offset in range(min(len(missing), SCANNED_CHUNKS_MAX)):
        index = missing[(start + offset) % len(missing)]
        if available >> index & 1:
            chosen.append(index)
            if len(chosen) >= CANDIDATES_MAX:
                break
    return chosen or list(islice(iterate_bits(available), CANDIDATES_MAX))
