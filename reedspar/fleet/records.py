"""Records of targets, daemons and named model versions."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["DaemonRecord", "NamedVersion", "TargetRecord", "TargetState"]


class TargetState(Enum):
    """State that a target reports in its record."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """A target's registration; it may lag behind the target's state."""

    id: str
    pool: str
    host: str
    port: int
    zone: str
    state: TargetState = TargetState.READY
    slots: int = 1
    """Number of requests that the target runs concurrently."""
    cold_left_s: float = 0.0
    """Remaining duration of the cold start when the record was written."""
    started_ms: int = 0
    """Start of the target's process, Unix time in ms; distinguishes its restarts."""
    weights: Mapping[str, int] = field(default_factory=dict)
    """Version of each model that the target holds completely."""

    @property
    def boot_id(self) -> str:
        """Return an identifier of this run of the target's process."""
        return f"{self.id}:{self.started_ms}"


@dataclass(frozen=True, slots=True)
class DaemonRecord:
    """A daemon's registration."""

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
    """Pool of the agent's target; empty for entries."""


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """A version of a model that operators have named as the one to serve."""

    model: str
    version: int
    learned_at_s: float
    """When this daemon learned of the version, by its monotonic clock."""
    named_at_s: float
    """Upper bound of the naming time: when the first known daemon learned of it."""
