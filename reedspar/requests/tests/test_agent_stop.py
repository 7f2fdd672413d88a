"""Tests that an agent's graceful stop does not wait for entries that are gone."""

import random
import unittest

import anyio

from reedspar.attempts import AttemptStart, Header
from reedspar.messages import Sender
from reedspar.requests.tests.fakes import make_service
from reedspar.requests.tests.mesh import Mesh, PlainOffers, make_agent_settings
from reedspar.requests.tests.test_histories import CountingService
from reedspar.requests.tests.virtual_time import create_loop_timers, run_virtual
from reedspar.targets import create_target_controller


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


if __name__ == "__main__":
    unittest.main()
