"""Changes of the fleet, each with the store's revision that it stems from."""

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
    """A newer table of routes."""

    table: RouteTable


@dataclass(frozen=True, slots=True)
class TargetChange:
    """A target's record, or None once it is gone."""

    target_id: str
    record: TargetRecord | None


@dataclass(frozen=True, slots=True)
class DaemonChange:
    """A daemon's record, or None once its lease has ended."""

    name: str
    record: DaemonRecord | None


@dataclass(frozen=True, slots=True)
class ZoneChange:
    """An availability zone that operators took out, or brought back."""

    zone: str
    is_out: bool


@dataclass(frozen=True, slots=True)
class WeightsChange:
    """The version of a model that operators named."""

    model: str
    version: int


FleetChange = RoutesChange | TargetChange | DaemonChange | ZoneChange | WeightsChange
