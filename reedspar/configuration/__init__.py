"""The versioned configuration document, its patches, and its distribution."""

from typing import TYPE_CHECKING

from reedspar.utils import create_lazy_getattr

if TYPE_CHECKING:
    from .controller import (
        ConfigurationController,
        ConfigurationCounters,
        create_configuration_controller,
    )
    from .document import (
        ConfigurationDocument,
        ModelVersion,
        PatchRecord,
        PoolConfiguration,
        PoolKind,
        WorkspaceConfiguration,
        ZoneState,
    )
    from .messages import register_messages
    from .patching import PatchRequest, parse_patch
    from .store import (
        AcceptedPatch,
        ConfigurationStore,
        StoredConfiguration,
        create_configuration_store,
    )

__all__ = [
    "AcceptedPatch",
    "ConfigurationController",
    "ConfigurationCounters",
    "ConfigurationDocument",
    "ConfigurationStore",
    "ModelVersion",
    "PatchRecord",
    "PatchRequest",
    "PoolConfiguration",
    "PoolKind",
    "StoredConfiguration",
    "WorkspaceConfiguration",
    "ZoneState",
    "create_configuration_controller",
    "create_configuration_store",
    "parse_patch",
    "register_messages",
]

if not TYPE_CHECKING:
    __getattr__ = create_lazy_getattr(
        __name__,
        {
            "controller": (
                "ConfigurationController",
                "ConfigurationCounters",
                "create_configuration_controller",
            ),
            "document": (
                "ConfigurationDocument",
                "ModelVersion",
                "PatchRecord",
                "PoolConfiguration",
                "PoolKind",
                "WorkspaceConfiguration",
                "ZoneState",
            ),
            "messages": ("register_messages",),
            "patching": (
                "PatchRequest",
                "parse_patch",
            ),
            "store": (
                "AcceptedPatch",
                "ConfigurationStore",
                "StoredConfiguration",
                "create_configuration_store",
            ),
        },
    )
