"""Bounds on the bytes that a daemon holds for callers and targets that read slowly.

The load is that of many slow readers at once.  A request's bound is what is left of the
budget (dynamic thresholds, Choudhury and Hahne 1998): one slow reader may use half of
it, n of them use a (n + 1)th each, and a part always stays free for the next one.
"""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "BYTES_PER_MB",
    "AnswerBuffers",
    "GiveUpLimit",
    "HoldUps",
    "RequestHold",
    "create_answer_buffers",
    "create_free_hold",
]

ANSWERS_FRACTION = 0.75
"""Fraction of the budget for answers; the rest is left for bodies of new requests."""
BODY_COPIES = 1.5
"""Ratio of the memory that a body takes while it is put together to its size."""
ANSWER_BOUND_MIN_BYTES = 16 * 1024
"""Bound with which an answer still goes on, some dozens of events."""
SOCKET_BUFFER_BYTES = 64 * 1024
"""Bytes that a connection buffers before a send waits for its reader."""
REQUEST_BYTES = 160 * 1024
"""Memory of a request in progress beside its body and answer: its task, its attempt
and the buffers of both connections."""
REQUESTS_MEMORY_SHARE = 0.1
"""Share of the daemon's memory for requests in progress."""
UNREAD_CUT_MIN_S = 1.0
"""Time without reading from which a target may cut its answer for that."""
UNREAD_CUT_LAG_S = 0.5
"""Time after the end of a hold-up within which its consequences are read."""
BYTES_PER_MB = 1_000_000


class GiveUpLimit(Enum):
    """The operator's limit at which a reader was given up."""

    IDLE = "idle"
    DEADLINE = "deadline"


class AnswerBuffers:
    """The daemon's budget, and all bytes that count to it."""

    def __init__(
        self, budget_bytes: float = math.inf, requests_max: float = math.inf
    ) -> None:
        self._budget_bytes = budget_bytes
        self._requests_max = requests_max
        self._request_count = 0
        self._holds: set[RequestHold] = set()
        self.answer_bytes = 0
        self.body_bytes = 0
        self.refused = 0
        """Requests refused because the budget or the number was used up."""
        self.on_given_up: Callable[[RequestHold, GiveUpLimit], None] | None = None

    @property
    def is_limited(self) -> bool:
        """Return whether the operator or the platform has set a limit."""
        return self._budget_bytes != math.inf

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for all requests."""
        return self.answer_bytes + self.body_bytes

    @property
    def is_short(self) -> bool:
        """Return whether new requests must be refused."""
        is_full = self._request_count > self._requests_max
        return is_full or self.held_bytes > self._budget_bytes

    @property
    def largest_body_bytes(self) -> float:
        """Return the size up to which a single body fits."""
        return self._budget_bytes / BODY_COPIES

    def answer_bound_bytes(self) -> float:
        """Return how much of its answer each request may hold now."""
        free_bytes = min(
            ANSWERS_FRACTION * self._budget_bytes - self.answer_bytes,
            self._budget_bytes - self.held_bytes,
        )
        return max(ANSWER_BOUND_MIN_BYTES, free_bytes)

    def open_hold(self) -> "RequestHold":
        """Return the account of a new request; the caller must close it."""
        hold = RequestHold(self)
        self._holds.add(hold)
        return hold

    @property
    def is_half_full(self) -> bool:
        """Return whether half of the requests are in progress that may be."""
        return self._request_count > self._requests_max / 2

    def count_request(self, change: int) -> None:
        """Count a request that begins (1), or that ends or was refused (-1)."""
        self._request_count += change

    def discard(self, hold: "RequestHold") -> None:
        """Forget a closed hold."""
        self._holds.discard(hold)

    def list_sending(self) -> Iterator["RequestHold"]:
        """Yield the holds whose readers have not yet taken what is being sent."""
        return (hold for hold in self._holds if hold.sending_since_s is not None)


class RequestHold:
    """The bytes held for one request, and since when its reader takes nothing."""

    def __init__(self, buffers: AnswerBuffers) -> None:
        self._buffers = buffers
        self._pending_bytes = 0
        self._sending_bytes = 0
        self._body_bytes = 0
        self._is_counted = True
        buffers.count_request(1)
        self.caller_request_id = ""
        self.deadline_s = math.inf
        self.sending_since_s: float | None = None
        """Start of the send that has not ended; None if there is none."""
        self.is_refused = False
        """Whether the body did not fit the budget."""
        self.ends_connection = False
        """Whether the refusal is the last answer on its connection."""
        self.given_up: GiveUpLimit | None = None
        self.on_released: Callable[[], None] | None = None
        """Called when bytes of the answer are no longer held."""
        self.on_given_up: Callable[[], None] | None = None
        """Ends the send to a reader that is given up."""

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for this request."""
        return self._pending_bytes + self._sending_bytes + self._body_bytes

    @property
    def is_full(self) -> bool:
        """Return whether no more of the answer may be read now."""
        unread_bytes = self._pending_bytes + self._sending_bytes
        return unread_bytes >= self._buffers.answer_bound_bytes()

    def add_body(self, size_bytes: int) -> bool:
        """Count a piece of the request's body; return whether it may be held."""
        if self.is_refused:
            return False
        self._body_bytes += size_bytes
        self._buffers.body_bytes += size_bytes
        is_too_large = self._body_bytes > self._buffers.largest_body_bytes
        if is_too_large or self._buffers.is_short:
            self.refuse()
        return not self.is_refused

    def drop(self) -> None:
        """Stop counting a request, and its body, that is not passed on any more."""
        self._buffers.body_bytes -= self._body_bytes
        self._body_bytes = 0
        if self._is_counted:
            self._is_counted = False
            self._buffers.count_request(-1)

    def refuse_in_crowd(self) -> None:
        """Refuse the request if requests of clients within their limits need room.

        Its connection is to end: what is sent ahead on it would be refused as well.
        """
        if self._buffers.is_half_full and not self.is_refused:
            self.refuse()
            self.ends_connection = True

    def refuse(self) -> None:
        """Hold nothing for the request, which gets a refusal."""
        self.drop()
        self._buffers.refused += 1
        self.is_refused = True

    def set_pending(self, size_bytes: int) -> None:
        """Set the bytes that were received and are not being sent yet."""
        self._buffers.answer_bytes += size_bytes - self._pending_bytes
        is_less = size_bytes < self._pending_bytes
        self._pending_bytes = size_bytes
        if is_less:
            self._release()

    def begin_send(self, size_bytes: int, now_s: float) -> None:
        """Count bytes that are being sent to the caller."""
        self._set_sending(size_bytes)
        self.sending_since_s = now_s

    def end_send(self) -> None:
        """Stop counting the bytes, as the caller has taken them."""
        self.sending_since_s = None
        self._set_sending(0)
        self._release()

    def unread_s(self, now_s: float) -> float:
        """Return for how long the caller has taken nothing of what is being sent."""
        since_s = self.sending_since_s
        return 0.0 if since_s is None else now_s - since_s

    def give_up(self, limit: GiveUpLimit) -> None:
        """End the answer, as its reader stays away."""
        if self.given_up is not None:
            return
        self.given_up = limit
        if self._buffers.on_given_up is not None:
            self._buffers.on_given_up(self, limit)
        if self.on_given_up is not None:
            self.on_given_up()

    def close(self) -> None:
        """Stop counting everything, at the end of the request."""
        self.sending_since_s = None
        self._set_sending(0)
        self.set_pending(0)
        self.drop()
        self._buffers.discard(self)

    def _set_sending(self, size_bytes: int) -> None:
        before = self._sending_bytes + SOCKET_BUFFER_BYTES * (self._sending_bytes > 0)
        after = size_bytes + SOCKET_BUFFER_BYTES * (size_bytes > 0)
        self._buffers.answer_bytes += after - before
        self._sending_bytes = size_bytes

    def _release(self) -> None:
        if self.on_released is not None:
            self.on_released()


