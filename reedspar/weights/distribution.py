"""Interface of a weight distribution, which decides what to fetch and to send.

A distribution is a state machine without I/O: it receives messages, results and the
time, and returns actions for the caller to execute.
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
    """A live agent whose target serves a model, or a cache."""

    name: str
    region: str
    zone: str
    pool: str = ""
    is_cache: bool = False
    """Whether the peer is an entry that holds chunks for agents and has no target."""


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer."""

    peer: str
    message: WeightMessage


@dataclass(frozen=True, slots=True)
class ReadOrigin:
    """Read a complete object from the origin, then call `complete_read`."""

    digest: str


@dataclass(frozen=True, slots=True)
class ObjectReady:
    """Report a verified object, which stays in memory until it is released."""

    digest: str


Action = SendMessage | ReadOrigin | ObjectReady


@dataclass(frozen=True, slots=True)
class VersionStatus:
    """How the transfer of a version stands, as far as is known."""

    lacking_bytes: int = 0
    """Size of the wanted chunks that no agent of this region holds."""
    is_stalled: bool = False
    """Whether no missing chunk has become available for a while."""
    is_requested: bool | None = None
    """Whether agents lack chunks; None if none has asked."""


class Distribution(Protocol):
    """Decides which objects an agent fetches and sends; times are in seconds."""

    def set_peers(self, model: str, peers: Iterable[WeightPeer], now_s: float) -> None:
        """Set the other live agents and caches of a model."""
        ...

    def fetch_object(self, model: str, digest: str, now_s: float) -> None:
        """Fetch a single object, such as a manifest; report it with `ObjectReady`."""
        ...

    def add_object(self, digest: str, data: bytes, now_s: float) -> None:
        """Add a verified object from another source than a peer or the origin."""
        ...

    def register_version(self, manifest: Manifest, now_s: float) -> None:
        """Register a version whose chunks peers may request, without fetching them."""
        ...

    def fetch_chunks(self, manifest: Manifest, now_s: float) -> None:
        """Fetch every chunk of a version, and report each with one `ObjectReady`.

        A further call reports every chunk again, after the engine has lost them.
        """
        ...

    def left_s(self, root_digest: str) -> float:
        """Return the transfer time of the missing chunks over this machine's link."""
        ...

    def remove_version(self, root_digest: str, now_s: float) -> None:
        """Stop fetching the chunks that only this version needs."""
        ...

    def status(self, root_digest: str, now_s: float) -> VersionStatus:
        """Return how the transfer of a version stands."""
        ...

    def set_drawn_version(self, model: str, root_digest: str, now_s: float) -> None:
        """Set the only version of a model that is to be read from the origin."""
        ...

    def receive(self, peer: str, message: WeightMessage, now_s: float) -> None:
        """Handle a message of a peer."""
        ...

    def complete_read(self, digest: str, result: bytes | Failure, now_s: float) -> None:
        """Handle the result of a `ReadOrigin`."""
        ...

    def object_bytes(self, digest: str) -> bytes | None:
        """Return an object, or None if it is not in memory."""
        ...

    def release(self, digest: str, now_s: float) -> None:
        """Allow an object to be evicted after it was staged or decoded."""
        ...

    def handle_send_failure(
        self, peer: str, message: WeightMessage, now_s: float
    ) -> None:
        """Handle a message that was not sent because no link is open."""
        ...

    def handle_link_lost(self, peer: str, now_s: float) -> None:
        """Cancel the requests to a peer whose link was lost."""
        ...

    def handle_pause(self, now_s: float) -> None:
        """Restart all timeouts after a pause of the process."""
        ...

    def tick(self, now_s: float) -> None:
        """Handle expired timeouts, and start the requests and uploads that are due."""
        ...

    def due_s(self, now_s: float) -> float:
        """Return the time at which `tick` should be called next."""
        ...

    def take_actions(self) -> list[Action]:
        """Return and clear the pending actions."""
        ...
