"""Tests of the choice of targets under load by many independent entries.

The loads are those of busy days: within and at the capacity of ten engines, a quarter
above the capacity of five engines while others still load weights, and a large site.
The asserted bounds lie between the results of the current rules and of the faulty ones
that the tests describe.
"""

import unittest

from bench import version_switch
from bench.target_choice import SCENARIOS, Outcomes, simulate

SIMULATED_S = 12.0


class ManyDecidersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loads = {load.name: load for load in SCENARIOS}

    def simulate(self, name: str) -> Outcomes:
        return simulate(self.loads[name], SIMULATED_S)

    def test_load_within_capacity_is_served(self) -> None:
        outcomes = self.simulate("borne, nine entries")
        self.assertGreater(outcomes.worth, 0.95)

    def test_load_above_capacity_is_refused_and_not_late(self) -> None:
        # Guards against late answers when five engines have weights but ten are needed.
        # When each entry filled the engines up to the latency goal, based only on the
        # load that it knew, one answer in eight was late.
        outcomes = self.simulate("a quarter over, five engines")
        self.assertLess(outcomes.late, 0.08)
        self.assertGreater(outcomes.worth, 0.7)

    def test_many_entries_refuse_excess_load(self) -> None:
        # Guards against taking engines for idle: each of 46 entries sends an engine a
        # fortieth of its load.  Without refusals half of the answers were late.
        outcomes = self.simulate("at the limit, 46 entries")
        self.assertLess(outcomes.late, 0.4)
        self.assertGreater(outcomes.worth, 0.64)

    def test_many_entries_serve_load_within_capacity(self) -> None:
        # Guards against taking engines for idle between reports: with 38 entries and 29
        # engines, an entry gets a report of one engine every few seconds.  Four answers
        # in ten began late although the engines have the capacity.
        outcomes = self.simulate("heavy, 38 entries")
        self.assertLess(outcomes.late, 0.08)
        self.assertGreater(outcomes.worth, 0.8)


class RecoveryTest(unittest.TestCase):
    def test_load_within_capacity_is_served_soon_after_an_overload(self) -> None:
        # Guards against refusals for seconds after all targets are available again.
        # An entry that refuses every request gets no report that contradicts it, and
        # the first target that serves again reports a queue filled by all entries.
        scenarios = {s.name: s for s in version_switch.SCENARIOS}
        for name in ("staged after 5.2 s", "staged after 6.6 s"):
            with self.subTest(name):
                outcome = version_switch.simulate(scenarios[name])
                self.assertGreater(outcome.worth_after, 0.8)


if __name__ == "__main__":
    unittest.main()
