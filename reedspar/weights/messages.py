"""Messages for the exchange of chunks, manifests and version phases."""

from dataclasses import dataclass
from enum import Enum

from reedspar.messages import MessageRegistry, load_schema

__all__ = [
    "DISTRIBUTION_MESSAGES",
    "PIECE_MAX_BYTES",
    "ChunkCancel",
    "ChunkGrant",
    "ChunkPiece",
    "ChunkRefused",
    "ChunkRequest",
    "HaveMap",
    "HaveUpdate",
    "ManifestAnswer",
    "ManifestRequest",
    "RefusalCause",
    "VersionNotice",
    "VersionPhase",
    "WeightMessage",
    "register_messages",
]

PIECE_MAX_BYTES = 64 * 1024
"""Maximum payload of a message; live messages are sent between two pieces."""


class RefusalCause(Enum):
    """Reason why an agent does not send a chunk."""

    BUSY = "busy"
    NOT_HELD = "not_held"
    LEAVING = "leaving"


class VersionPhase(Enum):
    """Phase of the switch of a target to a version."""

    FETCHING = "fetching"
    WAITING = "waiting"
    """All chunks are staged; the target waits until it may switch."""
    SWITCHING = "switching"
    SERVING = "serving"
    """The engine has confirmed the version's root digest."""


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Requests an object (a chunk or a manifest) by its digest.

    With `may_draw`, a receiver that lacks the object fetches it before it answers;
    otherwise it refuses immediately.  The receiver may send `granted_bytes` before it
    gets a `ChunkGrant`.
    """

    digest: str
    request_id: int
    may_draw: bool = False
    granted_bytes: int = PIECE_MAX_BYTES


@dataclass(frozen=True, slots=True)
class ChunkGrant:
    """Allows the sender of an object to send its first `granted_bytes` bytes."""

    digest: str
    request_id: int
    granted_bytes: int


@dataclass(frozen=True, slots=True)
class ChunkPiece:
    """Carries the bytes of a requested object that start at `offset`."""

    digest: str
    request_id: int
    offset: int
    total_bytes: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ChunkRefused:
    """Refuses a request."""

    digest: str
    request_id: int
    cause: RefusalCause


@dataclass(frozen=True, slots=True)
class ChunkCancel:
    """Cancels a request; no further pieces are sent."""

    digest: str
    request_id: int


@dataclass(frozen=True, slots=True)
class HaveMap:
    """Announces the complete state of the sender's chunks of a version.

    Both maps have one bit per chunk of the manifest, starting with the lowest bit of
    the first byte.  Chunks in `held` can be requested from the sender; it no longer
    needs those in `obtained`.
    """

    root_digest: str
    sequence: int
    held: bytes
    obtained: bytes
    is_reply_wanted: bool


@dataclass(frozen=True, slots=True)
class HaveUpdate:
    """Announces the changes since the previous message."""

    root_digest: str
    sequence: int
    gained: tuple[int, ...]
    dropped: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class VersionNotice:
    """Announces the sender's phase of a version to its cohort."""

    model: str
    root_digest: str
    sequence: int
    phase: VersionPhase


@dataclass(frozen=True, slots=True)
class ManifestRequest:
    """Requests the manifest of a version; the receiver answers once it has it."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ManifestAnswer:
    """Carries the encoded manifest of a version, compressed with zlib."""

    model: str
    version: int
    encoded: bytes


WeightMessage = (
    ChunkRequest
    | ChunkGrant
    | ChunkPiece
    | ChunkRefused
    | ChunkCancel
    | HaveMap
    | HaveUpdate
    | VersionNotice
)

DISTRIBUTION_MESSAGES = (
    ChunkRequest,
    ChunkGrant,
    ChunkPiece,
    ChunkRefused,
    ChunkCancel,
    HaveMap,
    HaveUpdate,
)
"""Messages that a `Distribution` handles."""


def register_messages(registry: MessageRegistry) -> None:
    """Add these message types to `registry`."""
    schema = load_schema(__file__, "weights.capnp")
    registry.add_all(
        schema,
        ChunkRequest,
        ChunkGrant,
        ChunkPiece,
        ChunkRefused,
        ChunkCancel,
        HaveMap,
        HaveUpdate,
        VersionNotice,
        ManifestRequest,
        ManifestAnswer,
    )
