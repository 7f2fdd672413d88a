"""What the platform's services take and return."""

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
    """A value and the revision that a compare-and-swap names."""

    key: str
    value: bytes
    revision: int


class InstanceState(Enum):
    """What the instance list says of an instance; it lags."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """One line of the instance list; `pool` is empty for an entry instance."""

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
    """What a target reports of itself; the load lags."""

    boot_id: str
    """Changes whenever the target's process starts."""
    _: KW_ONLY
    is_cold: bool = False
    in_flight: int = 0
    queued: int = 0
    loaded: dict[str, str] = field(default_factory=dict)
    """Root digest by model, computed by the engine over what it holds."""
    is_taking: bool = True
    """False while it takes no new requests, as it loads weights."""
    pace: float = 1.0
    """How many times as long as usual it takes."""
    fencing_number: int = 0
    """The highest one seen; 0 where the engine ignores fencing."""


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Orders an engine to serve a version whose chunks were all staged."""

    model: str
    root_digest: str
    chunk_digests: tuple[str, ...]
    fencing_number: int
    order_id: str


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request as it is handed to a target."""

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    priority: int = 0
    workspace: str = ""
    expected_weights: str = ""
    """Weights that must answer, where the target can be told; empty: any."""
