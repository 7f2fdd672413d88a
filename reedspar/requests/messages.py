"""Messages between entries about claims and crashes, and stored claim records."""

from dataclasses import dataclass
from enum import Enum

from reedspar.attempts import CrashSuspect, Header
from reedspar.messages import MessageRegistry, load_schema

__all__ = [
    "AnswerCounts",
    "AnswerCountsNews",
    "ClaimRecord",
    "ClaimReply",
    "ClaimRequest",
    "ClaimSlice",
    "ClaimState",
    "ClaimUpdate",
    "ClaimUpdated",
    "ClaimVerdict",
    "CrashNews",
    "CrashNewsRequest",
    "CrashVerdictNews",
    "register_messages",
]


@dataclass(frozen=True, slots=True)
class CrashNews:
    """Forwards the report of a target's crash from entry to entry."""

    crash_id: str
    """Includes the target's boot id, so that repeated reports count once."""
    pool: str
    zone: str
    suspects: tuple[CrashSuspect, ...]
    age_ms: int
    """Time since the crash; an age, as the entries' clocks may differ."""


@dataclass(frozen=True, slots=True)
class CrashNewsRequest:
    """Asks another entry for all crashes and verdicts that it knows of."""


@dataclass(frozen=True, slots=True)
class CrashVerdictNews:
    """Tells other entries that a cause of crashes is blamed, or cleared."""

    fingerprint: str
    """Empty if requests with all of the prompt parts are meant."""
    prompt_parts: tuple[str, ...]
    is_blamed: bool
    age_ms: int
    """Time since the last crash or answer that the verdict follows from."""
    is_replaced: bool = False
    """Whether it is cleared since another cause explains the crashes."""


@dataclass(frozen=True, slots=True)
class AnswerCounts:
    """How common traits are among the answered attempts of one pool and zone."""

    pool: str
    zone: str
    answered: int
    """Number of answered attempts."""
    traits: tuple[str, ...]
    """The most common fingerprints and prompt parts."""
    counts: tuple[int, ...]
    """Number of these attempts with each of them."""


@dataclass(frozen=True, slots=True)
class AnswerCountsNews:
    """Tells another entry what the sender's targets have answered lately."""

    scopes: tuple[AnswerCounts, ...]


class ClaimVerdict(Enum):
    """Result of a claim."""

    GRANTED = "granted"
    """The record is written under this token: the order may run."""
    ANSWERED = "answered"
    """An earlier order was answered; the reply has the answer."""
    RUNNING = "running"
    """An earlier order may still be running."""
    UNKNOWN = "unknown"
    """An earlier order may have run."""
    MISMATCH = "mismatch"
    """The key was used with another payload."""
    EXPIRED = "expired"
    """The record's time to live has passed."""
    UNAVAILABLE = "unavailable"
    """The record could not be read or written; the write may have taken effect."""
    NOT_WRITTEN = "not_written"
    """The claim was refused and provably not written."""


class ClaimState(Enum):
    """State of a claim's record."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    NOT_KEPT = "not_kept"
    """The order was answered, but the answer was too large for the record."""
    UNKNOWN = "unknown"
    RELEASED = "released"
    """The order was provably not run: the key may be claimed again."""


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks the owner of a location for a claim; repeats are idempotent."""

    claim_key: str
    token: str
    """Id of the request that will run the order if the claim is granted."""
    payload: str
    """Fingerprint of the order, by which a different order with its key is refused."""
    location: str


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Replies to the claim request with the same token."""

    token: str
    verdict: ClaimVerdict
    status: int
    headers: tuple[Header, ...]
    body: bytes
    weights_digest: str
    detail: str


@dataclass(frozen=True, slots=True)
class ClaimUpdate:
    """Reports to the owner how a claimed order ended."""

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
    """Confirms that the update with the same token is written."""

    token: str


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Record of one order in the key-value service."""

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
    """Add the message types of claims and crashes to `registry`."""
    schema = load_schema(__file__, "requests.capnp")
    registry.add_all(
        schema,
        AnswerCountsNews,
        CrashNews,
        CrashNewsRequest,
        CrashVerdictNews,
        ClaimRequest,
        ClaimReply,
        ClaimUpdate,
        ClaimUpdated,
        ClaimRecord,
        ClaimSlice,
    )
