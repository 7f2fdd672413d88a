"""What controllers see of the links: send to a peer by name, subscribe to messages."""

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
    """Which messages go first on a link."""

    LIVE = 0
    """Requests, answers and control."""
    BULK = 1
    """Chunks of weights."""


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a daemon listens for other daemons."""

    name: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class LinkEvent:
    """A change of the link to a peer."""

    peer: str
    incarnation: int
    change: LinkChange
    reason: Reason | None = None
    """Why it is down: `UNAVAILABLE` (refused, so no process) or `TIMEOUT`."""


LinkListener = Callable[[LinkEvent], None]


class Network(Protocol):
    """Messages to and from other daemons by name."""

    def send(
        self, peer: str, message: Any, priority: Priority = Priority.LIVE
    ) -> Failure | None:
        """Queue a message; a failure means that nothing was sent.

        None is no proof of arrival: the link may die with the message in it.
        """
        ...

    def subscribe(self, message_class: type[MessageT], handler: Handler) -> None:
        """Call `handler` with each such message; it must not block."""
        ...

    def on_link_event(self, listener: LinkListener) -> None:
        """Call `listener` when a link comes up, is replaced or goes down."""
        ...

    def on_sender(self, listener: Callable[[Sender], None]) -> None:
        """Call `listener` with what each received frame says of its sender."""
        ...

    def set_desired_peers(self, owner: str, peers: Iterable[PeerAddress]) -> None:
        """Keep links to these peers, until the same owner wants others."""
        ...

    def peers(self, role: Role | None = None) -> tuple[str, ...]:
        """Return the names of the peers (of a role) that a link is open to."""
        ...

    def incarnation_of(self, peer: str) -> int:
        """Return the incarnation heard last of a peer; 0 if none."""
        ...

    def bulk_backlog_bytes(self, peer: str) -> int:
        """Return how much bulk waits to be sent to a peer."""
        ...
