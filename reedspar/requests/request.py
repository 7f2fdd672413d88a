"""A caller's request on its way through the filters, and the answer on its way back."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from reedspar.attempts import Header
from reedspar.configuration import PoolKind
from reedspar.errors import Failure

__all__ = ["Answer", "Filter", "Outcome", "Proceed", "Request", "Responder"]


class Outcome(Enum):
    """The three endings that a caller can tell apart."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    """Proved never to have started, and never will."""
    UNKNOWN = "unknown"
    """May have run; never run again by the system."""


@dataclass(frozen=True, slots=True)
class Answer:
    """How a request ended.

    `is_sent` tells that a stream went to the caller while it arrived;
    `is_truncated` that such a stream broke, so that the connection must be aborted.
    """

    outcome: Outcome
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    weights_digest: str = ""
    failure: Failure | None = None
    is_sent: bool = False
    is_truncated: bool = False


class Responder(Protocol):
    """Passes a stream on to the caller while it arrives."""

    @property
    def is_started(self) -> bool:
        """Tell whether the head went to the caller."""
        ...

    async def start(
        self, status: int, headers: Iterable[Header], weights_digest: str
    ) -> None:
        """Send the head of an answer of unknown length."""
        ...

    async def send(self, data: bytes, *, is_last: bool = False) -> None:
        """Send a piece of the body."""
        ...


@dataclass(slots=True)
class Request:
    """What the filters learn of a request; times are the timer service's."""

    request_id: str
    """Unique in the whole system, whatever the caller sent."""
    caller_request_id: str
    method: str
    pool: str
    path: str
    """Path and query as the target gets them."""
    headers: tuple[Header, ...]
    body: bytes
    responder: Responder
    arrived_s: float
    deadline_s: float = 0.0
    workspace: str = ""
    priority: int = 1
    pool_kind: PoolKind = PoolKind.PLAIN
    is_idempotent: bool = False
    idempotency_key: str = ""
    fingerprint: str = ""
    weights_digest: str = ""
    host: str = ""
    """Host that the caller asked for, where routes go by it."""
    allowed_s: float | None = None
    """How long the caller will wait, where it says so."""
    route_timeout_s: float = 0.0
    """How long the operator lets a caller be kept waiting."""
    attempts_max: int = 4
    """Targets that the request may be handed to at most."""
    latency_goal_s: float = 0.0
    """Time to the first byte that the caller waits gladly; 0: not known."""
    gap_s: float = 0.0
    """Pause between events that the caller bears gladly; 0: not known."""
    regions: frozenset[str] | None = None
    """Regions whose targets may serve it; None: all."""
    is_stream: bool = False
    can_resume: bool = False
    """A broken stream may go on at another target after its last event."""
    last_event_id: str = ""
    """Event after which the caller wants the stream to go on."""
    model: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    """Bound on the answer's length, or the caller's estimate of it."""
    can_signal_truncation: bool = True
    """The caller's protocol tells a broken stream from a whole one."""
    targets: list[str] = field(default_factory=list)
    """Targets that it was handed to, in order."""
    may_have_run: bool = False
    """It was handed over, and nothing proves that it did not run."""
    header_map: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.header_map = {header.name: header.value for header in self.headers}


Proceed = Callable[[Request], Awaitable[Answer]]


class Filter(Protocol):
    """One step of the chain: answers by itself or lets the rest proceed."""

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Return the answer to `request`."""
        ...
