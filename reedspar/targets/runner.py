"""Hand one attempt to the target and keep its answer as it comes."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from reedspar.attempts import (
    AttemptData,
    AttemptHead,
    AttemptStart,
    EndKind,
    Header,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.platform import Target, TargetRequest, TargetResponse
from reedspar.timers import Clock

from .table import AttemptRecord

__all__ = ["AttemptOutcome", "AttemptRunner", "RunHandle"]

UNACKNOWLEDGED_MAX_BYTES = 1024 * 1024
"""Unacknowledged body at which the target is no longer read from."""
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
"""Fields that end at each connection (RFC 9110, section 7.6.1), or that the
entry's own server sets."""


class FirstByteListener(Protocol):
    """Takes in how long a first byte took."""

    def __call__(self, latency_s: float, *, is_streamed: bool) -> None:
        """Take in the time to the first byte of an answer."""
        ...


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How a run ended."""

    kind: EndKind
    reason: Reason = Reason.UNAVAILABLE
    detail: str = ""


@dataclass
class RunHandle:
    """What others may do to a run."""

    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    acknowledged: anyio.Event = field(default_factory=anyio.Event)
    is_cancelled: bool = False

    def cancel(self) -> None:
        """Break the run off."""
        self.is_cancelled = True
        self.scope.cancel()

    def note_acknowledged(self) -> None:
        """Wake a run that waits for its window to open."""
        self.acknowledged.set()


class AttemptRunner:
    """Run attempts against one target."""

    def __init__(
        self,
        target: Target,
        clock: Clock,
        send: Callable[[str, object], object],
        accepts_digest: Callable[[str], bool],
        note_first_byte: FirstByteListener,
    ) -> None:
        self._target = target
        self._clock = clock
        self._send = send
        self._accepts_digest = accepts_digest
        self._note_first_byte = note_first_byte

    async def run(self, record: AttemptRecord, handle: RunHandle) -> AttemptOutcome:
        """Run the attempt and return how it ended."""
        start = record.start
        assert start is not None
        request = _make_request(start, record.deadline_s - self._clock.now_s())
        outcome = AttemptOutcome(EndKind.BROKEN, Reason.TIMEOUT, "deadline")
        if not start.is_idempotent:
            # Breaking off an order tells nothing of whether it was carried
            # out.  Its answer is worth having after the deadline, too.
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
            self._note_first_byte(latency_s, is_streamed=_is_streamed(response))
            digest = response.weights_digest
            if digest and not self._accepts_digest(digest):
                # The engine answers with weights that were not confirmed: it
                # restarted or was switched behind our back.  Nothing of such
                # an answer may reach the caller.
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
        async for data in response.iterate():
            if isinstance(data, Failure):
                return AttemptOutcome(EndKind.BROKEN, data.reason, data.detail)
            offset = record.length_bytes
            record.append(data)
            self._send(
                record.entry, AttemptData(key.request_id, key.attempt, offset, data)
            )
            while record.unacknowledged_bytes > UNACKNOWLEDGED_MAX_BYTES:
                handle.acknowledged = anyio.Event()
                await handle.acknowledged.wait()
        return AttemptOutcome(EndKind.COMPLETE)


def _make_request(start: AttemptStart, timeout_s: float) -> TargetRequest:
    return TargetRequest(
        request_id=f"{start.request_id}.{start.attempt}",
        method=start.method,
        path=start.path,
        headers=tuple((h.name, h.value) for h in start.headers),
        body=start.body,
        timeout_s=max(timeout_s, 0.0),
        priority=start.priority,
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
