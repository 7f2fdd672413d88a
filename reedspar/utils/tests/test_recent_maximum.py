"""Tests of the largest value of a period."""

import unittest

from reedspar.utils import RecentMaximum


class RecentMaximumTest(unittest.TestCase):
    def test_value_counts_until_a_period_after_its_end(self) -> None:
        recent = RecentMaximum(10.0)
        self.assertEqual(recent.read(0.0), 0.0)
        for at_s, value in ((0.0, 9), (20.0, 3), (22.0, 5), (23.0, 1)):
            recent.record(value, at_s)
        self.assertEqual(recent.read(29.0), 9)
        self.assertEqual(recent.read(31.0), 5)
        self.assertEqual(recent.read(40.0), 1)


if __name__ == "__main__":
    unittest.main()
