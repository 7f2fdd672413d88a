"""Messages about attempts, target reports and crash notices.

An attempt is one hand-over of a request to a target and is identified by the
request id and the attempt number.  Its phases at the agent are ``QUEUED`` (can
still be revoked), ``RUNNING`` (sent to the target), ``FINISHED`` (the answer is
kept for a limited time) and ``REVOKED`` (never ran and never will).  An answer
is complete only if `AttemptEnd` says ``COMPLETE`` and its length and digest
match the bytes received.
"""

from dataclasses import dataclass
from enum import Enum

from reedspar.errors import Reason

__all__ = [
    "CRASH_AFTER_BEGIN_MAX_S",
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
    "CrashSuspect",
    "EndKind",
    "Header",
    "LeaveConfirmation",
    "LeaveNotice",
    "LoadedWeights",
    "TargetReport",
    "TargetStatus",
    "create_suspect",
]


class AttemptPhase(Enum):
    """Phase of an attempt at its agent."""

    UNKNOWN = "unknown"
    """The agent's current incarnation has no record; the attempt may have run."""
    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    REVOKED = "revoked"


class EndKind(Enum):
    """How an admitted attempt ended."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    """The agent admitted the attempt, but the target provably did not run it."""
    BROKEN = "broken"
    """The target started the attempt but did not return a complete answer."""


class TargetStatus(Enum):
    """State of a target; work is sent only to ``COLD`` and ``READY`` ones."""

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
    """Hands a request over; `timeout_s` is the time left until the deadline."""

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
    prompt_parts: tuple[str, ...] = ()
    """Ids of the parts of its prompt that other requests may share."""
    is_cancellable: bool = False
    """Whether a run may be broken off once nobody waits for it."""


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """Refuses an attempt, which proves that it did not start and never will."""

    request_id: str
    attempt: int
    reason: Reason
    detail: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class AttemptHead:
    """Carries the status and headers of an answer."""

    request_id: str
    attempt: int
    status: int
    headers: tuple[Header, ...]
    weights_digest: str


@dataclass(frozen=True, slots=True)
class AttemptData:
    """Carries bytes of the answer's body, starting at `offset`."""

    request_id: str
    attempt: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AttemptDataBatch:
    """Carries the data of several attempts in columns.

    Only the link layer makes and splits batches.
    """

    request_ids: tuple[str, ...]
    attempts: tuple[int, ...]
    offsets: tuple[int, ...]
    sizes: tuple[int, ...]
    data: bytes


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """Ends an answer, complete only if `kind` is ``COMPLETE`` and `digest` matches."""

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

    The agent replies with `AttemptRefused` (it never ran) or `AttemptStatus`.
    The message names the agent incarnation that the attempt was handed to: any
    other incarnation has no record of the attempt, so its reply proves nothing.
    """

    request_id: str
    attempt: int
    agent_incarnation: int


@dataclass(frozen=True, slots=True)
class AttemptResume:
    """Asks for the attempt's status and for its answer starting at `offset`.

    An agent incarnation other than the one named replies ``UNKNOWN``.
    """

    request_id: str
    attempt: int
    offset: int
    agent_incarnation: int


@dataclass(frozen=True, slots=True)
class AttemptStatus:
    """Reports the phase of an attempt and the length of its answer so far."""

    request_id: str
    attempt: int
    phase: AttemptPhase
    length_bytes: int


@dataclass(frozen=True, slots=True)
class AttemptAck:
    """Acknowledges the answer up to `offset`.

    If `is_complete`, the agent discards the answer.
    """

    request_id: str
    attempt: int
    offset: int
    is_complete: bool


@dataclass(frozen=True, slots=True)
class LoadedWeights:
    """A model and the root digest of the weights version that is offered."""

    model: str
    root_digest: str


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Status and load of a target, reported to the entries by its agent."""

    target: str
    """Name of the agent's daemon, which is also the name of the target."""
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
class LeaveNotice:
    """Asks an entry to confirm that it knows that the sending agent leaves."""

    number: int


@dataclass(frozen=True, slots=True)
class LeaveConfirmation:
    """Confirms a `LeaveNotice`: whatever its sender handed over is before it."""

    number: int


CRASH_AFTER_BEGIN_MAX_S = 0.5
"""Time from the first bytes of an answer to a crash that its request may have caused.

A request that crashes its target does so when it begins to run."""


@dataclass(frozen=True, slots=True)
class CrashSuspect:
    """A request that was in flight when a target's process crashed."""

    fingerprint: str
    prompt_parts: tuple[str, ...] = ()
    """Ids of the parts of its prompt that other requests may share."""
    arrival: str = ""
    """Id of the request as it came from the caller; the same for all its attempts."""


def create_suspect(start: AttemptStart) -> CrashSuspect:
    """Return an attempt's request as a possible cause of a crash."""
    return CrashSuspect(start.fingerprint, start.prompt_parts, start.request_id)


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """Reports which requests were in flight when a target's process crashed."""

    target: str
    pool: str
    zone: str
    boot_id: str
    """Identifies the crashed process, so that repeated notices count once."""
    suspects: tuple[CrashSuspect, ...]
