"""Data types of the platform's services."""

from dataclasses import KW_ONLY, dataclass, field
from enum import Enum

__all__ = [
    "EngineState",
    "InstanceRecord",
    "InstanceState",
    "KeyValueEntry",
    "LoadOrder",
    "TargetRequest",
]


@dataclass(frozen=True, slots=True)
class KeyValueEntry:
    """A value and the revision to expect in a compare-and-swap."""

    key: str
    value: bytes
    revision: int


class InstanceState(Enum):
    """State of an instance in the instance list, which may be out of date."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """One record of the instance list; `pool` is empty for an entry instance."""

    name: str
    role: str
    zone: str
    region: str
    host: str
    port: int
    """The daemon's port for other daemons."""
    http_port: int
    """The daemon's port for callers and operators."""
    state: InstanceState = InstanceState.LIVE
    pool: str = ""


@dataclass(frozen=True, slots=True)
class EngineState:
    """A target's report of its state; its load figures may be out of date."""

    boot_id: str
    """Changes whenever the target's process starts."""
    _: KW_ONLY
    is_cold: bool = False
    in_flight: int = 0
    queued: int = 0
    loaded: dict[str, str] = field(default_factory=dict)
    """Root digest by model, computed by the engine from its loaded weights."""
    is_taking: bool = True
    """False while it accepts no new requests because it loads weights."""
    pace: float = 1.0
    """Current duration of requests relative to the usual one; 2 is half speed."""
    fencing_number: int = 0
    """Highest fencing number seen; 0 if the engine ignores fencing."""


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load a version of which all chunks are staged."""

    model: str
    root_digest: str
    chunk_digests: tuple[str, ...]
    fencing_number: int
    order_id: str


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request as it is sent to a target."""

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    priority: int = 0
    workspace: str = ""
    expected_weights: str = ""
    """Weights that must serve the request, if the target supports it; empty: any."""
    is_idempotent: bool = False
    """Whether the request may be sent again if nobody knows whether it ran."""
