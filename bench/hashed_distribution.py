"""Baseline distribution: one agent per region fetches each chunk for all others.

Rendezvous hashing of a chunk's digest ranks the live agents of each region.  An agent
requests a chunk from the highest-ranked agent of its own region.  In the origin's
region, that agent reads the chunk from the origin; in any other region, it requests
the chunk from the highest-ranked agent of the origin's region.  Each retry uses the
next rank.  `bench.weights_distribution` compares this design with the swarm.
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
    VersionStatus,
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

OPEN_FETCHES_MAX = 8
RETRY_DELAY_S = 0.2
TICK_INTERVAL_S = 0.05


@dataclass(slots=True)
class _Fetch:
    """State of the fetch of one object."""

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
    """Choose sources by rendezvous hashing, without knowing what peers hold."""

    def __init__(
        self, local_peer: WeightPeer, origin_region: str, request_timeout_s: float
    ) -> None:
        self._local_peer = local_peer
        self._origin_region = origin_region
        self._timeout_s = request_timeout_s
        self._peers: dict[str, tuple[WeightPeer, ...]] = {}
        self._fetches: dict[str, _Fetch] = {}
        self._objects: dict[str, bytes] = {}
        self._waiting_requests: dict[str, list[tuple[str, int]]] = {}
        self._request_ids = itertools.count(1)
        self._actions: list[Action] = []

    def set_peers(self, model: str, peers: Iterable[WeightPeer], now_s: float) -> None:
        """Replace the live agents that need or hold a model."""
        self._peers[model] = tuple(peers)

    def fetch_object(self, model: str, digest: str, now_s: float) -> None:
        """Fetch one object."""
        self._add_fetch(model, digest, None, digest)
        self._start_fetches(now_s)

    def register_version(self, manifest: Manifest, now_s: float) -> None:
        """Do nothing: any object in memory is served."""

    def fetch_chunks(self, manifest: Manifest, now_s: float) -> None:
        """Fetch every chunk of a version."""
        for chunk in manifest.chunks:
            root_digest = manifest.root_digest
            self._add_fetch(manifest.model, chunk.digest, chunk.size_bytes, root_digest)
        self._start_fetches(now_s)

    def remove_version(self, root_digest: str, now_s: float) -> None:
        """Stop fetching chunks that only this version needs."""
        for fetch in list(self._fetches.values()):
            fetch.roots.discard(root_digest)
            if not fetch.roots:
                del self._fetches[fetch.digest]

    def status(self, root_digest: str, now_s: float) -> VersionStatus:
        """Return the status of a transfer of which nothing is known."""
        return VersionStatus()

    def set_drawn_version(self, model: str, root_digest: str, now_s: float) -> None:
        """Do nothing: only caches choose."""

    def receive(self, peer: str, message: WeightMessage, now_s: float) -> None:
        """Handle a message from a peer."""
        if isinstance(message, ChunkRequest):
            self._handle_request(peer, message)
        elif isinstance(message, ChunkPiece):
            self._handle_piece(peer, message, now_s)
        elif isinstance(message, ChunkRefused):
            fetch = self._fetches.get(message.digest)
            if fetch and fetch.request_id == message.request_id:
                self._schedule_retry(fetch, now_s)

    def complete_read(self, digest: str, result: bytes | Failure, now_s: float) -> None:
        """Handle the outcome of a read from the origin."""
        fetch = self._fetches.get(digest)
        if not isinstance(result, Failure) and digest_bytes(result) == digest:
            self._complete_fetch(digest, result, now_s)
        elif fetch is not None:
            self._schedule_retry(fetch, now_s)

    def object_bytes(self, digest: str) -> bytes | None:
        """Return an object that is in memory."""
        return self._objects.get(digest)

    def release(self, digest: str, now_s: float) -> None:
        """Do nothing: this distribution keeps every object."""

    def handle_send_failure(
        self, peer: str, message: WeightMessage, now_s: float
    ) -> None:
        """Do nothing: the fetch is retried at its deadline."""

    def handle_link_lost(self, peer: str, now_s: float) -> None:
        """Do nothing: `set_peers` removes the peer later."""

    def handle_pause(self, now_s: float) -> None:
        """Retry all open fetches: answers may have been lost during the pause."""
        for fetch in self._fetches.values():
            if fetch.is_open:
                self._schedule_retry(fetch, now_s)

    def tick(self, now_s: float) -> None:
        """Retry fetches past their deadline, and start further ones."""
        for fetch in self._fetches.values():
            if fetch.is_open and now_s >= fetch.deadline_s:
                self._schedule_retry(fetch, now_s)
        self._start_fetches(now_s)

    def due_s(self, now_s: float) -> float:
        """Return when `tick` should be called next."""
        return now_s + TICK_INTERVAL_S

    def take_actions(self) -> list[Action]:
        """Return the actions added since the last call, and clear them."""
        actions, self._actions = self._actions, []
        return actions

    def _add_fetch(
        self, model: str, digest: str, size_bytes: int | None, root_digest: str
    ) -> None:
        if digest in self._objects:
            self._actions.append(ObjectReady(digest))
            return
        fetch = self._fetches.setdefault(digest, _Fetch(digest, model, size_bytes))
        fetch.roots.add(root_digest)

    def _start_fetches(self, now_s: float) -> None:
        free = OPEN_FETCHES_MAX - sum(fetch.is_open for fetch in self._fetches.values())
        for fetch in self._fetches.values():
            if free <= 0:
                return
            if not fetch.is_open and now_s >= fetch.not_before_s:
                self._start_fetch(fetch, now_s)
                free -= 1

    def _start_fetch(self, fetch: _Fetch, now_s: float) -> None:
        ranked = self._rank_agents(fetch, self._local_peer.region)
        name = ranked[fetch.attempts % len(ranked)]
        fetch.deadline_s = now_s + self._timeout_s
        if name == self._local_peer.name:
            sources = self._rank_agents(fetch, self._origin_region)
            name = sources[fetch.attempts % len(sources)]
            if (
                self._local_peer.region == self._origin_region
                or name == self._local_peer.name
            ):
                fetch.is_reading = True
                self._actions.append(ReadOrigin(fetch.digest))
                return
        fetch.peer = name
        fetch.request_id = next(self._request_ids)
        fetch.assembly = Assembly(fetch.digest, fetch.size_bytes)
        message = ChunkRequest(fetch.digest, fetch.request_id)
        self._actions.append(SendMessage(name, message))

    def _rank_agents(self, fetch: _Fetch, region: str) -> list[str]:
        """Return a region's agents ranked for an object, or this agent if none."""
        agents = [self._local_peer, *self._peers.get(fetch.model, ())]
        names = [agent.name for agent in agents if agent.region == region]
        return rank_by_rendezvous(fetch.digest, names) or [self._local_peer.name]

    def _schedule_retry(self, fetch: _Fetch, now_s: float) -> None:
        fetch.attempts += 1
        fetch.assembly = None
        fetch.is_reading = False
        fetch.not_before_s = now_s + RETRY_DELAY_S

    def _handle_request(self, peer: str, request: ChunkRequest) -> None:
        data = self._objects.get(request.digest)
        if data is not None:
            self._send_object(peer, request.request_id, request.digest, data)
        elif request.digest in self._fetches:
            waiting = self._waiting_requests.setdefault(request.digest, [])
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

    def _handle_piece(self, peer: str, piece: ChunkPiece, now_s: float) -> None:
        fetch = self._fetches.get(piece.digest)
        if fetch is None or fetch.assembly is None or fetch.peer != peer:
            return
        if fetch.request_id != piece.request_id:
            return
        result = fetch.assembly.add(piece, peer)
        if isinstance(result, Failure):
            self._schedule_retry(fetch, now_s)
        elif result is not None:
            self._complete_fetch(fetch.digest, result, now_s)

    def _complete_fetch(self, digest: str, data: bytes, now_s: float) -> None:
        if self._fetches.pop(digest, None) is None:
            return
        self._objects[digest] = data
        self._actions.append(ObjectReady(digest))
        for peer, request_id in self._waiting_requests.pop(digest, ()):
            self._send_object(peer, request_id, digest, data)
        self._start_fetches(now_s)
