"""Which piece goes out next: requests that peers have made of this agent."""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from reedspar.utils import TokenBucket

from .distribution import SendMessage
from .limits import SwarmLimits
from .memory import ChunkMemory
from .messages import ChunkPiece, ChunkRefused, ChunkRequest, RefusalCause

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
    granted_bytes: int
    """How far the receiver lets this agent go on."""
    sent_bytes: int = 0

    @property
    def may_go_on(self) -> bool:
        """Tell whether the receiver has room for more."""
        return self.sent_bytes < self.granted_bytes


class UploadQueue:
    """Serve requests one after the other, in pieces, within the links' budgets.

    The first one whose receiver has room, because a chunk that arrived whole can be
    handed on, and two halves can't.  Those of other regions go first: their link is
    narrow, and what it has missed it can't make up for.
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

    def add(
        self, peer: str, request_id: int, digest: str, region: str, granted_bytes: int
    ) -> bool:
        """Queue a request for an object in memory; False if there are too many.

        `region` is empty for a peer of the own region.
        """
        queue = self._far.setdefault(region, deque()) if region else self._near
        if len(queue) >= (FAR_LIMIT if region else self._limits.near_queue):
            return False
        same = sum(upload.digest == digest for upload in queue)
        if not region and same >= self._limits.same_chunk:
            return False
        queue.append(_Upload(peer, request_id, digest, region, granted_bytes))
        return True

    def grant(self, peer: str, request_id: int, granted_bytes: int) -> None:
        """Take a receiver's word that it has room for more."""
        for queue in (self._near, *self._far.values()):
            for upload in queue:
                if upload.peer == peer and upload.request_id == request_id:
                    upload.granted_bytes = max(upload.granted_bytes, granted_bytes)

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
            upload = self._next_upload(now_s)
            if upload is None:
                break
            messages.append(self._take_piece(upload, now_s))
        return messages

    def due_s(self, now_s: float) -> float | None:
        """Return when the next piece may go, or None if there is none to send."""
        times = [
            self._bucket_of(region).ready_at_s(now_s)
            for region, queue in self._far.items()
            if _first_granted(queue)
        ]
        if _first_granted(self._near):
            times.append(now_s)
        return max(min(times), self._machine.ready_at_s(now_s)) if times else None

    def _next_upload(self, now_s: float) -> _Upload | None:
        for region, queue in self._far.items():
            upload = _first_granted(queue)
            if upload is not None and self._bucket_of(region).is_ready(now_s):
                return upload
        return _first_granted(self._near)

    def _take_piece(self, upload: _Upload, now_s: float) -> SendMessage:
        queue = self._far[upload.region] if upload.region else self._near
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


def _first_granted(queue: Iterable[_Upload]) -> _Upload | None:
    return next((upload for upload in queue if upload.may_go_on), None)


class WaitingRequests:
    """Requests for objects that this agent is getting, or will soon know of."""

    def __init__(self, refuse: Callable[[str, int, str], None]) -> None:
        self._refuse = refuse
        self._waiting: OrderedDict[tuple[str, int], tuple[ChunkRequest, float]] = (
            OrderedDict()
        )

    def add(self, peer: str, request: ChunkRequest, until_s: float) -> bool:
        """Keep a request for later; False if there are too many."""
        if len(self._waiting) >= WAITING_LIMIT:
            return False
        self._waiting[peer, request.request_id] = (request, until_s)
        return True

    def cancel(self, peer: str, request_id: int) -> None:
        """Drop a request."""
        self._waiting.pop((peer, request_id), None)

    def take(self, digest: str) -> list[tuple[str, ChunkRequest]]:
        """Return and forget the requests for an object that is now there."""
        found = [
            (key, request)
            for key, (request, _) in self._waiting.items()
            if request.digest == digest
        ]
        for key, _ in found:
            del self._waiting[key]
        return [(peer, request) for (peer, _), request in found]

    def expire(self, now_s: float) -> None:
        """Refuse the requests that have waited too long."""
        late = [
            (key, request.digest)
            for key, (request, until_s) in self._waiting.items()
            if until_s <= now_s
        ]
        for (peer, request_id), digest in late:
            del self._waiting[peer, request_id]
            self._refuse(peer, request_id, digest)
