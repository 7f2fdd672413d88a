"""Base class for networks that wrap another network and override some methods."""

from collections.abc import Callable, Iterable
from typing import Any

from reedspar.errors import Failure
from reedspar.messages import Sender

from .messages import Role
from .network import Handler, LinkListener, Network, PeerAddress, Priority

__all__ = ["NetworkWrapper"]


class NetworkWrapper:
    """Passes every call to the wrapped network."""

    def __init__(self, network: Network) -> None:
        self._network = network

    def send(
        self, peer: str, message: Any, priority: Priority = Priority.LIVE
    ) -> Failure | None:
        """Queue a message; a failure means that nothing was sent."""
        return self._network.send(peer, message, priority)

    def subscribe(self, message_class: type, handler: Handler) -> None:
        """Call `handler` with each message of this class; it must not block."""
        self._network.subscribe(message_class, handler)

    def on_link_event(self, listener: LinkListener) -> None:
        """Call `listener` with each change of a link."""
        self._network.on_link_event(listener)

    def on_sender(self, listener: Callable[[Sender], None]) -> None:
        """Call `listener` with the sender header of each received frame."""
        self._network.on_sender(listener)

    def set_desired_peers(self, owner: str, peers: Iterable[PeerAddress]) -> None:
        """Keep links to these peers open; replaces the earlier peers of `owner`."""
        self._network.set_desired_peers(owner, peers)

    def peers(self, role: Role | None = None) -> tuple[str, ...]:
        """Return the names of the peers with an open link, optionally of one role."""
        return self._network.peers(role)

    def incarnation_of(self, peer: str) -> int:
        """Return the newest known incarnation of a peer; 0 if unknown."""
        return self._network.incarnation_of(peer)

    def bulk_backlog_bytes(self, peer: str) -> int:
        """Return the size of the bulk frames queued for a peer."""
        return self._network.bulk_backlog_bytes(peer)
