"""An HTTP transport whose cost per request does not grow with concurrency.

The connection pool of httpx iterates over all connections when a request starts
and when it ends, and polls the sockets of idle ones, so its cost grows with the
number of requests in flight.  Here each connection has an httpx pool of its own,
and idle ones are kept in a last-in, first-out list.
"""

from collections.abc import AsyncIterator, Awaitable, Callable

import httpx

__all__ = ["FRESH_CONNECTION", "PooledTransport"]

IDLE_CONNECTIONS_MAX = 64
FRESH_CONNECTION = "reedspar.fresh_connection"
"""Extension of a request that must not share its connection with any other."""


class PooledTransport(httpx.AsyncBaseTransport):
    """Sends each request on an idle single-connection transport or a new one."""

    def __init__(
        self, create_transport: Callable[[], httpx.AsyncBaseTransport]
    ) -> None:
        self._create_transport = create_transport
        self._idle: list[httpx.AsyncBaseTransport] = []
        self._busy: set[httpx.AsyncBaseTransport] = set()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request; its transport is reused once the response is closed.

        One that must have a connection of its own gets a new transport, which is closed
        after it.
        """
        is_fresh = FRESH_CONNECTION in request.extensions
        may_reuse = bool(self._idle) and not is_fresh
        transport = self._idle.pop() if may_reuse else self._create_transport()
        self._busy.add(transport)
        try:
            response = await transport.handle_async_request(request)
        except BaseException:
            await self._release(transport, is_kept=not is_fresh)
            raise
        assert isinstance(response.stream, httpx.AsyncByteStream)
        response.stream = _ReleasingStream(
            response.stream, lambda: self._release(transport, is_kept=not is_fresh)
        )
        return response

    async def aclose(self) -> None:
        """Close every connection."""
        for transport in [*self._idle, *self._busy]:
            await transport.aclose()
        self._idle.clear()
        self._busy.clear()

    async def _release(
        self, transport: httpx.AsyncBaseTransport, *, is_kept: bool
    ) -> None:
        if transport not in self._busy:
            return
        self._busy.discard(transport)
        if is_kept and len(self._idle) < IDLE_CONNECTIONS_MAX:
            self._idle.append(transport)
        else:
            await transport.aclose()


class _ReleasingStream(httpx.AsyncByteStream):
    """A response body that releases its transport when it is closed."""

    def __init__(
        self, stream: httpx.AsyncByteStream, release: Callable[[], Awaitable[None]]
    ) -> None:
        self._stream = stream
        self._release = release

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for piece in self._stream:
            yield piece

    async def aclose(self) -> None:
        """Close the body, then release the transport."""
        try:
            await self._stream.aclose()
        finally:
            await self._release()
