"""The ASGI application for callers: which addresses to use, and their requests."""

import itertools
import logging
from collections.abc import Iterable, Sequence
from urllib.parse import unquote

import anyio
from starlette.applications import Starlette
from starlette.requests import Request as HttpRequest
from starlette.responses import JSONResponse
from starlette.routing import BaseRoute, Route
from starlette.types import Message, Receive, Scope, Send

from reedspar.attempts import Header
from reedspar.errors import Failure, Reason, Step
from reedspar.settings import RequestSettings
from reedspar.telemetry import check_invariant
from reedspar.timers import TimerService

from .addresses import order_addresses
from .endings import REQUEST_ID_HEADER, encode_refusal, make_headers, make_not_run
from .request import Answer, Outcome, Proceed, Request
from .views import ConfigurationView, EntryDirectory

__all__ = ["AsgiResponder", "RequestApplication", "RequestIds"]

POOLS_PREFIX = "/v1/pools/"
HEADERS_LEFT_OUT = frozenset(
    {
        "connection",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
CUT_SHOWING_VERSION = "1.1"
"""Under HTTP/1.0 the end of a broken stream looks like any end, and under HTTP/2
the server leaves a broken stream open for good."""
BODILESS_STATUSES = frozenset({204, 304})
logger = logging.getLogger(__name__)


class RequestIds:
    """Ids that no other request of any entry ever has.

    Callers' own ids don't do: a shop that sends one id twice would get the
    second answer mixed up with the first one's attempt at the agent.
    """

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self._prefix = f"{name}:{incarnation}:"
        self._counter = itertools.count(1)

    def make(self) -> str:
        """Return the next id."""
        return f"{self._prefix}{next(self._counter)}"


class AsgiResponder:
    """Writes one answer to one ASGI connection."""

    def __init__(self, send: Send, caller_request_id: str) -> None:
        self._send = send
        self._caller_request_id = caller_request_id
        self.is_started = False

    async def start(
        self, status: int, headers: Iterable[Header], weights_digest: str
    ) -> None:
        """Send the head of a stream."""
        fields = make_headers(
            Outcome.ANSWERED, self._caller_request_id, weights_digest, headers
        )
        await self._send_start(status, fields)

    async def send(self, data: bytes, *, is_last: bool = False) -> None:
        """Send a piece of a stream."""
        await self._send(_make_body(data, more_body=not is_last))

    async def finish(self, answer: Answer) -> None:
        """Send a whole answer, or the refusal that stands for it."""
        if answer.failure is not None:
            status, headers, body = encode_refusal(answer.outcome, answer.failure)
        else:
            status, headers, body = answer.status, list(answer.headers), answer.body
        fields = make_headers(
            answer.outcome, self._caller_request_id, answer.weights_digest, headers
        )
        if status not in BODILESS_STATUSES:
            fields.append((b"content-length", str(len(body)).encode()))
        await self._send_start(status, fields)
        await self._send(_make_body(body, more_body=False))

    async def _send_start(self, status: int, fields: list[tuple[bytes, bytes]]) -> None:
        self.is_started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": fields}
        )


def _make_body(data: bytes, *, more_body: bool) -> Message:
    return {"type": "http.response.body", "body": data, "more_body": more_body}


class RequestApplication:
    """Routes requests of callers into the filter chain, all else to starlette."""

    def __init__(
        self,
        proceed: Proceed,
        ids: RequestIds,
        timers: TimerService,
        configuration: ConfigurationView,
        entries: EntryDirectory,
        settings: RequestSettings,
        zone: str,
        extra_routes: Sequence[BaseRoute] = (),
    ) -> None:
        self._proceed = proceed
        self._ids = ids
        self._timers = timers
        self._configuration = configuration
        self._entries = entries
        self._settings = settings
        self._zone = zone
        routes = [Route("/v1/addresses", self._list_addresses), *extra_routes]
        self._router = Starlette(routes=routes)
        self._active: dict[str, anyio.CancelScope] = {}
        self._is_named = True
        self._is_admitting = True
        self.in_flight = 0

    def stop_naming(self) -> None:
        """Leave this entry out of the addresses it gives."""
        self._is_named = False

    def stop_admitting(self) -> None:
        """Refuse new requests as not run."""
        self._is_admitting = False

    def abort(self) -> None:
        """End every request in flight now, with a final answer if one fits."""
        for scope in self._active.values():
            scope.cancel()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "http" and scope["path"].startswith(POOLS_PREFIX):
            self.in_flight += 1
            try:
                await self._serve(scope, receive, send)
            finally:
                self.in_flight -= 1
        else:
            await self._router(scope, receive, send)

    async def _list_addresses(self, http_request: HttpRequest) -> JSONResponse:
        client = http_request.client
        key = http_request.headers.get("x-workspace", "")
        key += f"/{client.host}:{client.port}" if client is not None else ""
        entries = [
            entry
            for entry in self._entries.entries()
            if self._is_named or entry.name != self._ids.name
        ]
        addresses = order_addresses(
            entries, self._configuration.document, self._zone, key
        )
        ttl_s = self._settings.address_ttl_s
        document = {"addresses": addresses, "ttl_s": ttl_s}
        return JSONResponse(document, headers={"cache-control": f"max-age={ttl_s:g}"})

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = _read_headers(scope)
        header_map = {header.name: header.value for header in headers}
        request_id = self._ids.make()
        caller_request_id = header_map.get(REQUEST_ID_HEADER) or request_id
        responder = AsgiResponder(send, caller_request_id)
        arrived_s = self._timers.now_s()
        body = await _read_body(receive, self._settings.body_limit_bytes)
        if body is None:
            return
        pool, path = _split_path(scope)
        request = Request(
            request_id,
            caller_request_id,
            scope["method"],
            pool,
            path,
            headers,
            body,
            responder,
            arrived_s,
            can_show_cuts=scope.get("http_version") == CUT_SHOWING_VERSION,
        )
        await self._run(request, responder, receive)

    async def _run(
        self, request: Request, responder: AsgiResponder, receive: Receive
    ) -> None:
        """Run the chain; a caller that goes away cancels what is idempotent.

        A non-idempotent request runs on to its end: cut off half-way it would
        end as unknown, while its caller's repeat could get the first answer.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_caller, receive, request, tasks.cancel_scope)
            answer = await self._answer_bounded(request)
            tasks.cancel_scope.cancel()
            # A cancelled scope would also stop the answer's own writes.
            with anyio.CancelScope(shield=True):
                check_invariant(
                    answer.outcome is not Outcome.NOT_RUN or not request.may_have_run,
                    "not_run_is_proved",
                    request.request_id,
                )
                if not answer.is_sent:
                    await responder.finish(answer)
        # A broken stream ends here without its last piece: the server then
        # aborts the connection, and the caller sees that it was cut.

    async def _answer_bounded(self, request: Request) -> Answer:
        """Return the answer, or at an abort the truth: it may have run."""
        if not request.can_show_cuts:
            detail = "use HTTP/1.1: no other version shows here that an answer was cut"
            return make_not_run(Failure(Reason.INVALID, Step.RELAY, detail=detail))
        if not self._is_admitting:
            detail = "this entry is leaving; use another address"
            failure = Failure(
                Reason.DRAINING, Step.DRAIN, detail=detail, retry_after_s=1.0
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
            return await self._proceed(request)
        except Exception:
            logger.exception("request %s failed", request.request_id)
            detail = "internal error"
            failure = Failure(Reason.OUTCOME_UNKNOWN, Step.RELAY, detail=detail)
            started = request.responder.is_started
            return Answer(Outcome.UNKNOWN, failure=failure, is_sent=started)


async def _watch_caller(
    receive: Receive, request: Request, scope: anyio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    if request.is_idempotent:
        scope.cancel()


def _read_headers(scope: Scope) -> tuple[Header, ...]:
    decoded = (
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    )
    return tuple(
        Header(name, value) for name, value in decoded if name not in HEADERS_LEFT_OUT
    )


def _split_path(scope: Scope) -> tuple[str, str]:
    """Return the pool and the rest of the path with the query, still quoted."""
    raw_path = scope.get("raw_path") or scope["path"].encode()
    rest = raw_path.decode("latin-1").removeprefix(POOLS_PREFIX)
    pool, _, path = rest.partition("/")
    query = scope.get("query_string", b"").decode("latin-1")
    return unquote(pool), f"/{path}?{query}" if query else f"/{path}"


async def _read_body(receive: Receive, limit_bytes: int) -> bytes | None:
    """Return the body, cut off just above the limit, or None if the caller left."""
    pieces: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        piece = message.get("body", b"")
        if size_bytes <= limit_bytes:
            pieces.append(piece)
        size_bytes += len(piece)
        if not message.get("more_body", False):
            return b"".join(pieces)
