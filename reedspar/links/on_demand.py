"""Links that are dialled when something is to be sent, and let go when idle.

Parts whose peers change with each message (the drawing of chunks) can't name
their links beforehand, and a link to everybody would cost the product of the
fleets.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from reedspar.errors import Failure, Reason
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .messages import Role
from .monitor import LinkChange
from .network import (
    Handler,
    LinkEvent,
    LinkListener,
    Network,
    PeerAddress,
    Priority,
)

__all__ = ["OnDemandLimits", "OnDemandNetwork"]

SWEEP_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class OnDemandLimits:
    """Bounds on what is dialled and held."""

    links_max: int = 64
    held_max: int = 32
    """Messages that wait for one peer's link; beyond, the oldest is dropped."""
    hold_s: float = 2.0
    idle_s: float = 30.0


@dataclass(slots=True)
class _Peer:
    address: PeerAddress
    used_s: float
    held: deque[tuple[Any, Priority, float]] = field(default_factory=deque)


class OnDemandNetwork:
    """A network that dials whom it is asked to send to."""

    def __init__(
        self,
        network: Network,
        timers: TimerService,
        owner: str,
        resolve: Callable[[str], PeerAddress | None],
        limits: OnDemandLimits | None = None,
    ) -> None:
        self._network = network
        self._timers = timers
        self._owner = owner
        self._resolve = resolve
        self._limits = limits or OnDemandLimits()
        self._peers: OrderedDict[str, _Peer] = OrderedDict()
        network.on_link_event(self._note_link)
        timers.call_every(SWEEP_INTERVAL_S, self._sweep)

    def send(
        self, peer: str, message: Any, priority: Priority = Priority.LIVE
    ) -> Failure | None:
        """Send, or hold the message for a moment while the link is dialled."""
        failure = self._network.send(peer, message, priority)
        if failure is not None and failure.reason is not Reason.UNAVAILABLE:
            return failure
        entry = self._touch(peer)
        if failure is None or entry is None:
            return failure
        entry.held.append((message, priority, self._timers.now_s()))
        while len(entry.held) > self._limits.held_max:
            entry.held.popleft()
        return None

    def subscribe(self, message_class: type, handler: Handler) -> None:
        """Call `handler` with each such message."""
        self._network.subscribe(message_class, handler)

    def on_link_event(self, listener: LinkListener) -> None:
        """Call `listener` when a link comes up, is replaced or goes down."""
        self._network.on_link_event(listener)

    def on_sender(self, listener: Callable[[Sender], None]) -> None:
        """Call `listener` with what each received frame says of its sender."""
        self._network.on_sender(listener)

    def want(self, owner: str, peers: Iterable[PeerAddress]) -> None:
        """Keep links to these peers, until the same owner wants others."""
        self._network.want(owner, peers)

    def peers(self, role: Role | None = None) -> tuple[str, ...]:
        """Return the names of the peers (of a role) that a link is open to."""
        return self._network.peers(role)

    def incarnation_of(self, peer: str) -> int:
        """Return the incarnation heard last of a peer; 0 if none."""
        return self._network.incarnation_of(peer)

    def bulk_backlog_bytes(self, peer: str) -> int:
        """Return how much bulk waits to be sent to a peer."""
        return self._network.bulk_backlog_bytes(peer)

    def _touch(self, peer: str) -> _Peer | None:
        """Note that a peer's link is in use; dial it if it is new."""
        now_s = self._timers.now_s()
        entry = self._peers.get(peer)
        if entry is not None:
            entry.used_s = now_s
            self._peers.move_to_end(peer)
            return entry
        address = self._resolve(peer)
        if address is None:
            return None
        entry = self._peers[peer] = _Peer(address, now_s)
        if len(self._peers) > self._limits.links_max:
            self._peers.popitem(last=False)
        self._want()
        return entry

    def _want(self) -> None:
        addresses = [entry.address for entry in self._peers.values()]
        self._network.want(self._owner, addresses)

    def _note_link(self, event: LinkEvent) -> None:
        entry = self._peers.get(event.peer)
        if entry is None or event.change is not LinkChange.UP:
            return
        held = list(entry.held)
        entry.held.clear()
        for message, priority, _ in held:
            self._network.send(event.peer, message, priority)

    def _sweep(self) -> None:
        """Drop messages held too long, and let go of idle links."""
        now_s = self._timers.now_s()
        for entry in self._peers.values():
            while entry.held and now_s - entry.held[0][2] > self._limits.hold_s:
                entry.held.popleft()
        idle = [
            name
            for name, entry in self._peers.items()
            if now_s - entry.used_s > self._limits.idle_s
        ]
        for name in idle:
            del self._peers[name]
        if idle:
            self._want()
