"""Metrics of chunk bytes: those sent, and those received by source."""

from collections import Counter
from collections.abc import Callable
from enum import Enum

from reedspar.messages import Sender
from reedspar.telemetry import Metrics
from reedspar.weights.messages import ChunkPiece

from .network import ObservedNetwork

__all__ = ["ChunkObserver", "ChunkSource", "Location"]

Location = tuple[str, str]
"""Region and zone of a daemon."""


class ChunkSource(Enum):
    """Source of a chunk: the origin, another region, another zone, or this zone."""

    ORIGIN = "origin"
    REGION = "region"
    ZONE = "zone"
    LOCAL = "local"


class ChunkObserver:
    """Count chunk bytes; `locate` returns a daemon's location, None if unknown."""

    def __init__(
        self,
        network: ObservedNetwork,
        metrics: Metrics,
        own_location: Location,
        locate: Callable[[str], Location | None],
    ) -> None:
        self._own_location = own_location
        self._locate = locate
        self._received_bytes: Counter[ChunkSource] = Counter()
        self._sent_bytes = 0
        metrics.chunk_bytes.set_callback(self._read_received)
        metrics.chunk_bytes_sent.set_callback(lambda: self._sent_bytes)
        network.subscribe(ChunkPiece, self._on_received)
        network.on_sent(ChunkPiece, self._on_sent)

    def record_origin_bytes(self, size_bytes: int) -> None:
        """Count bytes that were read from the origin."""
        self._received_bytes[ChunkSource.ORIGIN] += size_bytes

    def _on_received(self, sender: Sender, message: ChunkPiece) -> None:
        self._received_bytes[self._classify(sender.name)] += len(message.data)

    def _on_sent(self, peer: str, message: ChunkPiece) -> None:
        self._sent_bytes += len(message.data)

    def _classify(self, peer: str) -> ChunkSource:
        location = self._locate(peer)
        if location is None or location[0] != self._own_location[0]:
            return ChunkSource.REGION
        return ChunkSource.LOCAL if location == self._own_location else ChunkSource.ZONE

    def _read_received(self) -> list[tuple[float, dict[str, str]]]:
        return [
            (float(size_bytes), {"source": source.value})
            for source, size_bytes in self._received_bytes.items()
        ]
