"""An entry on a site: sends requests directly to targets, with state from the store."""

import logging
import random
import signal
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup
from starlette.types import ASGIApp

from reedspar.admission import DemandMeter
from reedspar.direct import (
    DirectService,
    TargetDialer,
    create_direct_service,
)
from reedspar.direct.entry_choice import list_allowed_regions
from reedspar.direct.entry_pressure import EntryLimits, EntryPressure
from reedspar.direct.entry_selection import EntrySelection
from reedspar.direct.load_listener import LoadListener
from reedspar.direct.request_log import RequestLog
from reedspar.direct.speed_metrics import observe_speeds
from reedspar.fleet import DaemonRecord, FleetView, read_deferral_counts
from reedspar.pool_state import PressureBoard
from reedspar.requests.caller_adapter import CallerAdapter
from reedspar.requests.draining import DrainOptions, run_drain
from reedspar.requests.verdict_archive import VerdictArchive, create_verdict_archive
from reedspar.serving import OpenConnections
from reedspar.settings import LimitSettings, SiteSettings
from reedspar.supervision import ContainedTasks, run_restarting
from reedspar.telemetry import Metrics
from reedspar.timers import TimerService
from reedspar.weights import VersionedOrigin, WeightCache, create_weight_cache

from .http_server import PortDispatcher, create_connections, serve_http
from .pool_state_metrics import observe_pool_state
from .process_resources import ProcessResources
from .signals import seconds_since
from .site_components import SiteComponents, StoreAccess, create_site_components
from .site_pool_state import EntryReport, create_site_pool_state
from .site_weights import (
    SitePeers,
    add_origin_region,
    create_origin_with_exchange,
    list_named_models,
    read_origin_bytes_per_s,
    wait_for_routes,
)

__all__ = ["EntryAdapters", "SiteEntry", "create_site_entry"]

FORCED_STOP_MARGIN_S = 1.0
FORCED_STOP_SHARE = 0.125
"""Upper bounds of the time before the forced stop, in seconds and as a share of the
grace period, to send the last bytes, to close sockets and to exit."""
SHUTDOWN_TIMEOUT_S = 0.3
PRESSURE_INTERVAL_S = 1.0
"""Time between two readings of this entry's resources."""
SELECTION_UPDATES_PER_TTL = 4
SELECTION_INTERVAL_MIN_S = 0.1
BYTES_PER_MB = 1_000_000
UNREAD_MARGIN_S = 1.0
"""Time by which a connection outlasts a reader that is given up, to be closed."""

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EntryAdapters:
    """Adapters to the site's interfaces that an entry needs."""

    caller_adapter: CallerAdapter
    create_dialer: Callable[[FleetView], TargetDialer]
    create_directory: Callable[["SiteEntry"], ASGIApp]
    create_origin: Callable[[FleetView], VersionedOrigin]
    metrics_app: ASGIApp
    metrics: Metrics


