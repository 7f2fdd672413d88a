"""Weights: manifests, their distribution among agents, and activation in engines."""

from .activation import SwitchGate
from .controller import (
    ConfigurationView,
    PeerView,
    WeightController,
    create_weight_controller,
)
from .distribution import WeightPeer
from .fencing import FencingNumbers, FencingRecord, OrderedVersion
from .manifest import Chunk, Manifest, build_manifest, decode_manifest, encode_manifest
from .messages import register_messages
from .publishing import Publication, WeightSink, publish_weights

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
    "create_weight_controller",
    "decode_manifest",
    "encode_manifest",
    "publish_weights",
    "register_messages",
]
