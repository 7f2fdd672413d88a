"""The messages that links exchange on their own behalf."""

from dataclasses import dataclass
from enum import Enum

from reedspar.messages import MessageRegistry, load_schema

__all__ = ["Heartbeat", "Hello", "Role", "register_messages"]


class Role(Enum):
    """What a daemon is for."""

    ENTRY = "entry"
    AGENT = "agent"
    TOOL = "tool"


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a connection, from both ends."""

    name: str
    role: Role
    zone: str
    region: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tells that the sender can still be heard; it is not answered.

    Both ends send it, so each end judges the direction that it hears.
    """

    nonce: int


def register_messages(registry: MessageRegistry) -> None:
    """Add these message types to `registry`."""
    schema = load_schema(__file__, "links.capnp")
    registry.add_all(schema, Hello, Heartbeat)
