"""Links that are dialled when a message is to be sent, and closed when idle.

Components whose peers change with each message (such as the transfer of chunks) don't
know beforehand which links they need, and the number of links between all daemons
would grow with the square of the size of the fleet.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from reedspar.errors import Failure, Reason
from reedspar.timers import TimerService

from .monitor import LinkChange
from .network import (
    LinkEvent,
    Network,
    PeerAddress,
    Priority,
)
from .wrapper import NetworkWrapper

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
class _PeerState:
    address: PeerAddress
    last_used_s: float
    queue: deque[tuple[Any, Priority, float]] = field(default_factory=deque)
    """Messages that wait for the link, each with the time at which it was queued."""


class OnDemandNetwork(NetworkWrapper):
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
        self._peers: OrderedDict[str, _PeerState] = OrderedDict()
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
            self._record_use(peer)
            return None
        state = self._request_link(peer)
        if state is None:
            return failure
        state.queue.append((message, priority, self._timers.now_s()))
        while len(state.queue) > self._limits.max_queued_messages:
            state.queue.popleft()
        return None

    def _record_use(self, peer: str) -> None:
        """Record that the link to a peer is in use."""
        state = self._peers.get(peer)
        if state is not None:
            state.last_used_s = self._timers.now_s()
            self._peers.move_to_end(peer)

    def _request_link(self, peer: str) -> _PeerState | None:
        """Request a link to a peer's current address; return None if it is unknown."""
        address = self._resolve(peer)
        if address is None:
            return None
        state = self._peers.get(peer)
        if state is None:
            state = self._peers[peer] = _PeerState(address, self._timers.now_s())
            if len(self._peers) > self._limits.max_links:
                self._peers.popitem(last=False)
        state.address = address
        self._record_use(peer)
        self._update_desired_peers()
        return state

    def _update_desired_peers(self) -> None:
        addresses = [state.address for state in self._peers.values()]
        self._network.set_desired_peers(self._owner, addresses)

    def _handle_link_event(self, event: LinkEvent) -> None:
        state = self._peers.get(event.peer)
        if state is None or event.change is not LinkChange.UP:
            return
        queued = list(state.queue)
        state.queue.clear()
        for message, priority, _ in queued:
            self._network.send(event.peer, message, priority)

    def _sweep(self) -> None:
        """Drop messages queued for too long, and release idle links."""
        now_s = self._timers.now_s()
        for state in self._peers.values():
            while (
                state.queue and now_s - state.queue[0][2] > self._limits.queue_timeout_s
            ):
                state.queue.popleft()
        idle = [
            name
            for name, state in self._peers.items()
            if now_s - state.last_used_s > self._limits.idle_timeout_s
        ]
        for name in idle:
            del self._peers[name]
        if idle:
            self._update_desired_peers()
