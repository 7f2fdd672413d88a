"""Queue of uploads to peers, with rate limits per link."""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from reedspar.utils import TokenBucket

from .distribution import SendMessage
from .limits import SwarmLimits
from .memory import ChunkMemory
from .messages import ChunkPiece, ChunkRefused, ChunkRequest, RefusalCause

__all__ = ["UploadQueue", "WaitingRequests"]

OTHER_REGION_QUEUE_MAX = 64
WAITING_REQUESTS_MAX = 512
MACHINE_BURST_PIECES = 4
REGION_BURST_PIECES = 2


@dataclass(slots=True)
class _Upload:
    peer: str
    request_id: int
    digest: str
    region: str
    granted_bytes: int
    """Number of bytes that the receiver has granted."""
    sent_bytes: int = 0

    @property
    def has_credit(self) -> bool:
        """Return whether granted bytes remain to be sent."""
        return self.sent_bytes < self.granted_bytes


class UploadQueue:
    """Serves requests sequentially in pieces, within the rate limits of the links.

    The first request with credit is served, because a complete chunk can be passed on,
    but two halves can't.  Requests of other regions have precedence: the links between
    regions are narrow, and their idle time can't be recovered.
    """

    def __init__(self, memory: ChunkMemory, limits: SwarmLimits) -> None:
        self._memory = memory
        self._limits = limits
        self._machine_bucket = TokenBucket(
            limits.machine_bytes_per_s, MACHINE_BURST_PIECES * limits.piece_bytes
        )
        self._region_buckets: dict[str, TokenBucket] = {}
        self._same_region: deque[_Upload] = deque()
        self._other_regions: dict[str, deque[_Upload]] = {}
        self._sent_bytes = 0

    @property
    def sent_bytes(self) -> int:
        """Return the number of object bytes sent."""
        return self._sent_bytes

    @property
    def queued(self) -> int:
        """Return the number of requests of the same region."""
        return len(self._same_region)

    def add(
        self, peer: str, request_id: int, digest: str, region: str, granted_bytes: int
    ) -> bool:
        """Queue a request for an object in memory; return False if the queue is full.

        `region` is empty for a peer of the same region.
        """
        queue = (
            self._other_regions.setdefault(region, deque())
            if region
            else self._same_region
        )
        if len(queue) >= (
            OTHER_REGION_QUEUE_MAX if region else self._limits.same_region_queue_limit
        ):
            return False
        same_chunk_count = sum(upload.digest == digest for upload in queue)
        if not region and same_chunk_count >= self._limits.same_chunk_limit:
            return False
        queue.append(_Upload(peer, request_id, digest, region, granted_bytes))
        return True

    def grant(self, peer: str, request_id: int, granted_bytes: int) -> None:
        """Extend the credit of a request."""
        for queue in (self._same_region, *self._other_regions.values()):
            for upload in queue:
                if upload.peer == peer and upload.request_id == request_id:
                    upload.granted_bytes = max(upload.granted_bytes, granted_bytes)

    def cancel(self, peer: str, request_id: int) -> None:
        """Remove a request that was cancelled."""
        for queue in (self._same_region, *self._other_regions.values()):
            for upload in list(queue):
                if upload.peer == peer and upload.request_id == request_id:
                    self._remove(queue, upload)

    def drop_peer(self, peer: str) -> None:
        """Remove all requests of a peer that is not live."""
        for queue in (self._same_region, *self._other_regions.values()):
            for upload in list(queue):
                if upload.peer == peer:
                    self._remove(queue, upload)

    def take_pieces(self, now_s: float) -> list[SendMessage]:
        """Return the messages that the rate limits allow to be sent now."""
        messages = []
        while self._machine_bucket.is_ready(now_s):
            upload = self._next_upload(now_s)
            if upload is None:
                break
            messages.append(self._pop_piece(upload, now_s))
        return messages

    def due_s(self, now_s: float) -> float | None:
        """Return the time of the next piece, or None if there is none to send."""
        times = [
            self._bucket_of(region).ready_at_s(now_s)
            for region, queue in self._other_regions.items()
            if _first_granted(queue)
        ]
        if _first_granted(self._same_region):
            times.append(now_s)
        return (
            max(min(times), self._machine_bucket.ready_at_s(now_s)) if times else None
        )

    def _next_upload(self, now_s: float) -> _Upload | None:
        for region, queue in self._other_regions.items():
            upload = _first_granted(queue)
            if upload is not None and self._bucket_of(region).is_ready(now_s):
                return upload
        return _first_granted(self._same_region)

    def _pop_piece(self, upload: _Upload, now_s: float) -> SendMessage:
        queue = (
            self._other_regions[upload.region] if upload.region else self._same_region
        )
        data = self._memory.get(upload.digest)
        if data is None:
            self._remove(queue, upload)
            refusal = ChunkRefused(
                upload.digest, upload.request_id, RefusalCause.NOT_HELD
            )
            return SendMessage(upload.peer, refusal)
        if upload.sent_bytes == 0:
            self._memory.pin(upload.digest)
        start = upload.sent_bytes
        end = min(start + self._limits.piece_bytes, upload.granted_bytes)
        piece = data[start:end]
        upload.sent_bytes += len(piece)
        self._sent_bytes += len(piece)
        self._machine_bucket.consume(len(piece), now_s)
        if upload.region:
            self._bucket_of(upload.region).consume(len(piece), now_s)
        if upload.sent_bytes >= len(data):
            self._remove(queue, upload)
        message = ChunkPiece(upload.digest, upload.request_id, start, len(data), piece)
        return SendMessage(upload.peer, message)

    def _remove(self, queue: deque[_Upload], upload: _Upload) -> None:
        queue.remove(upload)
        if upload.sent_bytes:
            self._memory.unpin(upload.digest)

    def _bucket_of(self, region: str) -> TokenBucket:
        if region not in self._region_buckets:
            burst_bytes = REGION_BURST_PIECES * self._limits.piece_bytes
            bucket = TokenBucket(self._limits.region_bytes_per_s, burst_bytes)
            self._region_buckets[region] = bucket
        return self._region_buckets[region]


