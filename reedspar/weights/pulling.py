"""Pulling chunks from neighbours: caches first, and no more at a time than a window."""

import random

from .fetches import ORIGIN, Fetch, FetchBook, PeerBook, Request
from .limits import SwarmLimits
from .placement import Placement
from .selection import pick_pull
from .transfers import Transfer

__all__ = ["Pulling"]

ORIGIN_LINKS = 2.0
"""The origin's link, in links of a machine beside a target."""
SILENT_S = 0.3
"""Draws have stopped if none has ended for so long; at work they end every 0.1 s.

An origin that is away may leave reads open for seconds.  Were neighbours not asked
meanwhile, what the region has would not spread."""


class Pulling:
    """Decide on requests to neighbours."""

    def __init__(
        self,
        limits: SwarmLimits,
        fetches: FetchBook,
        peers: PeerBook,
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._fetches = fetches
        self._peers = peers
        self._rng = rng
        self._drawn_s = float("-inf")

    def note_drawn(self, now_s: float) -> None:
        """Note that a chunk came over a narrow link."""
        self._drawn_s = now_s

    def pull(self, transfer: Transfer, placement: Placement, now_s: float) -> None:
        """Ask neighbours for as much as the window allows."""
        if not placement.pulls:
            return
        limits = self._limits
        limit = limits.limit(transfer, now_s)
        window = self._window(transfer, placement, now_s)
        while self._fetches.near_open < window:
            choice = pick_pull(
                transfer,
                lambda digest: not self._fetches.is_blocked(digest, now_s),
                lambda name: self._load_of(name, placement, now_s),
                self._rng,
                limit,
            )
            if choice is None:
                return
            index, peer = choice
            if not self._ask_near(transfer, index, peer, now_s):
                return

    def _window(self, transfer: Transfer, placement: Placement, now_s: float) -> int:
        """Return how many chunks may be asked of neighbours at a time.

        Where few agents draw, their draws come first while they get on: the origin may
        go away, and neighbours can exchange what the region has without it.
        """
        limits = self._limits
        if placement.draws_everywhere or not self._fetches.far_open(ORIGIN):
            return limits.window
        if not transfer.draws or now_s - self._drawn_s > SILENT_S:
            return limits.window
        drawn = min(1.0, ORIGIN_LINKS * transfer.draw_share)
        return round(limits.window * (1 - drawn))

    def _load_of(self, name: str, placement: Placement, now_s: float) -> int | None:
        """Return what a peer was asked for; None if it is not to be asked now.

        Any load of a cache is less than an agent's: what an agent sends shares a
        narrow link with its target's answers.
        """
        if self._peers.is_avoided(name, now_s):
            return None
        load = self._peers.outstanding[name]
        if placement.is_cache(name):
            return load - self._limits.window
        return load if load < self._limits.requests_per_peer else None

    def _ask_near(
        self, transfer: Transfer, index: int, peer: str, now_s: float
    ) -> bool:
        digest = transfer.digests[index]
        size_bytes = transfer.sizes[digest]
        fetch = self._fetches.ensure(digest, size_bytes)
        timeout_s = self._limits.request_timeout_s
        return self._fetches.ask(fetch, peer, now_s, timeout_s)

    def overtake(
        self,
        fetch: Fetch,
        request: Request,
        transfer: Transfer,
        placement: Placement,
        now_s: float,
    ) -> None:
        """Ask a second holder for what the first is slow to send."""
        index = transfer.index_of.get(fetch.digest)
        if index is None or request.is_overtaken or len(fetch.requests) > 1:
            return
        for name in transfer.table.holders(index):
            is_other = name != request.peer
            if is_other and self._load_of(name, placement, now_s) is not None:
                request.is_overtaken = True
                self._ask_near(transfer, index, name, now_s)
                return
