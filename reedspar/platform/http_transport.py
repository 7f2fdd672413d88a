"""A transport for many requests at once to one server, at a constant cost each.

The pool of httpx looks at every connection when a request starts and when it
ends, and polls the sockets of the idle ones: its cost grows with the number of
requests in flight.  Here each connection has a pool of its own, and idle ones
lie on a stack.
"""

from collections.abc import AsyncIterator, Awaitable, Callable

import httpx

__all__ = ["PooledTransport"]

IDLE_MAX = 64


class PooledTransport(httpx.AsyncBaseTransport):
    """Hand each request to an idle one-connection transport, or to a new one."""

    def __init__(
        self, create_transport: Callable[[], httpx.AsyncBaseTransport]
    ) -> None:
        self._create_transport = create_transport
        self._idle: list[httpx.AsyncBaseTransport] = []
        self._busy: set[httpx.AsyncBaseTransport] = set()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request; its transport is free again once the answer is closed."""
        transport = self._idle.pop() if self._idle else self._create_transport()
        self._busy.add(transport)
        try:
            response = await transport.handle_async_request(request)
        except BaseException:
            await self._release(transport)
            raise
        assert isinstance(response.stream, httpx.AsyncByteStream)
        response.stream = _ReleasingStream(
            response.stream, lambda: self._release(transport)
        )
        return response

    async def aclose(self) -> None:
        """Close every connection."""
        for transport in [*self._idle, *self._busy]:
            await transport.aclose()
        self._idle.clear()
        self._busy.clear()

    async def _release(self, transport: httpx.AsyncBaseTransport) -> None:
        if transport not in self._busy:
            return
        self._busy.discard(transport)
        if len(self._idle) < IDLE_MAX:
            self._idle.append(transport)
        else:
            await transport.aclose()


class _ReleasingStream(httpx.AsyncByteStream):
    """A body that frees its transport when it is closed."""

    def __init__(
        self, stream: httpx.AsyncByteStream, release: Callable[[], Awaitable[None]]
    ) -> None:
        self._stream = stream
        self._release = release

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for piece in self._stream:
            yield piece

    async def aclose(self) -> None:
        """Close the body, then free the transport."""
        try:
            await self._stream.aclose()
        finally:
            await self._release()
