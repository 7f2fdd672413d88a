"""ASGI application that runs callers' requests through the filter chain."""

import itertools
import logging
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager

import anyio
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from reedspar.attempts import Header
from reedspar.errors import Failure, Reason, Step
from reedspar.serving import REQUESTS_AHEAD_KEY
from reedspar.telemetry import check_invariant
from reedspar.timers import TimerService

from .answer_buffers import (
    AnswerBuffers,
    GiveUpLimit,
    RequestHold,
    create_free_hold,
)
from .caller_adapter import CallerAdapter
from .cut_log import CutLog
from .outcome_encoding import make_not_run
from .request import Answer, Outcome, Proceed, Request
from .uploads import BodyEnd, BodyLimit, Upload

__all__ = ["AsgiResponder", "RequestApplication", "RequestIdGenerator"]

TRUNCATION_SIGNALLING_VERSION = "1.1"
"""The only HTTP version under which a caller sees that an answer was truncated.

Under HTTP/1.0, closing the connection is the normal end of an answer; under
HTTP/2, the server never closes a broken stream."""
BODILESS_STATUSES = frozenset({204, 304})
SEND_PIECE_BYTES = 32 * 1024
"""Size of the pieces of a long answer, which show whether its caller reads it."""
MEMORY_RETRY_AFTER_S = 0.5
"""Retry delay while the daemon holds too much: slow readers free some of it by then."""
UPLOAD_RETRY_AFTER_S = 0.1
"""Retry delay after an upload for which an entry had no time: others take it now."""
logger = logging.getLogger(__name__)


class RequestIdGenerator:
    """Generates request ids that are unique across all entries and restarts.

    Ids from callers can't be used: if a caller sent the same id twice, the agent
    would take both requests for the same attempt and mix up their answers.
    """

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self._prefix = f"{name}:{incarnation}:"
        self._counter = itertools.count(1)

    def make(self) -> str:
        """Return a new id."""
        return f"{self._prefix}{next(self._counter)}"


