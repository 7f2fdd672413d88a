"""Tests of clients that ask for another protocol than HTTP/1, over loopback."""

import asyncio
import unittest

from reedspar.serving.tests.test_server import (
    ANSWER,
    END_S,
    LoopbackServer,
    ServerTestCase,
)

HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(9)
UPGRADES = {
    "h2c": b"upgrade: h2c\r\nconnection: upgrade, http2-settings\r\n"
    b"http2-settings: AAMAAABkAAQAAP__\r\n",
    "websocket": b"upgrade: websocket\r\nconnection: upgrade\r\n"
    b"sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\nsec-websocket-version: 13\r\n",
}


class ProtocolTest(ServerTestCase):
    def test_http2_is_refused(self) -> None:
        # Guards against streams to which no limit on a connection's requests applies.
        async def script(site: LoopbackServer) -> None:
            client = site.connect()
            client.sendall(HTTP2_PREFACE)
            answer = await site.read_to_end(client)
            self.assertEqual(answer[:12], b"HTTP/1.1 505", answer)
            self.assertEqual(site.served, 0)

        self.run_server(script)

    def test_requests_to_upgrade_are_answered_as_any_other(self) -> None:
        # Guards against other protocols by way of a request, and against refusing a
        # request for a header that its answer may ignore.
        async def script(site: LoopbackServer) -> None:
            for name, headers in UPGRADES.items():
                with self.subTest(name):
                    client = site.connect()
                    request = b"GET / HTTP/1.1\r\nhost: x\r\n" + headers + b"\r\n"
                    client.sendall(request * 2)
                    received = b""
                    async with asyncio.timeout(END_S):
                        while received.count(ANSWER) < 2:
                            loop = asyncio.get_running_loop()
                            received += await loop.sock_recv(client, 1 << 16)
                    self.assertEqual(received.count(b"HTTP/1.1 200"), 2)

        self.run_server(script)


if __name__ == "__main__":
    unittest.main()
