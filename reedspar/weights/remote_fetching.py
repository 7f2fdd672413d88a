"""Fetches of chunks from the origin and other regions, with fallbacks."""

import logging
from collections.abc import Mapping
from itertools import islice

from reedspar.utils import TokenBucket, update_bucket

from .fetches import ORIGIN, Fetch, FetchTable, PeerBackoff
from .limits import SwarmLimits
from .memory import ChunkMemory
from .needed_chunks import is_in_region, needed_map
from .neighbours import iterate_bits
from .placement import Placement
from .requested_chunks import RequestedChunks
from .transfers import Transfer

__all__ = ["RemoteFetcher"]

REGION_BURST_PIECES = 4
REPLICA_FETCH_CHUNKS_MAX = 32
REPLICA_FETCH_INTERVAL_S = 0.05
SHORT_BACKOFF_S = 0.5
ORIGIN_READ_TIMEOUT_S = 8.0
"""Timeout of a read in progress; the client ends reads from a silent origin sooner.

The origin continues to send an abandoned read, in addition to the next one."""
ORIGIN_RECOVERY_S = 2.0
"""Time after a failed read in which only the assigned agents read from the origin."""
ORIGIN_TAKEOVER_DELAY_S = 0.25
REGION_TAKEOVER_DELAY_S = 0.6
"""Delays before a cache without assigned chunks left takes over those of other caches,
which may only be slower; a chunk that is fetched twice costs twice as much."""
TAKEOVER_CHUNKS_MAX = 8
UNANSWERED_REPLICAS_MIN = 2
REPLICA_ANSWER_TIMEOUT_S = 0.6
"""A live replica sends or refuses a chunk within this time after its own wait limit."""
REGION_RETRY_DELAY_S = 0.3
"""Interval of requests to other regions for a chunk during an origin outage.

A request and its refusal take 200 bytes.  For a third of a version of 96 chunks, that
is 5% of a link of 3.65 Mbit/s."""
PROGRESS_LOG_INTERVAL_S = 1.0
"""Interval of progress messages of a cache, per version."""

_logger = logging.getLogger(__name__)


