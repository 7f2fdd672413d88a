"""Pulling chunks from neighbours, within the machine's link."""

import random
from collections.abc import Iterable

from reedspar.utils import TokenBucket

from .fetches import ORIGIN, Fetch, FetchBook, PeerBook, Request
from .limits import SwarmLimits
from .selection import pick_pull
from .transfers import Transfer

__all__ = ["Pulling"]

ORIGIN_LINKS = 2.0
"""The origin's link, in links of a machine, as on the sites that were measured."""
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
        self._downloads = TokenBucket(
            limits.machine_bytes_per_s, limits.download_burst_bytes
        )

    def give_back(self, size_bytes: int) -> None:
        """Take back a request that was refused."""
        self._downloads.give_back(size_bytes)

    def note_drawn(self, size_bytes: int, now_s: float) -> None:
        """Count what came over a narrow link: it came over the machine's link, too."""
        self._downloads.take(size_bytes, now_s)
        self._drawn_s = now_s

    def pull(self, transfer: Transfer, now_s: float) -> None:
        """Ask neighbours for as much as the window and the link allow."""
        limits = self._limits
        limit = limits.limit(transfer, now_s)
        window = self._window(transfer, now_s)
        while self._fetches.near_open < window:
            if not self._downloads.is_ready(now_s):
                return
            choice = pick_pull(
                transfer,
                lambda digest: not self._fetches.is_blocked(digest, now_s),
                lambda name: self._load_of(name, now_s),
                self._rng,
                limit,
            )
            if choice is None:
                return
            index, peer = choice
            if not self._ask_near(transfer, index, peer, now_s):
                return

    def _window(self, transfer: Transfer, now_s: float) -> int:
        """Return how many chunks may be asked of neighbours at a time.

        While draws get on, they come first: the origin may go away, and neighbours
        can exchange what the region has without it.  With two agents at a link of
        3.65 Mbit/s, 0.88 of a copy instead of 0.81 has left the origin after 2.45 s,
        in simulation; the whole distribution takes as long as before.
        """
        limits = self._limits
        if not transfer.draws or now_s - self._drawn_s > SILENT_S:
            return limits.window
        if limits.draws_everywhere or not self._fetches.far_open(ORIGIN):
            return limits.window_while_drawing
        drawn = min(1.0, ORIGIN_LINKS * transfer.draw_share)
        return round(limits.window * (1 - drawn))

    def _load_of(self, name: str, now_s: float) -> int | None:
        if self._peers.is_avoided(name, now_s):
            return None
        load = self._peers.outstanding[name]
        return load if load < self._limits.requests_per_peer else None

    def _ask_near(
        self, transfer: Transfer, index: int, peer: str, now_s: float
    ) -> bool:
        digest = transfer.digests[index]
        size_bytes = transfer.sizes[digest]
        fetch = self._fetches.ensure(digest, size_bytes)
        timeout_s = self._limits.request_timeout_s
        if not self._fetches.ask(fetch, peer, now_s, timeout_s):
            return False
        self._downloads.take(size_bytes, now_s)
        return True

    def overtake(
        self,
        fetch: Fetch,
        request: Request,
        transfers: Iterable[Transfer],
        now_s: float,
    ) -> None:
        """Ask a second holder for what the first is slow to send."""
        if request.is_overtaken or len(fetch.requests) > 1:
            return
        for transfer in transfers:
            index = transfer.index_of.get(fetch.digest)
            if index is None:
                continue
            for name in transfer.table.holders(index):
                if name != request.peer and self._load_of(name, now_s) is not None:
                    request.is_overtaken = True
                    self._ask_near(transfer, index, name, now_s)
                    return
