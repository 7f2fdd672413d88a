"""Connections between daemons: dialled, watched by heartbeats, replaced on silence."""

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

__all__ = [
    "Handler",
    "Heartbeat",
    "Hello",
    "LinkChange",
    "LinkEvent",
    "LinkListener",
    "Network",
    "PeerAddress",
    "Priority",
    "Role",
    "register_messages",
]
