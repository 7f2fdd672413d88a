"""The components of a site's daemons that both roles share."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from reedspar.fleet import (
    DaemonRecord,
    FleetCodec,
    FleetFeed,
    FleetPrefix,
    FleetView,
    LeasingStore,
    Registration,
    WatchableStore,
    WatchAudit,
    create_fleet_exchange,
    create_fleet_feed,
    create_registration,
    create_watch_audit,
)
from reedspar.settings import SiteSettings
from reedspar.timers import TimerService

from .site_links import SiteLinks, create_site_links

__all__ = [
    "SiteCodec",
    "SiteComponents",
    "SiteStore",
    "StoreAccess",
    "create_site_components",
]


class SiteStore(LeasingStore, WatchableStore, Protocol):
    """The platform's store: a key-value store with leases, and watches by prefix."""


class SiteCodec(FleetCodec, Protocol):
    """Decodes the entries of the store, and encodes registrations of daemons."""

    def encode_daemon(self, record: DaemonRecord) -> tuple[str, bytes]:
        """Return the key and the value of a daemon's registration."""
        ...


@dataclass(frozen=True, slots=True)
class StoreAccess:
    """The store, the codec of its entries, and the prefixes to follow."""

    store: SiteStore
    codec: SiteCodec
    prefixes: Sequence[FleetPrefix]

    def encode_daemon(self, record: DaemonRecord) -> tuple[str, bytes]:
        """Return the key and the value of a daemon's registration."""
        return self.codec.encode_daemon(record)


@dataclass(frozen=True, slots=True)
class SiteComponents:
    """The components that a daemon of either role has."""

    view: FleetView
    feed: FleetFeed
    registration: Registration
    audit: WatchAudit
    links: SiteLinks


def create_site_components(
    settings: SiteSettings,
    incarnation: int,
    store_access: StoreAccess,
    timers: TimerService,
    rng: random.Random,
) -> SiteComponents:
    """Create the components that connect a daemon to the store and to its peers."""
    view = FleetView(timers)
    feed = create_fleet_feed(
        store_access.store, view, store_access.codec, timers, store_access.prefixes, rng
    )
    key, value = store_access.encode_daemon(_to_daemon_record(settings))
    registration = create_registration(
        key,
        value,
        store_access.store,
        timers,
        feed.record_store_success,
        feed.record_store_failure,
        lambda: feed.revision_of(key),
    )
    links = create_site_links(settings, incarnation, view, timers, rng)
    network = links.create_network("fleet")
    create_fleet_exchange(
        settings.name,
        feed,
        view,
        network,
        timers,
        rng,
        settings.region,
        settings.role,
    )
    audit = create_watch_audit(
        settings.name, store_access.store, feed, view, network, timers
    )
    return SiteComponents(view, feed, registration, audit, links)


def _to_daemon_record(settings: SiteSettings) -> DaemonRecord:
    """Return the registration of this daemon, which the other daemons read."""
    listen = settings.listen
    return DaemonRecord(
        settings.name,
        settings.role.value,
        settings.zone,
        settings.region,
        settings.host,
        listen.peers_port,
        listen.callers.port if listen.callers is not None else 0,
        pool=settings.pool,
    )
