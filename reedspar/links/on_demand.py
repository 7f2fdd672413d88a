"""Links that are dialled when a message is to be sent, and closed when idle.

Components whose peers change with each message (such as the transfer of chunks) don't
know beforehand which links they need.  Links from every daemon to every other would
grow with the product of the fleets' sizes.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from reedspar.errors import Failure, Reason
from reedspar.timers import TimerService

from .forwarding import ForwardingNetwork
from .monitor import LinkChange
from .network import (
    LinkEvent,
    Network,
    PeerAddress,
    Priority,
)

__all__ = ["OnDemandLimits", "OnDemandNetwork"]

SWEEP_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class OnDemandLimits:
    """Limits on links and queued messages."""

    max_links: int = 64
    max_queued_messages: int = 32
    """Messages that wait for the link to one peer; the oldest are dropped first."""
    queue_timeout_s: float = 2.0
    idle_timeout_s: float = 30.0


@dataclass(slots=True)
class _Peer:
    address: PeerAddress
    last_used_s: float
    held: deque[tuple[Any, Priority, float]] = field(default_factory=deque)
    """Messages that wait for the link, each with the time at which it was queued."""


class OnDemandNetwork(ForwardingNetwork):
    """A network that dials peers when a message is to be sent to them."""

    def __init__(
        self,
        network: Network,
        timers: TimerService,
        owner: str,
        resolve: Callable[[str], PeerAddress | None],
        limits: OnDemandLimits | None = None,
    ) -> None:
        super().__init__(network)
        self._timers = timers
        self._owner = owner
        self._resolve = resolve
        self._limits = limits or OnDemandLimits()
        self._peers: OrderedDict[str, _Peer] = OrderedDict()
        network.on_link_event(self._handle_link_event)
        timers.call_every(SWEEP_INTERVAL_S, self._sweep)

    def send(
        self, peer: str, message: Any, priority: Priority = Priority.LIVE
    ) -> Failure | None:
        """Send a message, or queue it for a short time while the link is dialled."""
        failure = self._network.send(peer, message, priority)
        if failure is not None and failure.reason is not Reason.UNAVAILABLE:
            return failure
        if failure is None:
            self._mark_used(peer)
            return None
        entry = self._request_link(peer)
        if entry is None:
            return failure
        entry.held.append((message, priority, self._timers.now_s()))
        while len(entry.held) > self._limits.max_queued_messages:
            entry.held.popleft()
        return None

    def _mark_used(self, peer: str) -> None:
        """Record that the link to a peer is in use."""
        entry = self._peers.get(peer)
        if entry is not None:
            entry.last_used_s = self._timers.now_s()
            self._peers.move_to_end(peer)

    def _request_link(self, peer: str) -> _Peer | None:
        """Request a link to a peer's current address; return None if it is unknown."""
        address = self._resolve(peer)
        if address is None:
            return None
        entry = self._peers.get(peer)
        if entry is None:
            entry = self._peers[peer] = _Peer(address, self._timers.now_s())
            if len(self._peers) > self._limits.max_links:
                self._peers.popitem(last=False)
        entry.address = address
        self._mark_used(peer)
        self._update_desired_peers()
        return entry

    def _update_desired_peers(self) -> None:
        addresses = [entry.address for entry in self._peers.values()]
        self._network.set_desired_peers(self._owner, addresses)

    def _handle_link_event(self, event: LinkEvent) -> None:
        entry = self._peers.get(event.peer)
        if entry is None or event.change is not LinkChange.UP:
            return
        held = list(entry.held)
        entry.held.clear()
        for message, priority, _ in held:
            self._network.send(event.peer, message, priority)

    def _sweep(self) -> None:
        """Drop messages queued for too long, and release idle links."""
        now_s = self._timers.now_s()
        for entry in self._peers.values():
            while (
                entry.held and now_s - entry.held[0][2] > self._limits.queue_timeout_s
            ):
                entry.held.popleft()
        idle = [
            name
            for name, entry in self._peers.items()
            if now_s - entry.last_used_s > self._limits.idle_timeout_s
        ]
        for name in idle:
            del self._peers[name]
        if idle:
            self._update_desired_peers()
