"""Decoding of the store's entries, as the fleet's feed needs it."""

from typing import Protocol

from .changes import FleetChange
from .store import WatchedEntry

__all__ = ["FleetCodec"]


class FleetCodec(Protocol):
    """Decodes the store's entries."""

    def decode(self, entry: WatchedEntry) -> FleetChange | None:
        """Return the change that an entry describes, None if it describes none."""
        ...

    def is_older(self, entry: WatchedEntry, known: WatchedEntry) -> bool:
        """Return whether an entry's value is provably older than a known one's."""
        ...
