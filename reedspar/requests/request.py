"""Types of requests, answers and filters."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from reedspar.admission import Refused
from reedspar.attempts import Header
from reedspar.configuration import PoolKind
from reedspar.errors import Failure

from .answer_buffers import RequestHold, create_free_hold

__all__ = [
    "Answer",
    "Filter",
    "Outcome",
    "Proceed",
    "Request",
    "Responder",
    "is_success",
]

ERROR_STATUS_MIN = 400


class Outcome(Enum):
    """Outcome of a request, as reported to the caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    """The request provably did not start and never will."""
    UNKNOWN = "unknown"
    """The request may have run, and the system will not run it again."""


@dataclass(frozen=True, slots=True)
class Answer:
    """How a request ended.

    If `is_sent`, the answer has already been streamed to the caller.  If
    `is_truncated`, that stream broke, so the connection must be aborted.
    """

    outcome: Outcome
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    weights_digest: str = ""
    failure: Failure | None = None
    is_sent: bool = False
    is_truncated: bool = False


def is_success(answer: Answer) -> bool:
    """Return whether a target has run the request; it may refuse one with an error."""
    return answer.outcome is Outcome.ANSWERED and answer.status < ERROR_STATUS_MIN


class Responder(Protocol):
    """Sends a stream to the caller."""

    @property
    def is_started(self) -> bool:
        """Return whether the status and headers were sent."""
        ...

    async def start(
        self, status: int, headers: Iterable[Header], weights_digest: str
    ) -> None:
        """Send the status and headers of an answer of unknown length."""
        ...

    async def send(self, data: bytes, *, is_last: bool = False) -> None:
        """Send a piece of the body."""
        ...


@dataclass(slots=True)
class Request:
    """A caller's request, completed by the filters.

    Times are those of the timer service.
    """

    request_id: str
    """Internal id, unique across all entries and independent of the caller's id."""
    caller_request_id: str
    method: str
    pool: str
    path: str
    """Path and query as sent to the target."""
    headers: tuple[Header, ...]
    body: bytes
    responder: Responder
    arrived_s: float
    deadline_s: float = 0.0
    workspace: str = ""
    priority: int = 1
    """For pools, higher numbers are more urgent; for routes, lower ones are."""
    pool_kind: PoolKind = PoolKind.PLAIN
    is_idempotent: bool = False
    idempotency_key: str = ""
    fingerprint: str = ""
    weights_digest: str = ""
    route: str = ""
    """Name of the route; empty where the path names the pool."""
    host: str = ""
    """Requested host, used if routes are found by host."""
    allowed_s: float | None = None
    """How long the caller will wait; None: not specified."""
    route_timeout_s: float = 0.0
    """Maximum time that the route lets a caller wait."""
    attempts_max: int = 4
    """Maximum number of times that the request may be handed to a target."""
    latency_goal_s: float = 0.0
    """Desired time to the first byte of the answer; 0: not known."""
    gap_s: float = 0.0
    """Desired maximum gap between events of a stream; 0: not known."""
    regions: frozenset[str] | None = None
    """Regions whose targets may serve the request; None: all."""
    is_stream: bool = False
    can_resume: bool = False
    """Whether another target can continue a broken stream after its last event."""
    last_event_id: str = ""
    """Event after which the caller wants the stream to resume."""
    model: str = ""
    prompt_parts: tuple[str, ...] = ()
    """Ids of the parts of the prompt that other requests may share, in order."""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    """Limit of the answer's length, or the caller's estimate of it."""
    can_signal_truncation: bool = True
    """Whether the caller's HTTP version shows that a stream was truncated."""
    targets: list[str] = field(default_factory=list)
    """Targets that the request was handed to, in order."""
    passed_on_s: list[float] = field(default_factory=list)
    """When it was handed to each of them."""
    drain_spare_s: float | None = None
    """Time from its deadline to the end of the drain that admitted it; None: none."""
    may_have_run: bool = False
    """Whether the request was handed over without proof that it did not run."""
    refusal: Refused | None = None
    """Refusal by admission, if any, with what decided it."""
    speed_estimates: list[dict[str, object]] = field(default_factory=list)
    """Speed estimates by which targets were chosen, as logged; empty without any."""
    met_endless_answer: bool = False
    """Whether a target has sent an answer without end to this request."""
    is_late: bool = False
    """Whether an answer began after the latency goal."""
    header_map: dict[str, str] = field(default_factory=dict)
    hold: RequestHold = field(default_factory=create_free_hold)
    """The bytes that the daemon holds for the request."""
    is_abandoned: bool = False
    """Whether the caller has left, and no repeat can get the answer."""

    def __post_init__(self) -> None:
        self.header_map = {header.name: header.value for header in self.headers}

    @property
    def is_cancellable(self) -> bool:
        """Return whether a run may be broken off once the caller has left.

        An order may have taken effect in part; generated text has no effect.  A repeat
        with an idempotency key gets the answer of the first run.
        """
        if self.is_idempotent:
            return True
        is_generated = self.is_stream or self.pool_kind is PoolKind.MODEL
        return is_generated and not self.idempotency_key


Proceed = Callable[[Request], Awaitable[Answer]]
"""Runs the remaining filters and returns their answer."""


class Filter(Protocol):
    """A step of the chain, which answers a request or passes it to the next step."""

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Return the answer to `request`; `proceed` runs the remaining filters."""
        ...
