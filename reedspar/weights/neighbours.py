"""What an agent and its neighbours hold of one version."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from reedspar.utils import rank_by_rendezvous, rendezvous_score

__all__ = [
    "HaveTable",
    "Neighbour",
    "choose_neighbours",
    "decode_map",
    "encode_map",
    "iterate_bits",
]

NEIGHBOUR_DISTANCES = 5
CACHES_ASKED = 4
"""Caches among an agent's neighbours, at most; each holds a part of a version."""
STILL_AFTER_S = 3.0
"""A neighbour that has gained nothing for so long is not waited for."""
SOON = 64
"""Chunks ahead of its first missing one that a neighbour is expected to ask for."""
NEIGHBOUR_LIMIT = 20
"""Also those of an older view, and of a peer whose view differs."""


@dataclass(slots=True)
class Neighbour:
    """A neighbour's maps, one bit per chunk, and the order of their changes."""

    name: str
    is_source: bool = True
    """False for one that is told what is here, but asked for nothing."""
    held: int = 0
    obtained: int = 0
    has_answered: bool = False
    sent_sequence: int = 0
    seen_sequence: int = 0
    last_gain_s: float = 0.0
    asked_s: float = 0.0

    @property
    def first_missing(self) -> int:
        """Return the lowest chunk that it lacks."""
        lacking = ~self.obtained
        return (lacking & -lacking).bit_length() - 1

    def is_moving(self, now_s: float) -> bool:
        """Tell whether it has gained a chunk of late."""
        return now_s - self.last_gain_s < STILL_AFTER_S


