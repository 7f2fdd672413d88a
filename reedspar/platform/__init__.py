"""The platform behind protocols: key-value service, instances, weights, targets."""

from .models import (
    EngineState,
    InstanceRecord,
    InstanceState,
    KeyValueEntry,
    LoadOrder,
    TargetRequest,
)
from .protocols import (
    InstanceList,
    KeyValueStore,
    ModelEngine,
    Target,
    TargetResponse,
    WeightSource,
)

__all__ = [
    "EngineState",
    "InstanceList",
    "InstanceRecord",
    "InstanceState",
    "KeyValueEntry",
    "KeyValueStore",
    "LoadOrder",
    "ModelEngine",
    "Target",
    "TargetRequest",
    "TargetResponse",
    "WeightSource",
]
