"""Open requests for objects: their room in memory, their deadlines, their peers."""

import itertools
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from .assembly import OBJECT_LIMIT_BYTES, Assembly
from .distribution import Action, ReadOrigin, SendMessage
from .memory import ChunkMemory
from .messages import ChunkCancel, ChunkRequest

__all__ = ["ORIGIN", "Fetch", "FetchBook", "PeerBook", "Request"]

ORIGIN = "origin"
AVOID_STALLED_S = 1.0
AVOID_CORRUPT_S = 2.0
AVOID_FACTOR = 4
AVOID_MAX_S = 300.0
REPEATS_MAX = 8
AVOID_SCARCE_S = 0.25
AVOID_SCARCE_MAX_S = 10.0
"""Where there are few others to ask, a peer or the origin is avoided for less."""
AVOID_ORIGIN_MAX_S = 0.25
"""There is no other origin.

Avoided by all for longer than it is away, it would hold up a version that could be on
every target.  A question costs a refused connection, and only few ask."""


@dataclass(slots=True)
class Request:
    """One request to one peer (or the origin) for one object."""

    peer: str
    request_id: int
    size_bytes: int
    assembly: Assembly
    progress_s: float
    timeout_s: float
    granted_bytes: int
    """How far the peer may go on; at the origin, everything."""
    region: str
    """Empty within the own region; `ORIGIN` for the origin."""
    is_overtaken: bool = False

    @property
    def has_begun(self) -> bool:
        """Tell whether a part of the object has arrived."""
        return self.assembly.received_bytes > 0

    @property
    def expected_bytes(self) -> int:
        """Return what the peer may send and has not arrived."""
        size_bytes = self.assembly.size_bytes or self.granted_bytes
        return min(self.granted_bytes, size_bytes) - self.assembly.received_bytes


@dataclass(slots=True)
class Fetch:
    """An object on its way, or to be got again."""

    digest: str
    size_bytes: int | None
    requests: list[Request] = field(default_factory=list)
    attempts: int = 0
    refusals: int = 0
    has_origin_failed: bool = False
    not_before_s: float = 0.0


