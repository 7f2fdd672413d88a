"""Tests of the correction of naming times by peers."""

import random
import unittest

from reedspar.fleet import DaemonChange, DaemonRecord, FleetView, WeightsChange
from reedspar.fleet.messages import VersionAge, VersionAgeRequest
from reedspar.fleet.version_ages import QUERY_WINDOW_S, VersionAges
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.timers import TimerService, VirtualClock

START_S = 100.0


class VersionAgesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(START_S)
        timers = TimerService(self.clock)
        self.view = FleetView(timers)
        for name, region in (("e1", "ra"), ("e2", "ra"), ("e3", "rb")):
            record = DaemonRecord(name, "entry", "a", region, "10.0.0.1", 1, 2)
            self.view.apply(DaemonChange(name, record))
        self.network = FakeNetwork()
        self.ages = VersionAges(
            "e1",
            self.view,
            self.network,  # type: ignore[arg-type]
            timers,
            random.Random(1),
        )
        self.view.apply(WeightsChange("m", 2))

    def named_at_s(self) -> float:
        version = self.view.version_of("m")
        assert version is not None
        return version.named_at_s

    def test_recent_versions_are_requested_from_peers_and_other_regions(
        self,
    ) -> None:
        for _ in range(40):
            self.ages.request_ages(["e2"])
        asked = {peer for peer, _ in self.network.sent}
        self.assertEqual(asked, {"e2", "e3"})
        self.assertLess(len(self.network.sent), 60)
        self.network.sent.clear()
        self.clock.advance(QUERY_WINDOW_S)
        self.ages.request_ages(["e2"])
        self.assertEqual(self.network.sent, [])

    def test_naming_time_moves_earlier_but_never_later(self) -> None:
        self.clock.advance(3.0)
        with self.assertLogs("reedspar.fleet.named_versions", "INFO") as logs:
            self.network.deliver("e2", VersionAge("m", 2, 4000))
        self.assertEqual(vars(logs.records[0])["late_ms"], 1000)
        self.assertAlmostEqual(self.named_at_s(), START_S - 1.0)
        self.network.deliver("e3", VersionAge("m", 2, 500))
        self.assertAlmostEqual(self.named_at_s(), START_S - 1.0)

    def test_answer_uses_earliest_known_naming_time(self) -> None:
        self.network.deliver("e2", VersionAge("m", 2, 700))
        self.clock.advance(2.0)
        self.network.deliver("e3", VersionAgeRequest("m", 2))
        self.assertEqual(self.network.sent, [("e3", VersionAge("m", 2, 2700))])

    def test_skipped_version_is_added_with_its_naming_time(self) -> None:
        # Two versions are named before this daemon learns of any, and the store and its
        # peers report only the second.  The time limit of the version before must count
        # from the naming of the first.
        self.clock.advance(2.0)
        self.view.apply(WeightsChange("m", 4))
        self.network.deliver("e2", VersionAge("m", 3, 1500))
        named = [(i.version, i.named_at_s) for i in self.view.versions_of("m")]
        self.assertEqual(named, [(2, START_S), (3, START_S + 0.5), (4, START_S + 2.0)])

    def test_answer_includes_versions_the_sender_may_lack(self) -> None:
        self.clock.advance(1.0)
        self.view.apply(WeightsChange("m", 3))
        self.network.deliver("e3", VersionAgeRequest("m", 3))
        sent = [age for _, age in self.network.sent]
        self.assertEqual(sent, [VersionAge("m", 2, 1000), VersionAge("m", 3, 0)])

    def test_unknown_version_is_not_answered(self) -> None:
        self.network.deliver("e3", VersionAgeRequest("m", 3))
        self.network.deliver("e3", VersionAge("other", 1, 10))
        self.assertEqual(self.network.sent, [])


if __name__ == "__main__":
    unittest.main()
