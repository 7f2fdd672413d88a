"""The messages by which daemons pass on what they know of the fleet."""

from dataclasses import dataclass

from reedspar.messages import MessageRegistry, load_schema

__all__ = [
    "DocumentNews",
    "DocumentRequest",
    "FleetEntries",
    "FleetEntry",
    "FleetNews",
    "FleetRequest",
    "PrefixState",
    "TargetLoadNews",
    "VersionAge",
    "VersionAgeRequest",
    "register_messages",
]


@dataclass(frozen=True, slots=True)
class FleetRequest:
    """Asks for the store's entries below a prefix that are newer than a revision."""

    prefix: str
    after_revision: int


@dataclass(frozen=True, slots=True)
class FleetEntry:
    """An entry as the sender has it from the store."""

    key: str
    value: bytes
    revision: int
    is_removed: bool
    is_packed: bool = False
    """The value is compressed."""


@dataclass(frozen=True, slots=True)
class FleetEntries:
    """Entries newer than the revision of a request, or that have just changed."""

    prefix: str
    revision: int
    """The sender has missed no change up to this revision."""
    entries: tuple[FleetEntry, ...]
    is_whole: bool = False
    """True if these are all entries below the prefix; any other was removed."""


@dataclass(frozen=True, slots=True)
class PrefixState:
    """Describes the entries below a prefix that a daemon has."""

    prefix: str
    newest_revision: int
    """Of the entries and removals that the sender has."""
    covered_revision: int
    """The sender has missed no change up to here; 0 before the first listing."""
    digest: int
    """Checksum of the keys that exist and their revisions."""


@dataclass(frozen=True, slots=True)
class FleetNews:
    """Tells the daemons of a region the sender's state of each relayed prefix."""

    states: tuple[PrefixState, ...]
    is_served: bool
    """True while the store answers the sender."""


@dataclass(frozen=True, slots=True)
class DocumentRequest:
    """Asks for a document; answered also if nothing is newer than the revision."""

    prefix: str
    after_revision: int


@dataclass(frozen=True, slots=True)
class DocumentNews:
    """Answers a request for a document if the sender has no newer revision."""

    prefix: str
    newest_revision: int
    """Of the entry that the sender has."""
    covered_revision: int
    """Up to here the sender has missed no change."""
    is_served: bool
    """True while the store answers the sender."""


@dataclass(frozen=True, slots=True)
class VersionAgeRequest:
    """Asks how long ago a version of a model was named."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class VersionAge:
    """Answers: by all that the sender knows, it was named at least so long ago."""

    model: str
    version: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class TargetLoadNews:
    """Tells entries of the load of the target beside an agent."""

    host: str
    port: int
    running: int
    waiting: int
    slots: int
    is_taking: bool
    """False while the target takes no new requests, as it switches its weights."""
    pace: float
    """How many times as long as usual the target takes."""


def register_messages(registry: MessageRegistry) -> None:
    """Add these message types to `registry`."""
    schema = load_schema(__file__, "fleet.capnp")
    registry.add_all(
        schema,
        FleetRequest,
        FleetEntries,
        FleetNews,
        DocumentNews,
        DocumentRequest,
        VersionAgeRequest,
        VersionAge,
        TargetLoadNews,
    )
