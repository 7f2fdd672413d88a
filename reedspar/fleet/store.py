"""Protocols of a store that can be listed and watched, and of its entries' codec."""

from dataclasses import dataclass
from typing import Protocol

from reedspar.errors import Failure
from reedspar.platform import KeyValueStore

from .changes import FleetChange

__all__ = [
    "FleetCodec",
    "LeasingStore",
    "Listing",
    "WatchableStore",
    "WatchedChanges",
    "WatchedEntry",
]


@dataclass(frozen=True, slots=True)
class WatchedEntry:
    """The state of a key at a revision; `value` is None if it was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All entries below a prefix, as of `revision` or later."""

    entries: tuple[WatchedEntry, ...]
    revision: int
    """A watch from this revision on misses no change."""


@dataclass(frozen=True, slots=True)
class WatchedChanges:
    """Changes below a prefix up to `revision`, in order."""

    entries: tuple[WatchedEntry, ...]
    revision: int


class WatchableStore(Protocol):
    """The listing and watching calls of the platform's store; each call is billed."""

    @property
    def epoch(self) -> int:
        """Return the epoch of the last answer; it rises when the store is restored."""
        ...

    @property
    def is_receiving(self) -> bool:
        """Return whether bytes of an answer are arriving."""
        ...

    async def list_entries(self, prefix: str) -> Listing | Failure:
        """Return every entry below a prefix."""
        ...

    async def watch_entries(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> WatchedChanges | Failure:
        """Wait for changes after a revision and return them.

        Return no changes after the timeout.  Fail with `EXPIRED` if the store has
        dropped that part of its history; the prefix then has to be listed again.
        """
        ...


class LeasingStore(KeyValueStore, Protocol):
    """A key-value store whose leases can be ended before they expire."""

    @property
    def epoch(self) -> int:
        """Return the epoch of the last answer; it rises when the store is restored."""
        ...

    async def end_lease(self, lease_id: str) -> Failure | None:
        """End a lease and remove its entries."""
        ...


class FleetCodec(Protocol):
    """Decodes the store's entries."""

    def decode(self, entry: WatchedEntry) -> FleetChange | None:
        """Return the change that an entry describes, None if it describes none."""
        ...

    def is_older(self, entry: WatchedEntry, known: WatchedEntry) -> bool:
        """Return whether an entry's value is provably older than a known one's."""
        ...