@dataclass(slots=True)
class HoldUps:
    """When this entry did not read an answer because its reader was slow."""

    _began_s: float | None = None
    _ended_s: float | None = None

    @property
    def is_held_up(self) -> bool:
        """Return whether the answer is not being read now."""
        return self._began_s is not None and self._ended_s is None

    def begin(self, now_s: float) -> None:
        """Record that reading stops; one that follows closely continues the last."""
        if self._ended_s is None or now_s - self._ended_s > UNREAD_CUT_LAG_S:
            self._began_s = now_s
        self._ended_s = None

    def end(self, now_s: float) -> None:
        """Record that reading goes on."""
        self._ended_s = now_s

    def explains_cut(self, now_s: float) -> bool:
        """Return whether a target may have cut the answer since it stayed unread.

        The cut shows only when reading goes on, after what the connection buffered.
        """
        if self._began_s is None:
            return False
        end_s = now_s if self._ended_s is None else self._ended_s
        is_recent = now_s - end_s <= UNREAD_CUT_LAG_S
        return is_recent and end_s - self._began_s >= UNREAD_CUT_MIN_S


def create_answer_buffers(memory_mb: float | None, held_share: float) -> AnswerBuffers:
    """Create the budget for a share of the daemon's memory; unlimited without one."""
    if memory_mb is None:
        return AnswerBuffers()
    memory_bytes = memory_mb * BYTES_PER_MB
    requests_max = memory_bytes * REQUESTS_MEMORY_SHARE // REQUEST_BYTES
    return AnswerBuffers(memory_bytes * held_share, requests_max)


def create_free_hold() -> RequestHold:
    """Create a hold that counts to no budget."""
    return RequestHold(AnswerBuffers())
