"""How far an agent has come with the chunks of one version."""

import random

from .manifest import Manifest
from .neighbours import HaveTable
from .placement import Placement

__all__ = ["Transfer"]

ANNOUNCEMENTS_PER_COPY = 80
"""Batches of changes told to a neighbour while a copy crosses the slowest link.

At 150 they took 3% of a link of 3.65 Mbit/s that is to be full of chunks."""
ANNOUNCE_MIN_S = 0.01
ANNOUNCE_MAX_S = 0.25


class Transfer:
    """The chunks of a version: which are missing, held, and this agent's to draw.

    A chunk that occurs at several places of the manifest counts once here.
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
        self.draws: list[int] = []
        self.draw_share = 0.0
        """Part of what is missing that is this agent's to draw."""
        self.idle_since_s: float | None = None
        """Since when nothing is left of what is this agent's to draw."""
        self.written_s = float("-inf")
        """When progress was last written to the log."""
        self.started_s = 0.0
        self.progress_s = 0.0
        self.gained: set[int] = set()
        self.dropped: set[int] = set()
        self.flush_at_s = 0.0
        self.size_bytes = manifest.size_bytes
        self.missing_map = 0
        self.seek_at_s = 0.0
        copy_s = self.size_bytes / slowest_bytes_per_s
        interval_s = copy_s / ANNOUNCEMENTS_PER_COPY
        self.announce_interval_s = min(max(interval_s, ANNOUNCE_MIN_S), ANNOUNCE_MAX_S)
        self._rng = rng
        self._missing: list[int] = []
        self._places: dict[int, int] = {}
        self._first = 0

    @property
    def is_complete(self) -> bool:
        """Tell whether nothing more is to be got."""
        return not self.is_wanted or not self._missing

    @property
    def missing(self) -> list[int]:
        """Return the chunks still to be got, in random order."""
        return self._missing

    @property
    def missing_bytes(self) -> int:
        """Return the size of the chunks still to be got."""
        return sum(self.sizes[self.digests[index]] for index in self._missing)

    def want(self, now_s: float) -> None:
        """Get every chunk, also those that were got before."""
        self.is_wanted = True
        self.started_s = now_s
        self.progress_s = now_s
        self.obtained = 0
        self._first = 0
        self.missing_map = self.table.full_map
        self._missing = list(range(len(self.digests)))
        self._rng.shuffle(self._missing)
        self._places = {index: place for place, index in enumerate(self._missing)}

    def is_missing(self, index: int) -> bool:
        """Tell whether a chunk is still to be got."""
        return index in self._places

    def needs(self, digest: str) -> bool:
        """Tell whether a chunk of that digest is still to be got."""
        index = self.index_of.get(digest)
        return index is not None and index in self._places

    def first_missing(self) -> int:
        """Return the lowest chunk still to be got."""
        while self._first < len(self.digests) and self._first not in self._places:
            self._first += 1
        return self._first

    def mark_ready(self, index: int, is_held: bool, now_s: float) -> None:
        """Note that a chunk is there."""
        bit = 1 << index
        self.obtained |= bit
        self.progress_s = now_s
        if is_held and not self.held & bit:
            self.held |= bit
            self.gained.add(index)
            self.dropped.discard(index)
        place = self._places.pop(index, None)
        if place is not None:
            self.missing_map &= ~bit
            last = self._missing.pop()
            if last != index:
                self._missing[place] = last
                self._places[last] = place

    def mark_evicted(self, digest: str) -> None:
        """Note that a chunk can't be asked for any more."""
        index = self.index_of.get(digest)
        if index is None or not self.held & 1 << index:
            return
        # A gain that was not told yet stays to be told.  Otherwise the neighbours
        # would take the chunk for one that is lacked here, and wait for it.
        self.held &= ~(1 << index)
        self.dropped.add(index)

    def note_progress(self, now_s: float) -> None:
        """Note that a new chunk has shown up in the neighbourhood."""
        self.progress_s = now_s

    def assign(self, placement: Placement) -> None:
        """Learn which chunks are this agent's to draw, the first one last."""
        me = placement.me
        self.draws = [
            index
            for index in sorted(self._missing, reverse=True)
            if placement.drawer(index) == me
        ]
        self.draw_share = len(self.draws) / max(1, len(self._missing))
