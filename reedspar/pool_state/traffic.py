"""Counts of the messages that the exchange of pool state sends."""

from typing import Any

from reedspar.links import Network

from .messages import (
    FRAME_OVERHEAD_BYTES,
    EntryNews,
    PoolStateNews,
    RegionNews,
    estimate_size_bytes,
)

__all__ = ["CountedSender"]


class CountedSender:
    """Sends messages, and counts them and their approximate sizes by kind."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self._counts: dict[str, int] = {}
        self._bytes: dict[str, int] = {}

    def send(self, message: Any, *peers: str) -> None:
        """Send a message to some peers; those without a link miss it."""
        sent = sum(self._network.send(peer, message) is None for peer in peers)
        kind = type(message).__name__
        size = FRAME_OVERHEAD_BYTES
        if isinstance(message, EntryNews | RegionNews | PoolStateNews):
            size = estimate_size_bytes(message)
        self._counts[kind] = self._counts.get(kind, 0) + sent
        self._bytes[kind] = self._bytes.get(kind, 0) + sent * size

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the numbers of messages, with labels."""
        return [(count, {"kind": kind}) for kind, count in self._counts.items()]

    def read_bytes(self) -> list[tuple[float, dict[str, str]]]:
        """Return the numbers of bytes, with labels."""
        return [(size, {"kind": kind}) for kind, size in self._bytes.items()]
