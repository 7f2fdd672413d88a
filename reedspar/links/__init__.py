"""Connections between daemons: dialled, watched by heartbeats, replaced on silence."""

from .messages import Heartbeat, HeartbeatReply, Hello, Role
from .network import Handler, Network, Priority

__all__ = [
    "Handler",
    "Heartbeat",
    "HeartbeatReply",
    "Hello",
    "Network",
    "Priority",
    "Role",
]
