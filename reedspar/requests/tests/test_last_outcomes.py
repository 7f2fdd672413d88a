"""Tests that a stopping entry writes the outcomes of its last orders."""

import unittest
import uuid
from typing import Any

import anyio
import httpx

from reedspar.attempts import AttemptStart
from reedspar.errors import Failure, Reason, Step
from reedspar.requests import RequestService
from reedspar.requests.tests.fakes import (
    FakeKeyValue,
    FakeNetwork,
    make_answer,
    make_report,
    make_service,
)
from reedspar.requests.tests.test_draining import NoConnections
from reedspar.requests.tests.virtual_time import create_loop_timers, run_virtual
from reedspar.settings import RequestSettings

SETTINGS = RequestSettings(address_ttl_s=5, drain_timeout_s=20, deadline_s=60)
ORDER_S = 7.0
"""The order ends later than the entry expects new callers."""
DRAIN_BEGINS_S = 1.0
DRAIN_ENDS_S = DRAIN_BEGINS_S + 21.0
KEY = str(uuid.UUID(int=7 << 76 | 2 << 62))


class Entry:
    """An entry, and a target that runs orders."""

    def __init__(self, name: str, store: FakeKeyValue, tasks: Any) -> None:
        self.network = FakeNetwork()
        self.timers = create_loop_timers()
        self.runs = 0
        self.service: RequestService = make_service(
            *(self.network, self.timers),
            **{"name": name, "settings": SETTINGS, "key_value": store},
            unix_time=anyio.current_time,
        )

        async def answer(peer: str, start: AttemptStart) -> None:
            self.runs += 1
            await anyio.sleep(ORDER_S)
            self.network.deliver(peer, *make_answer(start, b"whole"))

        def on_send(peer: str, message: Any) -> None:
            if isinstance(message, AttemptStart):
                tasks.start_soon(answer, peer, message)

        self.network.on_send = on_send
        tasks.start_soon(self.timers.run)
        tasks.start_soon(self.service.run)
        self.network.deliver("t1", make_report("t1"))

    async def order(self) -> httpx.Response:
        transport = httpx.ASGITransport(app=self.service.application)
        headers = {"x-workspace": "w", "idempotency-key": KEY, "x-deadline-s": "15"}
        async with httpx.AsyncClient(transport=transport, base_url="http://e") as http:
            return await http.post("/v1/pools/orders/o", headers=headers)


class LastOutcomeTest(unittest.TestCase):
    def run_stop(self, outage_s: tuple[float, float]) -> tuple[float, httpx.Response]:
        """Return when an entry stopped, and what a repeat of its last order got.

        The store refuses writes in the outage.
        """
        return run_virtual(self._run, outage_s)

    async def _run(self, outage_s: tuple[float, float]) -> tuple[float, httpx.Response]:
        store = FakeKeyValue()

        def fail(key: str) -> Failure | None:
            is_away = outage_s[0] <= anyio.current_time() < outage_s[1]
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE) if is_away else None

        store.before_write = fail
        async with anyio.create_task_group() as tasks:
            entry = Entry("entry-1", store, tasks)
            tasks.start_soon(entry.order)
            await anyio.sleep(DRAIN_BEGINS_S)
            await entry.service.drain(NoConnections())
            await entry.service.finish(DRAIN_BEGINS_S)
            stopped_s = anyio.current_time()
            tasks.cancel_scope.cancel()
        async with anyio.create_task_group() as tasks:
            other = Entry("entry-2", store, tasks)
            answer = await other.order()
            self.assertEqual((entry.runs, other.runs), (1, 0))
            tasks.cancel_scope.cancel()
        return stopped_s, answer

    def test_outcome_of_the_last_order_is_written(self) -> None:
        # Guards against an order whose repeat is told that nobody knows whether it ran,
        # as its entry stopped between its answer and the write of its outcome.
        stopped_s, answer = self.run_stop((0.0, 0.0))
        self.assertEqual((answer.status_code, answer.content), (200, b"whole"))
        self.assertLess(stopped_s, ORDER_S + 1.0)

    def test_outcome_is_written_once_the_store_is_back(self) -> None:
        # Guards against the loss of an outcome as the store is away at the stop.
        _, answer = self.run_stop((2.0, 14.0))
        self.assertEqual((answer.status_code, answer.content), (200, b"whole"))

    def test_stop_does_not_wait_for_the_store_beyond_the_drain(self) -> None:
        # Guards against an entry that is killed in its stop, as the store stays away.
        with self.assertLogs("reedspar.requests.service", "ERROR"):
            stopped_s, answer = self.run_stop((2.0, 30.0))
        self.assertEqual(answer.json()["outcome"], "unknown")
        self.assertAlmostEqual(stopped_s, DRAIN_ENDS_S, delta=0.1)


if __name__ == "__main__":
    unittest.main()
