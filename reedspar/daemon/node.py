"""What both roles of the daemon are built on."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from anyio.abc import TaskGroup

from reedspar import attempts, configuration, links, membership, weights
from reedspar.admin import AgentStatus, DocumentHistory, EntryStatus
from reedspar.configuration import (
    ConfigurationController,
    create_configuration_controller,
)
from reedspar.errors import Reason
from reedspar.links import Hello, LinkChange, LinkEvent, PeerAddress
from reedspar.links.tcp_network import TcpNetwork, create_tcp_network
from reedspar.membership import Membership, create_membership
from reedspar.messages import MessageRegistry, Sender
from reedspar.platform import (
    HttpInstanceList,
    HttpKeyValueStore,
    create_http_instance_list,
    create_http_key_value_store,
)
from reedspar.settings import DaemonSettings
from reedspar.telemetry import (
    Metrics,
    create_invariant_reporter,
    create_metrics,
    install_invariant_reporter,
)
from reedspar.timeline import EventKind, EventRecorder, create_event_recorder
from reedspar.timers import TimerService, create_timer_service

__all__ = ["Node", "create_node"]

WANT_INTERVAL_S = 0.5


@dataclass
class Node:
    """The shared parts of one daemon."""

    settings: DaemonSettings
    incarnation: int
    tasks: TaskGroup
    timers: TimerService
    network: TcpNetwork
    key_value: HttpKeyValueStore
    instance_list: HttpInstanceList
    membership: Membership
    configuration: ConfigurationController
    recorder: EventRecorder
    metrics: Metrics
    history: DocumentHistory = field(default_factory=DocumentHistory)
    started_s: float = field(default_factory=time.monotonic)
    is_draining: bool = False
    describe_role: Callable[[], AgentStatus | EntryStatus | None] = lambda: None

    async def start(self) -> None:
        """Listen for peers, and begin to learn members and configuration."""
        self.tasks.start_soon(self.timers.run)
        await self.tasks.start(self.network.run)
        self.network.on_link_event(self._note_link)
        self.network.on_sender(self.membership.note_sender)
        self.network.on_sender(self.configuration.note_sender)
        self.timers.on_pause(self._note_pause)
        self.timers.call_every(WANT_INTERVAL_S, self._want_links)
        self.configuration.on_change(self.history.add)
        self.configuration.on_change(
            lambda document: self.recorder.record(
                EventKind.CONFIG_ADOPTED, version=document.version
            )
        )
        self.membership.start()
        self.configuration.start()
        self.recorder.record(EventKind.DAEMON_STARTED)

    async def close(self) -> None:
        """Let go of the platform's services."""
        self.recorder.record(EventKind.DAEMON_STOPPED)
        await self.key_value.aclose()
        await self.instance_list.aclose()

    def _note_link(self, event: LinkEvent) -> None:
        if event.change is LinkChange.DOWN:
            self.recorder.record(EventKind.LINK_DOWN, target=event.peer)
            self.membership.note_link_down(event.peer)
        if event.reason is Reason.UNAVAILABLE:
            self.membership.note_refused_dial(event.peer)
        if event.change in (LinkChange.DOWN, LinkChange.REFUSED):
            return
        if event.change is LinkChange.UP:
            self.recorder.record(EventKind.LINK_UP, target=event.peer)
        self.membership.note_link_up(event.peer, event.incarnation)

    def _note_pause(self, gap_s: float) -> None:
        self.metrics.pauses.add(1)
        self.recorder.record(EventKind.DAEMON_PAUSED, detail=f"{gap_s:.1f} s")

    def _want_links(self) -> None:
        wanted = self.membership.wanted_links()
        self.network.want(
            "membership",
            [PeerAddress(record.name, record.host, record.port) for record in wanted],
        )


def create_registry() -> MessageRegistry:
    """Return a registry of every message type between daemons."""
    registry = MessageRegistry()
    for package in (
        links,
        attempts,
        configuration,
        membership,
        weights,
    ):
        package.register_messages(registry)
    return registry


def create_node(settings: DaemonSettings, incarnation: int, tasks: TaskGroup) -> Node:
    """Build the shared parts; nothing runs before `Node.start`."""
    timers = create_timer_service()
    recorder = create_event_recorder(settings.name, incarnation)
    metrics = create_metrics(settings.name, settings.zone, settings.role.value)
    install_invariant_reporter(create_invariant_reporter(metrics, recorder))
    hello = Hello(
        settings.name,
        settings.role,
        settings.zone,
        settings.region,
        settings.host,
        settings.port,
    )

    def describe_sender() -> Sender:
        return Sender(
            settings.name,
            incarnation,
            node.configuration.version,
            node.configuration.fresh_age_ms,
        )

    network = create_tcp_network(
        hello, create_registry(), timers, settings.links, describe_sender
    )
    platform = settings.platform
    key_value = create_http_key_value_store(
        platform.key_value_url, timeout_s=platform.call_timeout_s
    )
    instance_list = create_http_instance_list(
        platform.instance_list_url, timeout_s=platform.call_timeout_s
    )
    members = create_membership(
        settings, network, timers, instance_list, tasks.start_soon, incarnation
    )
    node = Node(
        settings,
        incarnation,
        tasks,
        timers,
        network,
        key_value,
        instance_list,
        members,
        create_configuration_controller(
            settings, network, timers, key_value, members, tasks.start_soon
        ),
        recorder,
        metrics,
    )
    return node
