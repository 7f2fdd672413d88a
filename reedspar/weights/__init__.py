"""Weights: manifests, their distribution among agents, and activation in engines."""

from .activation import SwitchGate
from .controller import WeightController, create_weight_controller
from .distribution import WeightPeer
from .fencing import (
    FencingNumbers,
    FencingRecord,
    OrderedVersion,
    create_fencing_numbers,
)
from .manifest import Chunk, Manifest, build_manifest, decode_manifest, encode_manifest
from .messages import register_messages
from .publishing import Publication, WeightSink, publish_weights
from .views import ConfigurationView, PeerView

__all__ = [
    "Chunk",
    "ConfigurationView",
    "FencingNumbers",
    "FencingRecord",
    "Manifest",
    "OrderedVersion",
    "PeerView",
    "Publication",
    "SwitchGate",
    "WeightController",
    "WeightPeer",
    "WeightSink",
    "build_manifest",
    "create_fencing_numbers",
    "create_weight_controller",
    "decode_manifest",
    "encode_manifest",
    "publish_weights",
    "register_messages",
]
