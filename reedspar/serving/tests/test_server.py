"""Tests of how a server ends its connections, over loopback."""

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from unittest import mock

import anyio
from hypercorn.config import Config
from starlette.types import Receive, Scope, Send

from reedspar.serving import (
    OpenConnections,
    ServerLimits,
    connection,
    create_http_server,
)

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
UPLOAD_HEAD = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\n"
LONG_UPLOAD_HEAD = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 999999999\r\n\r\n"
ANSWER = b"whole"
ANSWER_S = 0.3
LONG_ANSWER_BYTES = 8 * 1024 * 1024
"""More than the buffers of a connection on loopback hold."""
PIECE_BYTES = 256 * 1024
END_S = 5.0
IDLE_S = 5.0
PAUSE_S = 0.1


class LoopbackServer:
    """A server in this process, and raw connections to it."""

    def __init__(
        self, address: tuple[str, int], limits: ServerLimits | None = None
    ) -> None:
        self.address = address
        self.connections = OpenConnections(limits)
        self.answer = ANSWER
        self.answer_s = 0.0
        self.body_delay_s = 0.0
        self.before_head: Callable[[], None] = lambda: None
        self.has_length = True
        self.reads_body = True
        self.served = 0
        self.stop = anyio.Event()
        self.clients: list[socket.socket] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        self.served += 1
        _, self.server_port = scope["server"]
        while self.reads_body and (await receive()).get("more_body"):
            pass
        await anyio.sleep(self.answer_s)
        before_head, self.before_head = self.before_head, lambda: None
        before_head()
        answer = self.answer
        size = str(len(answer)).encode()
        headers = [(b"content-length", size)] if self.has_length else []
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await anyio.sleep(self.body_delay_s)
        for offset in range(0, len(answer), PIECE_BYTES):
            body = answer[offset : offset + PIECE_BYTES]
            await send({"type": "http.response.body", "body": body, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    def connect(self) -> socket.socket:
        """Open a connection, which the server has not accepted yet."""
        client = socket.create_connection(self.address)
        client.setblocking(False)
        self.clients.append(client)
        return client

    async def read_to_end(self, client: socket.socket) -> bytes:
        """Return what arrives until the connection ends."""
        loop = asyncio.get_running_loop()
        received = b""
        async with asyncio.timeout(END_S):
            while data := await loop.sock_recv(client, 1 << 16):
                received += data
        return received

    async def ask(self, client: socket.socket) -> bytes:
        """Send a request on a kept connection, and return its answer."""
        client.sendall(REQUEST)
        received = b""
        async with asyncio.timeout(END_S):
            while not received.endswith(self.answer):
                loop = asyncio.get_running_loop()
                received += await loop.sock_recv(client, 1 << 16)
        return received


class ServerTestCase(unittest.TestCase):
    def run_server(
        self,
        script: Callable[[LoopbackServer], Awaitable[None]],
        grace_s: float = 2.0,
        host: str = HOST,
        limits: ServerLimits | None = None,
        idle_s: float = IDLE_S,
    ) -> None:
        async def run() -> None:
            config = Config()
            config.bind = [f"{host}:0"]
            config.graceful_timeout = grace_s
            config.keep_alive_timeout = idle_s
            sockets = config.create_sockets()
            config.create_sockets = lambda: sockets  # type: ignore[method-assign]
            address = sockets.insecure_sockets[0].getsockname()[:2]
            site = LoopbackServer(address, limits)
            server = create_http_server(
                site,  # type: ignore[arg-type]
                config,
                site.connections,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run, site.stop)
                await anyio.sleep(0)
                await script(site)
                site.stop.set()
            for client in site.clients:
                client.close()

        anyio.run(run)


class PairTest(ServerTestCase):
    def test_each_request_that_was_read_is_answered_in_a_drain(self) -> None:
        # Guards against a connection that ends with the answer to one request while
        # the next one on it has been read.
        async def script(site: LoopbackServer) -> None:
            site.connections.begin_draining()
            client = site.connect()
            client.sendall(3 * REQUEST)
            received = await site.read_to_end(client)
            self.assertEqual(received.count(ANSWER), 3)
            self.assertEqual(received.count(b"connection: close"), 1)

        self.run_server(script)

    def test_request_that_arrives_during_an_answer_is_answered(self) -> None:
        # Guards against the same for requests that are still in the kernel.
        async def script(site: LoopbackServer) -> None:
            site.answer_s = ANSWER_S
            site.connections.begin_draining()
            client = site.connect()
            client.sendall(REQUEST)
            await anyio.sleep(ANSWER_S / 2)
            client.sendall(REQUEST)
            received = await site.read_to_end(client)
            self.assertEqual(received.count(ANSWER), 2)

        self.run_server(script)

    def test_request_that_arrives_just_before_an_answer_is_answered(self) -> None:
        # Guards against the same for requests that the kernel alone knows of when the
        # head of an answer is written.
        async def script(site: LoopbackServer) -> None:
            site.connections.begin_draining()
            client = site.connect()
            site.before_head = lambda: client.sendall(REQUEST)
            client.sendall(REQUEST)
            received = await site.read_to_end(client)
            self.assertEqual(received.count(ANSWER), 2)

        self.run_server(script)

    def test_request_that_arrives_during_a_long_answer_is_answered(self) -> None:
        # Guards against connections that are announced to end with a long answer, or a
        # stream, and take away the requests that arrive while it lasts.
        for has_length in (False, True):
            with self.subTest(has_length=has_length):
                self.run_server(partial(self._ask_during_answer, has_length))

    async def _ask_during_answer(self, has_length: bool, site: LoopbackServer) -> None:
        site.has_length = has_length
        site.answer = b"x" * LONG_ANSWER_BYTES
        site.connections.begin_draining()
        client = site.connect()
        client.sendall(REQUEST)
        await anyio.sleep(PAUSE_S)
        client.sendall(REQUEST)
        loop = asyncio.get_running_loop()
        received = 0
        async with asyncio.timeout(END_S):
            while received < 2 * LONG_ANSWER_BYTES:
                data = await loop.sock_recv(client, PIECE_BYTES)
                self.assertTrue(data, "the connection has ended")
                received += len(data)


class LastAnswerTest(ServerTestCase):
    def test_last_answer_is_whole_if_its_caller_sends_more(self) -> None:
        # Guards against resets, which take away the end of an answer, when a caller
        # has sent something after the last request that its connection serves.
        async def script(site: LoopbackServer) -> None:
            site.body_delay_s = ANSWER_S
            site.connections.begin_draining()
            client = site.connect()
            client.sendall(REQUEST)
            await anyio.sleep(ANSWER_S / 2)
            client.sendall(REQUEST)
            received = await site.read_to_end(client)
            self.assertIn(b"connection: close", received)
            self.assertTrue(received.endswith(ANSWER), received)
            client.close()
            await anyio.sleep(PAUSE_S)
            labels = {"end": "last-answer", "request": "crossed"}
            self.assertEqual(site.connections.read_counts(), [(1, labels)])

        self.run_server(script)

    def test_connection_ends_if_its_application_reads_no_more(self) -> None:
        # Guards against connections that are held for ever, since the rest of a body
        # waits for an application that has answered already.
        async def script(site: LoopbackServer) -> None:
            site.reads_body = False
            client = site.connect()
            client.sendall(LONG_UPLOAD_HEAD)
            loop = asyncio.get_running_loop()
            for _ in range(30):
                await loop.sock_sendall(client, b"x" * PIECE_BYTES)
                await anyio.sleep(0.01)
            self.assertEqual(site.connections.pending_count, 0)
            self.assertIn(ANSWER, await site.read_to_end(client))
            async with asyncio.timeout(END_S):
                while site.connections.open_count:
                    await anyio.sleep(PAUSE_S)

        self.run_server(script)


class AddressTest(ServerTestCase):
    def test_server_names_host_and_port_over_ipv6(self) -> None:
        # Guards against addresses of four parts, which no application expects.
        async def script(site: LoopbackServer) -> None:
            await site.ask(site.connect())
            self.assertEqual(site.server_port, site.address[1])

        self.run_server(script, host="[::1]")


class ClosingTest(ServerTestCase):
    def test_request_that_arrives_as_its_connection_closes_is_answered(self) -> None:
        # Guards against idle connections that are closed while the kernel, or the
        # server itself, holds a request on them.
        async def script(site: LoopbackServer) -> None:
            client = site.connect()
            await site.ask(client)
            client.sendall(REQUEST)
            site.connections.close_idle()
            site.connections.begin_closing()
            self.assertEqual((await site.read_to_end(client)).count(ANSWER), 1)

        self.run_server(script)

    def test_connection_that_waits_to_be_accepted_is_served(self) -> None:
        # Guards against resets of connections that the kernel has accepted.
        async def script(site: LoopbackServer) -> None:
            site.answer_s = ANSWER_S
            clients = [site.connect() for _ in range(20)]
            for client in clients:
                client.sendall(REQUEST)
            site.connections.begin_closing()
            await anyio.sleep(ANSWER_S / 2)
            self.assertFalse(site.connections.is_closed)
            for client in clients:
                self.assertEqual((await site.read_to_end(client)).count(ANSWER), 1)
                client.close()
            await anyio.sleep(PAUSE_S)
            self.assertTrue(site.connections.is_closed)

        self.run_server(script)

    def test_requests_that_have_arrived_in_part_are_waited_for(self) -> None:
        # Guards against a server that is done while half a head, or half a body, is
        # there, or while a new connection has not sent its request yet.
        async def script(site: LoopbackServer) -> None:
            parts = [(REQUEST[:9], REQUEST[9:]), (b"", REQUEST)]
            parts.append((UPLOAD_HEAD + b"ab", b"cd"))
            limit = mock.patch.object(connection, "FIRST_REQUEST_S", END_S)
            self.enterContext(limit)
            clients = [site.connect() for _ in parts]
            for client, (first, _) in zip(clients, parts, strict=True):
                client.sendall(first)
            await anyio.sleep(PAUSE_S)
            self.assertEqual(site.connections.pending_count, len(parts) - 1)
            site.connections.begin_closing()
            await anyio.sleep(PAUSE_S)
            for client, (_, rest) in zip(clients, parts, strict=True):
                client.sendall(rest)
            for client in clients:
                self.assertEqual((await site.read_to_end(client)).count(ANSWER), 1)

        self.run_server(script)

    def test_connections_without_a_request_are_not_pending(self) -> None:
        # Guards against probes of the port that hold up a stop until its end.
        async def script(site: LoopbackServer) -> None:
            probe = site.connect()
            await anyio.sleep(PAUSE_S)
            self.assertEqual(site.connections.open_count, 1)
            self.assertEqual(site.connections.pending_count, 0)
            probe.close()

        self.run_server(script)

    def test_idle_connections_end_and_the_server_does(self) -> None:
        async def script(site: LoopbackServer) -> None:
            clients = [site.connect() for _ in range(3)]
            for client in clients:
                await site.ask(client)
            self.assertEqual(site.connections.pending_count, 0)
            self.assertEqual(site.connections.open_count, 3)
            site.connections.begin_closing()
            for client in clients:
                self.assertEqual(await site.read_to_end(client), b"")
            with self.assertRaises(ConnectionRefusedError):
                site.connect()

        self.run_server(script)
        # The connection of a peer that never asks holds up nothing.
        self.run_server(self._leave_silent)

    async def _leave_silent(self, site: LoopbackServer) -> None:
        silent = site.connect()
        await anyio.sleep(PAUSE_S)
        site.connections.begin_closing()
        self.assertEqual(await site.read_to_end(silent), b"")

    def test_server_ends_at_the_end_of_its_grace_period(self) -> None:
        # Guards against an error, and a failed process, when a request is cut.
        async def script(site: LoopbackServer) -> None:
            client = site.connect()
            client.sendall(UPLOAD_HEAD)
            await anyio.sleep(PAUSE_S)
            site.stop.set()
            self.assertEqual(await site.read_to_end(client), b"")
            await anyio.sleep(PAUSE_S)
            ended = site.connections.read_counts()
            labels = {"end": "shutdown", "request": "receiving"}
            self.assertEqual(ended, [(1, labels)])

        self.run_server(script, grace_s=0.2)


if __name__ == "__main__":
    unittest.main()
