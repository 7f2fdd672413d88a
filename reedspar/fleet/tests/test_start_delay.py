"""Tests of how long a starting daemon waits for its peers."""

import random
import unittest

from reedspar.fleet.start_delay import (
    AGENT_DELAY_MAX_S,
    ENTRY_DELAY_MAX_S,
    ENTRY_QUIET_TIMEOUT_S,
    LATE_DELAY_MAX_S,
    StartDelay,
    create_agent_delay,
    create_entry_delay,
)

CHECK_INTERVAL_S = 0.3


class StartDelayTest(unittest.TestCase):
    def wait(self, delay: StartDelay, is_first_group_starting: bool) -> float:
        """Return when the delay ends while the first group is starting or absent."""
        now_s = 0.0
        while not delay.is_over(now_s):
            now_s += CHECK_INTERVAL_S
            if is_first_group_starting:
                delay.record_peer_starting(now_s)
        return now_s

    def create(
        self, group: int, is_without_peers: bool = False, seed: int = 1
    ) -> StartDelay:
        return create_entry_delay(group, is_without_peers, 0.0, random.Random(seed))

    def test_first_group_does_not_wait(self) -> None:
        self.assertEqual(self.wait(self.create(0), True), 0.0)

    def test_later_groups_wait_limited_time_while_first_starts(self) -> None:
        ends = [self.wait(self.create(group), True) for group in range(1, 4)]
        self.assertGreaterEqual(ends[0], ENTRY_DELAY_MAX_S)
        self.assertEqual(ends, sorted(set(ends)))

    def test_later_groups_read_soon_if_first_is_absent(self) -> None:
        # A daemon starts while daemons without power are still registered.
        self.assertLessEqual(
            self.wait(self.create(3), False), ENTRY_QUIET_TIMEOUT_S + CHECK_INTERVAL_S
        )

    def test_daemons_without_known_peers_read_at_different_times(self) -> None:
        # When all of them read at once, the link was saturated for eleven seconds.
        ends = [self.wait(self.create(0, True, seed), False) for seed in range(200)]
        self.assertLessEqual(max(ends), LATE_DELAY_MAX_S + CHECK_INTERVAL_S)
        self.assertGreater(
            sum(end > ENTRY_QUIET_TIMEOUT_S + CHECK_INTERVAL_S for end in ends), 100
        )
        self.assertGreater(
            sum(end < ENTRY_QUIET_TIMEOUT_S + CHECK_INTERVAL_S for end in ends), 20
        )

    def test_agent_waits_longer_than_entries(self) -> None:
        rng = random.Random(1)
        without_peers = create_agent_delay(True, 0.0, rng)
        self.assertGreaterEqual(self.wait(without_peers, False), LATE_DELAY_MAX_S)
        with_peers = create_agent_delay(False, 0.0, rng)
        self.assertGreaterEqual(
            self.wait(with_peers, True), AGENT_DELAY_MAX_S - CHECK_INTERVAL_S
        )


if __name__ == "__main__":
    unittest.main()
