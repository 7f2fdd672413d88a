"""Records of the fleet's members and of named weights."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["DaemonRecord", "NamedVersion", "TargetRecord", "TargetState"]


class TargetState(Enum):
    """What a target says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """A target as it registered itself; the record lags."""

    id: str
    pool: str
    host: str
    port: int
    zone: str
    state: TargetState = TargetState.READY
    slots: int = 1
    """Requests that it works on at once."""
    cold_left_s: float = 0.0
    """How much longer it was cold when it wrote the record."""
    started_ms: int = 0
    """When its process started, Unix time in milliseconds; tells its starts apart."""
    weights: Mapping[str, int] = field(default_factory=dict)
    """Version by model, of the models that it holds whole."""

    @property
    def boot_id(self) -> str:
        """Return what tells this start of the target from any other."""
        return f"{self.id}:{self.started_ms}"


@dataclass(frozen=True, slots=True)
class DaemonRecord:
    """A daemon of the system as it registered itself."""

    name: str
    role: str
    zone: str
    region: str
    host: str
    port: int
    """Port for other daemons."""
    caller_port: int = 0
    """Port for callers; 0 for agents."""
    pool: str = ""
    """Pool of the target beside it; empty for entries."""


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """The version of a model's weights that the targets are to serve."""

    model: str
    version: int
    learned_at_s: float
    """When this daemon learned of it, by its monotonic clock."""
    named_at_s: float
    """By when it was named: when the first daemon, as peers tell, had learned of it."""
