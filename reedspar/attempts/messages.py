"""The messages of attempts and of target reports.

An attempt is named by request id and attempt number.  Its life at the agent:
``QUEUED`` (may still be revoked), ``RUNNING`` (handed to the target),
``FINISHED`` (the answer is kept for a while), ``REVOKED`` (never ran, never
will).  An answer is whole only if `AttemptEnd` says ``COMPLETE`` and its
length and digest match what arrived.
"""

from dataclasses import dataclass
from enum import Enum

from reedspar.errors import Reason

__all__ = [
    "AttemptAck",
    "AttemptCancel",
    "AttemptData",
    "AttemptDataBatch",
    "AttemptEnd",
    "AttemptHead",
    "AttemptPhase",
    "AttemptRefused",
    "AttemptResume",
    "AttemptStart",
    "AttemptStatus",
    "CrashNotice",
    "EndKind",
    "Header",
    "LoadedWeights",
    "TargetReport",
    "TargetStatus",
]


class AttemptPhase(Enum):
    """How far an attempt has come at its agent."""

    UNKNOWN = "unknown"
    """This incarnation of the agent has no record: it proves nothing."""
    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    REVOKED = "revoked"


class EndKind(Enum):
    """How an attempt that ran has ended."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    """The target provably did not run it, though it had been admitted."""
    BROKEN = "broken"
    """The target started and gave no whole answer."""


class TargetStatus(Enum):
    """Whether a target may be given work."""

    COLD = "cold"
    READY = "ready"
    LEAVING = "leaving"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class AttemptStart:
    """Hands a request over; `timeout_s` is what remains of the deadline."""

    request_id: str
    attempt: int
    pool: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_s: float
    is_idempotent: bool
    priority: int
    workspace: str
    fingerprint: str
    weights_digest: str = ""
    agent_incarnation: int = 0


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """Proves that the attempt did not start and never will."""

    request_id: str
    attempt: int
    reason: Reason
    detail: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class AttemptHead:
    """Begins an answer."""

    request_id: str
    attempt: int
    status: int
    headers: tuple[Header, ...]
    weights_digest: str


@dataclass(frozen=True, slots=True)
class AttemptData:
    """Carries bytes of the answer's body from `offset` on."""

    request_id: str
    attempt: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AttemptDataBatch:
    """Carries the data of several attempts in columns; made by the link alone."""

    request_ids: tuple[str, ...]
    attempts: tuple[int, ...]
    offsets: tuple[int, ...]
    sizes: tuple[int, ...]
    data: bytes


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """Ends an answer; whole only if `kind` is ``COMPLETE`` and the digest fits."""

    request_id: str
    attempt: int
    kind: EndKind
    length_bytes: int
    digest: str
    reason: Reason
    detail: str


@dataclass(frozen=True, slots=True)
class AttemptCancel:
    """Revokes a queued attempt, or cancels a running one.

    Answered with `AttemptRefused` (never ran) or `AttemptStatus`.  It names
    the incarnation that the attempt was handed to: another one knows nothing
    of the attempt, and its word would be no proof.
    """

    request_id: str
    attempt: int
    agent_incarnation: int


@dataclass(frozen=True, slots=True)
class AttemptResume:
    """Asks for the attempt's status and its answer from `offset` on.

    An incarnation other than the one named answers ``UNKNOWN``.
    """

    request_id: str
    attempt: int
    offset: int
    agent_incarnation: int


@dataclass(frozen=True, slots=True)
class AttemptStatus:
    """Tells how far an attempt has come."""

    request_id: str
    attempt: int
    phase: AttemptPhase
    length_bytes: int


@dataclass(frozen=True, slots=True)
class AttemptAck:
    """Tells what has arrived; once complete, the agent lets go of the answer."""

    request_id: str
    attempt: int
    offset: int
    is_complete: bool


@dataclass(frozen=True, slots=True)
class LoadedWeights:
    """A model and the root digest of the version that is offered."""

    model: str
    root_digest: str


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What an agent tells the entries of its target."""

    target: str
    """Name of the agent's daemon, which is the target's name, too."""
    pool: str
    zone: str
    status: TargetStatus
    boot_id: str
    in_flight: int
    queued: int
    limit: int
    offered: tuple[LoadedWeights, ...]
    sequence: int
    latency_s: float


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """Tells which requests were in flight when a target's process ended."""

    target: str
    pool: str
    boot_id: str
    """The boot that crashed: a notice that comes twice counts once."""
    fingerprints: tuple[str, ...]
