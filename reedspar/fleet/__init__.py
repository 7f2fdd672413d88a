"""A daemon's view of the fleet: routes, targets, zones, model weights and daemons.

The view is kept up to date from the platform's store and from peers.
"""

from .changes import (
    DaemonChange,
    FleetChange,
    RoutesChange,
    TargetChange,
    WeightsChange,
    ZoneChange,
)
from .exchange import FleetExchange, create_fleet_exchange
from .feed import FleetFeed, create_fleet_feed
from .messages import (
    SpeedRow,
    TargetEndlessNews,
    TargetLeavingNews,
    TargetLimitNews,
    TargetLoadNews,
    TargetSpeedNews,
    register_messages,
)
from .prefix_cache import read_deferral_counts
from .prefix_options import FleetPrefix
from .records import DaemonRecord, NamedVersion, TargetRecord, TargetState
from .registration import Registration, create_registration
from .revisions import (
    describe_revision,
    epoch_of,
    join_revision,
    revision_in_epoch,
)
from .store import (
    FleetCodec,
    LeasingStore,
    Listing,
    WatchableStore,
    WatchedChanges,
    WatchedEntry,
)
from .view import FleetView, KnownTarget
from .watch_audit import WatchAudit, create_watch_audit

__all__ = [
    "DaemonChange",
    "DaemonRecord",
    "FleetChange",
    "FleetCodec",
    "FleetExchange",
    "FleetFeed",
    "FleetPrefix",
    "FleetView",
    "KnownTarget",
    "LeasingStore",
    "Listing",
    "NamedVersion",
    "Registration",
    "RoutesChange",
    "SpeedRow",
    "TargetChange",
    "TargetEndlessNews",
    "TargetLeavingNews",
    "TargetLimitNews",
    "TargetLoadNews",
    "TargetRecord",
    "TargetSpeedNews",
    "TargetState",
    "WatchAudit",
    "WatchableStore",
    "WatchedChanges",
    "WatchedEntry",
    "WeightsChange",
    "ZoneChange",
    "create_fleet_exchange",
    "create_fleet_feed",
    "create_registration",
    "create_watch_audit",
    "describe_revision",
    "epoch_of",
    "join_revision",
    "read_deferral_counts",
    "register_messages",
    "revision_in_epoch",
]
