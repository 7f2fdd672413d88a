"""Tests of the named versions of a model's weights."""

import random
import unittest

from reedspar.direct.versions import VersionRule
from reedspar.fleet import FleetView, WeightsChange
from reedspar.fleet.messages import VersionAge, VersionAgeRequest
from reedspar.fleet.named_versions import VERSIONS_PER_MODEL_MAX
from reedspar.fleet.version_ages import VersionAges
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.timers import TimerService, VirtualClock

MODEL = "m"
BOUND_S = 8.0
INTERVALS_S = (0.05, 0.5, 1.0, 1.5, 4.0)
COUNTS = (5, 8, 40, 400)


class NamedVersionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.timers = TimerService(self.clock)
        self.view = FleetView(self.timers)
        self.rule = VersionRule(self.view, self.timers, BOUND_S)
        self.rule.record_store_listing()
        self.clock.advance(10.0)

    def test_replaced_version_never_serves_again_however_many_are_named(self) -> None:
        # Guards against requests that begin on weights that expired long before, since
        # the naming time of the first newer version was forgotten.
        for interval_s in INTERVALS_S:
            for count in COUNTS:
                with self.subTest(interval_s=interval_s, count=count):
                    self.setUp()
                    expires_s: dict[int, float] = {}
                    for version in range(1, count + 1):
                        self.view.apply(WeightsChange(MODEL, version))
                        if version > 1:
                            expires_s[version - 1] = self.clock.now_s() + BOUND_S
                        expired = [
                            old
                            for old, until_s in expires_s.items()
                            if until_s <= self.clock.now_s()
                        ]
                        served = [v for v in expired if self.rule.may_serve(MODEL, v)]
                        self.assertEqual(served, [])
                        self.clock.advance(interval_s)
                    self.assertTrue(self.rule.may_serve(MODEL, count))

    def test_version_serves_until_its_successor_must_be_in_use(self) -> None:
        # Guards against versions that expire long before their time because others are
        # named in quick succession.
        for version in range(1, 20):
            self.view.apply(WeightsChange(MODEL, version))
            self.clock.advance(0.5)
        deadline_s = self.rule.service_deadline_s(MODEL, 18)
        self.assertGreater(deadline_s, self.clock.now_s() + BOUND_S - 1.0)

    def test_memory_and_messages_are_bounded(self) -> None:
        # Guards against state and messages that grow with each version that is named.
        network = FakeNetwork()
        ages = VersionAges("e1", self.view, network, self.timers, random.Random(1))  # type: ignore[arg-type]
        for version in range(1, 1_000):
            self.view.apply(WeightsChange(MODEL, version))
        self.assertEqual(len(self.view.versions_of(MODEL)), VERSIONS_PER_MODEL_MAX)
        ages.request_ages(["e2"])
        self.assertEqual(len(network.sent_of(VersionAgeRequest)), 1)
        network.deliver("e2", VersionAgeRequest(MODEL, 999))
        answers = network.sent_of(VersionAge)
        self.assertEqual(len(answers), VERSIONS_PER_MODEL_MAX)

    def test_late_daemon_learns_the_times_of_all_versions_from_a_peer(self) -> None:
        # Guards against an older version that serves longer at a daemon that learned of
        # several newer ones at once.
        network = FakeNetwork()
        VersionAges("e1", self.view, network, self.timers, random.Random(1))  # type: ignore[arg-type]
        self.view.apply(WeightsChange(MODEL, 1))
        self.view.apply(WeightsChange(MODEL, 9))
        for version in range(2, 10):
            age_ms = round((9 - version) * 1500)
            network.deliver("e2", VersionAge(MODEL, version, age_ms))
        deadline_s = self.rule.service_deadline_s(MODEL, 1)
        self.assertLess(deadline_s, self.clock.now_s() - 7 * 1.5 + BOUND_S)


if __name__ == "__main__":
    unittest.main()
