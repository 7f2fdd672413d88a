"""Tests of the limits on what clients make a server keep, over loopback."""

import asyncio
import socket
import struct
import unittest

import anyio

from reedspar.serving import ServerLimits, create_server_limits
from reedspar.serving.connection import FIRST_REQUEST_S
from reedspar.serving.states import ConnectionEnd
from reedspar.serving.tests.test_server import (
    ANSWER,
    END_S,
    LONG_ANSWER_BYTES,
    LONG_UPLOAD_HEAD,
    REQUEST,
    LoopbackServer,
    ServerTestCase,
)

AHEAD = 400
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` by which a closed connection is reset."""
FEW = ServerLimits(connections=3, read_ahead_bytes=1_000_000)
LITTLE = ServerLimits(connections=100, read_ahead_bytes=24_000)
STEP_S = 0.05


class BrokenConnectionTest(ServerTestCase):
    def test_requests_of_a_client_that_has_gone_are_not_begun(self) -> None:
        # Guards against work for nobody on what was read ahead, while others wait.
        async def script(site: LoopbackServer) -> None:
            site.answer_s = 0.01
            client = site.connect()
            client.sendall(REQUEST * AHEAD)
            await anyio.sleep(10 * site.answer_s)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            client.close()
            await anyio.sleep(2 * site.answer_s)
            served = site.served
            await anyio.sleep(20 * site.answer_s)
            self.assertLessEqual(site.served, served + 2)

        self.run_server(script)

    def test_requests_sent_ahead_are_answered_in_their_order(self) -> None:
        # Guards against refusing a client that sends ahead and reads its answers.
        async def script(site: LoopbackServer) -> None:
            client = site.connect()
            sending = asyncio.create_task(_send(client, REQUEST * AHEAD))
            received = b""
            async with asyncio.timeout(END_S):
                while received.count(ANSWER) < AHEAD:
                    loop = asyncio.get_running_loop()
                    received += await loop.sock_recv(client, 1 << 16)
            await sending
            self.assertEqual(site.served, AHEAD)

        self.run_server(script)


class UploadTest(ServerTestCase):
    def test_body_that_does_not_go_on_ends_its_connection(self) -> None:
        # Guards against connections that clients hold for good with half a request.
        async def script(site: LoopbackServer) -> None:
            client = site.connect()
            client.sendall(LONG_UPLOAD_HEAD + b"x")
            self.assertEqual(await site.read_to_end(client), b"")

        self.run_server(script, idle_s=0.3)

    def test_body_that_goes_on_slowly_is_read(self) -> None:
        # Guards against a limit on slow clients that is one on the whole body.
        async def script(site: LoopbackServer) -> None:
            client = site.connect()
            head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 12\r\n\r\n"
            client.sendall(head)
            for _ in range(12):
                await anyio.sleep(2 * STEP_S)
                client.sendall(b"x")
            async with asyncio.timeout(END_S):
                answer = await asyncio.get_running_loop().sock_recv(client, 1 << 16)
            self.assertIn(b"200", answer)

        self.run_server(script, idle_s=0.4)

    def test_answer_that_takes_long_does_not_end_its_connection(self) -> None:
        async def script(site: LoopbackServer) -> None:
            site.answer_s = 0.8
            client = site.connect()
            self.assertIn(ANSWER, await site.ask(client))

        self.run_server(script, idle_s=0.3)


class ConnectionLimitTest(ServerTestCase):
    def test_quiet_connection_makes_room_for_the_next_client(self) -> None:
        # Guards against clients that open connections and send nothing, and take the
        # place of those that ask something.
        async def script(site: LoopbackServer) -> None:
            silent = [site.connect() for _ in range(FEW.connections)]
            await anyio.sleep(FIRST_REQUEST_S + STEP_S)
            self.assertIn(ANSWER, await site.ask(site.connect()))
            self.assertLessEqual(site.connections.open_count, FEW.connections)
            async with asyncio.timeout(END_S):
                ends = [asyncio.create_task(site.read_to_end(one)) for one in silent]
                done, _ = await asyncio.wait(
                    ends, return_when=asyncio.FIRST_COMPLETED, timeout=END_S
                )
                for end in ends:
                    end.cancel()
            self.assertTrue(done)

        self.run_server(script, limits=FEW)

    def test_requests_ahead_make_room_for_the_next_client(self) -> None:
        # Guards against clients that send ahead, read nothing and keep all others out.
        async def script(site: LoopbackServer) -> None:
            site.answer_s = 0.4
            for _ in range(FEW.connections):
                site.connect().sendall(REQUEST * 3)
            await anyio.sleep(STEP_S)
            self.assertIn(ANSWER, await site.ask(site.connect()))

        self.run_server(script, limits=FEW)

    def test_client_that_takes_no_last_answer_makes_room(self) -> None:
        # Guards against connections that have ended on this side, while their clients
        # keep the places by reading nothing.
        async def script(site: LoopbackServer) -> None:
            site.answer = bytes(LONG_ANSWER_BYTES)
            for _ in range(FEW.connections):
                site.connect().sendall(b"GET / HTTP/1.0\r\n\r\n")
            await anyio.sleep(FIRST_REQUEST_S + 0.2)
            for one in list(site.connections._connections):
                one.close(ConnectionEnd.LAST_ANSWER)
            site.answer = ANSWER
            self.assertIn(ANSWER, await site.ask(site.connect()))

        self.run_server(script, limits=FEW)

    def test_requests_in_progress_keep_their_connections(self) -> None:
        # Guards against answers that are cut for clients which come later.
        async def script(site: LoopbackServer) -> None:
            site.answer_s = FIRST_REQUEST_S + 0.5
            asking = [
                asyncio.create_task(site.ask(site.connect()))
                for _ in range(FEW.connections)
            ]
            await anyio.sleep(FIRST_REQUEST_S + 0.1)
            self.assertEqual(await site.read_to_end(site.connect()), b"")
            for answer in await asyncio.gather(*asking):
                self.assertIn(ANSWER, answer)

        self.run_server(script, limits=FEW)


class ReadAheadTest(ServerTestCase):
    def test_connection_furthest_ahead_is_closed(self) -> None:
        # Guards against memory that many clients use up by sending ahead, none of them
        # more than a connection may.
        async def script(site: LoopbackServer) -> None:
            site.answer_s = 0.5
            ahead = [site.connect() for _ in range(4)]
            sending = [asyncio.create_task(_send(c, REQUEST * 2000)) for c in ahead]
            await anyio.sleep(STEP_S)
            total = site.connections.read_ahead.total_bytes
            self.assertLessEqual(total, LITTLE.read_ahead_bytes)
            self.assertLess(site.connections.open_count, len(ahead))
            self.assertIn(ANSWER, await site.ask(site.connect()))
            for task in sending:
                task.cancel()

        self.run_server(script, limits=LITTLE)


class DefaultLimitsTest(unittest.TestCase):
    def test_limits_follow_from_memory_and_descriptors(self) -> None:
        limits = create_server_limits(memory_mb=300, descriptors=4100)
        self.assertEqual(limits, ServerLimits(1875, 30_000_000))
        limits = create_server_limits(memory_mb=168, descriptors=1124)
        self.assertEqual(limits, ServerLimits(693, 16_800_000))
        limits = create_server_limits(memory_mb=300, descriptors=4100, connections=7)
        self.assertEqual(limits.connections, 7)

    def test_process_without_limits_has_some(self) -> None:
        limits = create_server_limits()
        self.assertGreater(limits.connections, 0)
        self.assertLessEqual(limits.connections, 10_000)


async def _send(client: socket.socket, data: bytes) -> None:
    try:
        await asyncio.get_running_loop().sock_sendall(client, data)
    except OSError:
        # The server closes connections at its limits.
        return


if __name__ == "__main__":
    unittest.main()
