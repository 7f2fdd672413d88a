"""Baseline distribution: every target reads every chunk from the origin."""

from collections.abc import Iterable

from reedspar.errors import Failure
from reedspar.utils import digest_bytes
from reedspar.weights import Manifest, WeightPeer
from reedspar.weights.distribution import (
    Action,
    ObjectReady,
    ReadOrigin,
    VersionStatus,
)
from reedspar.weights.messages import WeightMessage

__all__ = ["OriginOnlyDistribution"]

OPEN_READS_MAX = 4


class OriginOnlyDistribution:
    """Read chunks in order, at most `OPEN_READS_MAX` at a time."""

    def __init__(self) -> None:
        self._to_read: list[str] = []
        self._open_reads = 0
        self._actions: list[Action] = []

    def set_peers(self, model: str, peers: Iterable[WeightPeer], now_s: float) -> None:
        """Do nothing: no peer is used."""

    def fetch_object(self, model: str, digest: str, now_s: float) -> None:
        """Read an object."""
        self._to_read.append(digest)
        self._start_reads()

    def register_version(self, manifest: Manifest, now_s: float) -> None:
        """Do nothing: only chunks that are fetched are read."""

    def fetch_chunks(self, manifest: Manifest, now_s: float) -> None:
        """Read every chunk."""
        self._to_read = list(reversed(manifest.chunk_digests))
        self._start_reads()

    def remove_version(self, root_digest: str, now_s: float) -> None:
        """Stop reading."""
        self._to_read = []

    def status(self, root_digest: str, now_s: float) -> VersionStatus:
        """Return the status of a transfer of which nothing is known."""
        return VersionStatus()

    def set_drawn_version(self, model: str, root_digest: str, now_s: float) -> None:
        """Do nothing: only caches choose."""

    def receive(self, peer: str, message: WeightMessage, now_s: float) -> None:
        """Do nothing: no peer is asked for chunks."""

    def complete_read(self, digest: str, result: bytes | Failure, now_s: float) -> None:
        """Report an object as ready, or read it again if the read failed."""
        self._open_reads -= 1
        if isinstance(result, Failure) or digest_bytes(result) != digest:
            self._to_read.append(digest)
        else:
            self._actions.append(ObjectReady(digest))
        self._start_reads()

    def object_bytes(self, digest: str) -> bytes | None:
        """Return None: objects are passed to the engine and not kept."""
        return None

    def release(self, digest: str, now_s: float) -> None:
        """Do nothing."""

    def handle_send_failure(
        self, peer: str, message: WeightMessage, now_s: float
    ) -> None:
        """Do nothing: no message is sent."""

    def handle_link_lost(self, peer: str, now_s: float) -> None:
        """Do nothing: no peer is used."""

    def handle_pause(self, now_s: float) -> None:
        """Do nothing."""

    def tick(self, now_s: float) -> None:
        """Do nothing."""

    def due_s(self, now_s: float) -> float:
        """Return a time one second ahead; `tick` does nothing."""
        return now_s + 1.0

    def take_actions(self) -> list[Action]:
        """Return the actions added since the last call, and clear them."""
        actions, self._actions = self._actions, []
        return actions

    def _start_reads(self) -> None:
        while self._to_read and self._open_reads < OPEN_READS_MAX:
            self._open_reads += 1
            self._actions.append(ReadOrigin(self._to_read.pop()))
