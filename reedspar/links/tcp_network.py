"""The network over TCP: a listener, and a monitored link to each peer."""

import itertools
import logging
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import anyio
from anyio.abc import ByteStream

from reedspar.errors import Failure, Reason, Step
from reedspar.messages import (
    Envelope,
    MessageRegistry,
    Sender,
    decode_frame,
    encode_frame,
)
from reedspar.settings.models import LinkSettings
from reedspar.supervision import (
    ContainedTasks,
    call_contained,
    report_unexpected_error,
)
from reedspar.timers import TimerService

from .connection import FrameConnection
from .dialling import open_stream
from .messages import Heartbeat, Hello, Role
from .monitor import (
    CloseConnection,
    Dial,
    LinkAction,
    LinkChange,
    LinkMonitor,
    LinkTimings,
    Notify,
)
from .network import Handler, LinkEvent, LinkListener, PeerAddress, Priority
from .peer import LinkTraffic, Peer

__all__ = ["TcpNetwork", "create_tcp_network"]

MONITOR_INTERVAL_S = 0.1
UNIDENTIFIED_MAX = 256
"""Accepted connections on which no peer has told its name; others are closed."""

_logger = logging.getLogger(__name__)


class TcpNetwork:
    """Links to peers over TCP, each monitored by a `LinkMonitor`."""

    def __init__(
        self,
        hello: Hello,
        registry: MessageRegistry,
        timers: TimerService,
        settings: LinkSettings,
        describe_sender: Callable[[], Sender],
        rng: random.Random,
    ) -> None:
        self._hello = hello
        self._registry = registry
        self._timers = timers
        self._settings = settings
        self._describe_sender = describe_sender
        self._rng = rng
        self._timings = LinkTimings(
            settings.heartbeat_s,
            settings.idle_heartbeat_s,
            settings.silence_s,
            settings.dial_timeout_s,
        )
        self._peers: dict[str, Peer] = {}
        self._incarnations: dict[str, int] = {}
        self._desired_by_owner: dict[str, dict[str, PeerAddress]] = {}
        self._handlers: dict[type, list[Handler]] = defaultdict(list)
        self._link_listeners: list[LinkListener] = []
        self._sender_listeners: list[Callable[[Sender], None]] = []
        self._accepted: set[_Session] = set()
        self._connection_ids = itertools.count(1)
        self._nonces = itertools.count(1)
        self._tasks: ContainedTasks | None = None
        self.traffic = LinkTraffic()

    def subscribe(self, message_class: type, handler: Handler) -> None:
        """Call `handler` with each message of this class; it must not block."""
        self._handlers[message_class].append(handler)

    def on_link_event(self, listener: LinkListener) -> None:
        """Call `listener` with each change of a link."""
        self._link_listeners.append(listener)

    def on_sender(self, listener: Callable[[Sender], None]) -> None:
        """Call `listener` with the sender header of each received frame."""
        self._sender_listeners.append(listener)

    def peers(self, role: Role | None = None) -> tuple[str, ...]:
        """Return the names of the peers with an open link, optionally of one role."""
        return tuple(
            peer.name
            for peer in self._peers.values()
            if peer.connections and role in (None, peer.role)
        )

    def incarnation_of(self, peer: str) -> int:
        """Return the newest known incarnation of a peer; 0 if unknown."""
        return self._incarnations.get(peer, 0)

    def bulk_backlog_bytes(self, peer: str) -> int:
        """Return the size of the bulk frames queued for a peer."""
        connection = self._connection_to(peer)
        return connection.bulk_backlog_bytes if connection else 0

    def set_desired_peers(self, owner: str, peers: Iterable[PeerAddress]) -> None:
        """Keep links to these peers open; replaces the earlier peers of `owner`."""
        local_name = self._hello.name
        self._desired_by_owner[owner] = {
            p.name: p for p in peers if p.name != local_name
        }
        desired: dict[str, PeerAddress] = {}
        for addresses in self._desired_by_owner.values():
            desired |= addresses
        for name, address in desired.items():
            peer = self._get_or_create_peer(name)
            peer.address = address
            peer.monitor.is_desired = True
        for name, peer in self._peers.items():
            if name not in desired:
                peer.monitor.is_desired = False

    def send(
        self, peer: str, message: Any, priority: Priority = Priority.LIVE
    ) -> Failure | None:
        """Queue a message; a failure means that nothing was sent."""
        connection = self._connection_to(peer)
        if connection is None:
            return Failure(Reason.UNAVAILABLE, Step.LINK, peer, "no link")
        batch = self._registry.batch_for(type(message))
        if batch is not None and priority is Priority.LIVE:
            failure = connection.send_in_batch(message, batch.measure(message))
        else:
            frame = self._encode(message)
            failure = connection.send(frame, priority)
            self.traffic.sent_bytes += len(frame) if failure is None else 0
        if failure is not None:
            return Failure(failure.reason, Step.LINK, peer, failure.detail)
        is_traffic = not isinstance(message, Heartbeat)
        monitor = self._peers[peer].monitor
        monitor.record_sent(self._timers.now_s(), is_traffic=is_traffic)
        return None

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Listen, dial and monitor links until cancelled; started once it listens."""
        listener = await anyio.create_tcp_listener(
            local_host=self._hello.host, local_port=self._hello.port, backlog=1024
        )
        self._timers.on_pause(self._handle_pause)
        ticks = self._timers.call_every(MONITOR_INTERVAL_S, self._tick)
        try:
            async with anyio.create_task_group() as tasks, listener:
                self._tasks = ContainedTasks(tasks)
                task_status.started()
                await listener.serve(self._accept, tasks)
        finally:
            ticks.cancel()

    def _get_or_create_peer(self, name: str) -> Peer:
        if name not in self._peers:
            self._peers[name] = Peer(name, LinkMonitor(self._timings, self._rng))
        return self._peers[name]

    def _connection_to(self, name: str) -> FrameConnection | None:
        peer = self._peers.get(name)
        if peer is None or not peer.monitor.connections:
            return None
        return peer.connections.get(peer.monitor.connections[-1])

    def _handle_pause(self, gap_s: float) -> None:
        for peer in self._peers.values():
            peer.monitor.handle_pause(gap_s)

    def _tick(self) -> None:
        now_s = self._timers.now_s()
        for peer in list(self._peers.values()):
            self._execute(peer, peer.monitor.tick(now_s))
            monitor = peer.monitor
            if not (peer.connections or monitor.is_desired or monitor.is_up):
                del self._peers[peer.name]

    def _execute(self, peer: Peer, actions: list[LinkAction]) -> None:
        for action in actions:
            if isinstance(action, Notify):
                self._notify(peer, action)
            elif isinstance(action, Dial):
                self._start_task(self._dial, peer)
            elif isinstance(action, CloseConnection):
                connection = peer.connections.get(action.connection)
                if connection is not None:
                    self._start_task(connection.close)
            else:
                self.send(peer.name, Heartbeat(next(self._nonces)))

    def _start_task(self, function: Callable[..., Any], *args: Any) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *args)

    def _notify(self, peer: Peer, action: Notify) -> None:
        event = LinkEvent(peer.name, peer.incarnation, action.change, action.reason)
        _logger.info(
            "link %s",
            action.change.value,
            extra={
                "peer": peer.name,
                "incarnation": peer.incarnation,
                "reason": action.reason.value if action.reason else "",
            },
        )
        for listener in self._link_listeners:
            call_contained("link listener", listener, event, subject=peer.name)

    async def _accept(self, stream: ByteStream) -> None:
        if self._unidentified_count >= UNIDENTIFIED_MAX:
            await stream.aclose()
            return
        await self._run_connection(stream, expected_peer=None)

    @property
    def _unidentified_count(self) -> int:
        """Return on how many accepted connections the peer has not told its name."""
        return sum(session.peer is None for session in self._accepted)

    async def _dial(self, peer: Peer) -> None:
        assert peer.address is not None
        stream = await open_stream(peer.address, self._settings.dial_timeout_s)
        if isinstance(stream, Reason):
            reason = stream
        elif await self._run_connection(stream, expected_peer=peer.name):
            return
        else:
            reason = Reason.TIMEOUT
        actions = peer.monitor.handle_dial_failure(reason, self._timers.now_s())
        self._execute(peer, actions)

    async def _run_connection(
        self, stream: ByteStream, expected_peer: str | None
    ) -> bool:
        """Run a connection until it ends; return whether the peer sent its hello."""
        connection = FrameConnection(stream, self._encode_batch)
        session = _Session(self, connection, expected_peer)
        if expected_peer is None:
            self._accepted.add(session)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(session.connection.write_frames)
                tasks.start_soon(session.enforce_hello_timeout)
                session.connection.send(self._encode(self._hello), Priority.LIVE)
                await session.connection.read_frames(session.handle)
                tasks.cancel_scope.cancel()
        except Exception as error:
            report_unexpected_error("link", error, expected_peer or "")
        finally:
            self._accepted.discard(session)
            await session.connection.close()
            self._handle_closed(session)
        return session.peer is not None

    def _encode(self, message: Any) -> bytes:
        return encode_frame(self._registry, self._describe_sender(), message)

    def _encode_batch(self, messages: Sequence[Any]) -> bytes:
        batch = self._registry.batch_for(type(messages[0]))
        if batch is None or len(messages) == 1:
            frame = self._encode(messages[0])
        else:
            frame = self._encode(batch.join(messages))
        self.traffic.sent_bytes += len(frame)
        return frame

    def _handle_hello(self, session: "_Session", sender: Sender, hello: Hello) -> bool:
        """Handle a peer's hello; return False if the connection must be closed."""
        if session.expected_peer is not None and hello.name != session.expected_peer:
            return False
        peer = self._get_or_create_peer(hello.name)
        if sender.incarnation < self.incarnation_of(hello.name):
            # The peer was paused and then replaced; its successor is already known.
            return False
        if sender.incarnation > peer.incarnation:
            self._replace_incarnation(peer, sender.incarnation)
            self._incarnations[hello.name] = sender.incarnation
        if peer.address is None:
            peer.address = PeerAddress(hello.name, hello.host, hello.port)
        peer.role = hello.role
        session.peer = peer
        peer.connections[session.id] = session.connection
        if session.expected_peer is not None:
            peer.monitor.is_dialling = False
        now_s = self._timers.now_s()
        self._execute(peer, peer.monitor.handle_opened(session.id, now_s))
        return True

    def _replace_incarnation(self, peer: Peer, incarnation: int) -> None:
        old = peer.monitor
        if old.is_up:
            self._notify(peer, Notify(LinkChange.DOWN, Reason.UNAVAILABLE))
        for connection in peer.connections.values():
            self._start_task(connection.close)
        peer.connections.clear()
        peer.monitor = LinkMonitor(self._timings, self._rng, is_desired=old.is_desired)
        peer.monitor.is_dialling = old.is_dialling
        peer.incarnation = incarnation

    def _handle_closed(self, session: "_Session") -> None:
        peer = session.peer
        if peer is None or peer.connections.pop(session.id, None) is None:
            return
        now_s = self._timers.now_s()
        self._execute(peer, peer.monitor.handle_closed(session.id, now_s))

    def _handle_frame(self, session: "_Session", frame: bytes) -> bool:
        self.traffic.received_bytes += len(frame)
        envelope = decode_frame(self._registry, frame)
        if isinstance(envelope, Failure):
            self.traffic.unreadable_frame_count += 1
            return envelope.reason is not Reason.CORRUPT
        first = envelope.messages[0]
        if isinstance(first, Hello):
            return self._handle_hello(session, envelope.sender, first)
        if session.peer is None:
            return False
        self._dispatch(session.peer, envelope)
        return True

    def _dispatch(self, peer: Peer, envelope: Envelope) -> None:
        now_s = self._timers.now_s()
        peer.monitor.record_received(now_s)
        for listener in self._sender_listeners:
            call_contained("sender listener", listener, envelope.sender)
        first = envelope.messages[0]
        if isinstance(first, Heartbeat):
            return
        peer.monitor.record_traffic(now_s)
        handlers = self._handlers.get(type(first), ())
        for message in envelope.messages:
            for handler in handlers:
                call_contained(
                    "message handler",
                    handler,
                    envelope.sender,
                    message,
                    subject=peer.name,
                )


class _Session:
    """The state of one connection from accept or dial until it ends."""

    def __init__(
        self,
        network: TcpNetwork,
        connection: FrameConnection,
        expected_peer: str | None,
    ) -> None:
        self.id = next(network._connection_ids)
        self.connection = connection
        self.expected_peer = expected_peer
        self.peer: Peer | None = None
        self._network = network

    def handle(self, frame: bytes) -> bool:
        """Handle a frame; return False to end the connection."""
        return self._network._handle_frame(self, frame)

    async def enforce_hello_timeout(self) -> None:
        """Close the connection if the peer does not send its hello in time.

        Connections to a frozen process are still accepted, by its kernel.
        """
        await anyio.sleep(self._network._settings.dial_timeout_s)
        if self.peer is None:
            await self.connection.close()


def create_tcp_network(
    hello: Hello,
    registry: MessageRegistry,
    timers: TimerService,
    settings: LinkSettings,
    describe_sender: Callable[[], Sender],
    rng: random.Random | None = None,
) -> TcpNetwork:
    """Create the network of a daemon, which sends `hello` first on each connection."""
    return TcpNetwork(
        hello, registry, timers, settings, describe_sender, rng or random.Random()
    )
