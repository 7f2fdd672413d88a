"""The node: the components of a daemon that both roles share."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from anyio.abc import TaskGroup

from reedspar import attempts, configuration, links, membership, requests, weights
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
from reedspar.observation import (
    AttemptObserver,
    ConfigurationObserver,
    MemberObserver,
    ObservedKeyValueStore,
    ObservedNetwork,
)
from reedspar.platform import (
    HttpInstanceList,
    HttpKeyValueStore,
    KeyValueStore,
    create_http_instance_list,
    create_http_key_value_store,
)
from reedspar.settings import DaemonSettings
from reedspar.supervision import ContainedTasks, read_error_counts
from reedspar.telemetry import (
    Metrics,
    create_invariant_reporter,
    create_metrics,
    install_invariant_reporter,
)
from reedspar.timeline import EventKind, EventRecorder, create_event_recorder
from reedspar.timers import TimerService, create_timer_service

__all__ = ["Node", "create_node"]

LINK_UPDATE_INTERVAL_S = 0.5
FRESHNESS_CHECK_INTERVAL_S = 0.25


@dataclass
class Node:
    """The components of one daemon that don't depend on its role."""

    settings: DaemonSettings
    incarnation: int
    tasks: TaskGroup
    """Tasks without which the daemon ends."""
    contained_tasks: ContainedTasks
    timers: TimerService
    transport: TcpNetwork
    network: ObservedNetwork
    key_value: KeyValueStore
    key_value_client: HttpKeyValueStore
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
        """Listen for peers, and start membership and configuration."""
        self.tasks.start_soon(self.timers.run)
        await self.tasks.start(self.transport.run)
        self.network.on_link_event(self._handle_link_event)
        self.network.on_sender(self.membership.handle_sender)
        self.network.on_sender(self.configuration.handle_sender)
        self.timers.on_pause(self._handle_pause)
        self.timers.call_every(LINK_UPDATE_INTERVAL_S, self._update_desired_peers)
        self.configuration.on_change(self.history.add)
        self._connect_observers()
        self.membership.start()
        self.configuration.start()
        self.recorder.record(EventKind.DAEMON_STARTED)

    async def close(self) -> None:
        """Close the clients of the platform's services."""
        self.recorder.record(EventKind.DAEMON_STOPPED)
        await self.key_value_client.aclose()
        await self.instance_list.aclose()

    def _handle_link_event(self, event: LinkEvent) -> None:
        if event.change is LinkChange.DOWN:
            self.membership.handle_link_down(event.peer)
        if event.reason is Reason.UNAVAILABLE:
            self.membership.handle_refused_dial(event.peer)
        if event.change in (LinkChange.DOWN, LinkChange.REFUSED):
            return
        self.membership.handle_link_up(event.peer, event.incarnation)

    def _connect_observers(self) -> None:
        """Connect the node's components to events and metrics."""
        zone = self.settings.zone
        documents = ConfigurationObserver(
            self.recorder, lambda: self.configuration.check_work_allowed(zone)
        )
        self.configuration.on_change(documents.record_document)
        self.timers.call_every(FRESHNESS_CHECK_INTERVAL_S, documents.check_freshness)
        members = MemberObserver(self.recorder, self.membership.members)
        self.membership.on_change(members.handle_change)
        AttemptObserver(self.network, self.metrics, self.recorder)
        traffic = self.transport.traffic
        self.metrics.unreadable_frames.set_callback(
            lambda: traffic.unreadable_frame_count
        )
        self.metrics.link_bytes.set_callback(
            lambda: [
                (traffic.sent_bytes, {"direction": "sent"}),
                (traffic.received_bytes, {"direction": "received"}),
            ]
        )
        self.metrics.unexpected_errors.set_callback(read_error_counts)
        self.metrics.config_version.set_callback(lambda: self.configuration.version)
        self.metrics.freshness_age.set_callback(
            lambda: self.configuration.freshness_age_s
        )

    def _handle_pause(self, gap_s: float) -> None:
        self.metrics.pauses.add(1)
        self.recorder.record(EventKind.DAEMON_PAUSED, detail=f"{gap_s:.1f} s")

    def _update_desired_peers(self) -> None:
        desired = self.membership.desired_links()
        self.network.set_desired_peers(
            "membership",
            [PeerAddress(record.name, record.host, record.port) for record in desired],
        )


def create_registry() -> MessageRegistry:
    """Return a registry of all message types between daemons."""
    registry = MessageRegistry()
    for package in (
        links,
        attempts,
        configuration,
        membership,
        requests,
        weights,
    ):
        package.register_messages(registry)
    return registry


def create_node(settings: DaemonSettings, incarnation: int, tasks: TaskGroup) -> Node:
    """Create the node; nothing runs before `Node.start`."""
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

    contained_tasks = ContainedTasks(tasks)
    transport = create_tcp_network(
        hello, create_registry(), timers, settings.links, describe_sender
    )
    network = ObservedNetwork(transport, metrics, recorder)
    platform = settings.platform
    key_value_client = create_http_key_value_store(
        platform.key_value_url, timeout_s=platform.call_timeout_s
    )
    key_value = ObservedKeyValueStore(key_value_client, metrics, recorder)
    instance_list = create_http_instance_list(
        platform.instance_list_url, timeout_s=platform.call_timeout_s
    )
    members = create_membership(
        settings,
        network,
        timers,
        instance_list,
        contained_tasks.start_soon,
        incarnation,
    )
    node = Node(
        settings,
        incarnation,
        tasks,
        contained_tasks,
        timers,
        transport,
        network,
        key_value,
        key_value_client,
        instance_list,
        members,
        create_configuration_controller(
            settings, network, timers, key_value, members, contained_tasks.start_soon
        ),
        recorder,
        metrics,
    )
    return node
