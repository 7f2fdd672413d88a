"""Getting what no neighbour holds: draws by duty, and fallbacks when they fail."""

import logging
from collections.abc import Mapping
from itertools import islice

from reedspar.utils import TokenBucket

from .fetches import ORIGIN, Fetch, FetchBook, PeerBook
from .limits import SwarmLimits
from .memory import ChunkMemory
from .neighbours import iterate_bits
from .placement import Placement
from .requested_chunks import RequestedChunks
from .transfers import Transfer

__all__ = ["Drawing"]

REGION_BURST_PIECES = 4
SEEK_SAMPLE = 32
SEEK_INTERVAL_S = 0.05
SHORT_WAIT_S = 0.5
ORIGIN_TIMEOUT_S = 8.0
"""Bound on a read that gets on; the client gives up a silent origin sooner.

A read that is given up goes on at the origin, and the next one comes on top of it."""
ORIGIN_RETURN_S = 2.0
"""After a failed read, those that draw for all are left alone with the origin."""
TAKE_OVER_NEAR_S = 0.25
TAKE_OVER_FAR_S = 0.6
"""How long a cache that has its part waits for those of the others, from the origin or
over a link between regions: some are slower, and a chunk drawn twice costs twice."""
TAKE_OVER_CHUNKS = 8
KEEPERS_TRIED = 2
KEEPER_ANSWER_S = 0.6
"""A keeper that is there sends a chunk, or refuses, so long after its patience ends."""
ACROSS_RETRY_S = 0.3
"""Between two questions near the origin for a chunk that another region may hold.

One costs 200 bytes both ways; for a third of a copy of 96 chunks that is 5% of a link
of 3.65 Mbit/s."""
PROGRESS_INTERVAL_S = 1.0
"""Between two lines on a version that a cache draws."""

_logger = logging.getLogger(__name__)


