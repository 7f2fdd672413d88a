"""Tests of requests to targets that announce their shutdown in their answers."""

import unittest
from typing import Any

import anyio

from reedspar.direct import DirectService, TargetNotice
from reedspar.direct.loads import TargetLoads
from reedspar.direct.notices import TargetNotices
from reedspar.direct.shutdown_news import ShutdownNews
from reedspar.direct.tests.cases import Call, DirectTestCase, make_order_target
from reedspar.direct.tests.fakes import FakeDialer, make_direct_service
from reedspar.fleet import (
    DaemonChange,
    DaemonRecord,
    FleetView,
    TargetChange,
    TargetLeavingNews,
)
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.requests.tests.virtual_time import LoopClock, run_virtual
from reedspar.timers import TimerService, VirtualClock

CALLS = 20
CONNECT_TIME_S = 0.3
PATHS = ("/s/1", "/o/1", "/q/1")


class AnnouncedShutdownTest(DirectTestCase):
    async def send(self, service: DirectService, path: str) -> Call:
        call = Call(path, x_model="m" if path == "/q/1" else "")
        await service.application(call.scope, call.receive, call.send)
        return call

    async def send_many(self, service: DirectService, path: str) -> None:
        for _ in range(CALLS):
            call = await self.send(service, path)
            self.assertEqual(call.status, 200)

    def count_sent(self, dialer: FakeDialer, target_id: str) -> int:
        return [name for name, _ in dialer.sent].count(target_id)

    def test_target_that_announced_its_shutdown_gets_no_more_requests(self) -> None:
        # Guards against requests to a leaving target while the store does not answer.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.leaving = {"q1", "o1"}
            for path in PATHS:
                await self.send_many(service, path)
            self.assertEqual(self.count_sent(dialer, "q1"), 1)
            self.assertEqual(self.count_sent(dialer, "o1"), 1)

        self.run_with(script)

    def test_later_run_of_the_target_gets_requests(self) -> None:
        # Guards against a target that gets nothing after its restart.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.leaving = {"o1"}
            await self.send_many(service, "/s/1")
            dialer.leaving = set()
            dialer.sent.clear()
            view.apply(TargetChange("o1", make_order_target("o1", started_ms=7)))
            await self.send_many(service, "/s/1")
            self.assertGreater(self.count_sent(dialer, "o1"), 1)

        self.run_with(script)

    def test_registration_that_lapses_and_returns_does_not_end_it(self) -> None:
        # Guards against requests to a leaving target whose registration expired in an
        # outage of the store and came back before the target could report its state.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.leaving = {"o1"}
            await self.send_many(service, "/s/1")
            view.apply(TargetChange("o1", None))
            view.apply(TargetChange("o1", make_order_target("o1")))
            await self.send_many(service, "/s/1")
            self.assertEqual(self.count_sent(dialer, "o1"), 1)

        self.run_with(script)

    def test_answer_to_the_previous_run_does_not_exclude_its_successor(self) -> None:
        # Guards against a restarted target without requests because an answer to a
        # request from before its restart came last.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            view.apply(TargetChange("o2", None))
            dialer.leaving = {"o1"}
            dialer.script = lambda target_id, request: 0.1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send, service, "/s/1")
                await anyio.sleep(0.05)
                view.apply(TargetChange("o1", make_order_target("o1", started_ms=7)))
            dialer.leaving = set()
            await self.send_many(service, "/s/1")

        self.run_with(script)


class HandOverTest(unittest.TestCase):
    """An answer announces a shutdown while another attempt connects."""

    async def _send(self) -> FakeDialer:
        timers = TimerService(LoopClock())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timers.run)
            made = make_direct_service(timers, tasks, [make_order_target("o1")])
            service, dialer, _ = made
            dialer.connect_s = CONNECT_TIME_S
            dialer.leaving = {"o1"}
            for path in PATHS[:2]:
                call = Call(path)
                tasks.start_soon(
                    service.application, call.scope, call.receive, call.send
                )
                await anyio.sleep(CONNECT_TIME_S / 2)
            await anyio.sleep(CONNECT_TIME_S)
            tasks.cancel_scope.cancel()
        return dialer

    def test_shutdown_announced_while_connecting_is_respected(self) -> None:
        # Guards against a request that was chosen before the answer and written after.
        self.assertEqual(len(run_virtual(self._send).sent), 1)


class ShutdownNewsTest(unittest.TestCase):
    """Entry `e0` among three, with a network that records what it sends."""

    def setUp(self) -> None:
        timers = TimerService(VirtualClock(100.0))
        self.network = FakeNetwork()
        self.notices = TargetNotices(TargetLoads(), timers)
        view = FleetView(timers)
        for name in ("e0", "e1", "e2"):
            record = DaemonRecord(name, "entry", "a", "r", "10.0.0.1", 1, 2)
            view.apply(DaemonChange(name, record))
        network: Any = self.network
        ShutdownNews("e0", self.notices, view, network)

    def test_first_answer_that_announces_a_shutdown_is_passed_on(self) -> None:
        for _ in range(2):
            self.notices.record(TargetNotice("t1", "t1:7", "r1", is_leaving=True))
        news = TargetLeavingNews("t1", "t1:7")
        self.assertEqual(self.network.sent, [("e1", news), ("e2", news)])

    def test_shutdown_that_another_entry_reports_is_known_here(self) -> None:
        # Guards against requests to a leaving target from entries that it has not
        # answered since, and against passing on what is known everywhere.
        self.network.deliver("e1", TargetLeavingNews("t1", "t1:7"))
        self.assertTrue(self.notices.is_leaving("t1:7"))
        self.notices.record(TargetNotice("t1", "t1:7", "r1", is_leaving=True))
        self.assertEqual(self.network.sent, [])


if __name__ == "__main__":
    unittest.main()
