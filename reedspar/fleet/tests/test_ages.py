"""Tests of the time at which a version was named, as peers tell it."""

import random
import unittest

from reedspar.fleet import DaemonChange, DaemonRecord, FleetView, WeightsChange
from reedspar.fleet.ages import ASKED_FOR_S, VersionAges
from reedspar.fleet.messages import VersionAge, VersionAgeRequest
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

    def test_peers_are_asked_for_a_while_and_one_of_another_region_at_times(
        self,
    ) -> None:
        for _ in range(40):
            self.ages.ask(["e2"])
        asked = {peer for peer, _ in self.network.sent}
        self.assertEqual(asked, {"e2", "e3"})
        self.assertLess(len(self.network.sent), 60)
        self.network.sent.clear()
        self.clock.advance(ASKED_FOR_S)
        self.ages.ask(["e2"])
        self.assertEqual(self.network.sent, [])

    def test_version_is_put_earlier_and_never_later(self) -> None:
        self.clock.advance(3.0)
        with self.assertLogs("reedspar.fleet.view", "INFO") as logs:
            self.network.deliver("e2", VersionAge("m", 2, 4000))
        self.assertEqual(vars(logs.records[0])["late_ms"], 1000)
        self.assertAlmostEqual(self.named_at_s(), START_S - 1.0)
        self.network.deliver("e3", VersionAge("m", 2, 500))
        self.assertAlmostEqual(self.named_at_s(), START_S - 1.0)

    def test_answer_tells_the_earliest_time_known_here(self) -> None:
        self.network.deliver("e2", VersionAge("m", 2, 700))
        self.clock.advance(2.0)
        self.network.deliver("e3", VersionAgeRequest("m", 2))
        self.assertEqual(self.network.sent, [("e3", VersionAge("m", 2, 2700))])

    def test_version_that_this_daemon_skipped_still_ends_the_one_before(self) -> None:
        # Two versions were named before this daemon heard: the store and its peers told
        # only of the second, and the first one's bound was counted from that.
        self.clock.advance(2.0)
        self.view.apply(WeightsChange("m", 4))
        self.network.deliver("e2", VersionAge("m", 3, 1500))
        named = [(i.version, i.named_at_s) for i in self.view.versions_of("m")]
        self.assertEqual(named, [(2, START_S), (3, START_S + 0.5), (4, START_S + 2.0)])

    def test_answer_tells_of_versions_that_the_asker_may_have_skipped(self) -> None:
        self.clock.advance(1.0)
        self.view.apply(WeightsChange("m", 3))
        self.network.deliver("e3", VersionAgeRequest("m", 3))
        sent = [age for _, age in self.network.sent]
        self.assertEqual(sent, [VersionAge("m", 2, 1000), VersionAge("m", 3, 0)])

    def test_version_that_is_not_known_here_has_no_age(self) -> None:
        self.network.deliver("e3", VersionAgeRequest("m", 3))
        self.network.deliver("e3", VersionAge("other", 1, 10))
        self.assertEqual(self.network.sent, [])


if __name__ == "__main__":
    unittest.main()
