"""Tests of the rules behind the choice of a target, under virtual time."""

import unittest

from reedspar.direct.cold_limits import ColdLimits
from reedspar.direct.entry_choice import choose_entries, list_allowed_regions
from reedspar.direct.estimate import (
    EngineLoad,
    estimate_first_event_s,
    estimate_service_s,
)
from reedspar.direct.loads import LoadReport, OwnAttempt, TargetLoad
from reedspar.direct.tests.fakes import ENGINE
from reedspar.direct.versions import VersionRule
from reedspar.fleet import DaemonRecord, FleetView, WeightsChange
from reedspar.routes import RouteTable
from reedspar.timers import TimerService, VirtualClock


def estimate_s(waiting: float, decoding: float, tokens: float, prompt: int) -> float:
    return estimate_first_event_s(ENGINE, EngineLoad(tokens, decoding, waiting), prompt)


class EstimateTest(unittest.TestCase):
    def test_idle_engine_takes_the_prefill_time(self) -> None:
        # 979 tokens at 20.7 a millisecond are 47 ms; the network takes another 20 ms.
        self.assertAlmostEqual(estimate_s(0, 0, 0, 979), 0.067, delta=0.005)

    def test_queued_prompts_and_decoding_delay_the_first_event(self) -> None:
        idle_s = estimate_s(0, 0, 0, 979)
        behind_s = estimate_s(3, 0, 2937, 979)
        beside_s = estimate_s(0, 8, 0, 979)
        self.assertGreater(behind_s, idle_s + 0.12)
        self.assertGreater(beside_s, idle_s + 0.04)

    def test_full_batch_adds_the_wait_for_a_slot(self) -> None:
        self.assertGreater(estimate_s(0, 16, 0, 979), estimate_s(0, 15, 0, 979) + 0.05)

    def test_service_takes_longer_in_a_larger_batch(self) -> None:
        alone_s = estimate_service_s(ENGINE, 1)
        full_s = estimate_service_s(ENGINE, 16)
        self.assertAlmostEqual(alone_s, 0.9, delta=0.15)
        self.assertGreater(full_s, 1.5 * alone_s)


class LoadTest(unittest.TestCase):
    def test_report_counts_others_beside_own_attempts(self) -> None:
        load = TargetLoad()
        load.own_attempts["r1"] = OwnAttempt(500, 0.0)
        load.record_report(LoadReport(6, 2, 16), 0.0)
        self.assertEqual(load.others_in_flight(0.0), 7)
        load.own_attempts["r2"] = OwnAttempt(700, 0.0)
        self.assertEqual(load.total_in_flight(0.0), 9)
        self.assertEqual(load.own_waiting_tokens(), 1200)

    def test_report_weight_decays(self) -> None:
        # Guards against never using a target again that was once reported as full:
        # reports arrive only with answers.
        load = TargetLoad()
        load.record_report(LoadReport(16, 10, 16), 0.0)
        self.assertLess(load.total_in_flight(5.0), 1.0)

    def test_backoff_from_unreachable_target_grows(self) -> None:
        load = TargetLoad()
        load.record_unreachable(0.0)
        first_s = load.backoff_until_s
        load.record_unreachable(first_s)
        self.assertGreater(load.backoff_until_s - first_s, first_s)
        load.record_success()
        self.assertEqual(load.failures, 0)


class ColdTest(unittest.TestCase):
    def test_all_entries_together_keep_the_rate(self) -> None:
        # Guards against exceeding the rate of a cold target when all entries send to it
        # as fast as they may.  Its limit is 36 requests a second; above 59 it crashes.
        for entries in (3, 9, 46):
            with self.subTest(entries=entries):
                names = [f"entry-{i}" for i in range(entries)]
                limits = [ColdLimits(name) for name in names]
                loads = [TargetLoad() for _ in range(entries)]
                sent = []
                for step in range(300):
                    now_s = step / 100
                    for limit, load in zip(limits, loads, strict=True):
                        limit.set_entries(names)
                        if limit.may_send("t1", load, 36.0, now_s):
                            limit.record_sent(load, 36.0, now_s)
                            sent.append(now_s)
                worst = max(
                    sum(start <= at < start + 1.0 for at in sent) for start in sent
                )
                self.assertLessEqual(worst, 36 * 1.5 + 5)
                self.assertGreater(len(sent), 60)

    def test_service_without_a_cold_rate_is_not_limited(self) -> None:
        limits = ColdLimits("entry-1")
        load = TargetLoad()
        for _ in range(100):
            limits.record_sent(load, 0.0, 0.0)
        self.assertTrue(limits.may_send("t1", load, 0.0, 0.0))


class VersionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        timers = TimerService(self.clock)
        self.view = FleetView(timers)
        self.rule = VersionRule(self.view, timers, 8.0)

    def name_version(self, version: int) -> None:
        self.view.apply(WeightsChange("m", version))

    def test_older_version_serves_until_shortly_before_the_bound(self) -> None:
        self.rule.record_store_listing()
        self.clock.advance(1.0)
        self.name_version(2)
        self.assertTrue(self.rule.may_serve("m", 1))
        self.clock.advance(7.0)
        self.assertTrue(self.rule.may_serve("m", 1))
        self.assertFalse(self.rule.may_serve("m", 1, wait_s=0.5))
        self.clock.advance(0.7)
        self.assertFalse(self.rule.may_serve("m", 1))
        self.assertTrue(self.rule.may_serve("m", 2))

    def test_earlier_naming_time_from_peer_moves_the_deadline(self) -> None:
        # The version became known here 2 s late; the bound counts from its naming.
        self.rule.record_store_listing()
        self.clock.advance(1.0)
        self.name_version(2)
        self.view.record_naming_time("m", 2, self.clock.now_s() - 2.0, "entry-2")
        self.clock.advance(5.5)
        self.assertTrue(self.rule.may_serve("m", 1))
        self.clock.advance(0.2)
        self.assertFalse(self.rule.may_serve("m", 1))

    def test_naming_time_from_peer_does_not_extend_the_grace_after_start(self) -> None:
        self.name_version(2)
        self.rule.record_store_listing()
        self.view.record_naming_time("m", 2, self.clock.now_s() - 0.5, "entry-2")
        self.clock.advance(0.9)
        self.assertTrue(self.rule.may_serve("m", 1))
        self.clock.advance(0.2)
        self.assertFalse(self.rule.may_serve("m", 1))

    def test_deadline_of_a_version_follows_from_the_next_one(self) -> None:
        # Guards against a third version that moves the first version's deadline: the
        # first version may be used until the bound that follows from the second one,
        # and the second until the bound that follows from the third.
        self.rule.record_store_listing()
        self.clock.advance(1.0)
        self.name_version(2)
        self.clock.advance(4.0)
        self.name_version(3)
        self.clock.advance(4.0)
        self.assertFalse(self.rule.may_serve("m", 1))
        self.assertTrue(self.rule.may_serve("m", 2))

    def test_grace_after_start_does_not_grow_with_a_slow_listing(self) -> None:
        # Guards against an entry whose listing took long and that begins requests on a
        # replaced version beyond the time that its start excuses.
        self.rule.record_process_start(self.clock.now_s() - 1.0)
        self.clock.advance(1.2)
        self.name_version(2)
        self.rule.record_store_listing()
        self.assertTrue(self.rule.may_serve("m", 1))
        self.clock.advance(0.2)
        self.assertFalse(self.rule.may_serve("m", 1))
        self.assertTrue(self.rule.may_serve("m", 2))

    def test_version_listed_at_start_is_not_taken_for_new(self) -> None:
        # Guards against a restarted entry taking a listed version for a new one: it
        # began requests on the older version 20 s after its deadline.
        self.name_version(2)
        self.rule.record_store_listing()
        self.clock.advance(1.1)
        self.assertFalse(self.rule.may_serve("m", 1))


class EntryChoiceTest(unittest.TestCase):
    entries = [
        DaemonRecord("a1", "entry", "a", "ra", "10.0.0.1", 1, 80),
        DaemonRecord("a2", "entry", "a", "ra", "10.0.0.2", 1, 80),
        DaemonRecord("b1", "entry", "b", "rb", "10.0.0.3", 1, 80),
    ]

    def names(
        self, zone: str, region: str, allowed_regions: frozenset | None = None
    ) -> list:
        return [
            e.name for e in choose_entries(self.entries, zone, region, allowed_regions)
        ]

    def test_own_zone_suffices_with_two_entries(self) -> None:
        self.assertEqual(self.names("a", "ra"), ["a1", "a2"])

    def test_caller_is_never_left_with_one_address(self) -> None:
        # Guards against returning only the last entry of a zone: when it fails, callers
        # need another address at once.
        self.assertEqual(self.names("b", "rb"), ["a1", "a2", "b1"])

    def test_entries_are_limited_to_allowed_regions(self) -> None:
        self.assertEqual(self.names("b", "rb", frozenset({"ra"})), ["a1", "a2", "b1"])
        self.assertEqual(self.names("c", "rc", frozenset({"rb"})), ["b1"])

    def test_host_without_routes_allows_all_regions(self) -> None:
        self.assertIsNone(list_allowed_regions(RouteTable(1), "a.example"))
        self.assertIsNone(list_allowed_regions(None, "a.example"))


if __name__ == "__main__":
    unittest.main()
