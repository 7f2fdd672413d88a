"""What a distribution decides: which object to get next, from whom, for whom.

A distribution takes messages, results and the time, and leaves actions for
the controller to carry out.  It does no I/O.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from reedspar.errors import Failure

from .manifest import Manifest
from .messages import WeightMessage

__all__ = [
    "Action",
    "Distribution",
    "ObjectReady",
    "ReadOrigin",
    "SendMessage",
    "WeightPeer",
]


@dataclass(frozen=True, slots=True, order=True)
class WeightPeer:
    """A live agent whose target needs or holds a model."""

    name: str
    region: str
    zone: str
    pool: str = ""
    is_cache: bool = False
    """Holds copies for others, on a wide link, and has no target of its own."""


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer."""

    peer: str
    message: WeightMessage


@dataclass(frozen=True, slots=True)
class ReadOrigin:
    """Read a whole object from the origin, then call `complete_read`."""

    digest: str


@dataclass(frozen=True, slots=True)
class ObjectReady:
    """A checked object is in memory, and stays there until it is released."""

    digest: str


Action = SendMessage | ReadOrigin | ObjectReady


class Distribution(Protocol):
    """The decisions of one agent about objects of weights; times in seconds."""

    def set_peers(self, model: str, peers: Iterable[WeightPeer], now_s: float) -> None:
        """Replace the live agents, without this one, that need or hold a model."""
        ...

    def fetch_object(self, model: str, digest: str, now_s: float) -> None:
        """Get one object, a manifest, and report it ready."""
        ...

    def add_object(self, digest: str, data: bytes, now_s: float) -> None:
        """Take a checked object that was found beside the engine."""
        ...

    def register_version(self, manifest: Manifest, now_s: float) -> None:
        """Take a version whose chunks peers may ask for, without needing them."""
        ...

    def fetch_chunks(self, manifest: Manifest, now_s: float) -> None:
        """Get every chunk of a version, and report each ready once.

        Calling it again gets every chunk again: the engine has lost them.
        """
        ...

    def left_s(self, root_digest: str) -> float:
        """Return how long the missing chunks take over this machine's link."""
        ...

    def remove_version(self, root_digest: str, now_s: float) -> None:
        """Stop getting chunks that only this version needs."""
        ...

    def receive(self, peer: str, message: WeightMessage, now_s: float) -> None:
        """Take a message of a peer."""
        ...

    def complete_read(self, digest: str, result: bytes | Failure, now_s: float) -> None:
        """Take the outcome of a `ReadOrigin`."""
        ...

    def object_bytes(self, digest: str) -> bytes | None:
        """Return an object that is in memory."""
        ...

    def release(self, digest: str, now_s: float) -> None:
        """Let an object that was ready be evicted: it is staged or decoded."""
        ...

    def handle_send_failure(
        self, peer: str, message: WeightMessage, now_s: float
    ) -> None:
        """Take back a message for which no link is open yet."""
        ...

    def handle_link_lost(self, peer: str, now_s: float) -> None:
        """Give up what a peer was asked for: the link to it is gone."""
        ...

    def handle_pause(self, now_s: float) -> None:
        """Drop every timed claim after a pause of the process."""
        ...

    def tick(self, now_s: float) -> None:
        """Act on whatever has become due."""
        ...

    def due_s(self, now_s: float) -> float:
        """Return when `tick` should be called next."""
        ...

    def take_actions(self) -> list[Action]:
        """Return and forget the actions decided since the last call."""
        ...
