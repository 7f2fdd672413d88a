"""Handling of peers' requests, which are served, delayed or refused."""

from collections.abc import Callable

from .distribution import Action, SendMessage
from .limits import SwarmLimits
from .memory import ChunkMemory
from .messages import (
    ChunkGrant,
    ChunkPiece,
    ChunkRefused,
    ChunkRequest,
    RefusalCause,
)
from .uploads import UploadQueue, WaitingRequests

__all__ = ["ChunkServer"]


class ChunkServer:
    """The sending side of a distribution."""

    def __init__(
        self,
        region: str,
        memory: ChunkMemory,
        limits: SwarmLimits,
        actions: list[Action],
    ) -> None:
        self._region = region
        self._memory = memory
        self._actions = actions
        self._uploads = UploadQueue(memory, limits)
        self._limits = limits
        self._waiting = WaitingRequests(self._refuse)

    @property
    def sent_bytes(self) -> int:
        """Return the number of object bytes sent."""
        return self._uploads.sent_bytes

    def serve(
        self, peer: str, request: ChunkRequest, region: str, until_s: float
    ) -> bool:
        """Handle a request; return True if it waits for an object to be fetched."""
        digest = request.digest
        if digest in self._memory:
            self._queue(peer, request, region)
        elif not request.may_draw:
            self._refuse(peer, request.request_id, digest)
        elif self._waiting.add(peer, request, until_s):
            return True
        else:
            self._refuse(peer, request.request_id, digest, RefusalCause.BUSY)
        return False

    def handle_object(self, digest: str, region_of: Callable[[str], str]) -> None:
        """Serve the requests that wait for an object."""
        for peer, request in self._waiting.pop(digest):
            self._queue(peer, request, region_of(peer))

    def grant(self, peer: str, message: ChunkGrant) -> None:
        """Extend the credit of an upload."""
        self._uploads.grant(peer, message.request_id, message.granted_bytes)

    def cancel(self, peer: str, request_id: int) -> None:
        """Remove a request that was cancelled."""
        self._uploads.cancel(peer, request_id)
        self._waiting.cancel(peer, request_id)

    def abort(self, peer: str, piece: ChunkPiece) -> None:
        """Refuse the rest of a chunk of which a piece could not be sent.

        Otherwise the receiver, which can't use an incomplete chunk, would wait for the
        missing piece until its request times out after three seconds.
        """
        self.cancel(peer, piece.request_id)
        self._refuse(peer, piece.request_id, piece.digest, RefusalCause.BUSY)

    def drop_peer(self, peer: str) -> None:
        """Remove all requests of a peer that is not live."""
        self._uploads.drop_peer(peer)

    def expire(self, now_s: float) -> None:
        """Refuse the requests that have reached their wait limit."""
        self._waiting.expire(now_s)

    def send_pieces(self, now_s: float) -> None:
        """Send the pieces that the rate limits allow now."""
        self._actions += self._uploads.take_pieces(now_s)

    def due_s(self, now_s: float) -> float | None:
        """Return the time of the next piece, or None if there is none to send."""
        return self._uploads.due_s(now_s)

    def _queue(self, peer: str, request: ChunkRequest, region: str) -> None:
        other_region = region if region != self._region else ""
        request_id, digest = request.request_id, request.digest
        granted_bytes = request.granted_bytes
        if not self._uploads.add(peer, request_id, digest, other_region, granted_bytes):
            self._refuse(peer, request_id, digest, RefusalCause.BUSY)

    def _refuse(
        self,
        peer: str,
        request_id: int,
        digest: str,
        cause: RefusalCause = RefusalCause.NOT_HELD,
    ) -> None:
        message = ChunkRefused(digest, request_id, cause)
        self._actions.append(SendMessage(peer, message))