@dataclass
class SiteEntry:
    """The components of a running entry."""

    settings: SiteSettings
    components: SiteComponents
    service: DirectService
    verdict_archive: VerdictArchive
    create_cache: Callable[[SiteSettings], WeightCache]
    timers: TimerService
    tasks: TaskGroup
    selection: EntrySelection
    pressure_board: PressureBoard
    connections: OpenConnections = field(default_factory=OpenConnections)
    is_leaving: bool = False
    _stop_serving: anyio.Event = field(default_factory=anyio.Event)
    _server_stopped: anyio.Event = field(default_factory=anyio.Event)

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be directed to this entry."""
        has_state = (
            self.components.feed.is_initialized
            and self.components.view.routes is not None
        )
        return has_state and not self.is_leaving

    def list_addresses(self, host: str, zone: str, region: str) -> list[DaemonRecord]:
        """Return the entries to which a caller is directed for a host."""
        entries = self.components.view.daemons(self.settings.role.value)
        local_name = self.settings.name
        usable = [e for e in entries if e.name != local_name or not self.is_leaving]
        allowed_regions = list_allowed_regions(self.components.view.routes, host)
        return self.selection.choose(usable, zone, region, allowed_regions)

    def update_selection(self) -> None:
        """Adapt the choice of entries for callers to their present pressures."""
        entries = self.components.view.daemons(self.settings.role.value)
        self.selection.update(entries, self.pressure_board, self.timers.now_s())

    def apply_settings(self, settings: SiteSettings) -> None:
        """Apply the bounds of reloaded settings; other changes need a restart."""
        self.settings = self.settings.model_copy(update={"bounds": settings.bounds})
        self.service.apply_bounds(settings.bounds)

    async def run(self, stop: anyio.Event, application: ASGIApp) -> None:
        """Serve until `stop` is set, then drain and stop."""
        self.tasks.start_soon(self.timers.run)
        await self.tasks.start(self.components.links.transport.run)
        self.tasks.start_soon(self._serve, application)
        background = ContainedTasks(self.tasks)
        background.start_soon(run_restarting, self.components.feed.run)
        background.start_soon(run_restarting, self.components.audit.run)
        background.start_soon(self._register)
        background.start_soon(self._cache_weights)
        background.start_soon(run_restarting, self.verdict_archive.run)
        await stop.wait()
        await self._drain()

    async def _register(self) -> None:
        await self.components.feed.wait_initialized()
        self.service.record_store_listing()
        _logger.info("ready", extra={"targets": self.components.view.target_count()})
        await run_restarting(self.components.registration.run)

    async def _cache_weights(self) -> None:
        await wait_for_routes(self.components)
        view = self.components.view
        cache = self.create_cache(add_origin_region(view, self.settings))
        cache.start()

        def update_named_versions() -> None:
            for named in list_named_models(view):
                cache.set_named_version(named.model, named.version)

        view.on_change(lambda change: update_named_versions())
        update_named_versions()
        await run_restarting(cache.run)

    async def _serve(self, application: ASGIApp) -> None:
        await serve_http(
            application,  # type: ignore[arg-type]
            self.settings.host,
            self._distinct_ports(),
            self._stop_serving,
            grace_s=SHUTDOWN_TIMEOUT_S,
            read_limits=lambda: self.components.view.caller_limits,
            unread_margin_s=(
                UNREAD_MARGIN_S if self.settings.limits.memory_mb else None
            ),
            connections=self.connections,
        )
        self._server_stopped.set()

    def _distinct_ports(self) -> Sequence[int]:
        return sorted(set(_list_ports(self.settings)))

    async def _drain(self) -> None:
        """Withdraw the registration, serve until cached addresses expire, and stop."""
        self.is_leaving = True
        bounds = self.settings.bounds
        grace_s = bounds.grace_ms / 1000
        margin_s = min(FORCED_STOP_MARGIN_S, FORCED_STOP_SHARE * grace_s)
        background = ContainedTasks(self.tasks)
        background.start_soon(self.components.registration.withdraw)
        self.verdict_archive.begin_stop()
        # Imports may have held up the event loop since the signal.
        late_s = seconds_since(signal.SIGTERM, signal.SIGINT)
        left_s = max(0.0, grace_s - margin_s - late_s)
        ends_at_s = self.timers.now_s() + left_s
        options = DrainOptions(bounds.address_ttl_ms / 1000, left_s, margin_s / 4)
        await run_drain(
            self.service.application,
            self.connections,
            self.service.drain_filter,
            options,
            self.timers.now_s,
        )
        self._stop_serving.set()
        with anyio.move_on_after(margin_s / 4):
            await self._server_stopped.wait()
        with anyio.move_on_after(max(0.0, ends_at_s - self.timers.now_s())):
            await self.verdict_archive.wait_written()
        self.connections.abort()


def _list_ports(settings: SiteSettings) -> list[int]:
    listen = settings.listen
    addresses = (listen.callers, listen.ready, listen.directory)
    ports = [address.port for address in addresses if address is not None]
    return [*ports, listen.metrics_port]


def _create_pressure(limits: LimitSettings, timers: TimerService) -> EntryPressure:
    memory_bytes = None
    if limits.memory_mb is not None:
        memory_bytes = limits.memory_mb * BYTES_PER_MB
    return EntryPressure(
        EntryLimits(
            limits.processor_cores, memory_bytes, limits.descriptors, limits.requests
        )
    )


def _measure_pressure(
    pressure: EntryPressure, service: DirectService, timers: TimerService
) -> None:
    """Measure this entry's pressure regularly if a limit is known."""
    if not pressure.has_limits:
        return
    reader = ProcessResources(lambda: service.application.in_flight)
    timers.call_every(
        PRESSURE_INTERVAL_S, lambda: pressure.record(reader.read(), timers.now_s())
    )


