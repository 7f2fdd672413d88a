"""A target agent on a site: distributes and loads weights, but handles no requests."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from starlette.types import ASGIApp

from reedspar.errors import Failure
from reedspar.fleet import FleetView
from reedspar.platform import ModelEngine
from reedspar.settings import SiteSettings
from reedspar.supervision import (
    ContainedTasks,
    report_unexpected_error,
    run_restarting,
)
from reedspar.timers import TimerService
from reedspar.weights import (
    LocalFencing,
    StagedReader,
    VersionCatalog,
    VersionedOrigin,
    WeightController,
    create_weight_controller,
)

from .http_server import PortDispatcher, create_connections, serve_http
from .load_reporter import LoadReporter
from .site_components import SiteComponents, StoreAccess, create_site_components
from .site_weights import (
    SitePeers,
    add_origin_region,
    create_origin_with_exchange,
    list_named_models,
    read_origin_bytes_per_s,
    wait_for_routes,
)

__all__ = ["AgentAdapters", "SiteAgent", "create_site_agent"]

ENGINE_POLL_INTERVAL_S = 0.2
"""Interval of reads of the engine's state, and so of load reports to collectors.  A
read on the local machine costs two milliseconds of processor time."""
ENGINE_LOST_FAILURE_COUNT = 3
"""Consecutive failed reads after which the engine counts as lost."""
METRICS_SHUTDOWN_TIMEOUT_S = 0.3
WITHDRAWAL_SHARE = 0.5
"""Share of the grace period in which the store must have taken the withdrawal."""
OLDER_VERSION_MARGIN_S = 0.4
"""Entries stop sending requests to an older version this long before its time limit."""

_logger = logging.getLogger(__name__)


class SiteEngine(ModelEngine, StagedReader, Protocol):
    """An engine that can also list its staged weights."""


@dataclass(frozen=True, slots=True)
class AgentAdapters:
    """Adapters to the site's interfaces that an agent needs."""

    create_origin: Callable[[FleetView], VersionedOrigin]
    create_engine: Callable[[VersionCatalog], SiteEngine]
    metrics: ASGIApp


class _EngineDrainGate:
    """The switch gate of an engine that finishes running requests before it loads."""

    async def begin_switch(self, model: str) -> Failure | None:
        """Do nothing: the engine accepts no new requests once it is ordered to load."""
        return None

    def end_switch(self, model: str) -> None:
        """Do nothing: the engine resumes accepting requests by itself."""


