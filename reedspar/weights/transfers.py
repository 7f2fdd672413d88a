"""Transfer state of the chunks of a version at an agent."""

import random

from .manifest import Manifest
from .neighbours import HaveTable
from .placement import Placement

__all__ = ["Transfer", "rank_chunk", "rank_of_object"]

ANNOUNCEMENTS_PER_COPY = 80
"""Announcements to a neighbour during the transfer of a version over the slowest link.

With 150, they would use 3% of a link of 3.65 Mbit/s, which chunks should fill."""
ANNOUNCE_INTERVAL_MIN_S = 0.01
ANNOUNCE_INTERVAL_MAX_S = 0.25


class Transfer:
    """The missing, held and assigned chunks of a version.

    A chunk that occurs at several indexes of the manifest counts once.
    """

    def __init__(
        self, manifest: Manifest, slowest_bytes_per_s: float, rng: random.Random
    ) -> None:
        self.manifest = manifest
        self.model = manifest.model
        self.root_digest = manifest.root_digest
        self.sizes = {c.digest: c.size_bytes for c in manifest.chunks}
        self.digests = list(self.sizes)
        self.index_of = {digest: i for i, digest in enumerate(self.digests)}
        self.table = HaveTable(len(self.digests))
        self.held = 0
        self.obtained = 0
        self.is_wanted = False
        self.asked_from_afar_s = float("-inf")
        """When another region last asked for a chunk."""
        self.assigned: list[int] = []
        self.assigned_share = 0.0
        """Share of the missing chunks that is assigned to this agent."""
        self.idle_since_s: float | None = None
        """Time since which no assigned chunk is left to fetch, or None."""
        self.logged_s = float("-inf")
        """Time of the last progress message in the log."""
        self.started_s = 0.0
        self.progress_s = 0.0
        self.gained: set[int] = set()
        self.dropped: set[int] = set()
        self.flush_at_s = 0.0
        self.size_bytes = manifest.size_bytes
        self.missing_map = 0
        self.replica_fetch_at_s = 0.0
        copy_s = self.size_bytes / slowest_bytes_per_s
        interval_s = copy_s / ANNOUNCEMENTS_PER_COPY
        self.announce_interval_s = min(
            max(interval_s, ANNOUNCE_INTERVAL_MIN_S), ANNOUNCE_INTERVAL_MAX_S
        )
        self._rng = rng
        self._missing: list[int] = []
        self._positions: dict[int, int] = {}
        self._first = 0

    @property
    def is_complete(self) -> bool:
        """Return whether no chunks remain to be fetched."""
        return not self.is_wanted or not self._missing

    @property
    def missing(self) -> list[int]:
        """Return the missing chunks in random order."""
        return self._missing

    @property
    def missing_bytes(self) -> int:
        """Return the total size of the missing chunks."""
        return sum(self.sizes[self.digests[index]] for index in self._missing)

    def start(self, now_s: float) -> None:
        """Start to fetch every chunk, including those obtained before."""
        self.is_wanted = True
        self.started_s = now_s
        self.progress_s = now_s
        self.obtained = 0
        self._first = 0
        self.missing_map = self.table.full_map
        self._missing = list(range(len(self.digests)))
        self._rng.shuffle(self._missing)
        self._positions = {
            index: position for position, index in enumerate(self._missing)
        }

    def is_missing(self, index: int) -> bool:
        """Return whether the chunk at an index is missing."""
        return index in self._positions

    def needs(self, digest: str) -> bool:
        """Return whether the chunk with a digest is missing."""
        index = self.index_of.get(digest)
        return index is not None and index in self._positions

    def first_missing(self) -> int:
        """Return the lowest index of a missing chunk."""
        while self._first < len(self.digests) and self._first not in self._positions:
            self._first += 1
        return self._first

    def mark_obtained(self, index: int, is_held: bool, now_s: float) -> None:
        """Record that a chunk was obtained."""
        bit = 1 << index
        self.obtained |= bit
        self.progress_s = now_s
        if is_held and not self.held & bit:
            self.held |= bit
            self.gained.add(index)
            self.dropped.discard(index)
        position = self._positions.pop(index, None)
        if position is not None:
            self.missing_map &= ~bit
            last = self._missing.pop()
            if last != index:
                self._missing[position] = last
                self._positions[last] = position

    def mark_evicted(self, digest: str) -> None:
        """Record that a chunk was evicted from memory."""
        index = self.index_of.get(digest)
        if index is None or not self.held & 1 << index:
            return
        # The chunk stays in `gained` if it was not announced yet.  Otherwise the
        # neighbours would assume that this agent lacks it and wait for it.
        self.held &= ~(1 << index)
        self.dropped.add(index)

    def record_progress(self, now_s: float) -> None:
        """Record that a neighbour has announced a new chunk."""
        self.progress_s = now_s

    def record_request_from_afar(self, digest: str, now_s: float) -> None:
        """Record that another region has asked for a chunk."""
        if digest in self.index_of:
            self.asked_from_afar_s = now_s

    def update_assignment(self, placement: Placement) -> None:
        """Update the chunks assigned to this agent, in descending order."""
        me = placement.me
        self.assigned = [
            index
            for index in sorted(self._missing, reverse=True)
            if placement.assigned_agent(index) == me
        ]
        self.assigned_share = len(self.assigned) / max(1, len(self._missing))


def rank_of_object(digest: str, transfers: list[Transfer]) -> int:
    """Return the position of the first transfer that needs an object, else 0."""
    ranks = (i for i, transfer in enumerate(transfers) if transfer.needs(digest))
    return next(ranks, 0)


def rank_chunk(
    transfer: Transfer, digest: str, placement: Placement, copies: int, now_s: float
) -> tuple[bool, bool, bool, int]:
    """Return the eviction rank of a chunk; the lowest is evicted first."""
    index = transfer.index_of[digest]
    is_kept = placement.me in placement.replicas(digest)[:copies]
    is_needed = transfer.table.is_needed(index, now_s)
    return True, is_needed, is_kept, -transfer.table.count(index)
