"""Links between daemons: TCP connections monitored by heartbeats."""

from .messages import Heartbeat, Hello, Role, register_messages
from .monitor import LinkChange
from .network import (
    Handler,
    LinkEvent,
    LinkListener,
    Network,
    PeerAddress,
    Priority,
)
from .on_demand import OnDemandLimits, OnDemandNetwork
from .wrapper import NetworkWrapper

__all__ = [
    "Handler",
    "Heartbeat",
    "Hello",
    "LinkChange",
    "LinkEvent",
    "LinkListener",
    "Network",
    "NetworkWrapper",
    "OnDemandLimits",
    "OnDemandNetwork",
    "PeerAddress",
    "Priority",
    "Role",
    "register_messages",
]