class HaveTable:
    """The neighbours, and how many of them hold each chunk."""

    def __init__(self, chunk_count: int) -> None:
        self._chunk_count = chunk_count
        self._counts = [0] * chunk_count
        self._neighbours: dict[str, Neighbour] = {}
        self._seen = 0
        self._available = 0

    @property
    def available_map(self) -> int:
        """Return the chunks that some neighbour holds."""
        return self._available

    @property
    def neighbours(self) -> dict[str, Neighbour]:
        """Return the neighbours by name."""
        return self._neighbours

    @property
    def full_map(self) -> int:
        """Return the map of a whole version."""
        return (1 << self._chunk_count) - 1

    @property
    def seen_map(self) -> int:
        """Return the chunks that some neighbour has ever obtained or held."""
        return self._seen

    @property
    def lacked_map(self) -> int | None:
        """Return the chunks that agents lack that ask here; None if none has asked."""
        asking = [n for n in self._neighbours.values() if not n.is_source]
        if not asking:
            return None
        lacked = 0
        for neighbour in asking:
            lacked |= self.full_map & ~neighbour.obtained
        return lacked

    @property
    def has_silent_source(self) -> bool:
        """Tell whether a neighbour that may hold chunks has not answered yet."""
        neighbours = self._neighbours.values()
        return any(n.is_source and not n.has_answered for n in neighbours)

    def count(self, index: int) -> int:
        """Return how many neighbours hold a chunk."""
        return self._counts[index]

    def holders(self, index: int) -> list[str]:
        """Return the neighbours that hold a chunk."""
        bit = 1 << index
        return [n.name for n in self._neighbours.values() if n.held & bit]

    def is_needed(self, index: int, now_s: float) -> bool:
        """Tell whether a neighbour that gets on still lacks a chunk, and will soon."""
        bit = 1 << index
        return any(
            not neighbour.obtained & bit and index < neighbour.first_missing + SOON
            for neighbour in self._neighbours.values()
            if neighbour.is_moving(now_s)
        )

    def slowest(self, first: int, reach: int, now_s: float) -> int:
        """Return the lowest first missing chunk of this agent and its neighbours.

        `first` is this agent's.  A neighbour that does not get on, or lies
        further behind than this agent's `reach`, is not waited for.
        """
        places = [
            neighbour.first_missing
            for neighbour in self._neighbours.values()
            if neighbour.has_answered and neighbour.is_moving(now_s)
        ]
        return min([place for place in places if place >= first - reach] + [first])

    def add(self, name: str, *, is_source: bool = True) -> Neighbour | None:
        """Return a neighbour, made if there is room for it."""
        neighbour = self._neighbours.get(name)
        if neighbour is None and len(self._neighbours) < NEIGHBOUR_LIMIT:
            neighbour = self._neighbours[name] = Neighbour(name, is_source)
        return neighbour

    def remove(self, name: str) -> None:
        """Forget a neighbour that is gone."""
        neighbour = self._neighbours.pop(name, None)
        if neighbour is not None:
            self._recount(neighbour.held, 0)

    def set_maps(
        self, neighbour: Neighbour, held: int, obtained: int, now_s: float
    ) -> None:
        """Take a neighbour's whole maps."""
        held &= self.full_map if neighbour.is_source else 0
        if held & ~neighbour.held or not neighbour.has_answered:
            neighbour.last_gain_s = now_s
        self._recount(neighbour.held, held)
        neighbour.held = held
        neighbour.obtained = obtained & self.full_map
        neighbour.has_answered = True
        if neighbour.is_source:
            self._seen |= held | neighbour.obtained

    def update(
        self,
        neighbour: Neighbour,
        gained: Iterable[int],
        dropped: Iterable[int],
        now_s: float,
    ) -> bool:
        """Take changes; tell whether a chunk was seen for the first time."""
        seen_before = self._seen
        for index in gained:
            if index < self._chunk_count:
                self._gain(neighbour, index, now_s)
        for index in dropped:
            bit = 1 << index
            if neighbour.held & bit:
                neighbour.held &= ~bit
                self._change_count(index, -1)
        return self._seen != seen_before

    def _gain(self, neighbour: Neighbour, index: int, now_s: float) -> None:
        bit = 1 << index
        neighbour.obtained |= bit
        neighbour.last_gain_s = now_s
        if not neighbour.is_source:
            return
        if not neighbour.held & bit:
            self._change_count(index, 1)
        neighbour.held |= bit
        self._seen |= bit

    def _recount(self, before: int, after: int) -> None:
        for index in iterate_bits(before ^ after):
            self._change_count(index, 1 if after >> index & 1 else -1)

    def _change_count(self, index: int, change: int) -> None:
        self._counts[index] += change
        if self._counts[index] == 0:
            self._available &= ~(1 << index)
        elif change > 0:
            self._available |= 1 << index


def iterate_bits(value: int) -> Iterator[int]:
    """Yield the indexes of the bits that are set."""
    while value:
        lowest = value & -value
        yield lowest.bit_length() - 1
        value ^= lowest


def encode_map(value: int, chunk_count: int) -> bytes:
    """Return a map as it goes over the wire."""
    return value.to_bytes((chunk_count + 7) // 8, "little")


def decode_map(data: bytes) -> int:
    """Return a map as it came over the wire."""
    return int.from_bytes(data, "little")


def choose_neighbours(
    me: str, root_digest: str, names: Iterable[str], caches: Iterable[str] = ()
) -> list[str]:
    """Return the agents whose maps to ask for; some of the caches come first.

    The agents form a ring in the order of a hash, and each one's neighbours
    lie at distances that grow by a constant factor.  So all have as many, any
    two are few steps apart, and no agent is asked for more than the others.
    """
    ring = sorted(names, key=lambda name: (rendezvous_score(root_digest, name), name))
    place = ring.index(me)
    others = [name for name in caches if name != me]
    chosen = rank_by_rendezvous(me, others)[:CACHES_ASKED]
    for i in range(NEIGHBOUR_DISTANCES):
        distance = round(len(ring) ** (i / NEIGHBOUR_DISTANCES))
        chosen.append(ring[(place + distance) % len(ring)])
        chosen.append(ring[(place - distance) % len(ring)])
    return [name for name in dict.fromkeys(chosen) if name != me]
