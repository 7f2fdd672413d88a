"""Open requests for objects, with memory reservations, timeouts and peer back-off."""

import itertools
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from .assembly import OBJECT_MAX_BYTES, Assembly
from .distribution import Action, ReadOrigin, SendMessage
from .memory import ChunkMemory
from .messages import ChunkCancel, ChunkRequest

__all__ = ["ORIGIN", "Fetch", "FetchTable", "PeerBackoff", "Request"]

ORIGIN = "origin"
STALL_BACKOFF_S = 1.0
CORRUPT_BACKOFF_S = 2.0
BACKOFF_FACTOR = 4
BACKOFF_MAX_S = 300.0
BACKOFF_EXPONENT_MAX = 8
SCARCE_BACKOFF_S = 0.25
SCARCE_BACKOFF_MAX_S = 10.0
"""The back-off is shorter if there are few other sources."""
ORIGIN_BACKOFF_MAX_S = 0.1
"""There is only one origin.  A longer back-off would delay a version after an outage,
while a request costs only a refused connection, and few agents send one."""


@dataclass(slots=True)
class Request:
    """A request to a peer or the origin for an object."""

    peer: str
    request_id: int
    size_bytes: int
    assembly: Assembly
    progress_s: float
    timeout_s: float
    granted_bytes: int
    """Number of bytes that the peer may send; the object size for the origin."""
    region: str
    """Empty for a peer of the same region; `ORIGIN` for the origin."""
    may_draw: bool = False
    """Whether the peer fetches the object remotely if it does not hold it."""
    sequence: int = 0
    """Version for which the object is requested; 0 for a single object."""
    is_hedged: bool = False

    @property
    def has_data(self) -> bool:
        """Return whether a part of the object was received."""
        return self.assembly.received_bytes > 0

    @property
    def is_waiting(self) -> bool:
        """Return whether it may wait at a replica of the region for a remote fetch."""
        return self.may_draw and not self.region and not self.has_data

    @property
    def outstanding_bytes(self) -> int:
        """Return the number of granted bytes that have not been received yet."""
        size_bytes = self.assembly.size_bytes or self.granted_bytes
        return min(self.granted_bytes, size_bytes) - self.assembly.received_bytes


@dataclass(slots=True)
class Fetch:
    """An object being fetched, or waiting for another attempt."""

    digest: str
    size_bytes: int | None
    requests: list[Request] = field(default_factory=list)
    attempts: int = 0
    refusals: int = 0
    has_origin_failed: bool = False
    not_before_s: float = 0.0
    sequence: int = 0
    """Version for which the object was first requested; 0 for a single object."""


class _RequestKind(NamedTuple):
    """Properties by which open requests are counted."""

    region: str
    sequence: int
    may_draw: bool


