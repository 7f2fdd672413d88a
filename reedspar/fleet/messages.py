"""Messages by which daemons exchange their view of the fleet."""

from dataclasses import dataclass

from reedspar.messages import MessageRegistry, load_schema

__all__ = [
    "AuditNews",
    "ChangedPrefix",
    "DocumentNews",
    "DocumentRequest",
    "FleetEntries",
    "FleetEntry",
    "FleetNews",
    "FleetRequest",
    "PrefixState",
    "RemovalQuery",
    "SpeedRow",
    "TargetEndlessNews",
    "TargetLeavingNews",
    "TargetLimitNews",
    "TargetLoadNews",
    "TargetSpeedNews",
    "VersionAge",
    "VersionAgeRequest",
    "register_messages",
]


@dataclass(frozen=True, slots=True)
class FleetRequest:
    """Requests the store's entries below a prefix that are newer than a revision."""

    prefix: str
    after_revision: int


@dataclass(frozen=True, slots=True)
class FleetEntry:
    """An entry of the store as the sender knows it."""

    key: str
    value: bytes
    revision: int
    is_removed: bool
    is_packed: bool = False
    """The value is compressed."""


@dataclass(frozen=True, slots=True)
class FleetEntries:
    """Entries newer than the revision of a request, or pushed after a change."""

    prefix: str
    revision: int
    """The sender has missed no change up to this revision."""
    entries: tuple[FleetEntry, ...]
    is_whole: bool = False
    """True if these are all entries below the prefix; all others were removed."""


@dataclass(frozen=True, slots=True)
class PrefixState:
    """Summarizes the entries below a prefix that the sender has."""

    prefix: str
    newest_revision: int
    """Newest revision of the sender's entries and removals."""
    covered_revision: int
    """The sender has missed no change up to this revision; 0 before a listing."""
    digest: int
    """Checksum of the keys that exist and their revisions."""


@dataclass(frozen=True, slots=True)
class FleetNews:
    """Reports the sender's state of each relayed prefix to daemons of its region."""

    states: tuple[PrefixState, ...]
    is_served: bool
    """True while the store answers the sender."""


@dataclass(frozen=True, slots=True)
class ChangedPrefix:
    """Names the newest change below a prefix that an audit has found."""

    prefix: str
    newest_revision: int


@dataclass(frozen=True, slots=True)
class AuditNews:
    """Tells daemons what the store has changed, so that they check their watches."""

    revision: int
    """The audits cover all changes up to this revision."""
    changed: tuple[ChangedPrefix, ...]


@dataclass(frozen=True, slots=True)
class DocumentRequest:
    """Requests a document; answered even if it is not newer than the revision."""

    prefix: str
    after_revision: int


@dataclass(frozen=True, slots=True)
class DocumentNews:
    """Answers a request for a document if the sender has no newer revision."""

    prefix: str
    newest_revision: int
    """Revision of the sender's document, 0 if it has none."""
    covered_revision: int
    """The sender has missed no change up to this revision."""
    is_served: bool
    """True while the store answers the sender."""


@dataclass(frozen=True, slots=True)
class RemovalQuery:
    """Asks which of some keys the receiver knows to be removed from the store."""

    prefix: str
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class VersionAgeRequest:
    """Requests the time since a version of a model was named."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class VersionAge:
    """Answers with the minimum time since the naming, as far as the sender knows."""

    model: str
    version: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class TargetLoadNews:
    """Reports the load of an agent's target to entry daemons."""

    host: str
    port: int
    running: int
    waiting: int
    slots: int
    is_taking: bool
    """False while the target accepts no new requests because it switches weights."""
    pace: float
    """Current duration of a request relative to the usual one."""


@dataclass(frozen=True, slots=True)
class TargetLeavingNews:
    """Tells other entries that a target has announced its shutdown in an answer."""

    target_id: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class TargetEndlessNews:
    """Tells other entries that a target has sent an answer without end."""

    target_id: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class TargetLimitNews:
    """Tells other entries which rate limit the answers of a target name."""

    target_id: str
    boot_id: str
    is_limited: bool
    rate_per_s: float
    """Requests a second that the target takes from all entries; 0 without a limit."""
    age_ms: int
    """Time since the limit was valid, as far as the sender knows."""


@dataclass(frozen=True, slots=True)
class SpeedRow:
    """How long work takes at one run of a target."""

    boot_id: str
    percent: int
    """Present duration of work; 100 is usual."""
    age_ms: int
    """Time since the figure was true, as far as the sender knows."""


@dataclass(frozen=True, slots=True)
class TargetSpeedNews:
    """Tells other entries of targets that have become slow, or usual again."""

    pool: str
    rows: tuple[SpeedRow, ...]


def register_messages(registry: MessageRegistry) -> None:
    """Add these message types to `registry`."""
    schema = load_schema(__file__, "fleet.capnp")
    registry.add_all(
        schema,
        FleetRequest,
        FleetEntries,
        FleetNews,
        AuditNews,
        DocumentNews,
        DocumentRequest,
        RemovalQuery,
        VersionAgeRequest,
        VersionAge,
        TargetLeavingNews,
        TargetLimitNews,
        TargetLoadNews,
        TargetSpeedNews,
        TargetEndlessNews,
    )
