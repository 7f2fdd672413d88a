"""The way of one attempt to its target."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

__all__ = ["HandOver", "Settlement"]


class Settlement(Enum):
    """Why an attempt can't arrive at its target any more."""

    ANSWERED = "answered"
    """The target has answered, or has ended the connection."""
    UNSENT = "unsent"
    """Nothing was written."""
    OVERTAKEN = "overtaken"
    """The target has answered what was sent on a much later connection."""
    EXPIRED = "expired"
    """The target has given no sign for so long that its process is taken for gone."""
    CLOSED = "closed"
    """Its agent was told that it is over."""


@dataclass(slots=True)
class HandOver:
    """When an attempt was made and written, and whether it may still arrive.

    The kernel of a target takes bytes, and its process may read them much later, even
    after the connection was closed.
    """

    opened_s: float
    written_s: float | None = None
    """When the connection stood and the head was written."""
    settled_s: float | None = None
    settlement: Settlement | None = None
    on_settled: Callable[["HandOver"], None] | None = None

    @property
    def is_awaited(self) -> bool:
        """Return whether it matters when the attempt arrives."""
        return self.settlement is None and self.on_settled is not None

    def settle(self, settlement: Settlement, now_s: float) -> None:
        """Record that the attempt has arrived, or never will; only once."""
        if self.settlement is not None:
            return
        self.settlement = settlement
        self.settled_s = now_s
        listener, self.on_settled = self.on_settled, None
        if listener is not None:
            listener(self)
