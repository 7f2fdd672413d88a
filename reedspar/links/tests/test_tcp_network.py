"""Tests of the network over real connections on the loopback interface."""

import socket
import unittest
from contextlib import AsyncExitStack

import anyio

from reedspar.attempts import AttemptAck, AttemptData
from reedspar.attempts import register_messages as register_attempts
from reedspar.errors import Reason
from reedspar.links import (
    Hello,
    LinkChange,
    LinkEvent,
    PeerAddress,
    Priority,
    Role,
    register_messages,
)
from reedspar.links.connection import FRAME_SIZE_MAX_BYTES, FrameBuffer
from reedspar.links.tcp_network import TcpNetwork, create_tcp_network
from reedspar.messages import MessageRegistry, Sender
from reedspar.settings import LinkSettings
from reedspar.supervision import UnexpectedErrors, install_unexpected_errors
from reedspar.timers import create_timer_service
from stand_ins.ports import PortAllocator

SETTINGS = LinkSettings(heartbeat_s=0.05, silence_s=0.3, dial_timeout_s=0.3)
WAIT_TIMEOUT_S = 20.0
PORTS = PortAllocator()


def find_port() -> int:
    return PORTS.allocate()


class Node:
    """A network and its timers, to be started in a task group."""

    def __init__(self, name: str, incarnation: int = 1) -> None:
        self.port = find_port()
        self.address = PeerAddress(name, "127.0.0.1", self.port)
        self.timers = create_timer_service()
        registry = MessageRegistry()
        register_messages(registry)
        register_attempts(registry)
        hello = Hello(name, Role.AGENT, "zone-a", "region-a", "127.0.0.1", self.port)
        self.network: TcpNetwork = create_tcp_network(
            hello,
            registry,
            self.timers,
            SETTINGS,
            lambda: Sender(name, incarnation, config_version=7),
        )
        self.events: list[LinkEvent] = []
        self.acks: list[tuple[Sender, AttemptAck]] = []
        self.network.on_link_event(self.events.append)
        self.network.subscribe(AttemptAck, lambda s, m: self.acks.append((s, m)))

    async def start(self, tasks) -> None:
        tasks.start_soon(self.timers.run)
        await tasks.start(self.network.run)


async def wait_until(condition) -> None:
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.01)


class FindPortTest(unittest.TestCase):
    def test_ports_of_nodes_differ(self) -> None:
        # Nodes listen on their ports later.  The kernel may return a port again that
        # was closed meanwhile, and the second node could then not listen on it.
        ports = [find_port() for _ in range(2000)]
        self.assertEqual(len(set(ports)), len(ports))


