"""Handling of received pieces, refusals, timeouts and origin reads."""

from collections.abc import Callable, Iterator

from reedspar.errors import Failure, Reason
from reedspar.utils import digest_bytes

from .fetches import ORIGIN, Fetch, FetchTable, PeerBackoff, Request
from .inbound_credit import InboundCredit
from .limits import SwarmLimits
from .messages import ChunkPiece, ChunkRefused, RefusalCause

__all__ = ["ChunkReceiver"]

ORIGIN_RETRY_DELAY_S = 0.1
"""Delay before a chunk is read from the origin again."""

REMOTE_REFUSALS_PER_SOURCE = 3
"""Refusals from another region after which the next source is tried.

During an origin outage all regions refuse.  If requests alternated between them, a
chunk would often be at another agent than the one requested when the origin returns,
and would be read again."""

ObjectCallback = Callable[[str, bytes, Request, float], None]


class ChunkReceiver:
    """The receiving side of a distribution; calls `on_object` with complete objects."""

    def __init__(
        self,
        limits: SwarmLimits,
        fetches: FetchTable,
        peers: PeerBackoff,
        credit: InboundCredit,
        on_object: ObjectCallback,
    ) -> None:
        self._limits = limits
        self._fetches = fetches
        self._peers = peers
        self._credit = credit
        self._on_object = on_object

    def handle_piece(self, peer: str, piece: ChunkPiece, now_s: float) -> None:
        """Handle the next piece of an object, or ignore one that was not requested."""
        request = self._fetches.find(peer, piece.digest, piece.request_id)
        fetch = self._fetches.get(piece.digest)
        if request is None or fetch is None:
            return
        if not request.has_data:
            self._credit.record_arrival(len(piece.data), now_s)
        request.progress_s = now_s
        result = request.assembly.add(piece, peer)
        if isinstance(result, Failure):
            self._peers.record_corrupt(peer, now_s, is_scarce=bool(request.region))
            self._fail(fetch, request, now_s)
        elif result is not None:
            self._peers.record_success(peer)
            self._finish(piece.digest, result, request, now_s)

    def handle_refusal(self, peer: str, message: ChunkRefused, now_s: float) -> None:
        """Handle the refusal of a request."""
        request = self._fetches.find(peer, message.digest, message.request_id)
        fetch = self._fetches.get(message.digest)
        if request is None or fetch is None:
            return
        self._fetches.close(fetch, request, is_cancelled=False)
        if message.cause is RefusalCause.BUSY:
            self._peers.record_busy(peer, now_s + self._limits.retry_delay_s)
        elif message.cause is RefusalCause.LEAVING:
            self._peers.record_busy(peer, now_s + self._limits.request_timeout_s)
        else:
            fetch.refusals += 1
            tries_next_source = (
                not request.region or fetch.refusals % REMOTE_REFUSALS_PER_SOURCE == 0
            )
            fetch.attempts += tries_next_source
            fetch.not_before_s = max(
                fetch.not_before_s, now_s + self._limits.retry_delay_s
            )

    def complete_read(self, digest: str, result: bytes | Failure, now_s: float) -> None:
        """Handle the result of a read from the origin."""
        request = self._fetches.find_origin_read(digest)
        fetch = self._fetches.get(digest)
        if fetch is not None and request is not None:
            if isinstance(result, Failure) and result.reason is Reason.NOT_FOUND:
                # The origin answers; it only holds other versions now.
                self._fail(fetch, request, now_s)
            elif isinstance(result, Failure) or digest_bytes(result) != digest:
                self._peers.record_origin_failure(now_s)
                self._fail(fetch, request, now_s)
                if isinstance(result, Failure):
                    # The origin is unavailable to all agents.  If the chunk is left to
                    # others, it can arrive as late as 4 s after the origin returns.
                    fetch.has_origin_failed = False
                    fetch.not_before_s = now_s + ORIGIN_RETRY_DELAY_S
            else:
                self._peers.record_success(ORIGIN)
                self._finish(digest, result, request, now_s)

    def expire(self, now_s: float) -> Iterator[tuple[Fetch, Request]]:
        """Fail requests that have timed out, and yield stalled ones to neighbours."""
        for fetch, request in self._fetches.iterate_requests():
            if request.has_data and request.outstanding_bytes <= 0:
                # The request waits for a grant of this agent, not for the peer.
                request.progress_s = now_s
            waited_s = now_s - request.progress_s
            if waited_s >= request.timeout_s:
                self._peers.record_stall(request.peer, now_s)
                self._fail(fetch, request, now_s)
            elif waited_s >= self._limits.stall_timeout_s and not request.region:
                yield fetch, request

    def _fail(self, fetch: Fetch, request: Request, now_s: float) -> None:
        self._fetches.close(fetch, request, is_cancelled=True)
        fetch.attempts += 1
        if request.peer == ORIGIN:
            fetch.has_origin_failed = True
            fetch.not_before_s = now_s + self._limits.retry_delay_s

    def _finish(self, digest: str, data: bytes, request: Request, now_s: float) -> None:
        self._fetches.finish(digest, request)
        if request.region == ORIGIN:
            self._credit.record_arrival(len(data), now_s)
        self._on_object(digest, data, request, now_s)