class PeerBackoff:
    """Exponential back-off of peers after failures, and their open request counts."""

    def __init__(self) -> None:
        self._avoided_until_s: dict[str, float] = {}
        self._failure_counts: Counter[str] = Counter()
        self._origin_failed_s = float("-inf")
        self.outstanding: Counter[str] = Counter()

    def is_avoided(self, peer: str, now_s: float) -> bool:
        """Return whether a peer is in back-off."""
        return self._avoided_until_s.get(peer, 0.0) > now_s

    def avoided_for_s(self, peer: str, now_s: float) -> float:
        """Return the remaining back-off of a peer in seconds."""
        return max(0.0, self._avoided_until_s.get(peer, 0.0) - now_s)

    def list_avoided(self, now_s: float) -> list[str]:
        """Return the peers that are in back-off."""
        return sorted(
            peer for peer, until_s in self._avoided_until_s.items() if until_s > now_s
        )

    def record_busy(self, peer: str, until_s: float) -> None:
        """Avoid a peer that refused a request as busy."""
        self._avoided_until_s[peer] = max(until_s, self._avoided_until_s.get(peer, 0.0))

    def record_stall(self, peer: str, now_s: float) -> None:
        """Back off from a peer whose request timed out."""
        if peer == ORIGIN:
            self.record_origin_failure(now_s)
            return
        self._back_off(peer, STALL_BACKOFF_S, SCARCE_BACKOFF_MAX_S, now_s)

    def record_origin_failure(self, now_s: float) -> None:
        """Back off from the origin after a failed read."""
        self._origin_failed_s = now_s
        self._back_off(ORIGIN, SCARCE_BACKOFF_S, ORIGIN_BACKOFF_MAX_S, now_s)

    def has_origin_failed_since(self, time_s: float) -> bool:
        """Return whether a read from the origin has failed since a time."""
        return self._origin_failed_s > time_s

    def record_corrupt(
        self, peer: str, now_s: float, *, is_scarce: bool = False
    ) -> None:
        """Back off from a peer that sent corrupt data; less if sources are scarce."""
        if is_scarce:
            self._back_off(peer, SCARCE_BACKOFF_S, SCARCE_BACKOFF_MAX_S, now_s)
        else:
            self._back_off(peer, CORRUPT_BACKOFF_S, BACKOFF_MAX_S, now_s)

    def record_success(self, peer: str) -> None:
        """Decrease the failure count of a peer that sent a complete object."""
        if self._failure_counts[peer]:
            self._failure_counts[peer] -= 1

    def remove(self, peer: str) -> None:
        """Remove a peer that is no longer live."""
        self._avoided_until_s.pop(peer, None)
        del self._failure_counts[peer]

    def _back_off(self, peer: str, base_s: float, limit_s: float, now_s: float) -> None:
        if self.is_avoided(peer, now_s):
            # Requests to a peer often fail together.  If each one counted, a peer that
            # waited for the origin would be avoided for minutes.
            return
        self._failure_counts[peer] += 1
        repeats = min(self._failure_counts[peer] - 1, BACKOFF_EXPONENT_MAX)
        avoid_s = min(base_s * BACKOFF_FACTOR**repeats, limit_s)
        self._avoided_until_s[peer] = now_s + avoid_s


