"""Distribution of manifests from a few origin readers to all daemons of a site.

The manifest of a version of a hundred chunks is a quarter of a chunk in size.  If every
daemon of a large site read it at the origin, the reads would use as much of the
origin's link as a fifth of the weights.
"""

import logging
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
from pydantic import ValidationError

from reedspar.errors import Failure, Reason, Step
from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.platform import WeightSource
from reedspar.utils import rank_by_rendezvous

from .catalog import ManifestReader
from .distribution import WeightPeer
from .manifest import Manifest, encode_manifest
from .messages import ManifestAnswer, ManifestRequest
from .views import PeerView

__all__ = [
    "CachePeers",
    "ManifestExchange",
    "VersionedOrigin",
    "create_manifest_exchange",
]

MANIFEST_READERS = 2
"""Number of caches that read the origin, and of answers that must agree."""
MANIFEST_READERS_KEY = "manifest readers"
ORIGIN_READS_MAX = 3
"""Maximum number of origin reads per call; the caller retries after that."""
ANSWER_TIMEOUT_S = 0.4
"""Covers the origin reads and the answer, each a few hundredths of a second."""
WAITING_PEERS_MAX = 512
STORED_MANIFESTS_MAX = 16
MANIFEST_MAX_BYTES = 16 * 1024 * 1024

_logger = logging.getLogger(__name__)
VersionKey = tuple[str, int]
"""A model and a version number."""


class VersionedOrigin(WeightSource, ManifestReader, Protocol):
    """An origin that also reads manifests by version."""

    def register_manifest(self, manifest: Manifest) -> None:
        """Register a manifest received from a peer so that its chunks can be read."""
        ...