def _first_granted(queue: Iterable[_Upload]) -> _Upload | None:
    return next((upload for upload in queue if upload.has_credit), None)


class WaitingRequests:
    """Requests for objects that are being fetched or whose version is not known yet."""

    def __init__(self, refuse: Callable[[str, int, str], None]) -> None:
        self._refuse = refuse
        self._waiting: OrderedDict[tuple[str, int], tuple[ChunkRequest, float]] = (
            OrderedDict()
        )

    def add(self, peer: str, request: ChunkRequest, until_s: float) -> bool:
        """Store a request; return False if there are too many."""
        if len(self._waiting) >= WAITING_REQUESTS_MAX:
            return False
        self._waiting[peer, request.request_id] = (request, until_s)
        return True

    def cancel(self, peer: str, request_id: int) -> None:
        """Remove a request that was cancelled."""
        self._waiting.pop((peer, request_id), None)

    def pop(self, digest: str) -> list[tuple[str, ChunkRequest]]:
        """Remove and return the requests for an object that is now in memory."""
        found = [
            (key, request)
            for key, (request, _) in self._waiting.items()
            if request.digest == digest
        ]
        for key, _ in found:
            del self._waiting[key]
        return [(peer, request) for (peer, _), request in found]

    def expire(self, now_s: float) -> None:
        """Refuse the requests that have reached their wait limit."""
        late = [
            (key, request.digest)
            for key, (request, until_s) in self._waiting.items()
            if until_s <= now_s
        ]
        for (peer, request_id), digest in late:
            del self._waiting[peer, request_id]
            self._refuse(peer, request_id, digest)
