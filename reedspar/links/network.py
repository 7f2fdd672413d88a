"""The interface of the network: messages to and from peers, identified by name."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, Protocol, TypeVar

from reedspar.errors import Failure, Reason
from reedspar.messages import Sender

from .messages import Role
from .monitor import LinkChange

__all__ = [
    "Handler",
    "LinkEvent",
    "LinkListener",
    "Network",
    "PeerAddress",
    "Priority",
]

MessageT = TypeVar("MessageT")
Handler = Callable[[Sender, MessageT], None]


class Priority(IntEnum):
    """The priority of a message; live messages are sent before bulk ones."""

    LIVE = 0
    """Requests, answers and control messages."""
    BULK = 1
    """Chunks of weights."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """The address at which a daemon listens for other daemons."""

    name: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class LinkEvent:
    """A change of the state of the link to a peer."""

    peer: str
    incarnation: int
    change: LinkChange
    reason: Reason | None = None
    """Why the link is down: `UNAVAILABLE` (dial refused, so no process listens) or
    `TIMEOUT`."""


LinkListener = Callable[[LinkEvent], None]


class Network(Protocol):
    """Sends messages to daemons by name, and dispatches the messages received."""

    def send(
        self, peer: str, message: Any, priority: Priority = Priority.LIVE
    ) -> Failure | None:
        """Queue a message; a failure means that nothing was sent.

        None does not prove delivery, as the link may fail before the message arrives.
        """
        ...

    def subscribe(self, message_class: type[MessageT], handler: Handler) -> None:
        """Call `handler` with each message of this class; it must not block."""
        ...

    def on_link_event(self, listener: LinkListener) -> None:
        """Call `listener` with each change of a link."""
        ...

    def on_sender(self, listener: Callable[[Sender], None]) -> None:
        """Call `listener` with the sender header of each received frame."""
        ...

    def set_desired_peers(self, owner: str, peers: Iterable[PeerAddress]) -> None:
        """Keep links to these peers open; replaces the earlier peers of `owner`."""
        ...

    def peers(self, role: Role | None = None) -> tuple[str, ...]:
        """Return the names of the peers with an open link, optionally of one role."""
        ...

    def incarnation_of(self, peer: str) -> int:
        """Return the newest known incarnation of a peer; 0 if unknown."""
        ...

    def bulk_backlog_bytes(self, peer: str) -> int:
        """Return the size of the bulk frames queued for a peer."""
        ...
