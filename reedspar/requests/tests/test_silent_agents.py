"""Tests of requests whose agent is silent while it answers, in virtual time."""

import unittest
from collections.abc import Callable
from typing import Any

import anyio
import httpx

from reedspar.attempts import AttemptCancel, AttemptStart
from reedspar.errors import Reason
from reedspar.links import LinkChange, LinkEvent
from reedspar.requests.tests.fakes import (
    FakeNetwork,
    make_answer,
    make_report,
    make_service,
)
from reedspar.requests.tests.virtual_time import create_loop_timers, run_virtual

REPORT_INTERVAL_S = 1.0
ANSWER_S = 8.0
"""Longer than the silence after which another target is tried, and a wait for one."""


class SilentAgentTest(unittest.TestCase):
    def call(
        self, answer_s: dict[str, float], at_start: Callable[[FakeNetwork], None]
    ) -> tuple[httpx.Response, float]:
        """Send a read, and return its answer and how long that took.

        `answer_s` tells when each target answers; `at_start` is called when the first
        attempt is handed over.
        """

        async def run() -> tuple[httpx.Response, float]:
            network, timers = FakeNetwork(), create_loop_timers()
            self.network = network
            service = make_service(network, timers)
            async with anyio.create_task_group() as tasks:

                async def report() -> None:
                    for sequence in range(1, 99):
                        for name in answer_s:
                            network.deliver(name, make_report(name, sequence=sequence))
                        await anyio.sleep(REPORT_INTERVAL_S)

                async def answer(peer: str, start: AttemptStart) -> None:
                    await anyio.sleep(answer_s[peer])
                    network.deliver(peer, *make_answer(start, peer.encode()))

                def on_send(peer: str, message: Any) -> None:
                    if isinstance(message, AttemptStart):
                        if len(network.sent_of(AttemptStart)) == 1:
                            at_start(network)
                        tasks.start_soon(answer, peer, message)

                network.on_send = on_send
                tasks.start_soon(timers.run)
                tasks.start_soon(report)
                await anyio.sleep(0.1)
                transport = httpx.ASGITransport(app=service.application)
                async with httpx.AsyncClient(
                    transport=transport, base_url="http://e", timeout=None
                ) as client:
                    response = await client.get(
                        "/v1/pools/orders/o", headers={"x-workspace": "shop"}
                    )
                took_s = anyio.current_time() - 0.1
                tasks.cancel_scope.cancel()
            return response, took_s

        return run_virtual(run)

    def test_answer_of_the_only_agent_is_waited_for(self) -> None:
        # Guards against requests that end as unknown while no other target can run
        # them, though their agent answers after all.
        def lose_link(network: FakeNetwork) -> None:
            for listener in network.link_listeners:
                listener(LinkEvent("t1", 1, LinkChange.DOWN, Reason.TIMEOUT))

        for at_start in (lambda network: None, lose_link):
            response, took_s = self.call({"t1": ANSWER_S}, at_start)
            self.assertEqual((response.status_code, response.content), (200, b"t1"))
            self.assertAlmostEqual(took_s, ANSWER_S, delta=0.3)

    def test_another_agent_answers_in_the_place_of_a_silent_one(self) -> None:
        # The guard the other way: a request does not wait for an agent that is gone.
        response, took_s = self.call({"t1": 99.0, "t2": 99.0}, lambda network: None)
        self.assertEqual(response.status_code, 504)
        for slow, quick in (("t1", "t2"), ("t2", "t1")):
            response, took_s = self.call({slow: 99.0, quick: 0.2}, lambda network: None)
            self.assertEqual(response.content, quick.encode())
            self.assertLess(took_s, 4.0)
            sent = self.network.sent
            cancelled = [peer for peer, m in sent if isinstance(m, AttemptCancel)]
            started = [peer for peer, m in sent if isinstance(m, AttemptStart)]
            self.assertEqual(cancelled, [name for name in started if name == slow])


if __name__ == "__main__":
    unittest.main()
