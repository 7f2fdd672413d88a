"""Observers that derive events and metrics from a daemon's messages and calls.

They wrap or subscribe to the interfaces between components (network, platform, filter
chain), which keeps telemetry out of decisions and controllers.
"""

from .attempts import AttemptObserver
from .chunks import ChunkObserver
from .configuration import ConfigurationObserver
from .engine import ObservedEngine, ObservedTarget, TransferTracker
from .members import MemberObserver
from .network import ObservedNetwork
from .platform import ObservedKeyValueStore, ObservedWeightSource
from .reports import ReportObserver
from .requests import RequestObserver

__all__ = [
    "AttemptObserver",
    "ChunkObserver",
    "ConfigurationObserver",
    "MemberObserver",
    "ObservedEngine",
    "ObservedKeyValueStore",
    "ObservedNetwork",
    "ObservedTarget",
    "ObservedWeightSource",
    "ReportObserver",
    "RequestObserver",
    "TransferTracker",
]
