"""Chunks that peers have asked this agent to get."""

from collections.abc import Callable, Mapping

from .fetches import Fetch, FetchBook, PeerBook
from .limits import SwarmLimits
from .memory import ChunkMemory
from .placement import Placement
from .transfers import Transfer

__all__ = ["RequestedChunks", "StartDraw"]

REQUESTED_MAX = 256

StartDraw = Callable[[Fetch, int, Placement, float], bool]


class RequestedChunks:
    """Get what peers wait for, from holders, keepers, or by a draw."""

    def __init__(
        self,
        limits: SwarmLimits,
        fetches: FetchBook,
        peers: PeerBook,
        memory: ChunkMemory,
        start_draw: StartDraw,
    ) -> None:
        self._limits = limits
        self._fetches = fetches
        self._peers = peers
        self._memory = memory
        self._start_draw = start_draw
        self._transfers: dict[str, Transfer] = {}
        self._due_s = 0.0

    @property
    def count(self) -> int:
        """Return how many chunks peers wait for."""
        return len(self._transfers)

    def note_asked(
        self,
        transfer: Transfer,
        placement: Placement,
        digest: str,
        now_s: float,
        *,
        is_near: bool,
    ) -> None:
        """Take up a chunk that a peer asks this agent to get, unless it is coming.

        A peer of the own region asks only once the usual way has failed it; one
        of another region asks ahead, for what the swarm here will bring.
        """
        index = transfer.index_of.get(digest)
        if index is None or len(self._transfers) >= REQUESTED_MAX:
            return
        is_moving = now_s - transfer.progress_s < self._limits.seek_s
        is_own = (
            transfer.is_missing(index) if placement.pulls else index in transfer.draws
        )
        is_coming = is_own and is_moving
        if is_near or not is_coming:
            self._transfers[digest] = transfer

    def run(self, placements: Mapping[str, Placement], now_s: float) -> None:
        """Get the chunks that peers have asked this agent to get."""
        if now_s < self._due_s:
            return
        self._due_s = now_s + self._limits.busy_s
        for digest, transfer in list(self._transfers.items()):
            if digest in self._memory:
                del self._transfers[digest]
            elif not self._fetches.is_blocked(digest, now_s):
                placement = placements[transfer.model]
                self._get(transfer, placement, digest, now_s)

    def end(self, digest: str) -> None:
        """Note that a chunk is there."""
        self._transfers.pop(digest, None)

    def forget(self, transfer: Transfer) -> None:
        """Drop the chunks of a version."""
        for digest, owner in list(self._transfers.items()):
            if owner is transfer:
                del self._transfers[digest]

    def _get(
        self, transfer: Transfer, placement: Placement, digest: str, now_s: float
    ) -> None:
        index = transfer.index_of[digest]
        fetch = self._fetches.ensure(digest, transfer.sizes[digest])
        timeout_s = self._limits.request_timeout_s
        holders = [
            name
            for name in transfer.table.holders(index)
            if not self._peers.is_avoided(name, now_s)
        ]
        if holders:
            peer = holders[fetch.attempts % len(holders)]
            self._fetches.ask(fetch, peer, now_s, timeout_s)
            return
        keepers = placement.keepers(digest)[: self._limits.copies_per_region]
        others = [name for name in keepers if name != placement.me]
        if fetch.attempts < len(others):
            self._fetches.ask(fetch, others[fetch.attempts], now_s, timeout_s)
        else:
            self._start_draw(fetch, index, placement, now_s)
