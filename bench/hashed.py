"""The design before: every target asks each chunk's hashed drawer.

The drawer of a chunk is the first of its region's live agents by rendezvous
hashing.  In the origin's region it draws from the origin; elsewhere it asks
the drawer of the origin's region.  Each further attempt goes one rank down.
"""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field

from reedspar.errors import Failure
from reedspar.utils import digest_bytes, rank_by_rendezvous
from reedspar.weights.assembly import Assembly, split_into_pieces
from reedspar.weights.distribution import (
    Action,
    ObjectReady,
    ReadOrigin,
    SendMessage,
    WeightPeer,
)
from reedspar.weights.manifest import Manifest
from reedspar.weights.messages import (
    ChunkPiece,
    ChunkRefused,
    ChunkRequest,
    RefusalCause,
    WeightMessage,
)

__all__ = ["HashedDistribution"]

WINDOW = 8
"""Objects asked for at a time."""
RETRY_S = 0.2
TICK_S = 0.05


@dataclass(slots=True)
class _Want:
    """An object that is needed, and how getting it goes."""

    digest: str
    model: str
    size_bytes: int | None
    roots: set[str] = field(default_factory=set)
    attempts: int = 0
    request_id: int = 0
    peer: str = ""
    assembly: Assembly | None = None
    is_reading: bool = False
    deadline_s: float = 0.0
    not_before_s: float = 0.0

    @property
    def is_open(self) -> bool:
        return self.assembly is not None or self.is_reading