class FetchTable:
    """The objects being fetched, with their open requests."""

    def __init__(
        self,
        memory: ChunkMemory,
        peers: PeerBackoff,
        actions: list[Action],
        piece_bytes: int,
    ) -> None:
        self._piece_bytes = piece_bytes
        self._memory = memory
        self._peers = peers
        self._actions = actions
        self._fetches: dict[str, Fetch] = {}
        self._request_ids = itertools.count(1)
        self._counts: Counter[_RequestKind] = Counter()

    def __contains__(self, digest: str) -> bool:
        return digest in self._fetches

    def open_count(self, region: str) -> int:
        """Return the number of open requests to another region or to the origin."""
        return sum(n for kind, n in self._counts.items() if kind.region == region)

    def get(self, digest: str) -> Fetch | None:
        """Return the fetch of an object, or None."""
        return self._fetches.get(digest)

    def get_or_create(
        self, digest: str, size_bytes: int | None, sequence: int = 0
    ) -> Fetch:
        """Return the fetch of an object; create it if necessary."""
        fetch = Fetch(digest, size_bytes, sequence=sequence)
        return self._fetches.setdefault(digest, fetch)

    def count_competing(
        self, region: str, sequence: int, may_draw: bool | None = None
    ) -> int:
        """Return how many open requests to a region go before one for a version.

        Those are the requests for earlier versions, and those for the version itself,
        only the ones with the given `may_draw` unless it is None.  Requests for later
        versions don't count: they would prevent requests for chunks that have just
        become available.  The region is empty for peers of the same region.
        """
        return sum(
            count
            for key, count in self._counts.items()
            if key.region == region
            and (
                key.sequence < sequence
                or (key.sequence == sequence and may_draw in (None, key.may_draw))
            )
        )

    def is_open(self, digest: str) -> bool:
        """Return whether an object has an open request."""
        fetch = self._fetches.get(digest)
        return fetch is not None and bool(fetch.requests)

    def is_blocked(self, digest: str, now_s: float) -> bool:
        """Return whether an object has an open request or waits for a retry."""
        fetch = self._fetches.get(digest)
        if fetch is None:
            return False
        return bool(fetch.requests) or fetch.not_before_s > now_s

    def list_waiting_at(self, digest: str) -> list[str]:
        """Return the replicas of the region at which all requests of an object wait.

        Empty if the object is not requested, or not only from such replicas.
        """
        fetch = self._fetches.get(digest)
        if fetch is None or not all(r.is_waiting for r in fetch.requests):
            return []
        return [request.peer for request in fetch.requests]

    def cancel_waiting(self, fetch: Fetch) -> None:
        """Cancel the requests that wait at replicas of the region."""
        for request in [r for r in fetch.requests if r.is_waiting]:
            self.close(fetch, request, is_cancelled=True)

    def start_request(
        self,
        fetch: Fetch,
        peer: str,
        now_s: float,
        timeout_s: float,
        *,
        region: str = "",
        may_draw: bool = False,
    ) -> bool:
        """Send a request to a peer or the origin; return False if memory is full."""
        size_bytes = fetch.size_bytes or min(
            OBJECT_MAX_BYTES, self._memory.capacity_bytes
        )
        if not self._memory.reserve(size_bytes):
            return False
        request = Request(
            peer,
            next(self._request_ids),
            size_bytes,
            Assembly(fetch.digest, fetch.size_bytes),
            now_s,
            timeout_s,
            size_bytes if peer == ORIGIN else self._piece_bytes,
            region,
            may_draw,
            fetch.sequence,
        )
        fetch.requests.append(request)
        self._count(request, 1)
        if peer == ORIGIN:
            self._actions.append(ReadOrigin(fetch.digest))
        else:
            message = ChunkRequest(
                fetch.digest, request.request_id, may_draw, request.granted_bytes
            )
            self._actions.append(SendMessage(peer, message))
        return True

    def find(self, peer: str, digest: str, request_id: int) -> Request | None:
        """Return an open request, or None."""
        fetch = self._fetches.get(digest)
        for request in fetch.requests if fetch else ():
            if request.peer == peer and request.request_id == request_id:
                return request
        return None

    def find_origin_read(self, digest: str) -> Request | None:
        """Return the open read of an object from the origin, or None."""
        fetch = self._fetches.get(digest)
        for request in fetch.requests if fetch else ():
            if request.peer == ORIGIN:
                return request
        return None

    def close(self, fetch: Fetch, request: Request, *, is_cancelled: bool) -> None:
        """Close a request; if `is_cancelled`, send the peer a cancellation."""
        fetch.requests.remove(request)
        self._memory.unreserve(request.size_bytes)
        self._count(request, -1)
        if is_cancelled and request.peer != ORIGIN:
            message = ChunkCancel(fetch.digest, request.request_id)
            self._actions.append(SendMessage(request.peer, message))

    def finish(self, digest: str, done: Request | None = None) -> None:
        """Remove the fetch of an object and cancel its requests.

        `done` is the request that delivered the object, if any.
        """
        fetch = self._fetches.pop(digest, None)
        if fetch is not None:
            for request in list(fetch.requests):
                self.close(fetch, request, is_cancelled=request is not done)

    def iterate_requests(self) -> Iterator[tuple[Fetch, Request]]:
        """Yield every open request; requests may be closed during the iteration."""
        for fetch in list(self._fetches.values()):
            for request in list(fetch.requests):
                yield fetch, request

    def _count(self, request: Request, change: int) -> None:
        self._peers.outstanding[request.peer] += change
        kind = _RequestKind(request.region, request.sequence, request.may_draw)
        self._counts[kind] += change
        if not self._counts[kind]:
            del self._counts[kind]
