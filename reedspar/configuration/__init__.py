"""The one numbered configuration document, its patches, and how it spreads."""

from .document import (
    ConfigurationDocument,
    ModelVersion,
    PatchRecord,
    PoolConfiguration,
    PoolKind,
    WorkspaceConfiguration,
    ZoneState,
)

__all__ = [
    "ConfigurationDocument",
    "ModelVersion",
    "PatchRecord",
    "PoolConfiguration",
    "PoolKind",
    "WorkspaceConfiguration",
    "ZoneState",
]
