"""Taking what was asked for: pieces of peers, refusals, reads of the origin."""

from collections.abc import Callable, Iterator

from reedspar.errors import Failure
from reedspar.utils import digest_bytes

from .fetches import ORIGIN, Fetch, FetchBook, PeerBook, Request
from .inbound import InboundCredit
from .limits import SwarmLimits
from .messages import ChunkPiece, ChunkRefused, RefusalCause

__all__ = ["ChunkReceiver"]

ORIGIN_RETRY_S = 0.1
"""Pause before the origin is asked for the same chunk again."""

FAR_REFUSALS = 3
"""Refusals of another region after which a chunk is asked for elsewhere.

While the origin is away all regions refuse.  Asked for here and there, a chunk is not
where it is waited for when the origin returns, and others draw it once more."""

TakeObject = Callable[[str, bytes, Request, float], None]


class ChunkReceiver:
    """The receiving side of a distribution; whole objects go to `take_object`."""

    def __init__(
        self,
        limits: SwarmLimits,
        fetches: FetchBook,
        peers: PeerBook,
        credit: InboundCredit,
        take_object: TakeObject,
    ) -> None:
        self._limits = limits
        self._fetches = fetches
        self._peers = peers
        self._credit = credit
        self._take_object = take_object

    def take_piece(self, peer: str, piece: ChunkPiece, now_s: float) -> None:
        """Take the next piece of an object; one that was not asked for is dropped."""
        request = self._fetches.find(peer, piece.digest, piece.request_id)
        fetch = self._fetches.get(piece.digest)
        if request is None or fetch is None:
            return
        if not request.has_begun:
            self._credit.note_arrived(len(piece.data), now_s)
        request.progress_s = now_s
        result = request.assembly.add(piece, peer)
        if isinstance(result, Failure):
            self._peers.note_corrupt(peer, now_s, is_scarce=bool(request.region))
            self._fail(fetch, request, now_s)
        elif result is not None:
            self._peers.note_good(peer)
            self._finish(piece.digest, result, request, now_s)

    def take_refusal(self, peer: str, message: ChunkRefused, now_s: float) -> None:
        """Take the word of a peer that it will not send an object."""
        request = self._fetches.find(peer, message.digest, message.request_id)
        fetch = self._fetches.get(message.digest)
        if request is None or fetch is None:
            return
        self._fetches.close(fetch, request, is_cancelled=False)
        if message.cause is RefusalCause.BUSY:
            self._peers.note_busy(peer, now_s + self._limits.busy_s)
        elif message.cause is RefusalCause.LEAVING:
            self._peers.note_busy(peer, now_s + self._limits.request_timeout_s)
        else:
            fetch.refusals += 1
            is_to_turn = not request.region or fetch.refusals % FAR_REFUSALS == 0
            fetch.attempts += is_to_turn
            fetch.not_before_s = max(fetch.not_before_s, now_s + self._limits.busy_s)

    def complete_read(self, digest: str, result: bytes | Failure, now_s: float) -> None:
        """Take the outcome of a read from the origin."""
        request = self._fetches.find_read(digest)
        fetch = self._fetches.get(digest)
        if fetch is not None and request is not None:
            if isinstance(result, Failure) or digest_bytes(result) != digest:
                self._peers.note_origin_failed(now_s)
                self._fail(fetch, request, now_s)
                if isinstance(result, Failure):
                    # Where the origin is away for one it is away for all.  Handed
                    # on to others, a chunk came 4 s after the origin was back.
                    fetch.has_origin_failed = False
                    fetch.not_before_s = now_s + ORIGIN_RETRY_S
            else:
                self._peers.note_good(ORIGIN)
                self._finish(digest, result, request, now_s)

    def expire(self, now_s: float) -> Iterator[tuple[Fetch, Request]]:
        """Give up requests that are late; yield those to neighbours that stall."""
        for fetch, request in self._fetches.iterate():
            if request.has_begun and request.expected_bytes <= 0:
                # It waits for this agent's grant, not for its peer.
                request.progress_s = now_s
            waited_s = now_s - request.progress_s
            if waited_s >= request.timeout_s:
                self._peers.note_stalled(request.peer, now_s)
                self._fail(fetch, request, now_s)
            elif waited_s >= self._limits.stall_s and not request.region:
                yield fetch, request

    def _fail(self, fetch: Fetch, request: Request, now_s: float) -> None:
        self._fetches.close(fetch, request, is_cancelled=True)
        fetch.attempts += 1
        if request.peer == ORIGIN:
            fetch.has_origin_failed = True
            fetch.not_before_s = now_s + self._limits.busy_s

    def _finish(self, digest: str, data: bytes, request: Request, now_s: float) -> None:
        self._fetches.finish(digest, request)
        if request.region == ORIGIN:
            self._credit.note_arrived(len(data), now_s)
        self._take_object(digest, data, request, now_s)
