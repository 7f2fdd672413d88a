"""Tests of the relay."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import anyio
from anyio.abc import SocketAttribute, SocketStream

from stand_ins.ports import PortAllocator
from stand_ins.relay import Relay, RelayRule, RelayRules

SILENT = RelayRule(silent=True)


@asynccontextmanager
async def open_echo(relay_port: int) -> AsyncIterator[Relay]:
    """Run an echo server behind a relay."""

    async def echo(stream: SocketStream) -> None:
        async with stream:
            with suppress(anyio.BrokenResourceError):
                async for piece in stream:
                    await stream.send(piece)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        relay = Relay(relay_port, listener.extra(SocketAttribute.local_port))
        tasks.start_soon(listener.serve, echo)
        tasks.start_soon(relay.run)
        await anyio.wait_all_tasks_blocked()
        yield relay
        tasks.cancel_scope.cancel()


async def exchange(stream: SocketStream) -> bytes:
    await stream.send(b"ping")
    return await stream.receive()


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_cut_connection_is_reset_and_new_ones_work(self) -> None:
        port = PortAllocator().allocate()
        async with open_echo(port) as relay:
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                self.assertEqual(await exchange(stream), b"ping")
                self.assertEqual(relay.cut_all(), 1)
                with self.assertRaises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.receive()
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                self.assertEqual(await exchange(stream), b"ping")

    async def test_silent_connection_stays_open_while_new_ones_work(self) -> None:
        # A device between two daemons drops all packets of a connection: neither
        # end sees it close, and only new connections work.
        port = PortAllocator().allocate()
        async with open_echo(port) as relay:
            old = await anyio.connect_tcp("127.0.0.1", port)
            self.assertEqual(await exchange(old), b"ping")
            rules = RelayRules(to_server=SILENT, to_client=SILENT, only_open=True)
            relay.set_rules(rules)
            with anyio.move_on_after(0.2) as scope:
                await exchange(old)
            self.assertTrue(scope.cancelled_caught)
            async with await anyio.connect_tcp("127.0.0.1", port) as new:
                self.assertEqual(await exchange(new), b"ping")
            await old.aclose()

    async def test_corrupting_rule_changes_bytes(self) -> None:
        port = PortAllocator().allocate()
        async with open_echo(port) as relay:
            relay.set_rules(RelayRules(to_client=RelayRule(corrupt_share=1.0)))
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                corrupted = await exchange(stream)
        self.assertEqual(len(corrupted), 4)
        self.assertNotEqual(corrupted, b"ping")