class HashedDistribution:
    """Decide by rendezvous hashing, without knowing what the peers hold."""

    def __init__(
        self, me: WeightPeer, origin_region: str, request_timeout_s: float
    ) -> None:
        self._me = me
        self._origin_region = origin_region
        self._timeout_s = request_timeout_s
        self._peers: dict[str, tuple[WeightPeer, ...]] = {}
        self._wants: dict[str, _Want] = {}
        self._objects: dict[str, bytes] = {}
        self._waiting: dict[str, list[tuple[str, int]]] = {}
        self._request_ids = itertools.count(1)
        self._actions: list[Action] = []

    def set_peers(self, model: str, peers: Iterable[WeightPeer], now_s: float) -> None:
        """Replace the live agents that need or hold a model."""
        self._peers[model] = tuple(peers)

    def fetch_object(self, model: str, digest: str, now_s: float) -> None:
        """Get one object."""
        self._want(model, digest, None, digest)
        self._fill(now_s)

    def register_version(self, manifest: Manifest, now_s: float) -> None:
        """Do nothing: any object in memory is served."""

    def fetch_chunks(self, manifest: Manifest, now_s: float) -> None:
        """Get every chunk of a version."""
        for chunk in manifest.chunks:
            root_digest = manifest.root_digest
            self._want(manifest.model, chunk.digest, chunk.size_bytes, root_digest)
        self._fill(now_s)

    def remove_version(self, root_digest: str, now_s: float) -> None:
        """Stop getting chunks that only this version needs."""
        for want in list(self._wants.values()):
            want.roots.discard(root_digest)
            if not want.roots:
                del self._wants[want.digest]

    def receive(self, peer: str, message: WeightMessage, now_s: float) -> None:
        """Take a message of a peer."""
        if isinstance(message, ChunkRequest):
            self._serve(peer, message)
        elif isinstance(message, ChunkPiece):
            self._take_piece(peer, message, now_s)
        elif isinstance(message, ChunkRefused):
            want = self._wants.get(message.digest)
            if want and want.request_id == message.request_id:
                self._try_later(want, now_s)

    def complete_read(self, digest: str, result: bytes | Failure, now_s: float) -> None:
        """Take the outcome of a read from the origin."""
        want = self._wants.get(digest)
        if not isinstance(result, Failure) and digest_bytes(result) == digest:
            self._finish(digest, result, now_s)
        elif want is not None:
            self._try_later(want, now_s)

    def object_bytes(self, digest: str) -> bytes | None:
        """Return an object that is in memory."""
        return self._objects.get(digest)

    def release(self, digest: str, now_s: float) -> None:
        """Do nothing: this distribution keeps every object."""

    def handle_send_failure(
        self, peer: str, message: WeightMessage, now_s: float
    ) -> None:
        """Do nothing: the deadline covers it."""

    def handle_link_lost(self, peer: str, now_s: float) -> None:
        """Do nothing: the view tells of it later."""

    def handle_pause(self, now_s: float) -> None:
        """Ask again for whatever is open: answers may have been missed."""
        for want in self._wants.values():
            if want.is_open:
                self._try_later(want, now_s)

    def tick(self, now_s: float) -> None:
        """Overtake requests past their deadline, and ask for more."""
        for want in self._wants.values():
            if want.is_open and now_s >= want.deadline_s:
                self._try_later(want, now_s)
        self._fill(now_s)

    def due_s(self, now_s: float) -> float:
        """Return when `tick` should be called next."""
        return now_s + TICK_S

    def take_actions(self) -> list[Action]:
        """Return and forget the actions decided since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def _want(
        self, model: str, digest: str, size_bytes: int | None, root_digest: str
    ) -> None:
        if digest in self._objects:
            self._actions.append(ObjectReady(digest))
            return
        want = self._wants.setdefault(digest, _Want(digest, model, size_bytes))
        want.roots.add(root_digest)

    def _fill(self, now_s: float) -> None:
        free = WINDOW - sum(want.is_open for want in self._wants.values())
        for want in self._wants.values():
            if free <= 0:
                return
            if not want.is_open and now_s >= want.not_before_s:
                self._ask(want, now_s)
                free -= 1

    def _ask(self, want: _Want, now_s: float) -> None:
        ranked = self._rank(want, self._me.region)
        name = ranked[want.attempts % len(ranked)]
        want.deadline_s = now_s + self._timeout_s
        if name == self._me.name:
            sources = self._rank(want, self._origin_region)
            name = sources[want.attempts % len(sources)]
            if self._me.region == self._origin_region or name == self._me.name:
                want.is_reading = True
                self._actions.append(ReadOrigin(want.digest))
                return
        want.peer = name
        want.request_id = next(self._request_ids)
        want.assembly = Assembly(want.digest, want.size_bytes)
        message = ChunkRequest(want.digest, want.request_id)
        self._actions.append(SendMessage(name, message))

    def _rank(self, want: _Want, region: str) -> list[str]:
        """Return the agents of a region for an object; this one if it has none."""
        agents = [self._me, *self._peers.get(want.model, ())]
        names = [agent.name for agent in agents if agent.region == region]
        return rank_by_rendezvous(want.digest, names) or [self._me.name]

    def _try_later(self, want: _Want, now_s: float) -> None:
        want.attempts += 1
        want.assembly = None
        want.is_reading = False
        want.not_before_s = now_s + RETRY_S

    def _serve(self, peer: str, request: ChunkRequest) -> None:
        data = self._objects.get(request.digest)
        if data is not None:
            self._send_object(peer, request.request_id, request.digest, data)
        elif request.digest in self._wants:
            waiting = self._waiting.setdefault(request.digest, [])
            waiting.append((peer, request.request_id))
        else:
            refusal = ChunkRefused(
                request.digest, request.request_id, RefusalCause.NOT_HELD
            )
            self._actions.append(SendMessage(peer, refusal))

    def _send_object(
        self, peer: str, request_id: int, digest: str, data: bytes
    ) -> None:
        for piece in split_into_pieces(digest, request_id, data):
            self._actions.append(SendMessage(peer, piece))

    def _take_piece(self, peer: str, piece: ChunkPiece, now_s: float) -> None:
        want = self._wants.get(piece.digest)
        if want is None or want.assembly is None or want.peer != peer:
            return
        if want.request_id != piece.request_id:
            return
        result = want.assembly.add(piece, peer)
        if isinstance(result, Failure):
            self._try_later(want, now_s)
        elif result is not None:
            self._finish(want.digest, result, now_s)

    def _finish(self, digest: str, data: bytes, now_s: float) -> None:
        if self._wants.pop(digest, None) is None:
            return
        self._objects[digest] = data
        self._actions.append(ObjectReady(digest))
        for peer, request_id in self._waiting.pop(digest, ()):
            self._send_object(peer, request_id, digest, data)
        self._fill(now_s)
