"""Requests for chunks to neighbours, caches first, within a window."""

import random

from .fetches import ORIGIN, Fetch, FetchTable, PeerBackoff, Request
from .limits import SwarmLimits
from .placement import Placement
from .selection import pick_request
from .transfers import Transfer

__all__ = ["NeighbourFetcher"]

ORIGIN_LINK_RATIO = 2.0
"""Assumed ratio of the origin's link to the link of a target machine."""
REMOTE_CHUNK_TIMEOUT_S = 0.3
"""Remote fetches count as stalled if none completes in this time (usual: 0.1 s).

Reads from an unavailable origin may stay open for seconds.  Without requests to
neighbours in that time, the chunks that the region holds would not spread."""


class NeighbourFetcher:
    """Decides on requests to neighbours."""

    def __init__(
        self,
        limits: SwarmLimits,
        fetches: FetchTable,
        peers: PeerBackoff,
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._fetches = fetches
        self._peers = peers
        self._rng = rng
        self._last_remote_chunk_s = float("-inf")

    def record_remote_chunk(self, now_s: float) -> None:
        """Record that a chunk from the origin or another region was received."""
        self._last_remote_chunk_s = now_s

    def fetch(self, transfer: Transfer, placement: Placement, now_s: float) -> None:
        """Request chunks from neighbours until the window is full."""
        if not placement.fetches_all:
            return
        limits = self._limits
        window_end = limits.window_end(transfer, now_s)
        window = self._window(transfer, placement, now_s)
        while self._count_open(transfer) < window:
            choice = pick_request(
                transfer,
                lambda digest: self._may_request(transfer, digest, now_s),
                lambda name: self._load_of(name, placement, now_s),
                self._rng,
                window_end,
            )
            if choice is None:
                return
            index, peer = choice
            if not self._request_chunk(transfer, index, peer, now_s):
                return

    def _count_open(self, transfer: Transfer) -> int:
        sequence = transfer.manifest.sequence
        return self._fetches.count_competing("", sequence, may_draw=False)

    def _may_request(self, transfer: Transfer, digest: str, now_s: float) -> bool:
        """Return whether a chunk that a neighbour holds may be requested now.

        A request may wait at a replica that does not hold the chunk itself, for example
        since an outage of the origin.
        """
        if not self._fetches.is_blocked(digest, now_s):
            return True
        waiting_at = self._fetches.list_waiting_at(digest)
        if not waiting_at:
            return False
        holders = transfer.table.holders(transfer.index_of[digest])
        return not any(peer in holders for peer in waiting_at)

    def _window(self, transfer: Transfer, placement: Placement, now_s: float) -> int:
        """Return the maximum number of open requests to neighbours.

        If few agents read from the origin, their reads have precedence while they make
        progress: the origin may become unavailable, while neighbours can exchange the
        chunks of the region at any time.
        """
        limits = self._limits
        if placement.all_regions_read_origin or not self._fetches.open_count(ORIGIN):
            return limits.same_region_window
        if (
            not transfer.assigned
            or now_s - self._last_remote_chunk_s > REMOTE_CHUNK_TIMEOUT_S
        ):
            return limits.same_region_window
        remote_share = min(1.0, ORIGIN_LINK_RATIO * transfer.assigned_share)
        return round(limits.same_region_window * (1 - remote_share))

    def _load_of(self, name: str, placement: Placement, now_s: float) -> int | None:
        """Return a peer's load from its open requests; None if it gets no further ones.

        The window is subtracted from the load of a cache, so that caches are preferred:
        an agent's link is shared with the answers of its target.
        """
        if self._peers.is_avoided(name, now_s):
            return None
        load = self._peers.outstanding[name]
        if placement.is_cache(name):
            return load - self._limits.same_region_window
        return load if load < self._limits.requests_per_peer else None

    def _request_chunk(
        self, transfer: Transfer, index: int, peer: str, now_s: float
    ) -> bool:
        digest = transfer.digests[index]
        size_bytes = transfer.sizes[digest]
        sequence = transfer.manifest.sequence
        fetch = self._fetches.get_or_create(digest, size_bytes, sequence)
        self._fetches.cancel_waiting(fetch)
        timeout_s = self._limits.request_timeout_s
        return self._fetches.start_request(fetch, peer, now_s, timeout_s)

    def hedge(
        self,
        fetch: Fetch,
        request: Request,
        transfer: Transfer,
        placement: Placement,
        now_s: float,
    ) -> None:
        """Send a hedged request to a second holder if the first one is slow."""
        index = transfer.index_of.get(fetch.digest)
        if index is None or request.is_hedged or len(fetch.requests) > 1:
            return
        for name in transfer.table.holders(index):
            is_other = name != request.peer
            if is_other and self._load_of(name, placement, now_s) is not None:
                request.is_hedged = True
                self._request_chunk(transfer, index, name, now_s)
                return
