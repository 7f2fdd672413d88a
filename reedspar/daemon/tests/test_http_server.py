"""Tests of the HTTP server over loopback."""

import contextlib
import socket
import unittest

import anyio
from starlette.types import Receive, Scope, Send

from reedspar.daemon.http_server import serve_http
from reedspar.routes import CallerLimits

HOST = "127.0.0.1"
UNREAD_TIMEOUT_S = 0.5
ANSWER_BYTES = 32 * 1024 * 1024
"""More than the buffers of a connection on loopback hold."""


def find_port() -> int:
    with socket.socket() as free:
        free.bind((HOST, 0))
        return free.getsockname()[1]


class UnreadTimeoutTest(unittest.TestCase):
    def test_connection_ends_if_its_peer_takes_nothing(self) -> None:
        # Guards against a descriptor and a buffer that are held for as long as a caller
        # that reads nothing stays connected.
        async def run() -> bool:
            sent = anyio.Event()

            async def answer(scope: Scope, receive: Receive, send: Send) -> None:
                if scope["type"] != "http":
                    await receive()
                    return
                await send(
                    {"type": "http.response.start", "status": 200, "headers": []}
                )
                body = b"x" * ANSWER_BYTES
                with contextlib.suppress(OSError):
                    await send({"type": "http.response.body", "body": body})
                sent.set()

            port = find_port()
            stop = anyio.Event()
            async with anyio.create_task_group() as tasks:

                async def serve() -> None:
                    await serve_http(
                        answer,  # type: ignore[arg-type]
                        HOST,
                        port,
                        stop,
                        grace_s=0.1,
                        read_limits=lambda: CallerLimits(
                            idle_timeout_s=UNREAD_TIMEOUT_S / 2
                        ),
                        unread_margin_s=UNREAD_TIMEOUT_S / 2,
                    )

                tasks.start_soon(serve)
                await anyio.sleep(0.3)
                async with await anyio.connect_tcp(HOST, port) as stream:
                    await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                    with anyio.move_on_after(20 * UNREAD_TIMEOUT_S):
                        await sent.wait()
                stop.set()
            return sent.is_set()

        self.assertTrue(anyio.run(run))


if __name__ == "__main__":
    unittest.main()
