"""Many configuration controllers in virtual time, connected by a lossy network.

Only what affects this package is simulated: messages, the watch on the key-value
service, and stopped processes.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from reedspar.configuration import ConfigurationController, ConfigurationDocument
from reedspar.configuration.patching import encode_document
from reedspar.configuration.store import CURRENT_KEY
from reedspar.configuration.watching import (
    WATCHERS_PER_ZONE,
    KeyValueWatch,
    WatchResult,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.links import Network, Priority, Role
from reedspar.messages import Sender
from reedspar.platform import KeyValueEntry
from reedspar.settings import DaemonSettings
from reedspar.timers import TimerService, VirtualClock

__all__ = ["Fleet", "FleetKeyValue", "Node"]

TIMER_STEP_S = 0.05
BUFFERED_INPUTS_MAX = 2000


class FleetKeyValue:
    """The key-value service: one document, pending watches, and unreachable nodes."""

    def __init__(self, fleet: "Fleet") -> None:
        self._fleet = fleet
        self._entries: list[KeyValueEntry] = []
        self._written_s: list[float] = []
        self._watches: list[Callable[[], None]] = []
        self.is_down = False
        self.unreachable_from: set[str] = set()
        self.max_read_staleness_s = 0.0
        self.latency_s = 0.003
        self.calls = 0

    @property
    def version(self) -> int:
        """Return the version of the newest document."""
        return len(self._entries)

    def write(self, document: ConfigurationDocument) -> None:
        """Store a document, whose version must equal the number of writes."""
        value = encode_document(document)
        self._entries.append(KeyValueEntry(CURRENT_KEY, value, self.version + 1))
        self._written_s.append(self._fleet.clock.now_s())
        watches, self._watches = self._watches, []
        for answer in watches:
            answer()

    def read(self) -> KeyValueEntry | None:
        """Return the entry that was newest up to `max_read_staleness_s` ago."""
        lag_s = self._fleet.rng.random() * self.max_read_staleness_s
        as_of_s = self._fleet.clock.now_s() - lag_s
        count = sum(1 for time_s in self._written_s if time_s <= as_of_s)
        return self._entries[count - 1] if count else None

    def watch(
        self,
        node: "Node",
        after_revision: int,
        timeout_s: float,
        on_result: Callable[[WatchResult], None],
    ) -> None:
        """Answer once there is a newer entry, or after `timeout_s`."""
        self.calls += 1
        is_answered = False

        def answer(is_timed_out: bool = False) -> None:
            nonlocal is_answered
            if is_answered:
                return
            result: WatchResult = self.read()
            if self.is_down or node.name in self.unreachable_from:
                result = Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
            elif result is None or cast(KeyValueEntry, result).revision <= (
                after_revision
            ):
                if not is_timed_out:
                    self._watches.append(answer)
                    return
                result = None
            is_answered = True
            self._fleet.call_after(
                self.latency_s, lambda: node.run(lambda: on_result(result))
            )

        self._fleet.call_after(self.latency_s, answer)
        self._fleet.call_after(self.latency_s + timeout_s, lambda: answer(True))


class _Watch:
    """Replaces `KeyValueWatch` in virtual time."""

    def __init__(self, node: "Node", key_value: FleetKeyValue) -> None:
        self._node = node
        self._key_value = key_value
        self.is_waiting = False

    def start(
        self,
        after_revision: int,
        timeout_s: float,
        on_result: Callable[[WatchResult], None],
    ) -> None:
        self.is_waiting = True

        def finish(result: WatchResult) -> None:
            self.is_waiting = False
            on_result(result)

        self._key_value.watch(self._node, after_revision, timeout_s, finish)


class _View:
    """The daemons as listed by the instance list."""

    def __init__(self, fleet: "Fleet", node: "Node") -> None:
        self._fleet = fleet
        self.is_initialized = True

    def zones(self) -> frozenset[str]:
        return self._fleet.zones

    def zone_members(self, zone: str) -> tuple[str, ...]:
        return self._fleet.zone_members[zone]

    def on_change(self, listener: Callable[[], None]) -> None:
        return None


class Node:
    """One daemon: its controller, its timers, and whether its process is stopped."""

    def __init__(self, fleet: "Fleet", name: str, role: Role, zone: str) -> None:
        self.fleet = fleet
        self.name = name
        self.role = role
        self.zone = zone
        self.region = fleet.regions[zone]
        self.linked: list[str] = []
        self.incarnation = 0
        self.is_frozen = False
        self._buffer: list[Callable[[], None]] = []
        self.sent_messages = 0
        self.sent_bytes = 0

    def restart(self) -> None:
        """Restart the process, which loses all its state."""
        self.incarnation += 1
        self._buffer.clear()
        self.is_frozen = False
        self.handlers: dict[type, list[Callable[[Sender, Any], None]]] = {}
        self.timers = TimerService(self.fleet.clock)
        self.controller = ConfigurationController(
            make_settings(self),
            cast(Network, self),
            self.timers,
            cast(KeyValueWatch, _Watch(self, self.fleet.key_value)),
            _View(self.fleet, self),
            random.Random(self.fleet.rng.random()),
            self.fleet.watchers_per_zone,
        )
        self.controller.start()

    def peers(self) -> tuple[str, ...]:
        return tuple(self.linked)

    def subscribe(
        self, message_class: type, handler: Callable[[Sender, Any], None]
    ) -> None:
        self.handlers.setdefault(message_class, []).append(handler)

    def send(
        self, peer: str, message: Any, priority: Priority = Priority.LIVE
    ) -> Failure | None:
        controller = self.controller
        sender = Sender(
            self.name, self.incarnation, controller.version, controller.fresh_age_ms
        )
        self.sent_messages += 1
        self.sent_bytes += self.fleet.measure(sender, message)
        self.fleet.deliver(self, self.fleet.nodes[peer], sender, message)
        return None

    def receive(self, sender: Sender, message: Any) -> None:
        self.controller.handle_sender(sender)
        for handler in self.handlers.get(type(message), ()):
            handler(sender, message)
        self.fleet.observe(self)

    def run(self, action: Callable[[], None]) -> None:
        """Process an input now, or buffer it while the process is stopped."""
        if not self.is_frozen:
            action()
        elif len(self._buffer) < BUFFERED_INPUTS_MAX:
            self._buffer.append(action)

    def thaw(self) -> None:
        """Resume a stopped process; its buffered input may come before its timers."""
        self.is_frozen = False
        buffered, self._buffer = self._buffer, []
        if self.fleet.rng.random() < 0.5:
            self.timers.run_due()
        for action in buffered:
            action()


def make_settings(node: Node) -> DaemonSettings:
    """Return the settings of a daemon."""
    target = {"kind": "plain_service", "pool": "shop", "url": "http://127.0.0.1"}
    return DaemonSettings.model_validate(
        {
            "name": node.name,
            "role": node.role.value,
            "zone": node.zone,
            "region": node.region,
            "port": 1,
            "http_port": 2,
            "platform": {
                "key_value_url": "http://127.0.0.1",
                "instance_list_url": "http://127.0.0.1",
                "origin_url": "http://127.0.0.1",
            },
            "target": target if node.role is Role.AGENT else None,
        }
    )


@dataclass
class Fleet:
    """The daemons, the virtual clock, and the delivery of messages."""

    regions: dict[str, str]
    """The region of each zone."""
    seed: int = 0
    loss: float = 0.0
    """Probability that a message is lost."""
    watchers_per_zone: int = WATCHERS_PER_ZONE
    measure: Callable[[Sender, Any], int] = lambda sender, message: 0
    """Returns the size of a message in bytes, summed up as `Node.sent_bytes`."""
    is_partitioned: Callable[[Node, Node], bool] = lambda a, b: False
    observe: Callable[[Node], None] = lambda node: None
    """Called after each message that a daemon processes, and at its timer steps."""
    clock: VirtualClock = field(default_factory=VirtualClock)
    nodes: dict[str, Node] = field(default_factory=dict)
    zone_members: dict[str, tuple[str, ...]] = field(default_factory=dict)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _order: Any = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.key_value = FleetKeyValue(self)
        self.zones = frozenset(self.regions)

    def add(self, name: str, role: Role, zone: str) -> Node:
        """Add a daemon; `link` it, then `start` the fleet."""
        node = self.nodes[name] = Node(self, name, role, zone)
        self.zone_members[zone] = (*self.zone_members.get(zone, ()), name)
        return node

    def link(self, a: str, b: str) -> None:
        """Open a link between two daemons."""
        if b not in self.nodes[a].linked:
            self.nodes[a].linked.append(b)
            self.nodes[b].linked.append(a)

    def start(self) -> None:
        """Start every daemon."""
        for node in self.nodes.values():
            node.restart()
            self._schedule_timers(node, self.rng.random() * TIMER_STEP_S)

    def call_after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay_s`."""
        event = (self.clock.now_s() + delay_s, next(self._order), action)
        heapq.heappush(self._events, event)

    def run_for(self, duration_s: float) -> None:
        """Advance the virtual time and run the events that fall due."""
        end_s = self.clock.now_s() + duration_s
        while self._events and self._events[0][0] <= end_s:
            time_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(time_s - self.clock.now_s(), 0.0))
            action()
        self.clock.advance(max(end_s - self.clock.now_s(), 0.0))

    def freeze(self, node: Node, duration_s: float) -> None:
        """Stop a process for `duration_s`."""
        if not node.is_frozen:
            node.is_frozen = True
            self.call_after(duration_s, node.thaw)

    def deliver(self, source: Node, to: Node, sender: Sender, message: Any) -> None:
        """Deliver a message after a delay, or lose it."""
        if self.rng.random() < self.loss or self.is_partitioned(source, to):
            return
        latency_s = self._latency_s(source, to) * (1 + self.rng.random())
        self.call_after(latency_s, lambda: to.run(lambda: to.receive(sender, message)))

    def _latency_s(self, a: Node, b: Node) -> float:
        if a.zone == b.zone:
            return 0.0005
        return 0.001 if a.region == b.region else 0.003

    def _schedule_timers(self, node: Node, delay_s: float) -> None:
        def step() -> None:
            if not node.is_frozen:
                node.timers.run_due()
                self.observe(node)
            self.call_after(TIMER_STEP_S, step)

        self.call_after(delay_s, step)