@dataclass
class SiteAgent:
    """The components of a running agent."""

    settings: SiteSettings
    components: SiteComponents
    catalog: VersionCatalog
    engine: SiteEngine
    create_controller: Callable[[SiteSettings], WeightController]
    timers: TimerService
    tasks: TaskGroup
    _weights: WeightController | None = None
    _engine_failures: int = 0
    _stop_serving: anyio.Event = field(default_factory=anyio.Event)

    async def run(self, stop: anyio.Event, application: ASGIApp) -> None:
        """Run until `stop` is set, then withdraw the registration."""
        self.tasks.start_soon(self.timers.run)
        await self.tasks.start(self.components.links.transport.run)
        self.tasks.start_soon(self._serve, application)
        background = ContainedTasks(self.tasks)
        background.start_soon(run_restarting, self.components.feed.run)
        background.start_soon(self._register)
        self.tasks.start_soon(self._run_weight_distribution)
        await stop.wait()
        grace_s = self.settings.bounds.grace_ms / 1000
        await self.components.registration.withdraw(WITHDRAWAL_SHARE * grace_s)
        self._stop_serving.set()

    async def _serve(self, application: ASGIApp) -> None:
        await serve_http(
            application,  # type: ignore[arg-type]
            self.settings.host,
            self.settings.listen.metrics_port,
            self._stop_serving,
            grace_s=METRICS_SHUTDOWN_TIMEOUT_S,
            connections=create_connections(self.settings.limits),
        )

    async def _run_weight_distribution(self) -> None:
        await wait_for_routes(self.components)
        settings = add_origin_region(self.components.view, self.settings)
        controller = self.create_controller(settings)
        self._weights = controller
        self.catalog.set_callbacks(
            controller.add_object,
            controller.transfers.left_s,
            controller.transfers.prefetch,
            controller.transfers.cancel_prefetch,
            controller.transfers.is_stalled,
        )
        controller.start()
        self.components.view.on_change(lambda change: self._update_named_versions())
        self._update_named_versions()
        ContainedTasks(self.tasks).start_soon(run_restarting, self.catalog.run)
        await self._poll_engine(controller)

    async def _register(self) -> None:
        await self.components.feed.wait_initialized()
        await run_restarting(self.components.registration.run)

    def _update_named_versions(self) -> None:
        """Update the versions that this agent's engine is to serve."""
        for named in list_named_models(self.components.view, self.settings.pool):
            self.catalog.set_named_version(named.model, named.version)
            for known in self.components.view.versions_of(named.model):
                self.catalog.record_naming_time(
                    known.model, known.version, known.named_at_s
                )

    async def _poll_engine(self, controller: WeightController) -> None:
        address = self.settings.target_address
        assert address is not None
        load_reporter = LoadReporter(
            address.host,
            address.port,
            self.settings.pool,
            self.components.view,
            self.components.links.create_network("loads"),
            self.timers.now_s,
            lambda: not controller.is_switching,
        )
        while True:
            try:
                await self._poll_engine_once(controller, load_reporter)
            except Exception as error:
                report_unexpected_error("engine poll", error, str(address))
            await anyio.sleep(ENGINE_POLL_INTERVAL_S)

    async def _poll_engine_once(
        self, controller: WeightController, load_reporter: LoadReporter
    ) -> None:
        # Repeated, as peers may still report an earlier naming time.
        self._update_named_versions()
        state = await self.engine.read_state()
        if isinstance(state, Failure):
            self._engine_failures += 1
            if self._engine_failures == ENGINE_LOST_FAILURE_COUNT:
                _logger.warning("engine lost", extra={"failure": str(state)})
                controller.record_engine_lost()
            return
        if self._engine_failures >= ENGINE_LOST_FAILURE_COUNT:
            _logger.info("engine regained", extra={"boot": state.boot_id})
        self._engine_failures = 0
        controller.record_engine_state(state)
        load_reporter.report_state(state)


def create_site_agent(
    settings: SiteSettings,
    incarnation: int,
    store_access: StoreAccess,
    adapters: AgentAdapters,
    timers: TimerService,
    tasks: TaskGroup,
    rng: random.Random,
) -> tuple[SiteAgent, ASGIApp]:
    """Create an agent, and the application for its metrics port."""
    components = create_site_components(
        settings, incarnation, store_access, timers, rng
    )
    view = components.view
    network = components.links.create_network("weights")
    origin = create_origin_with_exchange(
        adapters.create_origin(view), settings, view, network
    )
    catalog = VersionCatalog(
        settings.pool,
        origin,
        timers,
        rng,
        settings.bounds.version_ms / 1000 - OLDER_VERSION_MARGIN_S,
        settings.links.machine_bytes_per_s,
        lambda: read_origin_bytes_per_s(view),
    )
    engine = adapters.create_engine(catalog)
    contained_tasks = ContainedTasks(tasks)

    def create_controller(settings_with_origin: SiteSettings) -> WeightController:
        return create_weight_controller(
            settings_with_origin,
            network=network,
            timers=timers,
            tasks=contained_tasks,
            origin=origin,
            engine=engine,
            peers=SitePeers(view, settings_with_origin),
            configuration=catalog,
            fencing=LocalFencing(),
            gate=_EngineDrainGate(),
            staged_reader=engine,
            deadlines=catalog,
        )

    agent = SiteAgent(
        settings,
        components,
        catalog,
        engine,
        create_controller,
        timers,
        tasks,
    )
    return agent, PortDispatcher({settings.listen.metrics_port: adapters.metrics})
