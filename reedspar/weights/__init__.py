"""Distribution of model weights among agents, and their activation in engines."""

from typing import TYPE_CHECKING

from reedspar.utils import create_lazy_getattr

if TYPE_CHECKING:
    from .activation import SwitchGate
    from .cache import WeightCache, create_weight_cache
    from .catalog import KnownVersion, ManifestReader, VersionCatalog
    from .controller import WeightController, create_weight_controller
    from .distribution import WeightPeer
    from .fencing import (
        FencingNumbers,
        FencingRecord,
        LocalFencing,
        OrderedVersion,
        create_fencing_numbers,
    )
    from .manifest import (
        Chunk,
        Manifest,
        build_manifest,
        decode_manifest,
        encode_manifest,
    )
    from .manifest_exchange import VersionedOrigin, create_manifest_exchange
    from .messages import register_messages
    from .publishing import Publication, WeightSink, publish_weights
    from .staged_recovery import StagedReader
    from .views import AgentSettings, ConfigurationView, PeerView

__all__ = [
    "AgentSettings",
    "Chunk",
    "ConfigurationView",
    "FencingNumbers",
    "FencingRecord",
    "KnownVersion",
    "LocalFencing",
    "Manifest",
    "ManifestReader",
    "OrderedVersion",
    "PeerView",
    "Publication",
    "StagedReader",
    "SwitchGate",
    "VersionCatalog",
    "VersionedOrigin",
    "WeightCache",
    "WeightController",
    "WeightPeer",
    "WeightSink",
    "build_manifest",
    "create_fencing_numbers",
    "create_manifest_exchange",
    "create_weight_cache",
    "create_weight_controller",
    "decode_manifest",
    "encode_manifest",
    "publish_weights",
    "register_messages",
]

if not TYPE_CHECKING:
    __getattr__ = create_lazy_getattr(
        __name__,
        {
            "activation": ("SwitchGate",),
            "cache": (
                "WeightCache",
                "create_weight_cache",
            ),
            "catalog": (
                "KnownVersion",
                "ManifestReader",
                "VersionCatalog",
            ),
            "controller": (
                "WeightController",
                "create_weight_controller",
            ),
            "distribution": ("WeightPeer",),
            "fencing": (
                "FencingNumbers",
                "FencingRecord",
                "LocalFencing",
                "OrderedVersion",
                "create_fencing_numbers",
            ),
            "manifest": (
                "Chunk",
                "Manifest",
                "build_manifest",
                "decode_manifest",
                "encode_manifest",
            ),
            "manifest_exchange": (
                "VersionedOrigin",
                "create_manifest_exchange",
            ),
            "messages": ("register_messages",),
            "publishing": (
                "Publication",
                "WeightSink",
                "publish_weights",
            ),
            "staged_recovery": ("StagedReader",),
            "views": (
                "AgentSettings",
                "ConfigurationView",
                "PeerView",
            ),
        },
    )
