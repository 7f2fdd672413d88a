"""Serve ASGI apps of stand-ins, with responses that end early as in a crash."""

import argparse
import signal
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

__all__ = [
    "TruncatableStream",
    "TruncatedResponse",
    "add_port_argument",
    "make_config",
    "open_server",
    "serve_ports",
    "wait_for_disconnect",
]

RESPONSE_START = "http.response.start"
RESPONSE_BODY = "http.response.body"
HOST = "127.0.0.1"
KEEP_ALIVE_TIMEOUT_S = 60.0
SHUTDOWN_GRACE_S = 0.2
LISTEN_BACKLOG = 1024
READY_POLL_INTERVAL_S = 0.01
READY_ATTEMPTS = 500
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class TruncatedResponse(Response):
    """Starts a response and closes the connection before its end."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send only the headers; the server then closes the connection."""
        headers = [(b"content-length", b"1")]
        await send(
            {"type": RESPONSE_START, "status": self.status_code, "headers": headers}
        )


class TruncatableStream(Response):
    """Streams pieces of a body; a piece of None closes the connection early."""

    def __init__(
        self,
        pieces: AsyncIterator[bytes | None],
        headers: dict[str, str],
        media_type: str,
    ) -> None:
        super().__init__(headers=headers, media_type=media_type)
        del self.headers["content-length"]
        self._pieces = pieces

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the pieces until they end or the client disconnects."""
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                await wait_for_disconnect(receive)
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            await self._send_pieces(send)
            tasks.cancel_scope.cancel()

    async def _send_pieces(self, send: Send) -> None:
        status = self.status_code
        await send(
            {"type": RESPONSE_START, "status": status, "headers": self.raw_headers}
        )
        async for piece in self._pieces:
            if piece is None:
                return
            await send({"type": RESPONSE_BODY, "body": piece, "more_body": True})
        await send({"type": RESPONSE_BODY, "body": b"", "more_body": False})


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the client disconnects."""
    while (await receive())["type"] != "http.disconnect":
        pass


def make_config(port: int) -> Config:
    """Return the Hypercorn configuration for a port."""
    config = Config()
    config.bind = [f"{HOST}:{port}"]
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.keep_alive_max_requests = 1_000_000
    config.graceful_timeout = SHUTDOWN_GRACE_S
    config.backlog = LISTEN_BACKLOG
    config.errorlog = None
    return config


def add_port_argument(parser: argparse.ArgumentParser) -> None:
    """Add `--port`, which may be repeated to run several stand-ins in one process."""
    parser.add_argument("--port", type=int, action="append", required=True)


def serve_ports(create_app: Callable[[int], Starlette], ports: list[int]) -> None:
    """Serve one app on each port until SIGINT or SIGTERM."""

    async def serve_all() -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            for port in ports:
                tasks.start_soon(serve_app, create_app(port), port, stop)
            with anyio.open_signal_receiver(*STOP_SIGNALS) as received:
                async for _ in received:
                    stop.set()
                    break

    anyio.run(serve_all)


async def serve_app(app: Starlette, port: int, stop: anyio.Event) -> None:
    """Serve one app until `stop` is set."""
    untyped_app: Any = app
    await serve(untyped_app, make_config(port), shutdown_trigger=stop.wait)


@asynccontextmanager
async def open_server(app: Starlette) -> AsyncIterator[str]:
    """Serve `app` on a free port of this process, and yield its URL."""
    with socket.create_server((HOST, 0)) as probe:
        port = probe.getsockname()[1]
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_app, app, port, stop)
        url = f"http://{HOST}:{port}"
        await _wait_until_ready(url)
        try:
            yield url
        finally:
            stop.set()


async def _wait_until_ready(url: str) -> None:
    async with httpx.AsyncClient(trust_env=False, verify=False) as client:
        for _ in range(READY_ATTEMPTS):
            try:
                await client.get(f"{url}/control/ready")
            except httpx.HTTPError:
                await anyio.sleep(READY_POLL_INTERVAL_S)
            else:
                return
    raise TimeoutError(f"{url} did not answer in time")
