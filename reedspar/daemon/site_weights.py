"""Weight distribution on a site: peers, named versions and the origin."""

import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import anyio

from reedspar.fleet import DaemonRecord, FleetView
from reedspar.links import Network, Role
from reedspar.settings import SiteSettings
from reedspar.utils import rank_by_rendezvous
from reedspar.weights import (
    VersionedOrigin,
    WeightPeer,
    create_manifest_exchange,
)

from .site_components import SiteComponents

__all__ = [
    "NamedModel",
    "SitePeers",
    "add_origin_region",
    "create_origin_with_exchange",
    "list_named_models",
    "read_origin_bytes_per_s",
    "wait_for_routes",
]

CACHE_RANKING_KEY = "weights cache"
CACHES_PER_REGION = 4
"""Entries of a region that each cache a part of a version; with more, each part would
consist of only a few chunks."""
FIRST_VERSION = 1
"""The version that targets serve until one is named."""


@dataclass(frozen=True, slots=True)
class NamedModel:
    """A model, and the version that its targets are to serve."""

    model: str
    version: int


class SitePeers:
    """The other daemons that may have a model's weights (see `PeerView`)."""

    def __init__(self, view: FleetView, settings: SiteSettings) -> None:
        self._view = view
        self._settings = settings

    def agents_of(self, model: str) -> tuple[WeightPeer, ...]:
        """Return the other live agents whose targets serve a model, and the caches."""
        routes = self._view.routes
        pools = routes.services_for_model(model) if routes is not None else ()
        agents = [
            record
            for record in self._view.daemons(Role.AGENT.value)
            if record.pool in pools
        ]
        return tuple(
            _to_weight_peer(record)
            for record in (*agents, *self._list_caches())
            if record.name != self._settings.name
        )

    def is_cache(self) -> bool:
        """Return whether this entry caches weights for the agents of its region."""
        return any(r.name == self._settings.name for r in self._list_caches())

    def _list_caches(self) -> Iterator[DaemonRecord]:
        """Yield the entries that cache weights: the first ranked of each region."""
        entries = {e.name: e for e in self._view.daemons(Role.ENTRY.value)}
        counts: Counter[str] = Counter()
        for name in rank_by_rendezvous(CACHE_RANKING_KEY, entries):
            entry = entries[name]
            counts[entry.region] += 1
            if counts[entry.region] <= CACHES_PER_REGION:
                yield entry


def _to_weight_peer(record: DaemonRecord) -> WeightPeer:
    return WeightPeer(
        record.name,
        record.region,
        record.zone,
        record.pool,
        is_cache=record.role == Role.ENTRY.value,
    )


def list_named_models(view: FleetView, pool: str | None = None) -> Iterator[NamedModel]:
    """Yield the models of one pool, or of all pools, with the versions to serve."""
    routes = view.routes
    for name, service in routes.services.items() if routes is not None else ():
        if service.engine is None or pool not in (None, name):
            continue
        for model in service.engine.models:
            named = view.version_of(model)
            yield NamedModel(model, named.version if named else FIRST_VERSION)


def read_origin_bytes_per_s(view: FleetView) -> float:
    """Return the capacity of the origin's link, infinity if it is not known."""
    service = view.routes.origin if view.routes is not None else None
    if service is None or service.origin is None:
        return math.inf
    return service.origin.link_bytes_per_s or math.inf


async def wait_for_routes(components: SiteComponents) -> None:
    """Wait until the routes are known, which contain the location of the origin."""
    await components.feed.wait_initialized()
    changed = anyio.Event()
    components.view.on_change(lambda change: changed.set())
    while components.view.routes is None:
        await changed.wait()
        changed = anyio.Event()


def add_origin_region(view: FleetView, settings: SiteSettings) -> SiteSettings:
    """Return the settings, with the region of the configured origin filled in."""
    origin_service = view.routes.origin if view.routes is not None else None
    if origin_service is None or origin_service.origin is None:
        return settings
    region = settings.zones.get(origin_service.origin.zone, "")
    changed = settings.weights.model_copy(update={"origin_region": region})
    return settings.model_copy(update={"weights": changed})


def create_origin_with_exchange(
    origin: VersionedOrigin,
    settings: SiteSettings,
    view: FleetView,
    network: Network,
) -> VersionedOrigin:
    """Wrap the origin so that manifests are requested from peers first."""
    return create_manifest_exchange(
        WeightPeer(settings.name, settings.region, settings.zone, settings.pool),
        origin,
        SitePeers(view, settings),
        network,
        lambda: add_origin_region(view, settings).weights.origin_region,
    )
