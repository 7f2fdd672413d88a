"""Links between daemons: TCP connections monitored by heartbeats."""

from .forwarding import ForwardingNetwork
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

__all__ = [
    "ForwardingNetwork",
    "Handler",
    "Heartbeat",
    "Hello",
    "LinkChange",
    "LinkEvent",
    "LinkListener",
    "Network",
    "OnDemandLimits",
    "OnDemandNetwork",
    "PeerAddress",
    "Priority",
    "Role",
    "register_messages",
]
