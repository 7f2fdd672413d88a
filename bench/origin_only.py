"""The first baseline: every target reads every chunk from the origin."""

from collections.abc import Iterable

from reedspar.errors import Failure
from reedspar.utils import digest_bytes
from reedspar.weights import Manifest, WeightPeer
from reedspar.weights.distribution import Action, ObjectReady, ReadOrigin
from reedspar.weights.messages import WeightMessage

__all__ = ["OriginOnlyDistribution"]

WINDOW = 4


class OriginOnlyDistribution:
    """Read chunks in order, some at a time."""

    def __init__(self) -> None:
        self._to_read: list[str] = []
        self._open = 0
        self._actions: list[Action] = []

    def set_peers(self, model: str, peers: Iterable[WeightPeer], now_s: float) -> None:
        """Ignore the peers."""

    def fetch_object(self, model: str, digest: str, now_s: float) -> None:
        """Read an object."""
        self._to_read.append(digest)
        self._fill()

    def register_version(self, manifest: Manifest, now_s: float) -> None:
        """Ignore versions that are not wanted."""

    def fetch_chunks(self, manifest: Manifest, now_s: float) -> None:
        """Read every chunk."""
        self._to_read = list(reversed(manifest.chunk_digests))
        self._fill()

    def remove_version(self, root_digest: str, now_s: float) -> None:
        """Stop reading."""
        self._to_read = []

    def receive(self, peer: str, message: WeightMessage, now_s: float) -> None:
        """Ignore messages."""

    def complete_read(self, digest: str, result: bytes | Failure, now_s: float) -> None:
        """Take an object, or read it again."""
        self._open -= 1
        if isinstance(result, Failure) or digest_bytes(result) != digest:
            self._to_read.append(digest)
        else:
            self._actions.append(ObjectReady(digest))
        self._fill()

    def object_bytes(self, digest: str) -> bytes | None:
        """Return nothing: the engine takes each chunk at once."""
        return None

    def release(self, digest: str, now_s: float) -> None:
        """Do nothing."""

    def handle_send_failure(
        self, peer: str, message: WeightMessage, now_s: float
    ) -> None:
        """Do nothing: the deadline covers it."""

    def handle_link_lost(self, peer: str, now_s: float) -> None:
        """Do nothing: the view tells of it later."""

    def handle_pause(self, now_s: float) -> None:
        """Do nothing."""

    def tick(self, now_s: float) -> None:
        """Do nothing."""

    def due_s(self, now_s: float) -> float:
        """Return a time far away."""
        return now_s + 1.0

    def take_actions(self) -> list[Action]:
        """Return and forget the actions."""
        actions, self._actions = self._actions, []
        return actions

    def _fill(self) -> None:
        while self._to_read and self._open < WINDOW:
            self._open += 1
            self._actions.append(ReadOrigin(self._to_read.pop()))
