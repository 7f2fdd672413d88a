"""The platform behind protocols: key-value service, instances, weights, targets."""

from .http_instance_list import HttpInstanceList, create_http_instance_list
from .http_key_value import HttpKeyValueStore, create_http_key_value_store
from .http_target import (
    HttpModelEngine,
    HttpPlainService,
    create_http_model_engine,
    create_http_plain_service,
)
from .http_transport import StackedTransport
from .http_weight_source import HttpWeightSource, create_http_weight_source
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
    "HttpInstanceList",
    "HttpKeyValueStore",
    "HttpModelEngine",
    "HttpPlainService",
    "HttpWeightSource",
    "InstanceList",
    "InstanceRecord",
    "InstanceState",
    "KeyValueEntry",
    "KeyValueStore",
    "LoadOrder",
    "ModelEngine",
    "StackedTransport",
    "Target",
    "TargetRequest",
    "TargetResponse",
    "WeightSource",
    "create_http_instance_list",
    "create_http_key_value_store",
    "create_http_model_engine",
    "create_http_plain_service",
    "create_http_weight_source",
]