class PeerBook:
    """Which peers to leave alone for a while, and what they were asked for."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}
        self._strikes: Counter[str] = Counter()
        self._origin_failed_s = float("-inf")
        self.outstanding: Counter[str] = Counter()

    def is_avoided(self, peer: str, now_s: float) -> bool:
        """Tell whether a peer is left alone now."""
        return self._until_s.get(peer, 0.0) > now_s

    def avoided_for_s(self, peer: str, now_s: float) -> float:
        """Return how long a peer is still left alone, in seconds."""
        return max(0.0, self._until_s.get(peer, 0.0) - now_s)

    def list_avoided(self, now_s: float) -> list[str]:
        """Return the peers that are left alone now."""
        return sorted(
            peer for peer, until_s in self._until_s.items() if until_s > now_s
        )

    def note_busy(self, peer: str, until_s: float) -> None:
        """Leave a peer alone that has said that it is busy."""
        self._until_s[peer] = max(until_s, self._until_s.get(peer, 0.0))

    def note_stalled(self, peer: str, now_s: float) -> None:
        """Leave a peer alone that sent nothing in time."""
        if peer == ORIGIN:
            self.note_origin_failed(now_s)
            return
        self._strike(peer, AVOID_STALLED_S, AVOID_SCARCE_MAX_S, now_s)

    def note_origin_failed(self, now_s: float) -> None:
        """Leave the origin alone for a moment."""
        self._origin_failed_s = now_s
        self._strike(ORIGIN, AVOID_SCARCE_S, AVOID_ORIGIN_MAX_S, now_s)

    def has_origin_failed_since(self, time_s: float) -> bool:
        """Tell whether a read of the origin has failed after a time."""
        return self._origin_failed_s > time_s

    def note_corrupt(self, peer: str, now_s: float, *, is_scarce: bool = False) -> None:
        """Leave a peer alone that sent wrong bytes; shortly if there are few others."""
        if is_scarce:
            self._strike(peer, AVOID_SCARCE_S, AVOID_SCARCE_MAX_S, now_s)
        else:
            self._strike(peer, AVOID_CORRUPT_S, AVOID_MAX_S, now_s)

    def note_good(self, peer: str) -> None:
        """Forget one strike of a peer that has sent a whole object."""
        if self._strikes[peer]:
            self._strikes[peer] -= 1

    def forget(self, peer: str) -> None:
        """Forget a peer that is gone."""
        self._until_s.pop(peer, None)
        del self._strikes[peer]

    def _strike(self, peer: str, base_s: float, limit_s: float, now_s: float) -> None:
        if self.is_avoided(peer, now_s):
            # Requests to one peer often fail together.  Were each to count, a
            # peer that waited for the origin would be avoided for minutes.
            return
        self._strikes[peer] += 1
        repeats = min(self._strikes[peer] - 1, REPEATS_MAX)
        avoid_s = min(base_s * AVOID_FACTOR**repeats, limit_s)
        self._until_s[peer] = now_s + avoid_s


class FetchBook:
    """Every object that is being got."""

    def __init__(
        self,
        memory: ChunkMemory,
        peers: PeerBook,
        actions: list[Action],
        piece_bytes: int,
    ) -> None:
        self._piece_bytes = piece_bytes
        self._memory = memory
        self._peers = peers
        self._actions = actions
        self._fetches: dict[str, Fetch] = {}
        self._request_ids = itertools.count(1)
        self._near_open = 0
        self._far_open: Counter[str] = Counter()

    def __contains__(self, digest: str) -> bool:
        return digest in self._fetches

    @property
    def near_open(self) -> int:
        """Return how many requests are open within the region."""
        return self._near_open

    def far_open(self, region: str) -> int:
        """Return how many requests are open to a region, or to the origin."""
        return self._far_open[region]

    def get(self, digest: str) -> Fetch | None:
        """Return the fetch of an object."""
        return self._fetches.get(digest)

    def ensure(self, digest: str, size_bytes: int | None) -> Fetch:
        """Return the fetch of an object, made if there is none."""
        return self._fetches.setdefault(digest, Fetch(digest, size_bytes))

    def is_open(self, digest: str) -> bool:
        """Tell whether an object has been asked for."""
        fetch = self._fetches.get(digest)
        return fetch is not None and bool(fetch.requests)

    def is_blocked(self, digest: str, now_s: float) -> bool:
        """Tell whether an object is asked for, or not to be asked for yet."""
        fetch = self._fetches.get(digest)
        if fetch is None:
            return False
        return bool(fetch.requests) or fetch.not_before_s > now_s

    def ask(
        self,
        fetch: Fetch,
        peer: str,
        now_s: float,
        timeout_s: float,
        *,
        region: str = "",
        may_draw: bool = False,
    ) -> bool:
        """Ask a peer, or the origin; False if there is no room in memory."""
        size_bytes = fetch.size_bytes or min(
            OBJECT_LIMIT_BYTES, self._memory.capacity_bytes
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
        """Return an open request."""
        fetch = self._fetches.get(digest)
        for request in fetch.requests if fetch else ():
            if request.peer == peer and request.request_id == request_id:
                return request
        return None

    def find_read(self, digest: str) -> Request | None:
        """Return the open read of an object from the origin."""
        fetch = self._fetches.get(digest)
        for request in fetch.requests if fetch else ():
            if request.peer == ORIGIN:
                return request
        return None

    def close(self, fetch: Fetch, request: Request, *, is_cancelled: bool) -> None:
        """End a request; the peer is told if it may still send."""
        fetch.requests.remove(request)
        self._memory.unreserve(request.size_bytes)
        self._count(request, -1)
        if is_cancelled and request.peer != ORIGIN:
            message = ChunkCancel(fetch.digest, request.request_id)
            self._actions.append(SendMessage(request.peer, message))

    def finish(self, digest: str, done: Request | None = None) -> None:
        """Forget an object that is there or not needed, and cancel its requests.

        `done` is the request that brought it, if one did.
        """
        fetch = self._fetches.pop(digest, None)
        if fetch is not None:
            for request in list(fetch.requests):
                self.close(fetch, request, is_cancelled=request is not done)

    def iterate(self) -> Iterator[tuple[Fetch, Request]]:
        """Yield every open request; the requests may be closed meanwhile."""
        for fetch in list(self._fetches.values()):
            for request in list(fetch.requests):
                yield fetch, request

    def _count(self, request: Request, change: int) -> None:
        self._peers.outstanding[request.peer] += change
        if request.region:
            self._far_open[request.region] += change
        else:
            self._near_open += change