class AsgiResponder:
    """Writes the answer of one request to its ASGI connection."""

    def __init__(
        self,
        send: Send,
        adapter: CallerAdapter,
        timers: TimerService,
        hold: RequestHold | None = None,
    ) -> None:
        self._send = send
        self._timers = timers
        self._hold = hold or create_free_hold()
        self._adapter = adapter
        self.caller_request_id = ""
        self.is_started = False
        self.sent_bytes = 0
        """Size of the parts of the body that were sent."""

    async def start(
        self, status: int, headers: Iterable[Header], weights_digest: str
    ) -> None:
        """Send the status and headers of a stream."""
        fields = self._adapter.make_headers(
            Outcome.ANSWERED, self.caller_request_id, weights_digest, headers
        )
        await self._send_start(status, fields)

    async def send(self, data: bytes, *, is_last: bool = False) -> None:
        """Send a piece of a stream."""
        await self._deliver(_make_body(data, more_body=not is_last), len(data))

    async def finish(
        self,
        request: Request,
        answer: Answer,
        before_end: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Send a complete answer, or the refusal in its place.

        `before_end` is awaited once all bytes are sent; a connection without a whole
        request closes with the end of its answer.
        """
        if answer.failure is not None:
            status, headers, body = self._adapter.encode_refusal(request, answer)
        else:
            status, headers, body = answer.status, list(answer.headers), answer.body
        fields = self._adapter.make_headers(
            answer.outcome, self.caller_request_id, answer.weights_digest, headers
        )
        if self._hold.ends_connection:
            fields.append((b"connection", b"close"))
        if status not in BODILESS_STATUSES:
            fields.append((b"content-length", str(len(body)).encode()))
        await self._send_start(status, fields)
        for offset in range(0, len(body) or 1, SEND_PIECE_BYTES):
            end = offset + SEND_PIECE_BYTES
            more_body = end < len(body) or before_end is not None
            message = _make_body(body[offset:end], more_body=more_body)
            await self._deliver(message, len(body) - offset)
        if before_end is not None:
            await before_end()
            await self._send(_make_body(b"", more_body=False))

    async def _deliver(self, message: Message, held_bytes: int) -> None:
        """Send a part of the body; count it as held until the caller takes it.

        If the send is cancelled, the bytes stay on the connection, so they count until
        the end of the request.
        """
        self._hold.begin_send(held_bytes, self._timers.now_s())
        try:
            await self._send(message)
        except OSError:
            # The connection ended since its peer took nothing for too long.
            self._hold.give_up(GiveUpLimit.IDLE)
        else:
            self._hold.end_send()
            self.sent_bytes += len(message["body"])

    async def _send_start(self, status: int, fields: list[tuple[bytes, bytes]]) -> None:
        self.is_started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": fields}
        )


def _make_body(data: bytes, *, more_body: bool) -> Message:
    return {"type": "http.response.body", "body": data, "more_body": more_body}


class RequestApplication:
    """Passes callers' requests to the filter chain, and all else to `fallback`."""

    def __init__(
        self,
        run_filters: Proceed,
        adapter: CallerAdapter,
        ids: RequestIdGenerator,
        timers: TimerService,
        body_limit: BodyLimit,
        fallback: ASGIApp,
        buffers: AnswerBuffers | None = None,
        cut_log: CutLog | None = None,
    ) -> None:
        self._cut_log = cut_log
        self._run_filters = run_filters
        self._adapter = adapter
        self._ids = ids
        self._timers = timers
        self._body_limit = body_limit
        self._fallback = fallback
        self._buffers = buffers or AnswerBuffers()
        self._active: dict[str, anyio.CancelScope] = {}
        self._uploads: set[anyio.CancelScope] = set()
        self.in_flight = 0

    def abort(self) -> None:
        """End all requests in flight now, with a final answer where possible."""
        for scope in [*self._active.values(), *self._uploads]:
            scope.cancel()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "http" and self._adapter.accepts(scope):
            self.in_flight += 1
            hold = self._buffers.open_hold()
            try:
                await self._serve(scope, receive, send, hold)
            finally:
                hold.close()
                self.in_flight -= 1
        else:
            await self._fallback(scope, receive, send)

    async def _serve(
        self, scope: Scope, receive: Receive, send: Send, hold: RequestHold
    ) -> None:
        responder = AsgiResponder(send, self._adapter, self._timers, hold)
        arrived_s = self._timers.now_s()
        upload = Upload(scope, receive, self._body_limit, hold)
        body: bytes | BodyEnd = b""
        with self._bound_upload() as uploading:
            body = await upload.read()
        if body is BodyEnd.DISCONNECTED:
            return
        if _has_requests_ahead(scope):
            hold.refuse_in_crowd()
        received = body if isinstance(body, bytes) else b""
        request = self._adapter.read(scope, received, arrived_s, responder)
        request.request_id = self._ids.make()
        request.caller_request_id = request.caller_request_id or request.request_id
        request.can_signal_truncation = (
            scope.get("http_version") == TRUNCATION_SIGNALLING_VERSION
        )
        responder.caller_request_id = request.caller_request_id
        request.hold = hold
        hold.caller_request_id = request.caller_request_id
        if uploading.cancelled_caught:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(upload.discard)
                await responder.finish(request, _refuse_upload())
                tasks.cancel_scope.cancel()
        elif body is BodyEnd.TOO_LARGE:
            await self._refuse_oversized(request, responder, upload)
        else:
            await self._run(request, responder, receive)

    @contextmanager
    def _bound_upload(self) -> Iterator[anyio.CancelScope]:
        """End what reads a body when the requests in flight are aborted."""
        with anyio.CancelScope() as scope:
            self._uploads.add(scope)
            try:
                yield scope
            finally:
                self._uploads.discard(scope)

    async def _refuse_oversized(
        self, request: Request, responder: AsgiResponder, upload: Upload
    ) -> None:
        """Refuse a body at once, and let its caller end sending it."""
        failure = self._body_limit.refuse()
        extra = {"request": request.caller_request_id, "refusal": str(failure)}
        logger.info("body refused", extra=extra)

        async def discard() -> None:
            with self._bound_upload():
                await upload.discard()

        await responder.finish(request, make_not_run(failure), discard)

    async def _run(
        self, request: Request, responder: AsgiResponder, receive: Receive
    ) -> None:
        """Run the filter chain; end it on disconnect unless its result is needed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_end_on_disconnect, receive, request, tasks.cancel_scope)
            answer = await self._answer_until_abort(request)
            if self._cut_log is not None:
                self._cut_log.record(request, answer, responder.sent_bytes)
            tasks.cancel_scope.cancel()
            # Without the shield, cancellation would also stop the answer's writes.
            with anyio.CancelScope(shield=True) as sending:
                request.hold.on_given_up = sending.cancel
                check_invariant(
                    answer.outcome is not Outcome.NOT_RUN or not request.may_have_run,
                    "not_run_is_proved",
                    request.request_id,
                )
                if not answer.is_sent:
                    await responder.finish(request, answer)
        # For a broken stream, the final body message is never sent: the server
        # then aborts the connection, and the caller sees the truncation.

    async def _answer_until_abort(self, request: Request) -> Answer:
        """Return the answer, or an unknown outcome if the request was aborted."""
        if not request.can_signal_truncation:
            detail = "use HTTP/1.1: no other version shows here that an answer was cut"
            return make_not_run(Failure(Reason.INVALID, Step.RELAY, detail=detail))
        if request.hold.is_refused:
            detail = "this entry holds too much for callers that read slowly"
            failure = Failure(
                Reason.OVERLOADED,
                Step.ADMIT,
                detail=detail,
                retry_after_s=MEMORY_RETRY_AFTER_S,
            )
            return make_not_run(failure)
        with anyio.CancelScope() as scope:
            self._active[request.request_id] = scope
            try:
                return await self._answer(request)
            finally:
                del self._active[request.request_id]
        detail = "this entry had to stop before the answer was whole"
        failure = Failure(Reason.DRAINING, Step.DRAIN, detail=detail)
        is_started = request.responder.is_started
        return Answer(Outcome.UNKNOWN, failure=failure, is_sent=is_started)

    async def _answer(self, request: Request) -> Answer:
        try:
            return await self._run_filters(request)
        except Exception:
            logger.exception("request %s failed", request.request_id)
            detail = "internal error"
            failure = Failure(Reason.OUTCOME_UNKNOWN, Step.RELAY, detail=detail)
            started = request.responder.is_started
            return Answer(Outcome.UNKNOWN, failure=failure, is_sent=started)


def _has_requests_ahead(scope: Scope) -> bool:
    """Return whether the client has sent further requests behind this one."""
    has_requests_ahead = scope.get("state", {}).get(REQUESTS_AHEAD_KEY)
    return has_requests_ahead is not None and has_requests_ahead()


def _refuse_upload() -> Answer:
    """Return the answer to a request whose body has not arrived in time."""
    detail = "this entry had to stop before the request had arrived"
    failure = Failure(
        Reason.DRAINING, Step.DRAIN, detail=detail, retry_after_s=UPLOAD_RETRY_AFTER_S
    )
    return make_not_run(failure)


async def _end_on_disconnect(
    receive: Receive, request: Request, scope: anyio.CancelScope
) -> None:
    """Cancel a request whose result nobody gets, unless breaking it off does harm."""
    while (await receive())["type"] != "http.disconnect":
        pass
    if request.idempotency_key:
        return
    request.is_abandoned = True
    if request.is_cancellable or not request.may_have_run:
        scope.cancel()
