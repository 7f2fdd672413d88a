"""Protocols and HTTP adapters for the platform's services and for targets."""

from typing import TYPE_CHECKING

from reedspar.utils import create_lazy_getattr

if TYPE_CHECKING:
    from .http_instance_list import HttpInstanceList, create_http_instance_list
    from .http_key_value import HttpKeyValueStore, create_http_key_value_store
    from .http_target import (
        HttpModelEngine,
        HttpPlainService,
        create_http_model_engine,
        create_http_plain_service,
    )
    from .http_transport import PooledTransport
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
    "PooledTransport",
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

if not TYPE_CHECKING:
    __getattr__ = create_lazy_getattr(
        __name__,
        {
            "http_instance_list": (
                "HttpInstanceList",
                "create_http_instance_list",
            ),
            "http_key_value": (
                "HttpKeyValueStore",
                "create_http_key_value_store",
            ),
            "http_target": (
                "HttpModelEngine",
                "HttpPlainService",
                "create_http_model_engine",
                "create_http_plain_service",
            ),
            "http_transport": ("PooledTransport",),
            "http_weight_source": (
                "HttpWeightSource",
                "create_http_weight_source",
            ),
            "models": (
                "EngineState",
                "InstanceRecord",
                "InstanceState",
                "KeyValueEntry",
                "LoadOrder",
                "TargetRequest",
            ),
            "protocols": (
                "InstanceList",
                "KeyValueStore",
                "ModelEngine",
                "Target",
                "TargetResponse",
                "WeightSource",
            ),
        },
    )
