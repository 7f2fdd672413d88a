"""The state of a peer and its link, and the traffic of all links."""

from dataclasses import dataclass, field

from .connection import FrameConnection
from .messages import Role
from .monitor import LinkMonitor
from .network import PeerAddress

__all__ = ["LinkTraffic", "Peer"]


@dataclass(slots=True)
class LinkTraffic:
    """Totals of the frames sent and received on all links."""

    sent_bytes: int = 0
    received_bytes: int = 0
    unreadable_frame_count: int = 0


@dataclass
class Peer:
    """The state of one peer and its link."""

    name: str
    monitor: LinkMonitor
    incarnation: int = 0
    role: Role | None = None
    address: PeerAddress | None = None
    connections: dict[int, FrameConnection] = field(default_factory=dict)
