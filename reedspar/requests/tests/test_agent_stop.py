"""Tests of an agent's graceful stop: what is on its way, and entries that are gone."""

import random
import unittest
from typing import Any

import anyio

from reedspar.attempts import AttemptStart, Header, LeaveNotice
from reedspar.links import LinkChange
from reedspar.messages import Sender
from reedspar.requests.tests.fakes import make_service
from reedspar.requests.tests.mesh import Mesh, PlainOffers, make_agent_settings
from reedspar.requests.tests.test_histories import CountingService, History
from reedspar.requests.tests.virtual_time import create_loop_timers, run_virtual
from reedspar.targets import TargetController, create_target_controller

ORDER_SENT_S = 1.0
STOPPING_AGENTS = ("t1", "t2")


class StoppingHistory(History):
    """Two of the three agents are stopped at a time after the start of the orders."""

    def __init__(self, seed: int, stops_at_s: float) -> None:
        super().__init__(seed, loss=0.0, breaks=0.0)
        self.stops_at_s = stops_at_s
        self.stopped_s: list[float] = []
        self.controllers: dict[str, TargetController] = {}

    async def _run_agent(self, name: str, incarnation: int) -> None:
        timers = create_loop_timers()
        with anyio.CancelScope() as self.scopes[name]:
            async with anyio.create_task_group() as tasks:
                self.controllers[name] = create_target_controller(
                    *(make_agent_settings(name), incarnation),
                    *(self.mesh.add(name, incarnation), timers, self.backend),
                    *(PlainOffers(), lambda: None, tasks.start_soon),
                )
                await timers.run()

    async def _inject_fault(self, tasks: Any) -> None:
        await anyio.sleep(self.stops_at_s)
        async with anyio.create_task_group() as stops:
            for name in STOPPING_AGENTS:
                stops.start_soon(self._stop_agent, name)

    async def _stop_agent(self, name: str) -> None:
        began_s = anyio.current_time()
        await self.controllers[name].drain(60.0)
        self.stopped_s.append(anyio.current_time() - began_s)
        del self.mesh.daemons[name]
        self.scopes[name].cancel()
        self.mesh.notify_link_change("entry-1", name, LinkChange.DOWN)


class AgentStopTest(unittest.TestCase):
    def measure_stop_after_kill(self, restarts: bool) -> float:
        """Return how long the agent's stop takes after its entry was killed."""
        return run_virtual(self._run, restarts)

    async def _run(self, restarts: bool) -> float:
        mesh = Mesh(("entry-1",), ("t1",), random.Random(1))
        backend = CountingService(mesh.rng, breaks=0.0)
        timers = create_loop_timers()
        async with anyio.create_task_group() as tasks:
            links = mesh.add("t1")
            controller = create_target_controller(
                make_agent_settings("t1"),
                1,
                links,
                timers,
                backend,
                PlainOffers(),
                lambda: None,
                tasks.start_soon,
            )
            mesh.add("entry-1")
            tasks.start_soon(timers.run)
            await anyio.sleep(3)
            start = AttemptStart(
                *("entry-1:1:1", 0, "orders", "POST", "/o"),
                *((Header("x-order", "1"),), b"", 30.0, False, 1, "w", "f", "", 1),
            )
            for handler in links.handlers[AttemptStart]:
                handler(Sender("entry-1", 1, 1), start)
            del mesh.daemons["entry-1"]
            await anyio.sleep(10)
            if restarts:
                make_service(mesh.add("entry-1", 2), timers, incarnation=2)
            began_s = anyio.current_time()
            await controller.drain(60.0)
            took_s = anyio.current_time() - began_s
            tasks.cancel_scope.cancel()
        self.assertEqual(backend.runs["1"], 1)
        return took_s

    def test_stop_does_not_wait_for_a_killed_entry(self) -> None:
        # An entry is killed before it acknowledged an answer.  The answer can't
        # be delivered any more, so the agent's stop must not wait for it.
        self.assertLess(self.measure_stop_after_kill(restarts=False), 5.0)

    def test_stop_does_not_wait_for_a_restarted_entry(self) -> None:
        # The restarted entry has no record of the attempt and acknowledges its
        # answer when the agent sends the end again.
        self.assertLess(self.measure_stop_after_kill(restarts=True), 5.0)

    def test_order_on_its_way_to_a_stopping_agent_runs_elsewhere(self) -> None:
        # Guards against orders whose outcome is unknown though they have not run: an
        # idle agent ends while an order is on its way to it, or its refusal back.
        for number in range(24):
            delta_s = (number % 12 - 6) * 0.0005
            history = StoppingHistory(number, ORDER_SENT_S + delta_s)
            run_virtual(history.run, [(ORDER_SENT_S, "POST", "1")], 1)
            answer = history.responses["1"]
            self.assertEqual(answer.status_code, 200, (delta_s, answer.content))
            self.assertEqual(history.backend.runs["1"], 1)
            self.assertLess(min(history.stopped_s), 0.5)

    def test_stop_does_not_wait_for_an_entry_of_an_earlier_release(self) -> None:
        # Guards against agents that are killed in their stop during an upgrade: entries
        # of earlier releases do not confirm that they know of it.
        class Upgrade(StoppingHistory):
            async def _inject_fault(self, tasks: Any) -> None:
                del self.mesh.daemons["entry-1"].handlers[LeaveNotice]
                await super()._inject_fault(tasks)

        history = Upgrade(1, ORDER_SENT_S)
        with self.assertLogs("reedspar.targets.leave_notices", "WARNING"):
            run_virtual(history.run, [], 1)
        self.assertLess(max(history.stopped_s), 3.5)


if __name__ == "__main__":
    unittest.main()