class TcpNetworkTest(unittest.TestCase):
    def run_nodes(self, scenario, *nodes: Node) -> None:
        async def main() -> None:
            async with AsyncExitStack() as stack:
                tasks = await stack.enter_async_context(anyio.create_task_group())
                for node in nodes:
                    await node.start(tasks)
                await scenario()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_messages_arrive_in_both_directions_also_large_ones(self) -> None:
        first, second = Node("agent-1"), Node("agent-2")

        async def scenario() -> None:
            first.network.set_desired_peers("test", [second.address])
            await wait_until(lambda: first.network.peers() and second.network.peers())
            ack = AttemptAck("r1", 1, 42, is_complete=False)
            self.assertIsNone(first.network.send("agent-2", ack))
            bulk = AttemptAck("r" * 300_000, 1, 0, is_complete=True)
            self.assertIsNone(second.network.send("agent-1", bulk, Priority.BULK))
            await wait_until(lambda: first.acks and second.acks)
            self.assertEqual(second.acks[0], (Sender("agent-1", 1, 7), ack))
            self.assertEqual(first.acks[0][1], bulk)

        self.run_nodes(scenario, first, second)

    def test_error_about_one_peer_leaves_the_others_linked(self) -> None:
        # Guards against an address that can't be dialled, or a handler that fails on a
        # message of one peer, ending the network and with it the daemon.
        errors = UnexpectedErrors()
        self.addCleanup(install_unexpected_errors, install_unexpected_errors(errors))
        first, second = Node("agent-1"), Node("agent-2")
        second.network.on_link_event(lambda event: [][0])
        second.network.subscribe(AttemptAck, lambda sender, message: [][0])
        second.network.subscribe(AttemptAck, lambda s, m: second.acks.append((s, m)))

        async def scenario() -> None:
            addresses = [PeerAddress("agent-3", "127.0.0.1", 80070)]
            addresses += [PeerAddress("agent-4", "a..b", 1), second.address]
            first.network.set_desired_peers("test", addresses)
            await wait_until(lambda: first.network.peers() and second.network.peers())
            ack = AttemptAck("r1", 1, 42, is_complete=False)
            self.assertIsNone(first.network.send("agent-2", ack))
            await wait_until(lambda: len(second.acks) == 2)
            await wait_until(lambda: errors.counts.get("link dial", 0) >= 3)
            self.assertEqual(first.network.peers(), ("agent-2",))

        self.run_nodes(scenario, first, second)
        self.assertEqual(errors.counts["message handler"], 1)

    def test_messages_that_share_a_frame_keep_their_order(self) -> None:
        # Tokens of many answers share a frame, with acknowledgements and ends of
        # answers in between.  If one of these overtook the tokens, the entry would see
        # a gap in the answers and request the rest again.
        first, second = Node("agent-1"), Node("agent-2")
        received: list[AttemptData | AttemptAck] = []
        sent: list[AttemptData | AttemptAck] = []
        for i in range(400):
            data = AttemptData(f"r{i % 7}", i % 3, i, bytes([i % 256]) * (i % 2000))
            sent.append(AttemptAck("r", 1, i, False) if i % 50 == 49 else data)

        async def scenario() -> None:
            second.network.subscribe(AttemptData, lambda s, m: received.append(m))
            second.network.subscribe(AttemptAck, lambda s, m: received.append(m))
            first.network.set_desired_peers("test", [second.address])
            await wait_until(lambda: first.network.peers() and second.network.peers())
            before = first.network.traffic.sent_bytes
            for message in sent:
                self.assertIsNone(first.network.send("agent-2", message))
            await wait_until(lambda: len(received) >= len(sent))
            self.assertEqual(received, sent)
            data_bytes = sum(len(m.data) for m in sent if isinstance(m, AttemptData))
            frames_bytes = first.network.traffic.sent_bytes - before
            self.assertLess(frames_bytes - data_bytes, 400 * 40)

        self.run_nodes(scenario, first, second)

    def test_send_without_link_fails(self) -> None:
        node = Node("agent-1")

        async def scenario() -> None:
            failure = node.network.send("agent-9", AttemptAck("r1", 1, 0, True))
            self.assertIs(failure.reason, Reason.UNAVAILABLE)
            self.assertEqual(failure.peer, "agent-9")

        self.run_nodes(scenario, node)

    def test_lost_connection_is_replaced(self) -> None:
        # The connection is reset on the path between the two ends.  The caller's
        # attempt continues on a new one, and the peer is not reported as down.
        first, second = Node("agent-1"), Node("agent-2")

        async def scenario() -> None:
            first.network.set_desired_peers("test", [second.address])
            await wait_until(lambda: first.events)
            for peer in first.network._peers.values():
                for connection in list(peer.connections.values()):
                    await connection.close()
            await wait_until(lambda: len(first.events) > 1 and first.network.peers())
            changes = [event.change for event in first.events]
            self.assertEqual(changes[:2], [LinkChange.UP, LinkChange.REPLACED])

        self.run_nodes(scenario, first, second)

    def test_peer_that_never_sends_hello_is_not_up(self) -> None:
        # The process is frozen: its kernel accepts connections, but sends no hello.
        node = Node("agent-1")

        async def scenario() -> None:
            with socket.create_server(("127.0.0.1", 0)) as server:
                port = server.getsockname()[1]
                node.network.set_desired_peers(
                    "test", [PeerAddress("frozen", "127.0.0.1", port)]
                )
                await anyio.sleep(0.8)
                self.assertEqual(node.events, [])
                self.assertEqual(node.network.peers(), ())

        self.run_nodes(scenario, node)

    def test_older_incarnation_is_refused(self) -> None:
        # A daemon is paused, replaced by one with the same name, and continued.  Its
        # late messages must not be attributed to its successor.
        node = Node("agent-1")
        newer, older = Node("agent-2", 5), Node("agent-2", 4)

        async def scenario() -> None:
            newer.network.set_desired_peers("test", [node.address])
            await wait_until(lambda: node.network.incarnation_of("agent-2") == 5)
            older.network.set_desired_peers("test", [node.address])
            await anyio.sleep(0.5)
            older.network.send("agent-1", AttemptAck("old", 1, 0, True))
            newer.network.send("agent-1", AttemptAck("new", 1, 0, True))
            await wait_until(lambda: node.acks)
            await anyio.sleep(0.2)
            self.assertEqual([ack.request_id for _, ack in node.acks], ["new"])

        self.run_nodes(scenario, node, newer, older)


class FrameBufferTest(unittest.TestCase):
    def test_frames_are_split_from_pieces_of_any_size(self) -> None:
        frames = [b"", b"a", b"bc" * 500]
        data = b"".join(len(f).to_bytes(4, "big") + f for f in frames)
        for size in (1, 3, 4, 5, 700, len(data)):
            buffer, received = FrameBuffer(), []
            for i in range(0, len(data), size):
                received += buffer.feed(data[i : i + size])
            self.assertEqual(received, frames)

    def test_length_above_the_limit_is_corrupt(self) -> None:
        # The stream is out of sync, for example after a corrupted length.  Reading on
        # would wait for gigabytes and misread every later frame.
        failure = FrameBuffer().feed((FRAME_SIZE_MAX_BYTES + 1).to_bytes(4, "big"))
        self.assertIs(failure.reason, Reason.CORRUPT)


if __name__ == "__main__":
    unittest.main()
