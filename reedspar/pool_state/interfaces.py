"""What entries and agents tell each other of pools, targets and themselves."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from reedspar.admission import Demand, DemandKey

__all__ = ["EntryContribution", "EntrySource", "PressureBoard", "TargetLoadListener"]


@dataclass(frozen=True, slots=True)
class EntryContribution:
    """What one entry tells of itself."""

    demands: Mapping[str, Mapping[DemandKey, Demand]] = field(default_factory=dict)
    """Demands that arrive at the entry, by pool."""
    pressure: float = 0.0
    """Use of the entry's scarcest resource (processor, memory, descriptors, link), by
    its limit."""


class EntrySource(Protocol):
    """Supplies this entry's contribution."""

    def read_contribution(self, now_s: float) -> EntryContribution:
        """Return what this entry tells now."""
        ...


class PressureBoard(Protocol):
    """Knows the pressure at each entry."""

    def pressure(self, entry: str, now_s: float) -> float | None:
        """Return the last known pressure of an entry, None if it is unknown or old."""
        ...


TargetLoadListener = Callable[[str, int, "TargetLoadRow", float], None]
"""Called with a target's host, port and load, and the age of the load in seconds."""


@dataclass(frozen=True, slots=True)
class TargetLoadRow:
    """Load of one target, as the agent beside it reports."""

    running: int
    waiting: int
    is_taking: bool
    """False while the target takes no new requests."""
    slowdown_factor: float
    """Ratio of the present duration of work to the usual one."""
    memory_used: float = 0.0
    """Share of the target's memory for requests that is in use."""
