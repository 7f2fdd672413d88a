"""HTTP transport that ends answers without a head, or with a body that is too large.

A server in trouble may send informational responses, or a body, without end.  The
limits of the HTTP library hold for each of its events, but not for their sum.  It may
also send more than its answer: the library would read that as the next answer on the
connection, so such a connection is not used again.
"""

from collections.abc import AsyncIterator, Iterable
from contextlib import contextmanager
from typing import Any

import httpcore
import httpx

from reedspar.utils import is_final_status

__all__ = ["BoundedTransport", "UnboundedAnswerError"]

HEAD_MAX_BYTES = 128 * 1024
"""Bytes that may arrive before a final response head; single heads are smaller."""
CAUSES = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.LocalProtocolError,
    httpcore.PoolTimeout,
    httpcore.ReadError,
    httpcore.ReadTimeout,
    httpcore.RemoteProtocolError,
    httpcore.UnsupportedProtocol,
    httpcore.WriteError,
    httpcore.WriteTimeout,
)
"""Errors of `httpcore`; those of `httpx` have the same names."""


class UnboundedAnswerError(httpx.RemoteProtocolError):
    """A server has sent more than an answer may have."""


class _HeadTooLargeError(httpcore.RemoteProtocolError):
    """Raised inside `httpcore` when no head has come in `HEAD_MAX_BYTES`."""


class _CountedStream(httpcore.AsyncNetworkStream):
    """A connection that fails if too much is read before a response head."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._head_bytes = 0
        self._awaits_head = True
        self._has_surplus = False

    def record_surplus(self) -> None:
        """Have the connection closed after its answer instead of used again."""
        self._has_surplus = True

    def end_head(self) -> None:
        """Stop counting until the next request is written."""
        self._awaits_head = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read from the connection."""
        if self._awaits_head and self._head_bytes >= HEAD_MAX_BYTES:
            raise _HeadTooLargeError(f"no response head in {self._head_bytes} bytes")
        data = await self._stream.read(max_bytes, timeout)
        self._head_bytes += len(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write to the connection; what is read from then on is another answer."""
        self._head_bytes = 0
        self._awaits_head = True
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: Any,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection with TLS."""
        return _CountedStream(
            await self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection.

        An idle connection is not used again if there is something to read on it.
        """
        if info == "is_readable" and self._has_surplus:
            return True
        return self._stream.get_extra_info(info)


class _CountingBackend(httpcore.AnyIOBackend):
    """Opens connections that are counted."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect to a server."""
        return _CountedStream(
            await super().connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )


class _BoundedBody(httpx.AsyncByteStream):
    """A body that fails once it is larger than allowed."""

    def __init__(self, response: httpcore.Response, max_bytes: int | None) -> None:
        self._response = response
        self._max_bytes = max_bytes

    async def __aiter__(self) -> AsyncIterator[bytes]:
        size_bytes = 0
        with _translate_errors():
            async for piece in self._response.aiter_stream():
                size_bytes += len(piece)
                if self._max_bytes is not None and size_bytes > self._max_bytes:
                    detail = f"a body of over {self._max_bytes} bytes"
                    raise UnboundedAnswerError(detail)
                yield piece

    async def aclose(self) -> None:
        """Close the body, and its connection unless that ends with the body."""
        stream = self._response.extensions.get("network_stream")
        if isinstance(stream, _CountedStream) and _has_surplus(self._response):
            stream.record_surplus()
        await self._response.aclose()


class BoundedTransport(httpx.AsyncBaseTransport):
    """Sends requests through a connection pool, and bounds what comes back.

    `body_max_bytes` is the largest body, None for any; heads are bounded always.
    """

    def __init__(
        self, *, body_max_bytes: int | None = None, **pool_options: Any
    ) -> None:
        self._body_max_bytes = body_max_bytes
        self._pool = httpcore.AsyncConnectionPool(
            network_backend=_CountingBackend(), **pool_options
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request; raises `UnboundedAnswerError` for a head without end.

        Raises `RemoteProtocolError` for a status that no final answer has.
        """
        with _translate_errors():
            response = await self._pool.handle_async_request(
                httpcore.Request(
                    request.method,
                    httpcore.URL(
                        scheme=request.url.raw_scheme,
                        host=request.url.raw_host,
                        port=request.url.port,
                        target=request.url.raw_path,
                    ),
                    headers=request.headers.raw,
                    content=request.stream,
                    extensions=request.extensions,
                )
            )
        stream = response.extensions.get("network_stream")
        if isinstance(stream, _CountedStream):
            stream.end_head()
        if not is_final_status(response.status):
            await response.aclose()
            detail = f"status {response.status} of a final answer"
            raise httpx.RemoteProtocolError(detail)
        return httpx.Response(
            response.status,
            headers=response.headers,
            stream=_BoundedBody(response, self._body_max_bytes),
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()


def _has_surplus(response: httpcore.Response) -> bool:
    """Return whether bytes behind an answer were read with it.

    The library keeps them for the next answer and has no public access to them.
    """
    stream: Any = response.stream
    data, _ = stream._stream._connection._h11_state.trailing_data
    return bool(data)


@contextmanager
def _translate_errors() -> Any:
    """Raise errors of `httpcore` as those of `httpx`."""
    try:
        yield
    except _HeadTooLargeError as error:
        raise UnboundedAnswerError(str(error)) from error
    except CAUSES as error:
        name = next(kind.__name__ for kind in CAUSES if isinstance(error, kind))
        raise getattr(httpx, name)(str(error)) from error
