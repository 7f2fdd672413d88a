"""Protocol of a store that can be listed and watched by prefix."""

from dataclasses import dataclass
from typing import Protocol

from reedspar.errors import Failure
from reedspar.platform import KeyValueStore

__all__ = [
    "LeasingStore",
    "Listing",
    "WatchableStore",
    "WatchedChanges",
    "WatchedEntry",
]


@dataclass(frozen=True, slots=True)
class WatchedEntry:
    """A key as it stands at a revision; `value` is None once it was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All entries below a prefix, none older than `revision`."""

    entries: tuple[WatchedEntry, ...]
    revision: int
    """Where a watch goes on without missing anything."""


@dataclass(frozen=True, slots=True)
class WatchedChanges:
    """What has changed below a prefix up to `revision`, in order."""

    entries: tuple[WatchedEntry, ...]
    revision: int


class WatchableStore(Protocol):
    """The platform's store as far as changes go; each call costs."""

    async def list_entries(self, prefix: str) -> Listing | Failure:
        """Return every entry below a prefix."""
        ...

    async def watch_entries(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> WatchedChanges | Failure:
        """Return the changes after a revision once there are any.

        No changes come when the time is over.  Fails with `EXPIRED` once the
        store has dropped that part of its history: list again.
        """
        ...


class LeasingStore(KeyValueStore, Protocol):
    """A key-value service whose leases can be ended before they run out."""

    async def end_lease(self, lease_id: str) -> Failure | None:
        """End a lease, and remove its entries with it."""
        ...