class CachePeers(PeerView, Protocol):
    """A daemon's view of the other daemons that hold a model's weights."""

    def is_cache(self) -> bool:
        """Return whether this daemon caches weights for its region."""
        ...


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A manifest that was requested from several peers."""

    sources: frozenset[str]
    answers: dict[str, bytes] = field(default_factory=dict)
    completed: anyio.Event = field(default_factory=anyio.Event)


class ManifestExchange:
    """Reads manifests from two caches that agree, falling back to the origin."""

    def __init__(
        self,
        me: WeightPeer,
        origin: VersionedOrigin,
        peers: CachePeers,
        network: Network,
        origin_region: Callable[[], str],
    ) -> None:
        self._me = me
        self._origin = origin
        self._peers = peers
        self._network = network
        self._origin_region = origin_region
        self._encoded_manifests: dict[VersionKey, bytes] = {}
        self._waiting_peers: dict[VersionKey, set[str]] = {}
        """Peers to answer once the manifest is available."""
        self._unconfirmed_manifests: dict[VersionKey, Manifest] = {}
        """The last origin read of each manifest that no second read has confirmed."""
        self._pending: dict[VersionKey, _PendingRequest] = {}
        network.subscribe(ManifestRequest, self._on_request)
        network.subscribe(ManifestAnswer, self._on_answer)

    async def read(self, name: str, offset: int, size_bytes: int) -> bytes | Failure:
        """Return an object of the origin by its digest."""
        return await self._origin.read(name, offset, size_bytes)

    def register_manifest(self, manifest: Manifest) -> None:
        """Register a manifest received from a peer and serve it to other peers."""
        self._origin.register_manifest(manifest)
        self._store(manifest)

    async def read_manifest(self, model: str, version: int) -> Manifest | Failure:
        """Return the manifest of a version, from peers or from the origin."""
        key = (model, version)
        answers = await self._request_manifest(key, self._choose_sources(model))
        if len(answers) == MANIFEST_READERS and len(set(answers)) == 1:
            manifest = _decode_answer(answers[0], key)
            if manifest is not None:
                self.register_manifest(manifest)
                return manifest
        read = await self._read_origin(key)
        if isinstance(read, Failure):
            return self._accept_single_answer(key, answers) or read
        self._store(read)
        return read

    async def _read_origin(self, key: VersionKey) -> Manifest | Failure:
        """Read a manifest from the origin until two consecutive reads agree.

        A corrupted digest in a manifest cannot be detected from a single read.  It
        would match no chunk, so the version could never be completed.
        """
        previous = self._unconfirmed_manifests.pop(key, None)
        for _ in range(ORIGIN_READS_MAX):
            read = await self._origin.read_manifest(*key)
            if isinstance(read, Failure):
                break
            if read == previous:
                return read
            previous = read
        if previous is not None:
            self._unconfirmed_manifests[key] = previous
            while len(self._unconfirmed_manifests) > STORED_MANIFESTS_MAX:
                del self._unconfirmed_manifests[next(iter(self._unconfirmed_manifests))]
        if isinstance(read, Failure):
            return read
        return Failure(Reason.CORRUPT, Step.MANIFEST, detail="two reads differ")

    def _accept_single_answer(
        self, key: VersionKey, answers: list[bytes]
    ) -> Manifest | None:
        """Return the first valid answer, for use when the origin read fails.

        The peer has confirmed it by two reads, or by the answers of two peers.
        """
        for answer in answers:
            manifest = _decode_answer(answer, key)
            if manifest is not None:
                # Not stored for peers, since only one peer vouches for it.
                self._origin.register_manifest(manifest)
                return manifest
        return None

    def _choose_sources(self, model: str) -> list[str]:
        """Return the caches to query, or an empty list to read the origin directly."""
        caches = [p for p in self._peers.agents_of(model) if p.is_cache]
        is_cache = self._peers.is_cache()
        if not is_cache:
            names = [p.name for p in caches if p.region == self._me.region]
            if len(names) >= MANIFEST_READERS:
                return rank_by_rendezvous(self._me.name, names)[:MANIFEST_READERS]
        regions = {p.name: p.region for p in caches}
        if is_cache:
            regions[self._me.name] = self._me.region
        origin_region = self._origin_region()
        origin_caches = [
            name for name, region in regions.items() if region == origin_region
        ]
        readers = rank_by_rendezvous(MANIFEST_READERS_KEY, origin_caches or regions)[
            :MANIFEST_READERS
        ]
        is_reader = self._me.name in readers
        return [] if is_reader or len(readers) < MANIFEST_READERS else readers

    async def _request_manifest(
        self, key: VersionKey, sources: list[str]
    ) -> list[bytes]:
        """Return the answers that arrive before the timeout."""
        if not sources:
            return []
        pending = self._pending.get(key)
        if pending is None:
            pending = self._pending[key] = _PendingRequest(frozenset(sources))
            for name in sources:
                self._network.send(name, ManifestRequest(*key))
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            await pending.completed.wait()
        self._pending.pop(key, None)
        return list(pending.answers.values())

    def _store(self, manifest: Manifest) -> None:
        """Store a manifest to serve to peers, and answer pending requests for it."""
        key = (manifest.model, manifest.sequence)
        encoded = zlib.compress(encode_manifest(manifest))
        self._encoded_manifests.pop(key, None)
        self._encoded_manifests[key] = encoded
        while len(self._encoded_manifests) > STORED_MANIFESTS_MAX:
            del self._encoded_manifests[next(iter(self._encoded_manifests))]
        for name in sorted(self._waiting_peers.pop(key, ())):
            self._network.send(name, ManifestAnswer(*key, encoded))

    def _on_request(self, sender: Sender, request: ManifestRequest) -> None:
        key = (request.model, request.version)
        encoded = self._encoded_manifests.get(key)
        if encoded is not None:
            self._network.send(sender.name, ManifestAnswer(*key, encoded))
            return
        self._waiting_peers.setdefault(key, set()).add(sender.name)
        while sum(map(len, self._waiting_peers.values())) > WAITING_PEERS_MAX:
            del self._waiting_peers[next(iter(self._waiting_peers))]

    def _on_answer(self, sender: Sender, answer: ManifestAnswer) -> None:
        pending = self._pending.get((answer.model, answer.version))
        if pending is None or sender.name not in pending.sources:
            return
        pending.answers[sender.name] = answer.encoded
        if len(pending.answers) == len(pending.sources):
            pending.completed.set()


def _decode_answer(encoded: bytes, key: VersionKey) -> Manifest | None:
    """Decode a peer's answer; return None if it is invalid or for another version."""
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(encoded, MANIFEST_MAX_BYTES)
        manifest = Manifest.model_validate_json(data)
    except (zlib.error, ValidationError) as error:
        extra = {"model": key[0], "version": key[1], "error": str(error)[:200]}
        _logger.warning("manifest of a peer can't be read", extra=extra)
        return None
    return manifest if (manifest.model, manifest.sequence) == key else None


def create_manifest_exchange(
    me: WeightPeer,
    origin: VersionedOrigin,
    peers: CachePeers,
    network: Network,
    origin_region: Callable[[], str],
) -> ManifestExchange:
    """Create the exchange of a daemon and subscribe it to messages of its peers."""
    return ManifestExchange(me, origin, peers, network, origin_region)
