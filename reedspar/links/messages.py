"""The messages of the link protocol: hellos and heartbeats."""

from dataclasses import dataclass
from enum import Enum

from reedspar.messages import MessageRegistry, load_schema

__all__ = ["Heartbeat", "Hello", "Role", "register_messages"]


class Role(Enum):
    """The role of a daemon."""

    ENTRY = "entry"
    AGENT = "agent"
    TOOL = "tool"


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a connection, sent by both ends."""

    name: str
    role: Role
    zone: str
    region: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender can still reach the receiver; not answered.

    Both ends send heartbeats, so each end monitors the direction that it receives.
    """

    nonce: int


def register_messages(registry: MessageRegistry) -> None:
    """Add these message types to `registry`."""
    schema = load_schema(__file__, "links.capnp")
    registry.add_all(schema, Hello, Heartbeat)
