"""Tests of the choice of targets under load: many entries that decide by themselves.

The loads are those of heavy days: what ten engines bear, what they just bear, a quarter
more than five engines bear while others still get their weights, and a large site.  The
bounds lie between what the present figures reach and what the ones before reached.
"""

import unittest

from bench.many_deciders import LOADS, Outcomes, play

SECONDS = 12.0


class ManyDecidersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loads = {load.name: load for load in LOADS}

    def play(self, name: str) -> Outcomes:
        return play(self.loads[name], SECONDS)

    def test_load_that_engines_bear_is_served(self) -> None:
        outcomes = self.play("borne, nine entries")
        self.assertGreater(outcomes.worth, 0.95)

    def test_load_above_capacity_is_refused_and_not_late(self) -> None:
        # Five engines have weights when ten are needed.  Each entry filled them up to
        # the last moment by what it knew, and one answer in eight came late.
        outcomes = self.play("a quarter over, five engines")
        self.assertLess(outcomes.late, 0.08)
        self.assertGreater(outcomes.worth, 0.7)

    def test_many_entries_refuse_though_each_sees_little(self) -> None:
        # Forty-six entries each send an engine a fortieth of what it gets, and took
        # it for idle.  Nobody was refused, and half of the answers came late.
        outcomes = self.play("at the limit, 46 entries")
        self.assertLess(outcomes.late, 0.4)
        self.assertGreater(outcomes.worth, 0.64)

    def test_entries_that_hear_little_serve_what_the_engines_bear(self) -> None:
        # Thirty-eight entries stand before twenty-nine engines.  Each hears of one
        # engine every few seconds and took it for idle in between; four answers in ten
        # began late though the engines bear the load.
        outcomes = self.play("heavy, 38 entries")
        self.assertLess(outcomes.late, 0.08)
        self.assertGreater(outcomes.worth, 0.8)


if __name__ == "__main__":
    unittest.main()
