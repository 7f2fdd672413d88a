"""Types of changes to the fleet that are decoded from the store's entries."""

from dataclasses import dataclass

from reedspar.routes import RouteTable

from .records import DaemonRecord, TargetRecord

__all__ = [
    "DaemonChange",
    "FleetChange",
    "RoutesChange",
    "TargetChange",
    "WeightsChange",
    "ZoneChange",
]


@dataclass(frozen=True, slots=True)
class RoutesChange:
    """A new route table."""

    table: RouteTable


@dataclass(frozen=True, slots=True)
class TargetChange:
    """A target's record, or None if it was removed."""

    target_id: str
    record: TargetRecord | None
    revision: int = 0
    """Revision of the store at which the record was written."""


@dataclass(frozen=True, slots=True)
class DaemonChange:
    """A daemon's record, or None if its lease has ended."""

    name: str
    record: DaemonRecord | None


@dataclass(frozen=True, slots=True)
class ZoneChange:
    """An availability zone that operators took out of service or put back."""

    zone: str
    is_out: bool


@dataclass(frozen=True, slots=True)
class WeightsChange:
    """The version of a model that operators named as the one to serve."""

    model: str
    version: int


FleetChange = RoutesChange | TargetChange | DaemonChange | ZoneChange | WeightsChange
