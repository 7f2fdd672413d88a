"""What controllers see of the links: send to a peer by name, subscribe to messages."""

from collections.abc import Callable
from enum import IntEnum
from typing import Any, Protocol, TypeVar

from reedspar.errors import Failure
from reedspar.messages import Sender

__all__ = ["Handler", "Network", "Priority"]

MessageT = TypeVar("MessageT")
Handler = Callable[[Sender, MessageT], None]


class Priority(IntEnum):
    """Which messages go first on a link."""

    LIVE = 0
    """Requests, answers and control."""
    BULK = 1
    """Chunks of weights."""


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

    def peers(self) -> tuple[str, ...]:
        """Return the names of the peers that a link is open to."""
        ...