class Drawing:
    """Decide on draws from the origin and across, and on asking keepers."""

    def __init__(
        self,
        limits: SwarmLimits,
        fetches: FetchBook,
        peers: PeerBook,
        memory: ChunkMemory,
    ) -> None:
        self._limits = limits
        self._fetches = fetches
        self._peers = peers
        self._regions: dict[str, TokenBucket] = {}
        self._requested = RequestedChunks(limits, fetches, peers, memory, self._start)

    @property
    def requested(self) -> RequestedChunks:
        """Return the chunks that peers have asked this agent to get."""
        return self._requested

    def draw(self, transfer: Transfer, placement: Placement, now_s: float) -> None:
        """Draw the next of the chunks that are this agent's to draw."""
        if not placement.pulls:
            self._write_progress(transfer, placement, now_s)
        if not self._knows_neighbours(transfer, now_s):
            return
        self._take_over(transfer, placement, now_s)
        limit = self._limits.limit(transfer, now_s)
        needed_map = _needed_map(transfer, placement)
        for place in range(len(transfer.draws) - 1, -1, -1):
            index = transfer.draws[place]
            if not needed_map >> index & 1:
                continue
            digest = transfer.digests[index]
            if not transfer.is_missing(index) or _is_here(transfer, placement, index):
                del transfer.draws[place]
            elif not self._fetches.is_blocked(digest, now_s):
                if index >= limit:
                    return
                fetch = self._fetches.ensure(digest, transfer.sizes[digest])
                if placement.is_drawn_here(index) and fetch.has_origin_failed:
                    del transfer.draws[place]
                elif not self._start(fetch, index, placement, now_s) and self._is_full(
                    placement, now_s
                ):
                    return

    def _write_progress(
        self, transfer: Transfer, placement: Placement, now_s: float
    ) -> None:
        """Write what a cache holds, is still to draw, and waits for, now and then."""
        if now_s - transfer.written_s < PROGRESS_INTERVAL_S:
            return
        transfer.written_s = now_s
        lacking_map = _needed_map(transfer, placement) & ~transfer.held
        if not transfer.draws or not lacking_map:
            return
        regions = placement.other_regions
        extra = {
            "version": transfer.manifest.sequence,
            "held": transfer.held.bit_count(),
            "lacked": lacking_map.bit_count(),
            "to_draw": len(transfer.draws),
            "asked_for": self._requested.count,
            "origin_open": self._fetches.far_open(ORIGIN),
            "far_open": {region: self._fetches.far_open(region) for region in regions},
            "avoided": self._peers.list_avoided(now_s),
        }
        _logger.info("weights drawn", extra=extra)

    def _take_over(
        self, transfer: Transfer, placement: Placement, now_s: float
    ) -> None:
        """Draw what other caches of the region were to draw, after the own part.

        One that is cut off or frozen stays in the view for seconds.  The origin would
        idle meanwhile, and may be away when the view has lost it.
        """
        if placement.pulls or not transfer.is_wanted:
            return
        if transfer.draws:
            transfer.idle_since_s = None
            return
        if transfer.idle_since_s is None:
            transfer.idle_since_s = now_s
        wait_s = TAKE_OVER_NEAR_S if placement.is_drawn_here(0) else TAKE_OVER_FAR_S
        if transfer.table.has_silent_source:
            wait_s = 0.0
        if now_s - transfer.idle_since_s < wait_s:
            return
        lacking_map = transfer.missing_map & ~transfer.table.available_map
        lacking_map &= _needed_map(transfer, placement)
        transfer.draws = list(islice(iterate_bits(lacking_map), TAKE_OVER_CHUNKS))

    def seek(self, transfer: Transfer, placement: Placement, now_s: float) -> None:
        """Ask the keepers for chunks that no neighbour holds, if nothing moves."""
        if not placement.pulls or now_s < transfer.seek_at_s:
            return
        if not self._knows_neighbours(transfer, now_s):
            return
        transfer.seek_at_s = now_s + SEEK_INTERVAL_S
        is_stuck = now_s - transfer.progress_s >= self._limits.seek_s
        window = (1 << self._limits.limit(transfer, now_s)) - 1
        lacking = transfer.missing_map & window
        if not is_stuck:
            lacking &= ~transfer.table.available_map
        for index in islice(iterate_bits(lacking), SEEK_SAMPLE):
            if self._fetches.near_open >= self._limits.window:
                return
            digest = transfer.digests[index]
            if self._fetches.is_blocked(digest, now_s):
                continue
            fetch = self._fetches.get(digest)
            has_failed = fetch is not None and fetch.has_origin_failed
            if is_stuck or transfer.table.seen_map >> index & 1 or has_failed:
                fetch = self._fetches.ensure(digest, transfer.sizes[digest])
                if is_stuck and self._may_read_past(fetch, placement, now_s):
                    self._ask_origin(fetch, placement, now_s)
                else:
                    self._ask_keeper(fetch, index, placement, now_s)

    def get_objects(
        self,
        objects: Mapping[str, str],
        placements: Mapping[str, Placement],
        now_s: float,
    ) -> None:
        """Ask for single objects, up the tree of the region's agents."""
        for digest, model in objects.items():
            if not self._fetches.is_blocked(digest, now_s) and model in placements:
                fetch = self._fetches.ensure(digest, None)
                self._ask_object(fetch, placements[model], now_s)

    def _ask_object(self, fetch: Fetch, placement: Placement, now_s: float) -> None:
        timeout_s = self._limits.request_timeout_s
        names = placement.ancestors(fetch.digest)
        if fetch.attempts < len(names):
            peer = names[fetch.attempts]
            if self._peers.is_avoided(peer, now_s):
                fetch.attempts += 1
                return
            self._fetches.ask(fetch, peer, now_s, timeout_s, may_draw=True)
            return
        turn = fetch.attempts - len(names)
        roots = placement.roots(fetch.digest)
        if placement.is_in_origin_region or not roots:
            self._ask_origin(fetch, placement, now_s)
            return
        peer = roots[turn % len(roots)]
        region = placement.region_of(peer)
        self._fetches.ask(fetch, peer, now_s, timeout_s, region=region, may_draw=True)

    def _ask_origin(self, fetch: Fetch, placement: Placement, now_s: float) -> bool:
        if self._peers.is_avoided(ORIGIN, now_s):
            return False
        if self._fetches.far_open(ORIGIN) >= self._limits.origin_window(placement):
            return False
        return self._fetches.ask(fetch, ORIGIN, now_s, ORIGIN_TIMEOUT_S, region=ORIGIN)

    def _start(
        self, fetch: Fetch, index: int, placement: Placement, now_s: float
    ) -> bool:
        if placement.is_drawn_here(index):
            return self._start_at_origin(fetch, index, placement, now_s)
        sources = placement.sources(index, fetch.digest)
        if not sources:
            return self._ask_origin(fetch, placement, now_s)
        return self._ask_across(fetch, sources, placement, now_s, may_draw=True)

    def _start_at_origin(
        self, fetch: Fetch, index: int, placement: Placement, now_s: float
    ) -> bool:
        """Ask the origin, or other regions while it is away.

        An agent that leaves may have handed chunks on to other regions alone.  Were
        only the origin asked for them, its region would lack a third of a copy until
        the origin is back, though the others hold it.
        """
        if not self._peers.is_avoided(ORIGIN, now_s):
            return self._ask_origin(fetch, placement, now_s)
        holders = placement.holders_across(index, fetch.digest)
        if not holders:
            return False
        is_asked = self._ask_across(fetch, holders, placement, now_s, may_draw=False)
        if is_asked:
            fetch.not_before_s = now_s + ACROSS_RETRY_S
        return is_asked

    def _ask_across(
        self,
        fetch: Fetch,
        sources: list[str],
        placement: Placement,
        now_s: float,
        *,
        may_draw: bool,
    ) -> bool:
        """Ask an agent of another region, within this agent's share of the link."""
        peer = self._choose_source(fetch, sources, now_s)
        if peer is None:
            return False
        region = placement.region_of(peer)
        bucket = self._bucket_of(region, placement, now_s)
        is_open = self._fetches.far_open(region) < self._limits.far_window
        if not is_open or not bucket.is_ready(now_s):
            return False
        size_bytes = fetch.size_bytes or 0
        per_request_s = size_bytes / bucket.rate_per_s
        timeout_s = self._limits.request_timeout_s
        timeout_s += 2 * self._limits.far_window * per_request_s
        is_asked = self._fetches.ask(
            fetch, peer, now_s, timeout_s, region=region, may_draw=may_draw
        )
        if is_asked:
            bucket.take(size_bytes, now_s)
        return is_asked

    def _choose_source(
        self, fetch: Fetch, sources: list[str], now_s: float
    ) -> str | None:
        """Return whom to ask; None to wait for one that is avoided only shortly.

        Were its chunks all taken elsewhere at once, the one other link would
        carry them beside its own, and the avoided one would idle.
        """
        for i in range(len(sources)):
            peer = sources[(fetch.attempts + i) % len(sources)]
            avoided_s = self._peers.avoided_for_s(peer, now_s)
            if not avoided_s:
                return peer
            if avoided_s < SHORT_WAIT_S:
                return None
        return None

    def _is_full(self, placement: Placement, now_s: float) -> bool:
        """Tell whether nothing more can be asked of the origin or any region now."""
        is_avoided = self._peers.is_avoided(ORIGIN, now_s)
        if placement.draws_everywhere:
            open_reads = self._fetches.far_open(ORIGIN)
            if not is_avoided and open_reads < self._limits.origin_window(placement):
                return False
        elif placement.is_in_origin_region and not is_avoided:
            return True
        return all(
            self._fetches.far_open(region) >= self._limits.far_window
            or not self._bucket_of(region, placement, now_s).is_ready(now_s)
            for region in placement.other_regions
        )

    def _ask_keeper(
        self, fetch: Fetch, index: int, placement: Placement, now_s: float
    ) -> None:
        # A keeper asks only those that rank before it, and the first one draws.
        # Two that asked each other would both wait until their requests end.
        keepers = placement.keepers(fetch.digest)
        if placement.me in keepers:
            keepers = keepers[: keepers.index(placement.me) + 1]
        peer = keepers[fetch.attempts % len(keepers)]
        if peer == placement.me:
            if not self._start(fetch, index, placement, now_s):
                fetch.attempts += 1
                fetch.not_before_s = now_s + self._limits.busy_s
            return
        if self._peers.is_avoided(peer, now_s):
            fetch.attempts += 1
            return
        timeout_s = self._limits.near_patience_s + KEEPER_ANSWER_S
        self._fetches.ask(fetch, peer, now_s, timeout_s, may_draw=True)

    def _may_read_past(self, fetch: Fetch, placement: Placement, now_s: float) -> bool:
        """Tell whether to read the origin past those that are to draw.

        The keepers that were asked may be gone, and the view keep them; a version that
        lacks one chunk serves nobody.  One that refuses is there, and goes on asking.
        But when the origin comes back all agents lack chunks: were each to read many,
        those that draw for all would get a fraction of its link, and reads that time
        out would be begun again for ever.
        """
        is_back = not self._peers.has_origin_failed_since(now_s - ORIGIN_RETURN_S)
        is_first = not self._fetches.far_open(ORIGIN)
        silent = fetch.attempts - fetch.refusals
        has_failed = silent >= KEEPERS_TRIED
        return placement.may_read_origin and has_failed and is_back and is_first

    def _knows_neighbours(self, transfer: Transfer, now_s: float) -> bool:
        """Tell whether the neighbours' maps are in, or were waited for.

        An agent that draws before it knows what its region holds would bring
        over a narrow link what is next door.
        """
        if now_s - transfer.started_s >= self._limits.map_wait_s:
            return True
        return all(n.has_answered for n in transfer.table.neighbours.values())

    def _bucket_of(
        self, region: str, placement: Placement, now_s: float
    ) -> TokenBucket:
        """Return this agent's share of the link from a region."""
        share = max(placement.slots_held(), 1) / self._limits.region_slots
        rate = self._limits.region_bytes_per_s * share
        bucket = self._regions.get(region)
        if bucket is None:
            bucket = self._regions[region] = TokenBucket(
                rate, REGION_BURST_PIECES * self._limits.piece_bytes
            )
        elif bucket.rate_per_s != rate:
            bucket.set_rate(rate, now_s)
        return bucket


def _is_here(transfer: Transfer, placement: Placement, index: int) -> bool:
    """Tell whether a chunk need not be drawn, for the region has it.

    A cache that takes over the part of another one finds it there while that one lives.
    """
    table = transfer.table
    here_map = table.seen_map if placement.pulls else table.available_map
    return bool(here_map >> index & 1)


def _needed_map(transfer: Transfer, placement: Placement) -> int:
    """Return the chunks that are worth a draw now.

    Before any agent has asked, a cache draws all of its part, for the origin may go
    away.  Later the parts move as entries come and go; drawn anew for nobody, a version
    that was replaced would hold up the one that replaced it.
    """
    lacked_map = None if placement.pulls else transfer.table.lacked_map
    return transfer.table.full_map if lacked_map is None else lacked_map
