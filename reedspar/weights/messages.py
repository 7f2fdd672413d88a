"""The messages by which agents exchange chunks and tell of their versions."""

from dataclasses import dataclass
from enum import Enum

from reedspar.messages import MessageRegistry, load_schema

__all__ = [
    "DISTRIBUTION_MESSAGES",
    "PIECE_SIZE_BYTES",
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

PIECE_SIZE_BYTES = 64 * 1024
"""Largest payload of one message, so that live messages go between two pieces."""


class RefusalCause(Enum):
    """Why an agent does not send a chunk."""

    BUSY = "busy"
    NOT_HELD = "not_held"
    LEAVING = "leaving"


class VersionPhase(Enum):
    """How far a target has come with a version."""

    FETCHING = "fetching"
    WAITING = "waiting"
    """All chunks are staged; the target waits for its turn to switch."""
    SWITCHING = "switching"
    SERVING = "serving"
    """The engine has confirmed the version's root digest."""


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Asks for an object (a chunk or a manifest) by its digest.

    `may_draw` asks a receiver that lacks the object to get it, and to answer
    then; without it the receiver refuses at once.  `granted_bytes` may be sent
    at once, the rest as `ChunkGrant` allows.
    """

    digest: str
    request_id: int
    may_draw: bool = False
    granted_bytes: int = PIECE_SIZE_BYTES


@dataclass(frozen=True, slots=True)
class ChunkGrant:
    """Lets the sender of an object go on to its first `granted_bytes` in all."""

    digest: str
    request_id: int
    granted_bytes: int


@dataclass(frozen=True, slots=True)
class ChunkPiece:
    """Carries bytes of a requested object from `offset` on."""

    digest: str
    request_id: int
    offset: int
    total_bytes: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ChunkRefused:
    """Says that a request will not be served."""

    digest: str
    request_id: int
    cause: RefusalCause


@dataclass(frozen=True, slots=True)
class ChunkCancel:
    """Withdraws a request; pieces not yet sent are not sent."""

    digest: str
    request_id: int


@dataclass(frozen=True, slots=True)
class HaveMap:
    """Tells a neighbour all of what the sender holds of a version.

    Both maps have one bit per chunk of the manifest, the lowest bit of the
    first byte first.  `held` can be asked for; `obtained` is no longer needed.
    """

    root_digest: str
    sequence: int
    held: bytes
    obtained: bytes
    is_reply_wanted: bool


@dataclass(frozen=True, slots=True)
class HaveUpdate:
    """Tells a neighbour what has changed since the message before."""

    root_digest: str
    sequence: int
    gained: tuple[int, ...]
    dropped: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class VersionNotice:
    """Tells the peers of the pool how far the sender is with a version."""

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
"""What agents exchange about chunks; a notice is about turns."""


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
