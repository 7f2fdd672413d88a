"""Tests of choices by the speed of targets, and of news of it between entries."""

import unittest

import anyio

from reedspar.direct import DirectService, LoadReport
from reedspar.direct.tests.cases import Call, DirectTestCase
from reedspar.direct.tests.fakes import FakeDialer, FakeResponse
from reedspar.fleet import DaemonChange, DaemonRecord, FleetView
from reedspar.links import Role
from reedspar.platform import TargetRequest
from reedspar.speeds import SpeedFigure, SpeedSource
from reedspar.timers import MonotonicClock

SLOW = LoadReport(0, 0, 6, slowdown_factor=2.5)
USUAL = LoadReport(0, 0, 6, slowdown_factor=1.0)
UNTOLD = LoadReport(0, 0, 6)
CLOSE_S = 0.1
"""Time in which the attempt that is not needed any more is closed."""


class SpeedChoiceTest(DirectTestCase):
    async def send(self, service: DirectService, path: str = "/s/1") -> Call:
        call = Call(path)
        await service.application(call.scope, call.receive, call.send)
        return call

    def learn_service_time(self, service: DirectService) -> None:
        for _ in range(20):
            service.speeds.service_times.record("orders", 0.06, 1.0)

    def test_a_slow_plain_target_is_avoided_and_tried_again(self) -> None:
        # Load: plain servers, one of them slow.  Guards against leaving it for good.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            self.learn_service_time(service)
            service.chooser.record_report("o1", SLOW)
            service.chooser.record_report("o2", USUAL)
            for _ in range(8):
                await self.send(service)
            self.assertEqual({name for name, _ in dialer.sent}, {"o2"})
            await anyio.sleep(1.5)
            for _ in range(20):
                await self.send(service)
            self.assertEqual({name for name, _ in dialer.sent}, {"o1", "o2"})

        self.run_with(script)

    def test_untold_speeds_change_nothing_and_send_nothing(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            add_entry(view, "entry-2")
            dialer.script = lambda target, request: FakeResponse([b"x"], load=UNTOLD)
            for _ in range(10):
                await self.send(service)
            self.assertEqual(service.speeds.pools(), [])
            counts = read_news(service)
            self.assertEqual(counts["sent"], 0)

        self.run_with(script)

    def test_a_hanging_safe_request_goes_to_another_target(self) -> None:
        # Guards against safe requests that wait at a frozen server until their route's
        # timeout; others are never sent twice.
        def answer(target: str, request: TargetRequest) -> object:
            return 1.4 if target == "o1" else FakeResponse([b"x"], load=USUAL)

        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            self.learn_service_time(service)
            service.chooser.record_report("o1", USUAL)
            service.chooser.record_report("o2", SLOW)
            dialer.script = answer
            begun_s = anyio.current_time()
            call = await self.send(service)
            self.assertEqual([name for name, _ in dialer.sent], ["o1", "o2"])
            self.assertLess(anyio.current_time() - begun_s, 0.8)
            await anyio.sleep(CLOSE_S)
            self.assertEqual((call.status, dialer.closed), (200, ["o2", "o1"]))

        self.run_with(script)

    def test_a_hanging_order_is_not_sent_twice(self) -> None:
        # The same guard the other way.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            self.learn_service_time(service)
            service.chooser.record_report("o1", USUAL)
            dialer.script = lambda target, request: 0.9
            await self.send(service, "/o/1")
            self.assertEqual(len(dialer.sent), 1)

        self.run_with(script)

    def test_a_figure_of_an_answer_is_told_once(self) -> None:
        # Guards against entries that contradict each other, and against all entries
        # telling what each hears from the agents.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            add_entry(view, "entry-2")
            service.chooser.record_report("o1", SLOW)
            service.chooser.record_report("o1", SLOW)
            service.chooser.record_report("o2", SLOW, source=SpeedSource.AGENT)
            await anyio.sleep(0.1)
            counts = read_news(service)
            self.assertEqual(counts["sent"], 1)

        self.run_with(script)

    def test_an_entry_cut_off_one_way_falls_back_to_what_is_usual(self) -> None:
        # Guards against trusting news that were held up, and against keeping a figure
        # when the news that ends it don't arrive.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            speeds = service.speeds
            for boot_id, age_s in (("o1:0", 0.0), ("o2:0", 5.0)):
                figure = SpeedFigure(boot_id, 2.5, SpeedSource.PEER, age_s)
                speeds.record_peer("orders", figure)
            now_s = MonotonicClock().now_s()
            fresh = speeds.slowdown_factor("orders", "o1:0", now_s)
            held_up = speeds.slowdown_factor("orders", "o2:0", now_s)
            later = speeds.slowdown_factor("orders", "o1:0", now_s + 3.0)
            self.assertGreater(fresh or 0.0, 2.4)
            self.assertLess(held_up or 9.0, 1.1)
            self.assertLess(later or 9.0, 1.1)

        self.run_with(script)


def add_entry(view: FleetView, name: str) -> None:
    record = DaemonRecord(name, Role.ENTRY.value, "a", "ra", "10.0.0.2", 1)
    view.apply(DaemonChange(name, record))


def read_news(service: DirectService) -> dict[str, float]:
    return {
        labels["direction"]: count for count, labels in service.speed_news.read_counts()
    }


if __name__ == "__main__":
    unittest.main()
