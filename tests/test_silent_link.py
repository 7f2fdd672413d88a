"""Tests of attempts while a relay injects faults between entry and agent."""

import unittest
from contextlib import AsyncExitStack

import anyio

from reedspar.attempts import AttemptStart
from reedspar.links import PeerAddress
from reedspar.links.tests.test_tcp_network import Node, find_port, wait_until
from reedspar.requests.assembly import Verdict
from reedspar.requests.attempt_client import OpenAttempt, create_attempt_client
from reedspar.targets import create_target_controller
from reedspar.targets.tests.fakes import (
    FakeOffers,
    FakeTarget,
    make_settings,
    make_start,
)
from stand_ins.relay import Relay, RelayRule, RelayRules

COMPLETE_ANSWER = b"begin end"
SILENT = RelayRule(silent=True)


class SilentLinkTest(unittest.TestCase):
    def run_scenario(self, scenario) -> None:
        async def main() -> None:
            self.entry, self.agent = Node("entry-1"), Node("agent-1")
            relay_port = find_port()
            self.relay = Relay(relay_port, self.agent.port)
            self.target = FakeTarget()
            async with AsyncExitStack() as stack:
                tasks = await stack.enter_async_context(anyio.create_task_group())
                tasks.start_soon(self.relay.run)
                await self.agent.start(tasks)
                await self.entry.start(tasks)
                self.client = create_attempt_client(
                    self.entry.network, self.entry.timers
                )
                create_target_controller(
                    make_settings(),
                    1,
                    self.agent.network,
                    self.agent.timers,
                    self.target,
                    FakeOffers(),
                    lambda: None,
                    tasks.start_soon,
                )
                address = PeerAddress("agent-1", "127.0.0.1", relay_port)
                self.entry.network.set_desired_peers("test", [address])
                await wait_until(lambda: self.entry.network.peers())
                await anyio.sleep(0.4)
                await scenario()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def start_attempt(self) -> OpenAttempt:
        start: AttemptStart = make_start("r1", is_idempotent=False, timeout_s=60.0)
        attempt = self.client.open("agent-1", start)
        assert isinstance(attempt, OpenAttempt)
        await wait_until(lambda: self.target.in_flight)
        return attempt

    async def expect_complete_answer(self, attempt: OpenAttempt) -> None:
        await wait_until(lambda: not attempt.assembly.is_open)
        self.assertIs(attempt.assembly.verdict, Verdict.COMPLETE)
        self.assertEqual(attempt.assembly.read_available(), COMPLETE_ANSWER)
        self.assertEqual(self.target.runs, ["r1.1"])

    def test_attempt_resumes_after_silence_in_both_directions(self) -> None:
        # A device between entry and agent drops all packets of the open connection
        # during an answer; new connections work.  The caller must get the complete
        # answer, and the order must run once.
        async def scenario() -> None:
            attempt = await self.start_attempt()
            self.relay.set_rules(
                RelayRules(to_server=SILENT, to_client=SILENT, only_open=True)
            )
            self.target.release.set()
            await self.expect_complete_answer(attempt)

        self.run_scenario(scenario)

    def test_attempt_resumes_after_silence_towards_the_agent(self) -> None:
        # The entry still receives from the agent, so it can't detect the fault alone.
        async def scenario() -> None:
            attempt = await self.start_attempt()
            self.relay.set_rules(RelayRules(to_server=SILENT, only_open=True))
            await wait_until(lambda: len(self.entry.events) > 1)
            self.target.release.set()
            await self.expect_complete_answer(attempt)

        self.run_scenario(scenario)

    def test_attempt_resumes_after_connection_reset(self) -> None:
        async def scenario() -> None:
            attempt = await self.start_attempt()
            self.relay.cut_all()
            self.target.release.set()
            await self.expect_complete_answer(attempt)

        self.run_scenario(scenario)

    def test_attempt_resumes_after_corrupt_frames(self) -> None:
        # The open connection corrupts bytes.  No corrupt byte may reach the caller;
        # the attempt must be resumed on a new connection.
        async def scenario() -> None:
            attempt = await self.start_attempt()
            corrupting = RelayRule(corrupt_share=1.0)
            self.relay.set_rules(RelayRules(to_client=corrupting, only_open=True))
            self.target.release.set()
            await self.expect_complete_answer(attempt)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
