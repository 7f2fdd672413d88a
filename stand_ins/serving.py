"""Serve a stand-in's ASGI app, and cut answers as a dying server would."""

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
    "CutResponse",
    "CuttableStream",
    "add_port_argument",
    "make_config",
    "open_server",
    "serve_ports",
    "wait_for_disconnect",
]

START = "http.response.start"
BODY = "http.response.body"
HOST = "127.0.0.1"
KEEP_ALIVE_S = 60.0
GRACE_S = 0.2
BACKLOG = 1024
READY_POLL_S = 0.01
READY_ATTEMPTS = 500
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class CutResponse(Response):
    """Begin an answer and close the connection before its end."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the head only; the server then closes the connection."""
        headers = [(b"content-length", b"1")]
        await send({"type": START, "status": self.status_code, "headers": headers})


class CuttableStream(Response):
    """Send pieces as they come; a piece of None cuts the connection."""

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
        """Send the pieces until they end or the client has gone."""
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                await wait_for_disconnect(receive)
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            await self._send_pieces(send)
            tasks.cancel_scope.cancel()

    async def _send_pieces(self, send: Send) -> None:
        status = self.status_code
        await send({"type": START, "status": status, "headers": self.raw_headers})
        async for piece in self._pieces:
            if piece is None:
                return
            await send({"type": BODY, "body": piece, "more_body": True})
        await send({"type": BODY, "body": b"", "more_body": False})


async def wait_for_disconnect(receive: Receive) -> None:
    """Return once the client has gone."""
    while (await receive())["type"] != "http.disconnect":
        pass


def make_config(port: int) -> Config:
    """Return the server's configuration."""
    config = Config()
    config.bind = [f"{HOST}:{port}"]
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = 1_000_000
    config.graceful_timeout = GRACE_S
    config.backlog = BACKLOG
    config.errorlog = None
    return config


def add_port_argument(parser: argparse.ArgumentParser) -> None:
    """Let `--port` be given once for each stand-in that the process holds."""
    parser.add_argument("--port", type=int, action="append", required=True)


def serve_ports(create_app: Callable[[int], Starlette], ports: list[int]) -> None:
    """Serve one app for each port until the process is told to stop."""

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
        await _wait_until_served(url)
        try:
            yield url
        finally:
            stop.set()


async def _wait_until_served(url: str) -> None:
    async with httpx.AsyncClient(trust_env=False, verify=False) as client:
        for _ in range(READY_ATTEMPTS):
            try:
                await client.get(f"{url}/control/ready")
            except httpx.HTTPError:
                await anyio.sleep(READY_POLL_S)
            else:
                return
    raise TimeoutError(f"{url} does not answer")
