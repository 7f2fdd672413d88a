"""The agent role: controls one target, and its weights if it is a model engine."""

from typing import Any

from starlette.applications import Starlette
from starlette.routing import BaseRoute

from reedspar.admin import AgentStatus
from reedspar.links import OnDemandNetwork, PeerAddress
from reedspar.observation import (
    ChunkObserver,
    ObservedEngine,
    ObservedTarget,
    ObservedWeightSource,
    ReportObserver,
    TransferTracker,
)
from reedspar.platform import (
    HttpPlainService,
    HttpWeightSource,
    ModelEngine,
    Target,
    WeightSource,
    create_http_model_engine,
    create_http_plain_service,
    create_http_weight_source,
)
from reedspar.serving import OpenConnections
from reedspar.settings import TargetKind
from reedspar.targets import OfferSource, TargetController, create_target_controller
from reedspar.weights import (
    WeightController,
    create_fencing_numbers,
    create_weight_controller,
)

from .node import Node
from .offers import ModelEngineOffers, PlainServiceOffers
from .views import WeightConfiguration, WeightPeers

__all__ = ["AgentRole", "create_agent_role"]


class _DeferredSwitchGate:
    """A switch gate whose target controller is set later.

    The weight controller needs the gate before the target controller can be built.
    """

    def __init__(self) -> None:
        self.controller: TargetController | None = None

    async def begin_switch(self, model: str) -> None:
        """Stop admitting requests; return when none in flight uses the model."""
        if self.controller is not None:
            await self.controller.begin_switch(model)

    def end_switch(self, model: str) -> None:
        """Resume admitting requests for the offered models."""
        if self.controller is not None:
            self.controller.end_switch(model)


class AgentRole:
    """The components of an agent on its node."""

    def __init__(
        self,
        node: Node,
        controller: TargetController,
        weights: WeightController | None,
        target: HttpPlainService,
        origin: HttpWeightSource,
        transfer_tracker: TransferTracker,
        routes: list[BaseRoute],
    ) -> None:
        self._node = node
        self._controller = controller
        self._weights = weights
        self._target = target
        self._origin = origin
        self._transfer_tracker = transfer_tracker
        self._application = Starlette(routes=routes)
        node.describe_role = self.describe

    @property
    def application(self) -> Any:
        """Return the ASGI application for operators."""
        return self._application

    def start(self) -> None:
        """Start the weight controller, if the target needs weights."""
        if self._weights is None:
            return
        self._weights.on_offer_change(self._controller.handle_offers_changed)
        self._weights.start()

    def describe(self) -> AgentStatus:
        """Return the agent's part of the daemon status."""
        target = self._node.settings.target
        offered = self._weights.offered() if self._weights else ()
        return AgentStatus(
            pool=target.pool if target else "",
            target_status=self._controller.status.value,
            in_flight=self._controller.gate.in_flight,
            queued=self._controller.queued_count,
            limit=self._controller.gate.limit,
            offered={item.model: item.root_digest for item in offered},
            transfers=self._transfer_tracker.list_transfers(
                self._node.configuration.current()
            ),
        )

    async def drain(self, connections: OpenConnections) -> None:
        """Refuse new work, finish running requests, and deliver every answer."""
        self._node.membership.announce_leaving()
        connections.begin_draining()
        await self._controller.drain(self._node.settings.requests.drain_timeout_s)

    async def close(self) -> None:
        """Close the clients of the target and the origin."""
        await self._target.aclose()
        await self._origin.aclose()


def create_agent_role(node: Node, admin_routes: list[BaseRoute]) -> AgentRole:
    """Create the agent role on the node."""
    settings = node.settings
    assert settings.target is not None
    gate = _DeferredSwitchGate()
    origin = create_http_weight_source(settings.platform.origin_url)
    weights: WeightController | None = None
    offers: OfferSource = PlainServiceOffers()
    transfer_tracker = TransferTracker()
    client: HttpPlainService
    target: Target
    if settings.target.kind is TargetKind.MODEL_ENGINE:
        client = engine = create_http_model_engine(settings.target.url)
        target = ObservedEngine(engine, node.metrics, node.recorder, transfer_tracker)
        weights = _create_observed_weight_controller(node, target, origin, gate)
        offers = ModelEngineOffers(settings.target.pool, weights, node.configuration)
    else:
        client = create_http_plain_service(settings.target.url)
        target = ObservedTarget(client, node.recorder)
    ReportObserver(node.network, node.metrics, node.recorder)
    controller = create_target_controller(
        settings,
        node.incarnation,
        node.network,
        node.timers,
        target,
        offers,
        lambda: node.configuration.check_work_allowed(settings.zone),
        node.contained_tasks.start_soon,
    )
    gate.controller = controller
    return AgentRole(
        node, controller, weights, client, origin, transfer_tracker, admin_routes
    )


def _create_observed_weight_controller(
    node: Node, engine: ModelEngine, origin: WeightSource, gate: _DeferredSwitchGate
) -> WeightController:
    settings = node.settings

    def locate(name: str) -> tuple[str, str] | None:
        member = node.membership.member(name)
        return (member.record.region, member.record.zone) if member else None

    def resolve(name: str) -> PeerAddress | None:
        member = node.membership.member(name)
        if member is None:
            return None
        return PeerAddress(name, member.record.host, member.record.port)

    chunks = ChunkObserver(
        node.network, node.metrics, (settings.region, settings.zone), locate
    )
    return create_weight_controller(
        settings,
        network=OnDemandNetwork(node.network, node.timers, "weights", resolve),
        timers=node.timers,
        tasks=node.contained_tasks,
        origin=ObservedWeightSource(
            origin, node.metrics, node.recorder, chunks.record_origin_bytes
        ),
        engine=engine,
        peers=WeightPeers(settings.name, node.membership, node.configuration),
        configuration=WeightConfiguration(node.configuration),
        fencing=create_fencing_numbers(settings.name, node.key_value),
        gate=gate,
    )
