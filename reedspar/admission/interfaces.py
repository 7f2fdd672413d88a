"""Demand for a pool, its capacity, and decisions on admission."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

__all__ = [
    "Admitted",
    "Demand",
    "DemandBoard",
    "DemandKey",
    "DemandSource",
    "PoolCapacity",
    "PoolDemand",
    "Refused",
]


class DemandKey(NamedTuple):
    """Rank and workspace, among which the capacity of a pool is divided.

    A named tuple, as its hash is computed hundreds of times for each update.
    """

    rank: int
    """0 is the most urgent."""
    workspace: str


class Demand(NamedTuple):
    """Work of one rank and workspace, in seconds of a target's time a second."""

    offered: float = 0.0
    """Work of all requests that arrived, refused ones included."""
    admitted: float = 0.0

    def __add__(self, other: "Demand") -> "Demand":  # type: ignore[override]
        return Demand(self.offered + other.offered, self.admitted + other.admitted)


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Demand for a pool at all entries together."""

    demands: Mapping[DemandKey, Demand] = field(default_factory=dict)
    turn: int = 0
    """Counter that all entries advance together, about once a second."""
    is_extrapolated: bool = False
    """Whether news of other entries is missing, so that this entry's demand stands for
    theirs."""


class DemandSource(Protocol):
    """Measures the demand that arrives at this entry."""

    def read_demands(self, now_s: float) -> Mapping[str, Mapping[DemandKey, Demand]]:
        """Return this entry's demands by pool."""
        ...


class DemandBoard(Protocol):
    """Knows the demand that arrives at all entries."""

    def total_demand(self, pool: str, now_s: float) -> PoolDemand:
        """Return the demand for a pool at all entries.

        Without news of the other entries, this entry's own demand times the number of
        known entries is returned.
        """
        ...


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """What the usable targets of a pool can bear."""

    work: float
    """Seconds of an unhindered target's time a second; 0 without a usable target."""
    occupancy: float | None = None
    """Requests at the usable targets by their slots, None without recent reports."""
    slot_work: float = 0.0
    """Work of typical requests in all slots of the usable targets, in seconds."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request may be sent to a target."""


@dataclass(frozen=True, slots=True)
class Refused:
    """A request is refused, with what decided it."""

    key: DemandKey
    threshold: float
    """Fraction of the requests of this rank and workspace that are admitted now."""
    share_used: float
    """Work offered by the workspace, by its share of the rank's capacity."""
    retry_after_s: float
