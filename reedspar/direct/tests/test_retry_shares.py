"""Tests of the retries of all entries together, against the bound on their sum.

The load: every request fails from some time on, and each entry retries what it may.
"""

import unittest
from collections.abc import Callable

from reedspar.direct.retry_shares import SLACK_FRACTION, create_retry_shares
from reedspar.settings import BoundSettings
from reedspar.timers import TimerService, VirtualClock

BOUNDS = BoundSettings(retry_share=0.2, retry_slack=100)
WINDOW_S = 10.0
FAILS_S = 20.0
ENDS_S = 45.0


class Entry:
    """The retry budget of one entry, for which every request is one of a pool."""

    def __init__(self, clock: VirtualClock) -> None:
        self.timers = TimerService(clock)
        self.shares = create_retry_shares(BOUNDS, self.timers)
        self.budget = self.shares.budgets.for_pool("p")


class RetrySharesTest(unittest.TestCase):
    def assert_bound_kept(
        self,
        known: Callable[[float], int] = lambda now_s: 9,
        restarts_s: tuple[float, ...] = (),
        per_s: int = 2,
        count: int = 9,
    ) -> list[float]:
        """Check all windows; return the times of the retries."""
        clock = VirtualClock()
        entries = [Entry(clock) for _ in range(count)]
        retries_s: list[float] = []
        firsts_s: list[float] = []
        for step in range(round(ENDS_S * per_s)):
            now_s = clock.now_s()
            for i in range(count):
                if now_s in restarts_s:
                    entries[i] = Entry(clock)
                entries[i].shares.set_entry_count(known(now_s))
                entries[i].timers.run_due()
                budget = entries[i].budget
                budget.on_first_attempt()
                firsts_s.append(now_s)
                while now_s >= FAILS_S and budget.try_spend():
                    retries_s.append(now_s)
            clock.advance((step + 1) / per_s - now_s)
        for from_s in retries_s:
            if from_s > ENDS_S - WINDOW_S:
                break
            end_s = from_s + WINDOW_S
            retries = sum(from_s <= at_s < end_s for at_s in retries_s)
            firsts = sum(from_s <= at_s < end_s for at_s in firsts_s)
            allowed = BOUNDS.retry_slack + BOUNDS.retry_share * firsts
            self.assertLessEqual(retries, allowed, f"from {from_s} s")
        return retries_s

    def test_calm_entries_use_most_of_the_bound(self) -> None:
        # Guards against broken streams that are not tried again though they may be.
        retries_s = self.assert_bound_kept()
        firsts = 9 * 2 * WINDOW_S
        self.assertGreater(
            sum(at_s < FAILS_S + WINDOW_S for at_s in retries_s),
            0.6 * (BOUNDS.retry_slack + BOUNDS.retry_share * firsts),
        )

    def test_all_entries_that_start_again_keep_the_bound(self) -> None:
        # Guards against a full slack for each new process, while what the earlier
        # ones have used still counts.
        self.assert_bound_kept(restarts_s=(FAILS_S + 2,))

    def test_outage_of_the_registrations_keeps_the_bound(self) -> None:
        # Guards against entries that take themselves for the only one, and the whole
        # slack for theirs, when all registrations lapse.
        self.assert_bound_kept(lambda now_s: 9 if now_s < 5 else 1, per_s=10)

    def test_zones_cut_off_from_each_other_keep_the_bound(self) -> None:
        self.assert_bound_kept(lambda now_s: 9 if now_s < 5 else 3, per_s=10)

    def test_many_entries_keep_the_bound_in_an_outage(self) -> None:
        self.assert_bound_kept(lambda now_s: 46 if now_s < 5 else 1, count=46)

    def test_entries_that_were_removed_are_forgotten(self) -> None:
        # Guards against a smaller slack for good after entries were replaced.
        clock = VirtualClock()
        entry = Entry(clock)
        entry.shares.set_entry_count(18)
        clock.advance(1.0)
        entry.shares.set_entry_count(9)
        for _ in range(40):
            clock.advance(10.0)
            entry.timers.run_due()
            entry.budget.on_first_attempt()
        for _ in range(100):
            entry.budget.on_first_attempt()
        self.assertAlmostEqual(entry.budget.left, SLACK_FRACTION * 100 / 9)


if __name__ == "__main__":
    unittest.main()
