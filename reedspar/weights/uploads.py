"""Which piece goes out next: requests that peers have made of this agent."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from reedspar.utils import TokenBucket

from .distribution import SendMessage
from .limits import SwarmLimits
from .memory import ChunkMemory
from .messages import ChunkPiece, ChunkRefused, RefusalCause

__all__ = ["UploadQueue", "WaitingRequests"]

FAR_LIMIT = 64
WAITING_LIMIT = 512
MACHINE_BURST_PIECES = 4
REGION_BURST_PIECES = 2


@dataclass(slots=True)
class _Upload:
    peer: str
    request_id: int
    digest: str
    region: str
    sent_bytes: int = 0


class UploadQueue:
    """Serve requests one after the other, in pieces, within the links' budgets.

    One at a time, because a chunk that arrived whole can be handed on, and
    two halves can't.  Those of other regions go first: their link is narrow,
    and what it has missed it can't make up for.
    """

    def __init__(self, memory: ChunkMemory, limits: SwarmLimits) -> None:
        self._memory = memory
        self._limits = limits
        self._machine = TokenBucket(
            limits.machine_bytes_per_s, MACHINE_BURST_PIECES * limits.piece_bytes
        )
        self._regions: dict[str, TokenBucket] = {}
        self._near: deque[_Upload] = deque()
        self._far: dict[str, deque[_Upload]] = {}
        self._sent_bytes = 0

    @property
    def sent_bytes(self) -> int:
        """Return the bytes of objects that were sent."""
        return self._sent_bytes

    @property
    def queued(self) -> int:
        """Return how many requests of the own region wait or are served."""
        return len(self._near)

    def add(self, peer: str, request_id: int, digest: str, region: str) -> bool:
        """Queue a request for an object in memory; False if there are too many.

        `region` is empty for a peer of the own region.
        """
        queue = self._far.setdefault(region, deque()) if region else self._near
        if len(queue) >= (FAR_LIMIT if region else self._limits.near_queue):
            return False
        same = sum(upload.digest == digest for upload in queue)
        if not region and same >= self._limits.same_chunk:
            return False
        queue.append(_Upload(peer, request_id, digest, region))
        return True

    def cancel(self, peer: str, request_id: int) -> None:
        """Drop a request; what was sent of it was in vain."""
        for queue in (self._near, *self._far.values()):
            for upload in list(queue):
                if upload.peer == peer and upload.request_id == request_id:
                    self._remove(queue, upload)

    def drop_peer(self, peer: str) -> None:
        """Drop every request of a peer that is gone."""
        for queue in (self._near, *self._far.values()):
            for upload in list(queue):
                if upload.peer == peer:
                    self._remove(queue, upload)

    def take_pieces(self, now_s: float) -> list[SendMessage]:
        """Return the messages that the budgets let go now."""
        messages = []
        while self._machine.is_ready(now_s):
            queue = self._next_queue(now_s)
            if queue is None:
                break
            messages.append(self._take_piece(queue, now_s))
        return messages

    def due_s(self, now_s: float) -> float | None:
        """Return when the next piece may go, or None if there is none to send."""
        regions = [region for region, queue in self._far.items() if queue]
        times = [self._bucket_of(r).ready_at_s(now_s) for r in regions]
        if self._near:
            times.append(now_s)
        return max(min(times), self._machine.ready_at_s(now_s)) if times else None

    def _next_queue(self, now_s: float) -> deque[_Upload] | None:
        for region, queue in self._far.items():
            if queue and self._bucket_of(region).is_ready(now_s):
                return queue
        return self._near or None

    def _take_piece(self, queue: deque[_Upload], now_s: float) -> SendMessage:
        upload = queue[0]
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
        piece = data[start : start + self._limits.piece_bytes]
        upload.sent_bytes += len(piece)
        self._sent_bytes += len(piece)
        self._machine.take(len(piece), now_s)
        if upload.region:
            self._bucket_of(upload.region).take(len(piece), now_s)
        if upload.sent_bytes >= len(data):
            self._remove(queue, upload)
        message = ChunkPiece(upload.digest, upload.request_id, start, len(data), piece)
        return SendMessage(upload.peer, message)

    def _remove(self, queue: deque[_Upload], upload: _Upload) -> None:
        queue.remove(upload)
        if upload.sent_bytes:
            self._memory.unpin(upload.digest)

    def _bucket_of(self, region: str) -> TokenBucket:
        if region not in self._regions:
            burst_bytes = REGION_BURST_PIECES * self._limits.piece_bytes
            bucket = TokenBucket(self._limits.region_bytes_per_s, burst_bytes)
            self._regions[region] = bucket
        return self._regions[region]


class WaitingRequests:
    """Requests for objects that this agent is getting, or will soon know of."""

    def __init__(self, refuse: Callable[[str, int, str], None]) -> None:
        self._refuse = refuse
        self._waiting: OrderedDict[tuple[str, int], tuple[str, float]] = OrderedDict()

    def add(self, peer: str, request_id: int, digest: str, until_s: float) -> bool:
        """Keep a request for later; False if there are too many."""
        if len(self._waiting) >= WAITING_LIMIT:
            return False
        self._waiting[peer, request_id] = (digest, until_s)
        return True

    def cancel(self, peer: str, request_id: int) -> None:
        """Drop a request."""
        self._waiting.pop((peer, request_id), None)

    def take(self, digest: str) -> list[tuple[str, int]]:
        """Return and forget the requests for an object that is now there."""
        found = [key for key, (name, _) in self._waiting.items() if name == digest]
        for key in found:
            del self._waiting[key]
        return found

    def expire(self, now_s: float) -> None:
        """Refuse the requests that have waited too long."""
        late = [
            (key, digest)
            for key, (digest, until_s) in self._waiting.items()
            if until_s <= now_s
        ]
        for (peer, request_id), digest in late:
            del self._waiting[peer, request_id]
            self._refuse(peer, request_id, digest)