class RemoteFetcher:
    """Decides on requests to the origin, to other regions and to replicas."""

    def __init__(
        self,
        limits: SwarmLimits,
        fetches: FetchTable,
        peers: PeerBackoff,
        memory: ChunkMemory,
    ) -> None:
        self._limits = limits
        self._fetches = fetches
        self._peers = peers
        self._region_buckets: dict[str, TokenBucket] = {}
        self._requested = RequestedChunks(
            limits, fetches, peers, memory, self._start_fetch
        )

    @property
    def requested(self) -> RequestedChunks:
        """Return the chunks that peers have asked this agent to fetch."""
        return self._requested

    def fetch_assigned(
        self, transfer: Transfer, placement: Placement, now_s: float
    ) -> None:
        """Start fetches of the next chunks assigned to this agent."""
        if not placement.fetches_all:
            self._log_progress(transfer, placement, now_s)
        if not self._has_neighbour_maps(transfer, now_s):
            return
        self._take_over(transfer, placement, now_s)
        window_end = self._limits.window_end(transfer, now_s)
        worth_fetching = needed_map(transfer, placement)
        for position in range(len(transfer.assigned) - 1, -1, -1):
            index = transfer.assigned[position]
            if not worth_fetching >> index & 1:
                continue
            digest = transfer.digests[index]
            if not transfer.is_missing(index) or is_in_region(
                transfer, placement, index
            ):
                del transfer.assigned[position]
            elif not self._fetches.is_blocked(digest, now_s):
                if index >= window_end:
                    return
                fetch = self._fetches.get_or_create(
                    digest, transfer.sizes[digest], transfer.manifest.sequence
                )
                if placement.is_fetched_from_origin(index) and fetch.has_origin_failed:
                    del transfer.assigned[position]
                elif not self._start_fetch(
                    fetch, index, placement, now_s
                ) and self._are_sources_full(fetch, placement, now_s):
                    return

    def _log_progress(
        self, transfer: Transfer, placement: Placement, now_s: float
    ) -> None:
        """Log the progress of a cache once per interval."""
        if now_s - transfer.logged_s < PROGRESS_LOG_INTERVAL_S:
            return
        transfer.logged_s = now_s
        missing_map = needed_map(transfer, placement) & ~transfer.held
        if not transfer.assigned or not missing_map:
            return
        regions = placement.other_regions
        extra = {
            "version": transfer.manifest.sequence,
            "held": transfer.held.bit_count(),
            "lacked": missing_map.bit_count(),
            "to_draw": len(transfer.assigned),
            "asked_for": self._requested.count,
            "origin_open": self._fetches.open_count(ORIGIN),
            "far_open": {r: self._fetches.open_count(r) for r in regions},
            "avoided": self._peers.list_avoided(now_s),
        }
        _logger.info("fetching weights", extra=extra)

    def _take_over(
        self, transfer: Transfer, placement: Placement, now_s: float
    ) -> None:
        """Take over chunks of the region's other caches once its own are fetched.

        A partitioned or frozen cache stays in the view for seconds.  Meanwhile the
        origin would be idle, and it may then become unavailable.
        """
        if placement.fetches_all or not transfer.is_wanted:
            return
        if transfer.assigned:
            transfer.idle_since_s = None
            return
        if transfer.idle_since_s is None:
            transfer.idle_since_s = now_s
        wait_s = (
            ORIGIN_TAKEOVER_DELAY_S
            if placement.is_fetched_from_origin(0)
            else REGION_TAKEOVER_DELAY_S
        )
        if transfer.table.has_unanswered_source:
            wait_s = 0.0
        if now_s - transfer.idle_since_s < wait_s:
            return
        missing_map = transfer.missing_map & ~transfer.table.available_map
        missing_map &= needed_map(transfer, placement)
        transfer.assigned = list(islice(iterate_bits(missing_map), TAKEOVER_CHUNKS_MAX))

    def fetch_from_replicas(
        self, transfer: Transfer, placement: Placement, now_s: float
    ) -> None:
        """Request chunks from replicas if no neighbour holds them or progress stops."""
        if not placement.fetches_all or now_s < transfer.replica_fetch_at_s:
            return
        if not self._has_neighbour_maps(transfer, now_s):
            return
        transfer.replica_fetch_at_s = now_s + REPLICA_FETCH_INTERVAL_S
        is_stalled = now_s - transfer.progress_s >= self._limits.no_progress_timeout_s
        window_map = (1 << self._limits.window_end(transfer, now_s)) - 1
        lacking = transfer.missing_map & window_map
        if not is_stalled:
            lacking &= ~transfer.table.available_map
        for index in islice(iterate_bits(lacking), REPLICA_FETCH_CHUNKS_MAX):
            if self._count_waiting(transfer) >= self._limits.same_region_window:
                return
            digest = transfer.digests[index]
            if self._fetches.is_blocked(digest, now_s):
                continue
            fetch = self._fetches.get(digest)
            has_failed = fetch is not None and fetch.has_origin_failed
            if is_stalled or transfer.table.seen_map >> index & 1 or has_failed:
                fetch = self._fetches.get_or_create(
                    digest, transfer.sizes[digest], transfer.manifest.sequence
                )
                if is_stalled and self._may_bypass_assignment(fetch, placement, now_s):
                    self._request_origin(fetch, placement, now_s)
                else:
                    self._request_from_replica(fetch, index, placement, now_s)

    def _count_waiting(self, transfer: Transfer) -> int:
        sequence = transfer.manifest.sequence
        return self._fetches.count_competing("", sequence, may_draw=True)

    def fetch_objects(
        self,
        objects: Mapping[str, str],
        placements: Mapping[str, Placement],
        now_s: float,
    ) -> None:
        """Request single objects along the tree of the region's agents."""
        for digest, model in objects.items():
            if not self._fetches.is_blocked(digest, now_s) and model in placements:
                fetch = self._fetches.get_or_create(digest, None)
                self._request_object(fetch, placements[model], now_s)

    def _request_object(self, fetch: Fetch, placement: Placement, now_s: float) -> None:
        timeout_s = self._limits.request_timeout_s
        names = placement.ancestors(fetch.digest)
        if fetch.attempts < len(names):
            peer = names[fetch.attempts]
            if self._peers.is_avoided(peer, now_s):
                fetch.attempts += 1
                return
            self._fetches.start_request(fetch, peer, now_s, timeout_s, may_draw=True)
            return
        turn = fetch.attempts - len(names)
        roots = placement.roots(fetch.digest)
        if placement.is_in_origin_region or not roots:
            self._request_origin(fetch, placement, now_s)
            return
        peer = roots[turn % len(roots)]
        region = placement.region_of(peer)
        self._fetches.start_request(
            fetch, peer, now_s, timeout_s, region=region, may_draw=True
        )

    def _request_origin(self, fetch: Fetch, placement: Placement, now_s: float) -> bool:
        if self._peers.is_avoided(ORIGIN, now_s):
            return False
        if self._fetches.open_count(ORIGIN) >= self._limits.origin_window(placement):
            return False
        return self._fetches.start_request(
            fetch, ORIGIN, now_s, ORIGIN_READ_TIMEOUT_S, region=ORIGIN
        )

    def _start_fetch(
        self, fetch: Fetch, index: int, placement: Placement, now_s: float
    ) -> bool:
        if placement.is_fetched_from_origin(index):
            return self._fetch_from_origin(fetch, index, placement, now_s)
        sources = placement.remote_sources(index, fetch.digest)
        if not sources:
            return self._request_origin(fetch, placement, now_s)
        return self._request_from_region(
            fetch, sources, placement, now_s, may_draw=True
        )

    def _fetch_from_origin(
        self, fetch: Fetch, index: int, placement: Placement, now_s: float
    ) -> bool:
        """Request a chunk from the origin, or from other regions during an outage.

        An agent that shut down may have sent chunks only to other regions.  Without the
        requests to them, its region would lack a third of a version until the origin
        is available again.
        """
        if not self._peers.is_avoided(ORIGIN, now_s):
            return self._request_origin(fetch, placement, now_s)
        holders = placement.remote_holders(index, fetch.digest)
        if not holders:
            return False
        is_started = self._request_from_region(
            fetch, holders, placement, now_s, may_draw=False
        )
        if is_started:
            fetch.not_before_s = now_s + REGION_RETRY_DELAY_S
        return is_started

    def _request_from_region(
        self,
        fetch: Fetch,
        sources: list[str],
        placement: Placement,
        now_s: float,
        *,
        may_draw: bool,
    ) -> bool:
        """Request a chunk from another region within this agent's share of the link."""
        peer = self._choose_source(fetch, sources, now_s)
        if peer is None:
            return False
        region = placement.region_of(peer)
        bucket = self._bucket_of(region, placement, now_s)
        if not self._has_window(region, fetch) or not bucket.is_ready(now_s):
            return False
        size_bytes = fetch.size_bytes or 0
        per_request_s = size_bytes / bucket.rate_per_s
        timeout_s = self._limits.request_timeout_s
        timeout_s += 2 * self._limits.other_region_window * per_request_s
        is_started = self._fetches.start_request(
            fetch, peer, now_s, timeout_s, region=region, may_draw=may_draw
        )
        if is_started:
            bucket.consume(size_bytes, now_s)
        return is_started

    def _has_window(self, region: str, fetch: Fetch) -> bool:
        """Return whether one more request to a region is allowed."""
        open_count = self._fetches.count_competing(region, fetch.sequence)
        return open_count < self._limits.other_region_window

    def _choose_source(
        self, fetch: Fetch, sources: list[str], now_s: float
    ) -> str | None:
        """Return the source to request from, or None to wait until a back-off ends.

        If another source replaced one in a short back-off, its link would carry these
        chunks in addition to its own, and the link to the avoided source would be idle.
        """
        for i in range(len(sources)):
            peer = sources[(fetch.attempts + i) % len(sources)]
            avoided_s = self._peers.avoided_for_s(peer, now_s)
            if not avoided_s:
                return peer
            if avoided_s < SHORT_BACKOFF_S:
                return None
        return None

    def _are_sources_full(
        self, fetch: Fetch, placement: Placement, now_s: float
    ) -> bool:
        """Return whether neither the origin nor any region takes more requests now."""
        is_avoided = self._peers.is_avoided(ORIGIN, now_s)
        if placement.all_regions_read_origin:
            open_reads = self._fetches.open_count(ORIGIN)
            if not is_avoided and open_reads < self._limits.origin_window(placement):
                return False
        elif placement.is_in_origin_region and not is_avoided:
            return True
        return all(
            not self._has_window(region, fetch)
            or not self._bucket_of(region, placement, now_s).is_ready(now_s)
            for region in placement.other_regions
        )

    def _request_from_replica(
        self, fetch: Fetch, index: int, placement: Placement, now_s: float
    ) -> None:
        # A replica requests only from replicas of a higher rank, and the first one
        # fetches remotely.  Replicas that requested from each other would wait until
        # both requests time out.
        replicas = placement.replicas(fetch.digest)
        if placement.me in replicas:
            replicas = replicas[: replicas.index(placement.me) + 1]
        peer = replicas[fetch.attempts % len(replicas)]
        if peer == placement.me:
            if not self._start_fetch(fetch, index, placement, now_s):
                fetch.attempts += 1
                fetch.not_before_s = now_s + self._limits.retry_delay_s
            return
        if self._peers.is_avoided(peer, now_s):
            fetch.attempts += 1
            return
        timeout_s = self._limits.same_region_wait_limit_s + REPLICA_ANSWER_TIMEOUT_S
        self._fetches.start_request(fetch, peer, now_s, timeout_s, may_draw=True)

    def _may_bypass_assignment(
        self, fetch: Fetch, placement: Placement, now_s: float
    ) -> bool:
        """Return whether to read from the origin without being assigned the chunk.

        The replicas may be dead but still in the view, and a version that lacks one
        chunk can't be served.  A replica that refuses is alive and continues to fetch.
        When the origin returns after an outage, all agents lack chunks.  If each read
        many, the assigned agents would get a fraction of the origin's link, and reads
        would time out and be repeated indefinitely.
        """
        is_back = not self._peers.has_origin_failed_since(now_s - ORIGIN_RECOVERY_S)
        has_no_open_read = not self._fetches.open_count(ORIGIN)
        silent = fetch.attempts - fetch.refusals
        has_failed = silent >= UNANSWERED_REPLICAS_MIN
        return placement.may_read_origin and has_failed and is_back and has_no_open_read

    def _has_neighbour_maps(self, transfer: Transfer, now_s: float) -> bool:
        """Return whether all neighbours have sent their maps or the timeout has passed.

        Without the maps, an agent would fetch chunks over a narrow link that a
        neighbour already holds.
        """
        if now_s - transfer.started_s >= self._limits.map_timeout_s:
            return True
        return all(n.has_answered for n in transfer.table.neighbours.values())

    def _bucket_of(
        self, region: str, placement: Placement, now_s: float
    ) -> TokenBucket:
        """Return this agent's share of the link from a region."""
        share = max(placement.slot_count(), 1) / self._limits.region_slots
        rate = self._limits.region_bytes_per_s * share
        burst = REGION_BURST_PIECES * self._limits.piece_bytes
        bucket = update_bucket(self._region_buckets.get(region), rate, burst, now_s)
        self._region_buckets[region] = bucket
        return bucket
