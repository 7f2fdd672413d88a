"""What entries tell each other about requests, and agents about crashes."""

from dataclasses import dataclass
from enum import Enum

from reedspar.attempts import Header
from reedspar.messages import MessageRegistry, load_schema

__all__ = [
    "ClaimRecord",
    "ClaimReply",
    "ClaimRequest",
    "ClaimSlice",
    "ClaimState",
    "ClaimUpdate",
    "ClaimUpdated",
    "ClaimVerdict",
    "CrashNews",
    "register_messages",
]


@dataclass(frozen=True, slots=True)
class CrashNews:
    """Passes on, from entry to entry, what an agent told of a crash."""

    crash_id: str
    """The target's name and the boot that crashed: a crash counts once."""
    fingerprints: tuple[str, ...]
    age_ms: int
    """Time since the crash, so that clocks need not agree."""


class ClaimVerdict(Enum):
    """What became of a claim."""

    GRANTED = "granted"
    """The record is written under this token: the order may run."""
    ANSWERED = "answered"
    """An earlier one was answered; the answer comes with it, if it was kept."""
    RUNNING = "running"
    """An earlier one may be running still."""
    UNKNOWN = "unknown"
    """An earlier one may have run."""
    MISMATCH = "mismatch"
    """The key was used for another payload."""
    EXPIRED = "expired"
    """The record's time to live has passed."""
    UNAVAILABLE = "unavailable"
    """The record could not be read or written; it may have been, unseen."""
    NOT_WRITTEN = "not_written"
    """Refused, and proved that nothing was written."""


class ClaimState(Enum):
    """What a claim's record says."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_KEPT = "not_kept"
    """Answered, but the answer was too large for the record."""
    UNKNOWN = "unknown"
    RELEASED = "released"
    """Proved not run: the key may be claimed again."""


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks the owner of a location for a claim; a repeat changes nothing."""

    claim_key: str
    token: str
    payload: str
    location: str


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answers the claim request of the same token."""

    token: str
    verdict: ClaimVerdict
    status: int
    headers: tuple[Header, ...]
    body: bytes
    weights_digest: str
    detail: str


@dataclass(frozen=True, slots=True)
class ClaimUpdate:
    """Tells the owner how a claimed order ended."""

    claim_key: str
    token: str
    location: str
    state: ClaimState
    status: int
    headers: tuple[Header, ...]
    body: bytes
    weights_digest: str


@dataclass(frozen=True, slots=True)
class ClaimUpdated:
    """Confirms that the update of the same token is written."""

    token: str


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """What the key-value service keeps of one order."""

    claim_key: str
    token: str
    payload: str
    state: ClaimState
    claimed_at_s: float
    """Unix time."""
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    weights_digest: str = ""


@dataclass(frozen=True, slots=True)
class ClaimSlice:
    """One value of the key-value service: the records of one location."""

    records: tuple[bytes, ...]
    """Encoded claim records."""


def register_messages(registry: MessageRegistry) -> None:
    """Add these message types to `registry`."""
    schema = load_schema(__file__, "requests.capnp")
    registry.add_all(
        schema,
        CrashNews,
        ClaimRequest,
        ClaimReply,
        ClaimUpdate,
        ClaimUpdated,
        ClaimRecord,
        ClaimSlice,
    )
