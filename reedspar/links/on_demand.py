"""Links that are dialled when something is to be sent, and let go when idle.

Parts whose peers change with each message (the drawing of chunks) can't name
their links beforehand, and a link to everybody would cost the product of the
fleets.
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
    """Bounds on what is dialled and held."""

    max_links: int = 64
    max_queued_messages: int = 32
    """Messages that wait for one peer's link; beyond, the oldest is dropped."""
    queue_timeout_s: float = 2.0
    idle_timeout_s: float = 30.0


@dataclass(slots=True)
class _Peer:
    address: PeerAddress
    used_s: float
    held: deque[tuple[Any, Priority, float]] = field(default_factory=deque)


class OnDemandNetwork(ForwardingNetwork):
    """A network that dials whom it is asked to send to."""

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
        network.on_link_event(self._note_link)
        timers.call_every(SWEEP_INTERVAL_S, self._sweep)

    def send(
        self, peer: str, message: Any, priority: Priority = Priority.LIVE
    ) -> Failure | None:
        """Send, or hold the message for a moment while the link is dialled."""
        failure = self._network.send(peer, message, priority)
        if failure is not None and failure.reason is not Reason.UNAVAILABLE:
            return failure
        if failure is None:
            self._touch(peer)
            return None
        entry = self._dial(peer)
        if entry is None:
            return failure
        entry.held.append((message, priority, self._timers.now_s()))
        while len(entry.held) > self._limits.max_queued_messages:
            entry.held.popleft()
        return None

    def _touch(self, peer: str) -> None:
        """Note that a peer's link is in use."""
        entry = self._peers.get(peer)
        if entry is not None:
            entry.used_s = self._timers.now_s()
            self._peers.move_to_end(peer)

    def _dial(self, peer: str) -> _Peer | None:
        """Have a peer dialled where it is now; None if nobody knows where."""
        address = self._resolve(peer)
        if address is None:
            return None
        entry = self._peers.get(peer)
        if entry is None:
            entry = self._peers[peer] = _Peer(address, self._timers.now_s())
            if len(self._peers) > self._limits.max_links:
                self._peers.popitem(last=False)
        entry.address = address
        self._touch(peer)
        self._want()
        return entry

    def _want(self) -> None:
        addresses = [entry.address for entry in self._peers.values()]
        self._network.set_desired_peers(self._owner, addresses)

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
            while (
                entry.held and now_s - entry.held[0][2] > self._limits.queue_timeout_s
            ):
                entry.held.popleft()
        idle = [
            name
            for name, entry in self._peers.items()
            if now_s - entry.used_s > self._limits.idle_timeout_s
        ]
        for name in idle:
            del self._peers[name]
        if idle:
            self._want()
