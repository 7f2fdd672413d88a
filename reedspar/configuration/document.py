"""Models of the configuration document, which operators change by patches."""

from enum import Enum
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

__all__ = [
    "ConfigurationDocument",
    "ModelVersion",
    "PatchRecord",
    "PoolConfiguration",
    "PoolKind",
    "WorkspaceConfiguration",
    "ZoneState",
]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class DocumentPart(BaseModel):
    """Base of the document's models; rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PoolKind(Enum):
    """What a pool's targets run: models, or a plain service."""

    MODEL = "model"
    PLAIN = "plain"


class ZoneState(Enum):
    """Whether an availability zone receives work."""

    IN = "in"
    OUT = "out"


class ModelVersion(DocumentPart):
    """A published version of a model or adapter."""

    label: str = Field(description="The operator's name for the version.")
    sequence: int = Field(ge=1, description="Grows with each version; never reverts.")
    manifest_digest: Digest = Field(description="Names the manifest at the origin.")
    root_digest: Digest = Field(description="Digest over the ordered chunk digests.")
    size_bytes: int = Field(ge=0)


class PoolConfiguration(DocumentPart):
    """A pool of targets."""

    kind: PoolKind
    models: tuple[Name, ...] = Field((), description="Models that its targets serve.")
    idempotent_paths: tuple[str, ...] = Field(
        (),
        description="Path prefixes whose POST requests are idempotent; "
        "GET, HEAD, PUT, DELETE and OPTIONS are idempotent by RFC 9110, "
        "section 9.2.2.",
    )


class WorkspaceConfiguration(DocumentPart):
    """Limits and priority of a workspace (a customer)."""

    share: float = Field(1.0, gt=0, description="Weight when capacity is short.")
    priority: int = Field(1, ge=0, le=9, description="9 is the highest.")
    max_in_flight: int = Field(256, ge=1)


class PatchRecord(DocumentPart):
    """An accepted patch, as listed in the document's recent history."""

    patch_id: str
    version: int
    author: str = ""
    summary: str = ""
    accepted_at: str = Field("", description="UTC, ISO 8601.")


class ConfigurationDocument(DocumentPart):
    """The whole configuration, identified by its version."""

    version: int = Field(0, ge=0)
    pools: dict[Name, PoolConfiguration] = Field(default_factory=dict)
    models: dict[Name, ModelVersion] = Field(default_factory=dict)
    zones: dict[Name, ZoneState] = Field(
        default_factory=dict, description="A zone that is not listed is in."
    )
    workspaces: dict[Name, WorkspaceConfiguration] = Field(default_factory=dict)
    history: tuple[PatchRecord, ...] = ()

    @model_validator(mode="after")
    def _check_models(self) -> Self:
        for pool_name, pool in self.pools.items():
            if pool.kind is PoolKind.PLAIN and pool.models:
                raise ValueError(f"pools.{pool_name}: a plain pool serves no models")
        return self

    def is_zone_in(self, zone: str) -> bool:
        """Return whether an availability zone receives work."""
        return self.zones.get(zone, ZoneState.IN) is ZoneState.IN
