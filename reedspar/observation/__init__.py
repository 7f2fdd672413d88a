"""Turns what passes through a daemon into events and metrics.

Observers stand at the protocols that parts are built on (network, platform,
filter chain), so that decisions and controllers know nothing of telemetry.
"""

from .attempts import AttemptObserver
from .configuration import ConfigurationObserver
from .engine import ObservedEngine, ObservedTarget, TransferTracker
from .members import MemberObserver
from .network import ObservedNetwork
from .platform import ObservedKeyValueStore, ObservedWeightSource
from .reports import ReportObserver
from .requests import RequestObserver
from .weights import ChunkObserver

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
