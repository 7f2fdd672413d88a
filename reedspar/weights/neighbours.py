"""Neighbours of an agent, and the chunks of a version that they hold."""

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

RING_DISTANCES = 5
CACHE_NEIGHBOURS_MAX = 4
"""Maximum number of caches among the neighbours; each holds a part of a version."""
NEIGHBOUR_IDLE_TIMEOUT_S = 3.0
"""Neighbours without a new chunk for this time are not waited for."""
REQUEST_LOOKAHEAD_CHUNKS = 64
"""Number of chunks from its first missing one that a neighbour may request soon."""
NEIGHBOURS_MAX = 20
"""Includes neighbours from an older view, and peers whose view differs."""


@dataclass(slots=True)
class Neighbour:
    """A neighbour's maps with one bit per chunk, and their sequence numbers."""

    name: str
    is_source: bool = True
    """False if the neighbour receives announcements but gets no requests."""
    held: int = 0
    obtained: int = 0
    has_answered: bool = False
    sent_sequence: int = 0
    received_sequence: int = 0
    last_gain_s: float = 0.0
    map_requested_s: float = 0.0

    @property
    def first_missing(self) -> int:
        """Return the lowest index of a missing chunk."""
        lacking = ~self.obtained
        return (lacking & -lacking).bit_length() - 1

    def is_progressing(self, now_s: float) -> bool:
        """Return whether the neighbour has recently obtained a chunk."""
        return now_s - self.last_gain_s < NEIGHBOUR_IDLE_TIMEOUT_S


class HaveTable:
    """The neighbours of an agent, and the number of holders of each chunk."""

    def __init__(self, chunk_count: int) -> None:
        self._chunk_count = chunk_count
        self._counts = [0] * chunk_count
        self._neighbours: dict[str, Neighbour] = {}
        self._seen = 0
        self._available = 0

    @property
    def available_map(self) -> int:
        """Return the map of chunks that any neighbour holds."""
        return self._available

    @property
    def neighbours(self) -> dict[str, Neighbour]:
        """Return the neighbours by name."""
        return self._neighbours

    @property
    def full_map(self) -> int:
        """Return the map with all chunks of the version."""
        return (1 << self._chunk_count) - 1

    @property
    def seen_map(self) -> int:
        """Return the map of chunks that any neighbour has ever obtained or held."""
        return self._seen

    @property
    def requested_map(self) -> int | None:
        """Return the chunks that requesting agents lack; None if none has requested."""
        requesting = [n for n in self._neighbours.values() if not n.is_source]
        if not requesting:
            return None
        lacked = 0
        for neighbour in requesting:
            lacked |= self.full_map & ~neighbour.obtained
        return lacked

    @property
    def has_unanswered_source(self) -> bool:
        """Return whether a possible source has not answered yet."""
        neighbours = self._neighbours.values()
        return any(n.is_source and not n.has_answered for n in neighbours)

    def count(self, index: int) -> int:
        """Return the number of neighbours that hold a chunk."""
        return self._counts[index]

    def holders(self, index: int) -> list[str]:
        """Return the neighbours that hold a chunk."""
        bit = 1 << index
        return [n.name for n in self._neighbours.values() if n.held & bit]

    def is_needed(self, index: int, now_s: float) -> bool:
        """Return whether an active neighbour lacks a chunk and may request it soon."""
        bit = 1 << index
        return any(
            not neighbour.obtained & bit
            and index < neighbour.first_missing + REQUEST_LOOKAHEAD_CHUNKS
            for neighbour in self._neighbours.values()
            if neighbour.is_progressing(now_s)
        )

    def slowest_position(self, first: int, lookahead: int, now_s: float) -> int:
        """Return the minimum of the first missing chunks of this agent and neighbours.

        `first` is the first missing chunk of this agent.  Neighbours that are idle or
        more than `lookahead` chunks behind are ignored.
        """
        positions = [
            neighbour.first_missing
            for neighbour in self._neighbours.values()
            if neighbour.has_answered and neighbour.is_progressing(now_s)
        ]
        return min(
            [position for position in positions if position >= first - lookahead]
            + [first]
        )

    def add(self, name: str, *, is_source: bool = True) -> Neighbour | None:
        """Return a neighbour, added if necessary; None if there are too many."""
        neighbour = self._neighbours.get(name)
        if neighbour is None and len(self._neighbours) < NEIGHBOURS_MAX:
            neighbour = self._neighbours[name] = Neighbour(name, is_source)
        return neighbour

    def remove(self, name: str) -> None:
        """Remove a neighbour."""
        neighbour = self._neighbours.pop(name, None)
        if neighbour is not None:
            self._recount(neighbour.held, 0)

    def set_maps(
        self, neighbour: Neighbour, held: int, obtained: int, now_s: float
    ) -> None:
        """Replace the maps of a neighbour."""
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
        """Apply changes; return whether a chunk was seen for the first time."""
        seen_before = self._seen
        for index in gained:
            if index < self._chunk_count:
                self._add_chunk(neighbour, index, now_s)
        for index in dropped:
            bit = 1 << index
            if neighbour.held & bit:
                neighbour.held &= ~bit
                self._change_count(index, -1)
        return self._seen != seen_before

    def _add_chunk(self, neighbour: Neighbour, index: int, now_s: float) -> None:
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
    """Yield the indexes of the set bits."""
    while value:
        lowest = value & -value
        yield lowest.bit_length() - 1
        value ^= lowest


def encode_map(value: int, chunk_count: int) -> bytes:
    """Return a map in its wire format."""
    return value.to_bytes((chunk_count + 7) // 8, "little")


def decode_map(data: bytes) -> int:
    """Return a map from its wire format."""
    return int.from_bytes(data, "little")


def choose_neighbours(
    me: str, root_digest: str, names: Iterable[str], caches: Iterable[str] = ()
) -> list[str]:
    """Return the agents whose maps to request, starting with some of the caches.

    The agents form a ring in the order of a hash, and the distances to an agent's
    neighbours grow by a constant factor.  All agents therefore have equally many
    neighbours and requests, and any two agents are connected by few hops.
    """
    ranking = sorted(
        names, key=lambda name: (rendezvous_score(root_digest, name), name)
    )
    position = ranking.index(me)
    others = [name for name in caches if name != me]
    chosen = rank_by_rendezvous(me, others)[:CACHE_NEIGHBOURS_MAX]
    for i in range(RING_DISTANCES):
        distance = round(len(ranking) ** (i / RING_DISTANCES))
        chosen.append(ranking[(position + distance) % len(ranking)])
        chosen.append(ranking[(position - distance) % len(ranking)])
    return [name for name in dict.fromkeys(chosen) if name != me]
