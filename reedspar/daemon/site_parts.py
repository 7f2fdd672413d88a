"""What a site's platform brings for every role."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from reedspar.fleet import (
    DaemonRecord,
    FleetCodec,
    FleetPrefix,
    LeasingStore,
    WatchableStore,
)

__all__ = ["SiteCodec", "SiteParts", "SiteStore"]


class SiteStore(LeasingStore, WatchableStore, Protocol):
    """The platform's store: keys with leases, listed and watched by prefix."""


class SiteCodec(FleetCodec, Protocol):
    """Reads the store's entries, and writes the system's own."""

    def encode_daemon(self, record: DaemonRecord) -> tuple[str, bytes]:
        """Return the key and the value of a daemon's registration."""
        ...


@dataclass(frozen=True, slots=True)
class SiteParts:
    """The store, and how its entries are read."""

    store: SiteStore
    codec: SiteCodec
    prefixes: Sequence[FleetPrefix]

    def encode_daemon(self, record: DaemonRecord) -> tuple[str, bytes]:
        """Return the key and the value of a daemon's registration."""
        return self.codec.encode_daemon(record)
