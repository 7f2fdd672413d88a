"""Chunks that peers have asked this agent to fetch."""

from collections.abc import Callable, Mapping

from .fetches import Fetch, FetchTable, PeerBackoff
from .limits import SwarmLimits
from .memory import ChunkMemory
from .placement import Placement
from .transfers import Transfer

__all__ = ["RequestedChunks", "StartFetch"]

REQUESTED_CHUNKS_MAX = 256

StartFetch = Callable[[Fetch, int, Placement, float], bool]


class RequestedChunks:
    """Fetches requested chunks from holders, replicas, or remotely."""

    def __init__(
        self,
        limits: SwarmLimits,
        fetches: FetchTable,
        peers: PeerBackoff,
        memory: ChunkMemory,
        start_remote_fetch: StartFetch,
    ) -> None:
        self._limits = limits
        self._fetches = fetches
        self._peers = peers
        self._memory = memory
        self._start_remote_fetch = start_remote_fetch
        self._transfers: dict[str, Transfer] = {}
        self._due_s = 0.0

    @property
    def count(self) -> int:
        """Return the number of requested chunks."""
        return len(self._transfers)

    def add(
        self,
        transfer: Transfer,
        placement: Placement,
        digest: str,
        now_s: float,
        *,
        is_same_region: bool,
    ) -> None:
        """Add a chunk requested by a peer, unless it is already being fetched.

        A peer of the same region sends such a request only after its other fetches have
        failed.  A peer of another region requests chunks in advance that this region
        will fetch anyway.
        """
        index = transfer.index_of.get(digest)
        if index is None or len(self._transfers) >= REQUESTED_CHUNKS_MAX:
            return
        is_progressing = (
            now_s - transfer.progress_s < self._limits.no_progress_timeout_s
        )
        is_own = (
            transfer.is_missing(index)
            if placement.fetches_all
            else index in transfer.assigned
        )
        is_being_fetched = is_own and is_progressing
        if is_same_region or not is_being_fetched:
            self._transfers[digest] = transfer

    def run(self, placements: Mapping[str, Placement], now_s: float) -> None:
        """Fetch the requested chunks, if due."""
        if now_s < self._due_s:
            return
        self._due_s = now_s + self._limits.retry_delay_s
        for digest, transfer in list(self._transfers.items()):
            if digest in self._memory:
                del self._transfers[digest]
            elif not self._fetches.is_blocked(digest, now_s):
                placement = placements[transfer.model]
                self._fetch(transfer, placement, digest, now_s)

    def remove(self, digest: str) -> None:
        """Remove a chunk that is now in memory."""
        self._transfers.pop(digest, None)

    def remove_version(self, transfer: Transfer) -> None:
        """Remove the chunks of a version."""
        for digest, owner in list(self._transfers.items()):
            if owner is transfer:
                del self._transfers[digest]

    def _fetch(
        self, transfer: Transfer, placement: Placement, digest: str, now_s: float
    ) -> None:
        index = transfer.index_of[digest]
        fetch = self._fetches.get_or_create(
            digest, transfer.sizes[digest], transfer.manifest.sequence
        )
        timeout_s = self._limits.request_timeout_s
        holders = [
            name
            for name in transfer.table.holders(index)
            if not self._peers.is_avoided(name, now_s)
        ]
        if holders:
            peer = holders[fetch.attempts % len(holders)]
            self._fetches.start_request(fetch, peer, now_s, timeout_s)
            return
        replicas = placement.replicas(digest)[: self._limits.copies_per_region]
        others = [name for name in replicas if name != placement.me]
        if fetch.attempts < len(others):
            self._fetches.start_request(fetch, others[fetch.attempts], now_s, timeout_s)
        else:
            self._start_remote_fetch(fetch, index, placement, now_s)
