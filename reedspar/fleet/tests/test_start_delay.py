"""Tests of how long a daemon that starts waits for its peers."""

import random
import unittest

from reedspar.fleet.start_delay import (
    AGENT_MAX_DELAY_S,
    ENTRY_MAX_DELAY_S,
    ENTRY_QUIET_TIMEOUT_S,
    LATE_DELAY_MAX_S,
    StartDelay,
    create_agent_delay,
    create_entry_delay,
)

ROUND_S = 0.3


class StartDelayTest(unittest.TestCase):
    def wait(self, delay: StartDelay, is_answered: bool) -> float:
        """Return when the delay ends while the first group starts, or is gone."""
        now_s = 0.0
        while not delay.is_over(now_s):
            now_s += ROUND_S
            if is_answered:
                delay.record_peer_starting(now_s)
        return now_s

    def create(self, group: int, is_alone: bool = False, seed: int = 1) -> StartDelay:
        return create_entry_delay(group, is_alone, 0.0, random.Random(seed))

    def test_first_group_waits_for_nobody(self) -> None:
        self.assertEqual(self.wait(self.create(0), True), 0.0)

    def test_later_groups_wait_while_the_first_starts_but_not_for_good(self) -> None:
        ends = [self.wait(self.create(group), True) for group in range(1, 4)]
        self.assertGreaterEqual(ends[0], ENTRY_MAX_DELAY_S)
        self.assertEqual(ends, sorted(set(ends)))

    def test_later_groups_read_soon_if_the_first_is_gone(self) -> None:
        # A daemon starts beside registrations of daemons that have no power.
        self.assertLessEqual(
            self.wait(self.create(3), False), ENTRY_QUIET_TIMEOUT_S + ROUND_S
        )

    def test_daemons_that_know_no_other_read_at_different_times(self) -> None:
        # Each of them read at once, and the link was full for eleven seconds.
        ends = [self.wait(self.create(0, True, seed), False) for seed in range(200)]
        self.assertLessEqual(max(ends), LATE_DELAY_MAX_S + ROUND_S)
        self.assertGreater(
            sum(end > ENTRY_QUIET_TIMEOUT_S + ROUND_S for end in ends), 100
        )
        self.assertGreater(
            sum(end < ENTRY_QUIET_TIMEOUT_S + ROUND_S for end in ends), 20
        )

    def test_agent_comes_after_all_entries(self) -> None:
        rng = random.Random(1)
        alone = create_agent_delay(True, 0.0, rng)
        self.assertGreaterEqual(self.wait(alone, False), LATE_DELAY_MAX_S)
        beside = create_agent_delay(False, 0.0, rng)
        self.assertGreaterEqual(self.wait(beside, True), AGENT_MAX_DELAY_S - ROUND_S)


if __name__ == "__main__":
    unittest.main()
