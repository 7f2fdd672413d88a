"""Execution of one attempt at the target, with its answer kept for the entry."""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from reedspar.attempts import (
    AnswerProgress,
    AttemptData,
    AttemptHead,
    AttemptStart,
    EndKind,
    Header,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.platform import Target, TargetRequest, TargetResponse
from reedspar.timers import Clock

from .pause import read_pause_s
from .table import AttemptRecord

__all__ = ["AttemptOutcome", "AttemptRunner", "RunHandle", "may_cancel"]

UNACKNOWLEDGED_MAX_BYTES = 1024 * 1024
"""Unacknowledged bytes above which reading from the target pauses."""
CONTENT_TYPE_HEADER = "content-type"
EVENT_STREAM_TYPE = "text/event-stream"
DROPPED_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "transfer-encoding",
        "upgrade",
    )
)
"""Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the entry's HTTP
server sets."""
_logger = logging.getLogger(__name__)


class FirstByteListener(Protocol):
    """Callback for the time to the first byte."""

    def __call__(self, latency_s: float, *, is_streamed: bool) -> None:
        """Process the time to the first byte of an answer."""
        ...


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How the run of an attempt ended."""

    kind: EndKind
    reason: Reason = Reason.UNAVAILABLE
    detail: str = ""
    pause_s: float | None = None
    """Time for which the target wants no more requests, if it asked for it."""


@dataclass
class RunHandle:
    """Controls a run from other tasks."""

    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    acknowledged: anyio.Event = field(default_factory=anyio.Event)
    is_cancelled: bool = False

    def cancel(self) -> None:
        """Cancel the run."""
        self.is_cancelled = True
        self.scope.cancel()

    def record_acknowledgement(self) -> None:
        """Wake a run that waits for an acknowledgement."""
        self.acknowledged.set()


class AttemptRunner:
    """Runs attempts at one target."""

    def __init__(
        self,
        target: Target,
        clock: Clock,
        send: Callable[[str, object], object],
        accepts_digest: Callable[[str], bool],
        record_first_byte: FirstByteListener,
    ) -> None:
        self._target = target
        self._clock = clock
        self._send = send
        self._accepts_digest = accepts_digest
        self._record_first_byte = record_first_byte

    async def run(self, record: AttemptRecord, handle: RunHandle) -> AttemptOutcome:
        """Run the attempt and return its outcome."""
        start = record.start
        assert start is not None
        request = _make_request(start, record.deadline_s - self._clock.now_s())
        outcome = AttemptOutcome(EndKind.BROKEN, Reason.TIMEOUT, "deadline")
        if not may_cancel(start):
            # Cancelling an order would leave it unknown whether it took effect, so its
            # answer is awaited even after the deadline.
            return await self._exchange(record, request, handle)
        handle.scope.deadline = anyio.current_time() + request.timeout_s
        with handle.scope:
            outcome = await self._exchange(record, request, handle)
        if handle.scope.cancelled_caught:
            with anyio.move_on_after(1.0, shield=True):
                await self._target.cancel(request.request_id)
            if handle.is_cancelled:
                return AttemptOutcome(EndKind.BROKEN, Reason.CANCELLED, "by the entry")
        return outcome

    async def _exchange(
        self, record: AttemptRecord, request: TargetRequest, handle: RunHandle
    ) -> AttemptOutcome:
        started_s = self._clock.now_s()
        async with self._target.send(request) as response:
            if isinstance(response, Failure):
                return _make_failed_outcome(response)
            latency_s = self._clock.now_s() - started_s
            self._record_first_byte(latency_s, is_streamed=_is_streamed(response))
            digest = response.weights_digest
            if digest and not self._accepts_digest(digest):
                # The engine answered with unconfirmed weights: it restarted, or
                # something other than this agent switched it.  No part of such an
                # answer may reach the caller.
                return AttemptOutcome(EndKind.BROKEN, Reason.CORRUPT, "weights digest")
            self._store_head(record, response)
            return await self._store_body(record, response, handle)

    def _store_head(self, record: AttemptRecord, response: TargetResponse) -> None:
        key = record.key
        headers = tuple(
            Header(name, value)
            for name, value in response.headers
            if name.lower() not in DROPPED_HEADERS
        )
        record.head = AttemptHead(
            key.request_id,
            key.attempt,
            response.status,
            headers,
            response.weights_digest,
        )
        self._send(record.entry, record.head)

    async def _store_body(
        self, record: AttemptRecord, response: TargetResponse, handle: RunHandle
    ) -> AttemptOutcome:
        key = record.key
        progress = AnswerProgress(
            is_event_stream=_is_streamed(response), plain_max_bytes=math.inf
        )
        async for data in response.iterate():
            if isinstance(data, Failure):
                return AttemptOutcome(EndKind.BROKEN, data.reason, data.detail)
            progress.feed(data, self._clock.now_s())
            excess = progress.find_excess()
            if excess:
                _logger.warning(
                    "answer without end",
                    extra={"attempt": key.request_id, "excess": excess},
                )
                return AttemptOutcome(EndKind.BROKEN, Reason.CORRUPT, excess)
            offset = record.length_bytes
            if record.first_data_s is None:
                record.first_data_s = self._clock.now_s()
            record.append(data)
            self._send(
                record.entry, AttemptData(key.request_id, key.attempt, offset, data)
            )
            while record.unacknowledged_bytes > UNACKNOWLEDGED_MAX_BYTES:
                handle.acknowledged = anyio.Event()
                await handle.acknowledged.wait()
                progress.restart_time(self._clock.now_s())
        pause_s = read_pause_s(response.status, response.headers)
        return AttemptOutcome(EndKind.COMPLETE, pause_s=pause_s)


def may_cancel(start: AttemptStart) -> bool:
    """Return whether the run of an attempt may be broken off."""
    # Entries of earlier releases tell only whether it may be repeated.
    return start.is_idempotent or start.is_cancellable


def _make_request(start: AttemptStart, timeout_s: float) -> TargetRequest:
    return TargetRequest(
        request_id=f"{start.request_id}.{start.attempt}",
        method=start.method,
        path=start.path,
        headers=tuple((h.name, h.value) for h in start.headers),
        body=start.body,
        timeout_s=max(timeout_s, 0.0),
        priority=start.priority,
        is_idempotent=start.is_idempotent,
    )


def _make_failed_outcome(failure: Failure) -> AttemptOutcome:
    kind = EndKind.BROKEN
    if failure.reason is Reason.UNAVAILABLE and failure.step is Step.TARGET_CALL:
        kind = EndKind.NOT_RUN
    return AttemptOutcome(kind, failure.reason, failure.detail)


def _is_streamed(response: TargetResponse) -> bool:
    types = (
        value for name, value in response.headers if name.lower() == CONTENT_TYPE_HEADER
    )
    return next(types, "").startswith(EVENT_STREAM_TYPE)
