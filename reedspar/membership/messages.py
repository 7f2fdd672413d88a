"""The gossip message that carries notices about daemons."""

from dataclasses import dataclass
from enum import Enum

from reedspar.messages import MessageRegistry, load_schema
from reedspar.platform import InstanceRecord

__all__ = [
    "MemberNews",
    "MemberNotice",
    "NoticeKind",
    "make_notice",
    "register_messages",
]


class NoticeKind(Enum):
    """Change of a daemon's state."""

    JOINED = "joined"
    """The daemon has started, or is new in the instance list."""
    LEAVING = "leaving"
    """The daemon accepts no new work and stops soon."""
    REMOVED = "removed"
    """The daemon is no longer in the instance list."""


@dataclass(frozen=True, slots=True)
class MemberNotice:
    """A change of one daemon, with all data needed to connect to it."""

    kind: NoticeKind
    name: str
    incarnation: int
    observed_ms: int
    role: str
    zone: str
    region: str
    host: str
    port: int
    http_port: int
    pool: str

    @property
    def record(self) -> InstanceRecord:
        """Return the daemon in the form of an instance list record."""
        return InstanceRecord(
            self.name,
            self.role,
            self.zone,
            self.region,
            self.host,
            self.port,
            self.http_port,
            pool=self.pool,
        )


@dataclass(frozen=True, slots=True)
class MemberNews:
    """Several notices in one message."""

    notices: tuple[MemberNotice, ...]


def make_notice(
    kind: NoticeKind, record: InstanceRecord, incarnation: int, observed_ms: int
) -> MemberNotice:
    """Return a notice of `kind` about the daemon of `record`."""
    return MemberNotice(
        kind,
        record.name,
        incarnation,
        observed_ms,
        record.role,
        record.zone,
        record.region,
        record.host,
        record.port,
        record.http_port,
        record.pool,
    )


def register_messages(registry: MessageRegistry) -> None:
    """Add these message types to `registry`."""
    schema = load_schema(__file__, "membership.capnp")
    registry.add_all(schema, MemberNews)
