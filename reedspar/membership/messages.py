"""The message by which news of daemons spreads."""

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
    """What happened to a daemon."""

    JOINED = "joined"
    """It started, or the instance list named it first."""
    LEAVING = "leaving"
    """It takes no new work and stops soon."""
    REMOVED = "removed"
    """The instance list no longer names it."""


@dataclass(frozen=True, slots=True)
class MemberNotice:
    """News of one daemon, with all that is needed to reach it."""

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
        """Return the daemon as the instance list would name it."""
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
    """Several notices in one frame."""

    notices: tuple[MemberNotice, ...]


def make_notice(
    kind: NoticeKind, record: InstanceRecord, incarnation: int, observed_ms: int
) -> MemberNotice:
    """Return the news that `kind` happened to the daemon of `record`."""
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