def create_site_entry(
    settings: SiteSettings,
    incarnation: int,
    store_access: StoreAccess,
    adapters: EntryAdapters,
    timers: TimerService,
    tasks: TaskGroup,
    rng: random.Random,
) -> tuple[SiteEntry, ASGIApp]:
    """Create an entry, and the application that serves all its ports."""
    listen = settings.listen
    assert listen.callers is not None
    components = create_site_components(
        settings, incarnation, store_access, timers, rng
    )
    view = components.view
    links = components.links
    contained_tasks = ContainedTasks(tasks)
    meter = DemandMeter()
    pressure = _create_pressure(settings.limits, timers)
    pool_state, pool_state_handle = create_site_pool_state(
        settings, view, links, timers, EntryReport(meter, pressure)
    )
    service = create_direct_service(
        settings=settings,
        incarnation=incarnation,
        view=view,
        timers=timers,
        tasks=contained_tasks,
        network=links.create_network("requests"),
        dialer=adapters.create_dialer(view),
        adapter=adapters.caller_adapter,
        fallback=adapters.metrics_app,
        is_store_slow=lambda: components.registration.store_latency.is_recently_slow,
        rng=rng,
        first_filters=(RequestLog(view, timers, adapters.metrics),),
        demand_meter=meter,
        demand_board=pool_state,
    )
    pool_state_handle.attach(
        service.needs_pool_state, LoadListener(view, service.chooser).record_load
    )
    _measure_pressure(pressure, service, timers)
    adapters.metrics.replaced_begun.set_callback(
        service.replaced_weights_log.read_counts
    )
    admission = service.admission
    adapters.metrics.admission_decisions.set_callback(admission.counts.read)
    adapters.metrics.admission_threshold.set_callback(admission.read_thresholds)
    adapters.metrics.admission_extrapolated.set_callback(admission.read_sources)
    adapters.metrics.held_bytes.set_callback(service.slow_readers.read_held)
    adapters.metrics.readers_given_up.set_callback(service.slow_readers.read_counts)
    adapters.metrics.memory_refusals.set_callback(service.read_memory_refusals)
    adapters.metrics.retries.set_callback(service.retry_shares.budgets.read_counts)
    adapters.metrics.retries_left.set_callback(service.retry_shares.budgets.read_left)
    budgets = service.retry_shares.budgets
    adapters.metrics.retries_held.set_callback(budgets.read_held)
    adapters.metrics.retries_settled.set_callback(budgets.read_settled)
    adapters.metrics.retry_entries.set_callback(service.retry_shares.read_entries)
    adapters.metrics.endless_answers.set_callback(
        service.chooser.endless_news.read_counts
    )
    adapters.metrics.notices.set_callback(service.notices.read_counts)
    adapters.metrics.rate_limits.set_callback(service.rate_limits.read_counts)
    observe_speeds(adapters.metrics, service, view, timers)
    adapters.metrics.removals_deferred.set_callback(
        lambda: read_deferral_counts(components.feed.caches.values())
    )
    adapters.metrics.watch_audit_age.set_callback(components.audit.read_age)
    adapters.metrics.watches_lost.set_callback(components.audit.read_lost)
    observe_pool_state(pool_state, adapters.metrics)
    weights_network = links.create_network("weights")
    origin = create_origin_with_exchange(
        adapters.create_origin(view), settings, view, weights_network
    )

    def create_cache(settings_with_origin: SiteSettings) -> WeightCache:
        return create_weight_cache(
            settings_with_origin,
            network=weights_network,
            timers=timers,
            tasks=contained_tasks,
            origin=origin,
            peers=SitePeers(view, settings_with_origin),
            rng=rng,
            read_origin_bytes_per_s=lambda: read_origin_bytes_per_s(view),
        )

    archive = create_verdict_archive(
        service.quarantine, store_access.store, timers, rng
    )
    ttl_s = settings.bounds.address_ttl_ms / 1000
    selection = EntrySelection(ttl_s, rng)
    adapters.metrics.entry_pressure.set_callback(pressure.read_pressures)
    adapters.metrics.selected_entries.set_callback(selection.read_counts)
    entry = SiteEntry(
        settings,
        components,
        service,
        archive,
        create_cache,
        timers,
        tasks,
        selection,
        pool_state,
        create_connections(settings.limits),
    )
    adapters.metrics.connections_ended.set_callback(entry.connections.read_counts)
    adapters.metrics.answers_cut.set_callback(service.cut_log.read_counts)
    interval_s = max(SELECTION_INTERVAL_MIN_S, ttl_s / SELECTION_UPDATES_PER_TTL)
    timers.call_every(interval_s, entry.update_selection)
    directory = adapters.create_directory(entry)
    by_port: dict[int, ASGIApp] = dict.fromkeys(_list_ports(settings), directory)
    by_port[listen.metrics_port] = adapters.metrics_app
    by_port[listen.callers.port] = service.application
    return entry, PortDispatcher(by_port)
