"""Tests of the rate limits that targets name in their answers."""

import unittest
from dataclasses import replace

from reedspar.direct import DirectService, TargetNotice
from reedspar.direct.loads import OwnAttempt, TargetLoads
from reedspar.direct.rate_limits import LIMIT_TTL_S, RateLimits
from reedspar.direct.sender_ranking import SenderRanking
from reedspar.direct.tests.cases import Call, DirectTestCase, make_order_target
from reedspar.direct.tests.fakes import FakeDialer
from reedspar.fleet import (
    DaemonChange,
    DaemonRecord,
    FleetView,
    TargetChange,
    TargetLimitNews,
)
from reedspar.fleet.tests.fakes import make_target
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.timers import TimerService, VirtualClock

ENTRIES = ("e0", "e1", "e2")


class EvidenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        timers = TimerService(self.clock)
        self.loads = TargetLoads()
        self.network = FakeNetwork()
        view = FleetView(timers)
        self.target = make_target("t1", started_ms=7)
        view.apply(TargetChange("t1", self.target))
        for name in ENTRIES:
            record = DaemonRecord(name, "entry", "a", "r", "10.0.0.1", 1, 2)
            view.apply(DaemonChange(name, record))
        ranking = SenderRanking("e0")
        ranking.set_entries(ENTRIES)
        self.limits = RateLimits(
            "e0",
            ranking,
            self.loads,
            view,
            self.network,  # type: ignore[arg-type]
            timers,
        )

    def hand_over(self, request_id: str) -> None:
        now_s = self.clock.now_s()
        attempt = OwnAttempt(0, now_s, handed_over_s=now_s)
        self.loads.for_target("t1").own_attempts[request_id] = attempt

    def answer(self, request_id: str, rate_per_s: float | None) -> None:
        self.clock.advance(0.1)
        notice = TargetNotice("t1", "t1:7", request_id, rate_per_s=rate_per_s)
        self.limits.record_notice(notice)

    @property
    def rate_per_s(self) -> float | None:
        return self.limits.rate_per_s("t1:7")

    def test_later_answer_without_a_limit_ends_it(self) -> None:
        self.hand_over("r1")
        self.answer("r1", 1.5)
        self.assertEqual(self.rate_per_s, 1.5)
        self.hand_over("r2")
        self.answer("r2", None)
        self.assertIsNone(self.rate_per_s)
        counts = {labels["change"]: n for n, labels in self.limits.read_counts()}
        self.assertEqual(counts, {"named": 1, "ended": 1})

    def test_overtaken_answer_does_not_end_a_limit(self) -> None:
        # Guards against an answer from before the limit that arrives after the first
        # one that names it: the entry would send at the full rate again.
        self.hand_over("r1")
        self.hand_over("r2")
        self.answer("r1", 1.5)
        self.answer("r2", None)
        self.assertEqual(self.rate_per_s, 1.5)

    def test_limit_of_an_earlier_run_of_the_target_is_discarded(self) -> None:
        self.hand_over("r1")
        self.answer("r1", 1.5)
        restarted = replace(self.target, started_ms=8)
        for _ in range(5):
            self.assertTrue(self.limits.may_send(restarted, self.clock.now_s()))
            self.limits.record_sent(restarted, self.clock.now_s())
        self.assertIsNone(self.limits.rate_per_s("t1:8"))

    def test_changed_limit_is_announced_to_the_other_entries(self) -> None:
        self.hand_over("r1")
        self.answer("r1", 1.5)
        self.answer("r1", 1.6)
        self.answer("r1", 3.0)
        self.hand_over("r2")
        self.answer("r2", None)
        news = [
            (peer, message.rate_per_s if message.is_limited else None)
            for peer, message in self.network.sent
        ]
        self.assertEqual([n for n in news if n[0] == "e1"], self.list_news("e1"))
        self.assertEqual([n for n in news if n[0] == "e2"], self.list_news("e2"))
        self.assertEqual(len(news), 6)

    def list_news(self, peer: str) -> list[tuple[str, float | None]]:
        return [(peer, 1.5), (peer, 3.0), (peer, None)]

    def receive(self, rate_per_s: float | None, boot: str = "t1:7") -> None:
        is_limited = rate_per_s is not None
        news = TargetLimitNews("t1", boot, is_limited, rate_per_s or 0.0, 20)
        self.network.deliver("e1", news)

    def test_limit_that_another_entry_announces_holds_here(self) -> None:
        self.receive(1.5)
        self.assertEqual(self.rate_per_s, 1.5)
        self.clock.advance(1.0)
        self.receive(None)
        self.assertIsNone(self.rate_per_s)
        self.assertEqual(self.network.sent, [])

    def test_announcement_about_an_earlier_run_is_ignored(self) -> None:
        self.receive(1.5, boot="t1:6")
        self.assertIsNone(self.rate_per_s)

    def test_limit_without_evidence_is_forgotten(self) -> None:
        # Guards against a target that gets no requests after the announcement of the
        # end of its limit was lost.
        self.receive(1.0)
        self.limits.record_sent(self.target, self.clock.now_s())
        self.assertFalse(self.limits.may_send(self.target, self.clock.now_s()))
        self.clock.advance(LIMIT_TTL_S)
        self.assertTrue(self.limits.may_send(self.target, self.clock.now_s()))
        self.assertIsNone(self.rate_per_s)


class LapsedRegistrationTest(DirectTestCase):
    async def send_many(self, service: DirectService) -> None:
        for _ in range(20):
            call = Call("/s/1")
            await service.application(call.scope, call.receive, call.send)

    def test_limit_outlasts_a_registration_that_lapses(self) -> None:
        # Guards against a target over its limit because its registration expired in
        # an outage of the store and came back.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.rate_limits = {"o1": 0.0}
            await self.send_many(service)
            sent_before = [name for name, _ in dialer.sent].count("o1")
            self.assertGreater(sent_before, 0)
            view.apply(TargetChange("o1", None))
            view.apply(TargetChange("o1", make_order_target("o1")))
            await self.send_many(service)
            sent = [name for name, _ in dialer.sent].count("o1")
            self.assertEqual(sent, sent_before)

        self.run_with(script)


if __name__ == "__main__":
    unittest.main()
