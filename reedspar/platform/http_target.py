"""Targets over HTTP: plain services, and model engines.

The engine's interface is that of common completion servers, with additional
``x-request-id``, ``x-priority`` and ``x-weights-digest`` headers.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpx
from pydantic import TypeAdapter, ValidationError

from reedspar.errors import Failure, Reason, Step

from .http_client import (
    IDENTITY_ENCODING_HEADERS,
    HttpAdapter,
    create_client_with_transport,
    create_unbounded_transport,
    failure_of_read,
    failure_of_status,
    failure_of_write,
)
from .http_response import CONNECTION_HEADERS, HttpTargetResponse
from .http_transport import FRESH_CONNECTION
from .models import EngineState, LoadOrder, TargetRequest
from .monotonic_reader import MonotonicReader
from .protocols import TargetResponse

__all__ = [
    "HttpModelEngine",
    "HttpPlainService",
    "create_http_model_engine",
    "create_http_plain_service",
]

LOAD_TIMEOUT_S = 120.0
CONNECT_TIMEOUT_S = 2.0
_REQUEST_EXTENSIONS = {
    "timeout": {"connect": CONNECT_TIMEOUT_S, "read": None, "write": None, "pool": None}
}
_ORDER_EXTENSIONS = _REQUEST_EXTENSIONS | {FRESH_CONNECTION: True}
"""A target may close a kept connection while a request is on its way there."""
_STATE = TypeAdapter(EngineState)
_LOAD_ORDER = TypeAdapter(LoadOrder)


class HttpPlainService(HttpAdapter):
    """Sends requests to a plain service (see `Target`)."""

    _ends_streams_with_done = False

    def __init__(
        self, client: httpx.AsyncClient, transport: httpx.AsyncBaseTransport
    ) -> None:
        super().__init__(client)
        self._transport = transport
        self._base_url = str(client.base_url).rstrip("/")
        self._state_request = client.build_request("GET", "/state")
        self._state_reader = MonotonicReader(self._read_state)

    async def read_state(self) -> EngineState | Failure:
        """Return the target's report, never one older than a report returned before."""
        return await self._state_reader.read()

    @asynccontextmanager
    async def send(
        self, request: TargetRequest
    ) -> AsyncIterator[TargetResponse | Failure]:
        """Send a request; fails with `UNAVAILABLE` only if nothing was sent."""
        deadline_s = anyio.current_time() + request.timeout_s
        answer = await self._open(request)
        if isinstance(answer, Failure):
            yield answer
            return
        try:
            yield HttpTargetResponse(
                answer,
                self._peer,
                deadline_s,
                must_end_with_done=self._ends_streams_with_done,
            )
        finally:
            with anyio.CancelScope(shield=True):
                await answer.aclose()

    async def cancel(self, request_id: str) -> Failure | None:
        """Return `NOT_FOUND`: a plain service always finishes a started request."""
        detail = f"{request_id}: plain services take no cancellation"
        return Failure(Reason.NOT_FOUND, Step.TARGET_CALL, self._peer, detail)

    async def _open(self, request: TargetRequest) -> httpx.Response | Failure:
        """Send the request through the transport, without the client.

        The client would cost more than the rest of the call.  It also stores
        cookies, and would send those of one caller with the next caller's request.
        """
        outgoing = httpx.Request(
            request.method,
            self._base_url + request.path,
            headers=make_headers(request),
            content=request.body,
            extensions=(
                _REQUEST_EXTENSIONS if request.is_idempotent else _ORDER_EXTENSIONS
            ),
        )
        try:
            with anyio.fail_after(request.timeout_s):
                response = await self._transport.handle_async_request(outgoing)
        except (httpx.HTTPError, TimeoutError) as error:
            return failure_of_write(error, Step.TARGET_CALL, self._peer)
        response.request = outgoing
        return response

    async def _read_state(self) -> EngineState | Failure:
        """Request the target's report."""
        step = Step.TARGET_CALL
        try:
            response = await self._transport.handle_async_request(self._state_request)
        except httpx.HTTPError as error:
            return failure_of_read(error, step, self._peer)
        try:
            await response.aread()
        except httpx.HTTPError as error:
            return failure_of_read(error, step, self._peer)
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()
        if response.status_code != httpx.codes.OK:
            return failure_of_status(response, step, self._peer)
        try:
            return _STATE.validate_json(response.content)
        except ValidationError as error:
            detail = str(error).splitlines()[0]
            return Failure(Reason.CORRUPT, step, self._peer, detail)


class HttpModelEngine(HttpPlainService):
    """Sends requests and weights to a model engine (see `ModelEngine`)."""

    _ends_streams_with_done = True

    async def cancel(self, request_id: str) -> Failure | None:
        """Ask the engine to stop working on a request."""
        return await self._call("POST", f"/v1/cancel/{request_id}", Step.TARGET_CALL)

    async def stage_chunk(
        self, root_digest: str, index: int, data: bytes
    ) -> Failure | None:
        """Send one verified chunk of a version."""
        return await self._call("POST", f"/stage/{root_digest}/{index}", data=data)

    async def drop_staged(self, root_digest: str) -> Failure | None:
        """Discard the staged chunks of a version that will not be loaded."""
        return await self._call("DELETE", f"/stage/{root_digest}")

    async def load(self, order: LoadOrder) -> Failure | None:
        """Order a load; fails with `FENCED` if a newer fencing number was seen.

        Returns when the engine has finished; `read_state` returns what it loaded.
        """
        failure = await self._call(
            "POST", "/load", data=_LOAD_ORDER.dump_json(order), timeout_s=LOAD_TIMEOUT_S
        )
        if failure is not None and failure.reason is Reason.CONFLICT:
            return Failure(Reason.FENCED, Step.LOAD, self._peer, failure.detail)
        return failure

    async def _call(
        self,
        method: str,
        path: str,
        step: Step = Step.LOAD,
        *,
        data: bytes = b"",
        timeout_s: float | None = None,
    ) -> Failure | None:
        timeout = timeout_s if timeout_s is not None else self._client.timeout
        try:
            response = await self._client.request(
                method, path, content=data, timeout=timeout
            )
        except httpx.HTTPError as error:
            return failure_of_write(error, step, self._peer)
        if response.is_success:
            return None
        return failure_of_status(response, step, self._peer)


def make_headers(request: TargetRequest) -> list[tuple[str, str]]:
    """Return the caller's headers without hop-by-hop ones, plus reedspar's own."""
    headers = [
        (name, value)
        for name, value in request.headers
        if name.lower() not in CONNECTION_HEADERS
        and name.lower() not in {"x-request-id", "x-priority", "accept-encoding"}
    ]
    headers.extend(IDENTITY_ENCODING_HEADERS.items())
    headers.append(("x-request-id", request.request_id))
    headers.append(("x-priority", str(request.priority)))
    return headers


def create_http_plain_service(url: str, *, timeout_s: float = 5.0) -> HttpPlainService:
    """Create an adapter; `timeout_s` bounds calls other than requests."""
    transport = create_unbounded_transport(url)
    return HttpPlainService(
        create_client_with_transport(url, timeout_s, transport), transport
    )


def create_http_model_engine(url: str, *, timeout_s: float = 5.0) -> HttpModelEngine:
    """Create an adapter; `timeout_s` bounds calls other than requests and loads."""
    transport = create_unbounded_transport(url)
    return HttpModelEngine(
        create_client_with_transport(url, timeout_s, transport), transport
    )
