"""Descriptions of the two existing deployments."""

from dataclasses import dataclass, replace

from reedspar.settings import TargetKind

__all__ = ["MARCOS_CENTRAL", "SWATCHLINE", "Deployment", "Pool", "Zone", "shrink"]

ENTRY_COUNT = 9
WORKSPACE_COUNT = 10


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone and its region."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of targets, assigned to the zones in turn."""

    name: str
    kind: TargetKind
    size: int
    models: tuple[str, ...] = ()
    idempotent_paths: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Deployment:
    """Zones, pools and entries that a launcher starts."""

    name: str
    zones: tuple[Zone, ...]
    pools: tuple[Pool, ...]
    entry_count: int = ENTRY_COUNT
    workspace_count: int = WORKSPACE_COUNT

    @property
    def origin_region(self) -> str:
        """Return the region of the origin, which is that of the first zone."""
        return self.zones[0].region

    @property
    def workspaces(self) -> tuple[str, ...]:
        """Return the names of the workspaces."""
        return tuple(f"workspace-{i}" for i in range(self.workspace_count))


MARCOS_CENTRAL = Deployment(
    "marcos-central",
    (
        Zone("guate-centro", "guate-centro"),
        Zone("occidente", "occidente"),
        Zone("oriente", "oriente"),
    ),
    (
        Pool("quotes", TargetKind.MODEL_ENGINE, 5, ("framing",), ("/v1/completions",)),
        Pool("deposits", TargetKind.PLAIN_SERVICE, 3),
        Pool("catalogue", TargetKind.PLAIN_SERVICE, 1),
    ),
)
SWATCHLINE = Deployment(
    "swatchline",
    (
        Zone("kingston", "kingston"),
        Zone("montego-bay", "montego-bay"),
        Zone("mandeville", "mandeville"),
    ),
    (
        Pool("quotes", TargetKind.MODEL_ENGINE, 6, ("swatches",), ("/v1/completions",)),
        Pool("samples", TargetKind.PLAIN_SERVICE, 3),
        Pool("portal", TargetKind.PLAIN_SERVICE, 1),
    ),
)


def shrink(deployment: Deployment, entry_count: int) -> Deployment:
    """Return the deployment with `entry_count` entries, for small trials."""
    return replace(deployment, entry_count=entry_count)
