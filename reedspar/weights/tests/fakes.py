"""Fakes of the interfaces of the weight controller, driven by virtual time."""

from collections import Counter, deque
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from reedspar.configuration import (
    ConfigurationDocument,
    ModelVersion,
    PoolConfiguration,
    PoolKind,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.links import Priority
from reedspar.messages import Sender
from reedspar.platform import EngineState, LoadOrder
from reedspar.settings import DaemonSettings
from reedspar.timers import TimerService, VirtualClock
from reedspar.utils import digest_bytes
from reedspar.weights import (
    FencingRecord,
    OrderedVersion,
    WeightController,
    WeightPeer,
    create_weight_controller,
    publish_weights,
)
from reedspar.weights.manifest import compute_root_digest

MODEL = "quotes"
POOL = "models"
CHECKPOINTS_PER_STEP = 20
ORDER_SETTLE_S = 0.3


class FakeOrigin:
    """Stores objects in memory; can be unavailable or return corrupt data."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.reads: Counter[str] = Counter()
        self.puts: list[str] = []
        self.is_unavailable = False
        self.corrupt_next = 0

    async def has(self, name: str) -> bool | Failure:
        return name in self.objects

    async def put(self, name: str, data: bytes) -> Failure | None:
        if self.is_unavailable:
            return Failure(Reason.UNAVAILABLE, Step.MANIFEST, "origin")
        self.puts.append(name)
        self.objects[name] = data
        return None

    async def read(self, name: str, offset: int, size_bytes: int) -> bytes | Failure:
        await anyio.lowlevel.checkpoint()
        if self.is_unavailable:
            return Failure(Reason.UNAVAILABLE, Step.ORIGIN_DRAW, "origin")
        self.reads[name] += 1
        data = self.objects[name]
        if self.corrupt_next:
            self.corrupt_next -= 1
            return bytes([data[0] ^ 1]) + data[1:]
        return data

    @property
    def bytes_read(self) -> int:
        return sum(len(self.objects[n]) * count for n, count in self.reads.items())


class FakeEngine:
    """Stores staged chunks and computes the digest of loaded weights."""

    def __init__(self, checks_fencing: bool = True) -> None:
        self.checks_fencing = checks_fencing
        self.boot = 1
        self.staged: dict[str, dict[int, bytes]] = {}
        self.loaded: dict[str, str] = {}
        self.fencing_number = 0
        self.orders: list[LoadOrder] = []
        self.load_failures: deque[Failure] = deque()
        self.load_steps = 0
        self._checkpoints = 0

    def count_checkpoint(self) -> int:
        """Count a checkpoint of a load; return the total."""
        self._checkpoints += 1
        return self._checkpoints

    def restart(self) -> None:
        self.boot += 1
        self.staged.clear()
        self.loaded = {}
        self.fencing_number = 0

    async def read_state(self) -> EngineState | Failure:
        return EngineState(f"boot-{self.boot}", loaded=dict(self.loaded))

    async def stage_chunk(
        self, root_digest: str, index: int, data: bytes
    ) -> Failure | None:
        await anyio.lowlevel.checkpoint()
        self.staged.setdefault(root_digest, {})[index] = data
        return None

    async def drop_staged(self, root_digest: str) -> Failure | None:
        self.staged.pop(root_digest, None)
        return None

    async def load(self, order: LoadOrder) -> Failure | None:
        until = self.count_checkpoint() + self.load_steps * CHECKPOINTS_PER_STEP
        while self.count_checkpoint() < until:
            await anyio.lowlevel.checkpoint()
        if self.load_failures:
            return self.load_failures.popleft()
        if self.checks_fencing and order.fencing_number < self.fencing_number:
            return Failure(Reason.FENCED, Step.LOAD, "engine")
        chunks = self.staged.get(order.root_digest, {})
        if len(chunks) != len(order.chunk_digests):
            return Failure(Reason.INVALID, Step.LOAD, "engine", "missing chunks")
        self.fencing_number = order.fencing_number
        self.orders.append(order)
        digests = [digest_bytes(chunks[i]) for i in sorted(chunks)]
        self.loaded[order.model] = compute_root_digest(digests)
        del self.staged[order.root_digest]
        return None


class FakeConfiguration:
    """Provides a document that tests can change."""

    def __init__(self) -> None:
        self.document = ConfigurationDocument()
        self._listeners: list[Callable[[ConfigurationDocument], None]] = []

    def on_change(self, listener: Callable[[ConfigurationDocument], None]) -> None:
        self._listeners.append(listener)

    def set_models(self, **models: ModelVersion) -> None:
        pool = PoolConfiguration(kind=PoolKind.MODEL, models=tuple(models))
        self.document = ConfigurationDocument(
            version=self.document.version + 1, pools={POOL: pool}, models=models
        )
        for listener in self._listeners:
            listener(self.document)


class FakeFencing:
    """Issues numbers that persist when the agents of a test are replaced."""

    def __init__(self) -> None:
        self.record = FencingRecord()

    async def read(self) -> FencingRecord | Failure:
        return self.record

    async def next_number(
        self, model: str, root_digest: str, sequence: int
    ) -> int | Failure:
        ordered = OrderedVersion(model, root_digest, sequence)
        number = self.record.number + 1
        self.record = FencingRecord(number, (*self.record.ordered, ordered))
        return number


class FakeGate:
    """Records switches."""

    def __init__(self) -> None:
        self.events: list[str] = []

    async def begin_switch(self, model: str) -> Failure | None:
        self.events.append("begin")
        return None

    def end_switch(self, model: str) -> None:
        self.events.append("end")


class FakeLinks:
    """Delivers messages between agents in order, at the next `deliver`."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, type], Any] = {}
        self.queue: deque[tuple[str, str, Any]] = deque()
        self.sent: Counter[str] = Counter()
        self.dead: set[str] = set()
        self.link_listeners: dict[str, Any] = {}

    def remove_agent(self, name: str) -> None:
        """Remove the handlers of a dead agent."""
        for key in [key for key in self.handlers if key[0] == name]:
            del self.handlers[key]

    def deliver(self) -> None:
        for _ in range(len(self.queue)):
            sender, peer, message = self.queue.popleft()
            handler = self.handlers.get((peer, type(message)))
            if handler and not self.dead & {sender, peer}:
                handler(Sender(sender, 1, 1), message)


class FakeNetwork:
    """The network interface of one agent."""

    def __init__(self, name: str, links: FakeLinks) -> None:
        self._name = name
        self._links = links

    def send(
        self, peer: str, message: Any, priority: Priority = Priority.LIVE
    ) -> Failure | None:
        self._links.sent[type(message).__name__] += 1
        self._links.queue.append((self._name, peer, message))
        return None

    def subscribe(self, message_class: type, handler: Any) -> None:
        self._links.handlers[self._name, message_class] = handler

    def on_link_event(self, listener: Any) -> None:
        self._links.link_listeners[self._name] = listener

    def peers(self) -> tuple[str, ...]:
        return ()


class FakePeers:
    """Returns all agents of the test except one."""

    def __init__(self, me: str, agents: list[WeightPeer]) -> None:
        self._me = me
        self._agents = agents

    def agents_of(self, model: str) -> tuple[WeightPeer, ...]:
        return tuple(agent for agent in self._agents if agent.name != self._me)


class Agent:
    """A controller with its fakes."""

    def __init__(self, pool: "AgentPool", peer: WeightPeer, checks_fencing: bool):
        self.peer = peer
        self.engine = FakeEngine(checks_fencing)
        self.fencing = FakeFencing()
        self.gate = FakeGate()
        self.pool = pool
        self.controller: WeightController
        self.scope: anyio.CancelScope

    async def run(self) -> None:
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as tasks:
                self.start(tasks)
                await anyio.sleep_forever()

    def start(self, tasks: Any) -> None:
        pool = self.pool
        self.controller = create_weight_controller(
            make_settings(self.peer, self.engine.checks_fencing),
            network=FakeNetwork(self.peer.name, pool.links),
            timers=pool.timers,
            tasks=tasks,
            origin=pool.origin,
            engine=self.engine,
            peers=FakePeers(self.peer.name, pool.peers),
            configuration=pool.configuration,
            fencing=self.fencing,
            gate=self.gate,
        )
        self.controller.start()

    async def poll(self) -> None:
        state = await self.engine.read_state()
        assert isinstance(state, EngineState)
        self.controller.record_engine_state(state)

    @property
    def offered_root(self) -> str:
        offered = self.controller.offered()
        return offered[0].root_digest if offered else ""


class AgentPool:
    """Agents with a shared origin and virtual clock."""

    def __init__(self, peers: list[WeightPeer], checks_fencing: bool = True) -> None:
        self.clock = VirtualClock()
        self.timers = TimerService(self.clock)
        self.links = FakeLinks()
        self.origin = FakeOrigin()
        self.configuration = FakeConfiguration()
        self.peers = peers
        self.tasks: Any = None
        self.version: Any = None
        self.agents = [Agent(self, peer, checks_fencing) for peer in peers]

    async def replace_agent(self, agent: Agent) -> None:
        """Stop an agent's process and start another one in its place."""
        successor = Agent(self, agent.peer, agent.engine.checks_fencing)
        successor.engine = agent.engine
        successor.fencing = agent.fencing
        agent.scope.cancel()
        self.links.remove_agent(agent.peer.name)
        await anyio.lowlevel.checkpoint()
        self.agents[self.agents.index(agent)] = successor
        self.tasks.start_soon(successor.run)
        await anyio.lowlevel.checkpoint()

    async def wait_for_order_expiry(self) -> None:
        """Wait in real time until `order_settle_s` has passed."""
        await anyio.sleep(2 * ORDER_SETTLE_S)
        await self.step(0.5)

    async def publish(self, weights: bytes, sequence: int = 1) -> ModelVersion:
        """Publish weights and configure them as the current version."""
        publication = await publish_weights(
            self.origin, MODEL, f"v{sequence}", sequence, weights, 1024
        )
        assert not isinstance(publication, Failure)
        self.version = publication.version
        self.configuration.set_models(**{MODEL: publication.version})
        return publication.version

    async def step(self, seconds: float) -> None:
        """Advance the clock, and run due timers and ready tasks."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.timers.run_due()
            for _ in range(CHECKPOINTS_PER_STEP):
                self.links.deliver()
                await anyio.lowlevel.checkpoint()


def make_settings(peer: WeightPeer, checks_fencing: bool = True) -> DaemonSettings:
    return DaemonSettings.model_validate(
        {
            "name": peer.name,
            "role": "agent",
            "zone": peer.zone,
            "region": peer.region,
            "port": 7000,
            "http_port": 7001,
            "platform": {
                "key_value_url": "http://127.0.0.1:1",
                "instance_list_url": "http://127.0.0.1:2",
                "origin_url": "http://127.0.0.1:3",
            },
            "weights": {"origin_region": "centro"},
            "target": {
                "kind": "model_engine",
                "pool": POOL,
                "url": "http://127.0.0.1:4",
                "checks_fencing": checks_fencing,
                "order_settle_s": ORDER_SETTLE_S,
            },
        }
    )


def run_pool(pool: AgentPool, scenario: Callable[[AgentPool], Awaitable[None]]) -> None:
    """Start the agents of a pool and run a scenario on them."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            pool.tasks = tasks
            for agent in pool.agents:
                tasks.start_soon(agent.run)
            await anyio.lowlevel.checkpoint()
            await scenario(pool)
            tasks.cancel_scope.cancel()

    anyio.run(run)
