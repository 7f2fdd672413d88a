"""Simulation tests of an entry with real agents, under random faults."""

import random
import unittest
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import anyio
import httpx
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspar.errors import Failure, Reason, Step
from reedspar.links import LinkChange
from reedspar.platform import EngineState, TargetRequest
from reedspar.requests import RequestService
from reedspar.requests.tests.fakes import make_service
from reedspar.requests.tests.mesh import Mesh, PlainOffers, make_agent_settings
from reedspar.requests.tests.virtual_time import create_loop_timers, run_virtual
from reedspar.targets import create_target_controller
from reedspar.telemetry import (
    create_invariant_reporter,
    install_invariant_reporter,
)

AGENTS = ("t1", "t2", "t3")
LARGE_BYTES = 3 * 1024 * 1024


@dataclass
class StreamedResponse:
    """An answer of the plain service, streamed in pieces with pauses."""

    body: bytes
    rng: random.Random
    is_broken: bool
    status: int = 200
    headers: tuple = (("content-type", "text/plain"),)
    weights_digest: str = ""

    async def iterate(self) -> AsyncIterator[bytes | Failure]:
        for offset in range(0, len(self.body), 1 + len(self.body) // 4):
            await anyio.sleep(self.rng.uniform(0, 0.6))
            yield self.body[offset : offset + 1 + len(self.body) // 4]
        if self.is_broken:
            yield Failure(Reason.OUTCOME_UNKNOWN, Step.TARGET_CALL, detail="reset")


class CountingService:
    """Plain service that counts how often each order runs."""

    def __init__(self, rng: random.Random, breaks: float) -> None:
        self.rng = rng
        self.breaks = breaks
        self.runs: Counter[str] = Counter()
        self.body_size = 1

    def body_of(self, order: str) -> bytes:
        return f"answer to {order};".encode() * self.body_size

    async def read_state(self) -> EngineState:
        return EngineState("boot-1")

    @asynccontextmanager
    async def send(self, request: TargetRequest) -> AsyncIterator[StreamedResponse]:
        order = dict(request.headers)["x-order"]
        self.runs[order] += 1
        await anyio.sleep(self.rng.uniform(0, 2))
        is_broken = self.rng.random() < self.breaks
        yield StreamedResponse(self.body_of(order), self.rng, is_broken)

    async def cancel(self, request_id: str) -> None:
        return None


class History:
    """Simulation of one entry, three agents and a plain service that counts runs."""

    def __init__(self, seed: int, loss: float, breaks: float = 0.05) -> None:
        self.rng = random.Random(seed)
        self.mesh = Mesh(("entry-1",), AGENTS, self.rng, loss)
        self.backend = CountingService(self.rng, breaks)
        self.responses: dict[str, httpx.Response] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.service: RequestService | None = None

    async def run(self, orders: list[tuple[float, str, str]], faults: int) -> None:
        """Send (time, method, order) requests, inject faults, await all outcomes."""
        timers = create_loop_timers()
        network = self.mesh.add("entry-1")
        self.service = make_service(network, timers)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timers.run)
            for name in AGENTS:
                tasks.start_soon(self._run_agent, name, 1)
            await anyio.sleep(3)
            async with anyio.create_task_group() as calls:
                for order in orders:
                    calls.start_soon(self._call, *order)
                for _ in range(faults):
                    calls.start_soon(self._inject_fault, tasks)
            tasks.cancel_scope.cancel()

    async def _run_agent(self, name: str, incarnation: int) -> None:
        with anyio.CancelScope() as self.scopes[name]:
            async with anyio.create_task_group() as tasks:
                timers = create_loop_timers()
                create_target_controller(
                    make_agent_settings(name),
                    incarnation,
                    self.mesh.add(name, incarnation),
                    timers,
                    self.backend,
                    PlainOffers(),
                    lambda: None,
                    tasks.start_soon,
                )
                await timers.run()

    async def _inject_fault(self, tasks: Any) -> None:
        await anyio.sleep(self.rng.uniform(0, 20))
        name = self.rng.choice(AGENTS)
        if self.rng.random() < 0.6:
            await self.mesh.silence_link("entry-1", name, self.rng.uniform(0.5, 6))
            return
        incarnation = self.mesh.daemons.pop(name, SimpleNamespace(incarnation=0))
        self.scopes[name].cancel()
        if not incarnation.incarnation:
            return
        if self.rng.random() < 0.5:
            self.mesh.notify_link_change("entry-1", name, LinkChange.DOWN)
        await anyio.sleep(self.rng.uniform(0.1, 3))
        tasks.start_soon(self._run_agent, name, incarnation.incarnation + 1)

    async def _call(self, at_s: float, method: str, order: str) -> None:
        await anyio.sleep(at_s)
        assert self.service is not None
        transport = httpx.ASGITransport(app=self.service.application)
        async with httpx.AsyncClient(transport=transport, base_url="http://e") as http:
            self.responses[order] = await http.request(
                method,
                "/v1/pools/orders/o",
                headers={"x-workspace": "shop", "x-order": order},
            )


class HistoryTest(unittest.TestCase):
    # Links between an entry and its agents lose, delay and reorder messages and go
    # silent, and agents are killed and restarted.  Each caller must get the complete
    # answer to its own request or a correct outcome: no order runs twice, and none
    # that is reported as not run has run.
    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32), st.sampled_from([0.0, 0.02, 0.1]))
    def test_every_reported_outcome_is_correct(self, seed: int, loss: float) -> None:
        history = History(seed, loss)
        rng = history.rng
        orders = [
            (rng.uniform(0, 20), rng.choice(["GET", "POST"]), f"{number}")
            for number in range(30)
        ]
        reporter = create_invariant_reporter()
        before = install_invariant_reporter(reporter)
        try:
            run_virtual(history.run, orders, 6)
        finally:
            install_invariant_reporter(before)
        self.assertEqual(reporter.violation_count, 0)
        self.assertEqual(len(history.responses), len(orders))
        for _, method, order in orders:
            self.check(history, method, order)

    def check(self, history: History, method: str, order: str) -> None:
        response = history.responses[order]
        outcome = response.headers["x-reedspar-outcome"]
        runs = history.backend.runs[order]
        if outcome == "answered":
            self.assertEqual(response.content, history.backend.body_of(order))
        if outcome == "not-run":
            self.assertEqual(runs, 0, f"{order} was reported as not run")
        if method == "POST":
            self.assertLessEqual(runs, 1, f"{order} ran twice")

    def test_without_faults_all_requests_are_answered(self) -> None:
        history = History(1, loss=0.0, breaks=0.0)
        orders = [(number * 0.5, "POST", str(number)) for number in range(40)]
        run_virtual(history.run, orders, 0)
        statuses = Counter(item.status_code for item in history.responses.values())
        self.assertEqual(statuses, {200: 40})

    def test_answer_larger_than_the_window_arrives(self) -> None:
        # The agent stops reading an answer while too much of it is not
        # acknowledged.  An entry that buffers the answer and acknowledges only at
        # its end would wait for the rest until the deadline.
        history = History(1, loss=0.0, breaks=0.0)
        history.backend.body_size = LARGE_BYTES // len(history.backend.body_of("1"))
        run_virtual(history.run, [(0.0, "GET", "1")], 0)
        self.assertEqual(history.responses["1"].status_code, 200)


if __name__ == "__main__":
    unittest.main()
