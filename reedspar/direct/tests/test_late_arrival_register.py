"""Tests of the register of attempts that may still arrive."""

import unittest

from reedspar.direct.late_arrivals import (
    DELIVERY_MAX_S,
    STANDSTILL_MAX_S,
    create_late_arrivals,
)
from reedspar.direct.tests.fakes import make_engine_target
from reedspar.fleet import FleetView, TargetChange
from reedspar.requests.hand_over import HandOver, Settlement
from reedspar.timers import TimerService, VirtualClock


class LateArrivalsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        timers = TimerService(self.clock)
        self.view = FleetView(timers)
        self.view.apply(TargetChange("q1", make_engine_target("q1")))
        self.register = create_late_arrivals(self.view, timers)
        self.settled: list[HandOver] = []

    def expect(self) -> HandOver:
        now_s = self.clock.now_s()
        hand_over = HandOver(now_s, now_s, on_settled=self.settled.append)
        self.register.expect(self.register.address_of("q1"), hand_over)
        return hand_over

    def reply_to_connection_opened(self, after_s: float) -> None:
        self.register.record_reply(self.address, HandOver(after_s))

    @property
    def address(self) -> tuple[str, int]:
        return "10.0.1.1", 80

    def test_answer_to_a_later_connection_settles_an_attempt(self) -> None:
        expected = self.expect()
        self.reply_to_connection_opened(DELIVERY_MAX_S)
        self.assertIs(expected.settlement, Settlement.OVERTAKEN)
        self.assertEqual(self.register.count, 0)

    def test_answer_to_a_connection_opened_soon_after_settles_nothing(self) -> None:
        # Guards against attempts that are taken for read while their bytes were lost
        # and are sent again.
        self.expect()
        self.reply_to_connection_opened(DELIVERY_MAX_S - 0.1)
        self.register.record_reply(("10.0.1.2", 80), HandOver(DELIVERY_MAX_S))
        self.assertEqual(self.settled, [])

    def test_target_that_is_gone_is_still_expected_to_read(self) -> None:
        # Guards against targets that are taken off the list while they stand still.
        self.expect()
        self.view.apply(TargetChange("q1", None))
        self.clock.advance(STANDSTILL_MAX_S - 0.1)
        self.register.sweep()
        self.assertEqual(self.settled, [])
        self.clock.advance(0.1)
        self.register.sweep()
        self.assertIs(self.settled[0].settlement, Settlement.EXPIRED)

    def test_attempt_that_nobody_waits_for_is_forgotten(self) -> None:
        # Guards against a register that grows with each caller that leaves.
        self.expect().on_settled = None
        self.register.sweep()
        self.assertEqual(self.register.count, 0)


if __name__ == "__main__":
    unittest.main()
