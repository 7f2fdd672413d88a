"""Tests of the retries of all entries together, against the bound on their sum.

The load: every request fails from some time on, and each entry retries what it may.
"""

import random
import unittest
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field

from reedspar.direct.retry_shares import (
    REGISTRATION_S,
    SLACK_FRACTION,
    STANDSTILL_S,
    STARTUP_FRACTION,
    create_retry_shares,
)
from reedspar.settings import BoundSettings
from reedspar.timers import TimerService, VirtualClock

BOUNDS = BoundSettings(retry_share=0.2, retry_slack=100)
WINDOW_S = 10.0
FAILS_S = 20.0
ENDS_S = 45.0
KILL_SHARE = 0.02
"""Share of the steps at which an entry starts anew, where entries are drawn."""
CHANGE_SHARE = 0.1
"""Share of the steps at which requests begin or cease to fail, where it is drawn."""


class Entry:
    """The retry budget of one entry, for which every request is one of a pool."""

    def __init__(self, clock: VirtualClock, linked: int = 0) -> None:
        self.timers = TimerService(clock)
        self.shares = create_retry_shares(BOUNDS, self.timers, lambda: linked)
        self.budget = self.shares.budgets.for_pool("p")
        self._has_listing = False

    def hear(self, count: int | None) -> None:
        """Take in the registrations; None: the store does not answer."""
        if count is not None:
            if not self._has_listing:
                self._has_listing = True
                self.shares.record_listing()
            self.shares.set_entry_count(count)
        self.timers.run_due()


@dataclass
class RetryLoad:
    """Requests that all fail from `FAILS_S` on, at entries killed in series."""

    count: int = 9
    per_s: int = 2
    """Requests a second at each entry."""
    known: Callable[[float], int | None] = lambda now_s: 9
    """Entries that are registered, by time; None while the store is away."""
    kills_s: tuple[float, ...] = ()
    """Times at which all entries start anew."""
    turned_away: int = 0
    """Entries that the store turns away; they know all, and are never killed.

    The others have links to them."""
    fails_s: float = FAILS_S
    """Time from which all requests fail."""
    rng: random.Random | None = None
    """Draws single entries that start anew, and the times in which requests fail."""
    retries_s: list[float] = field(default_factory=list)
    firsts_s: list[float] = field(default_factory=list)

    def __str__(self) -> str:
        kills = ", ".join(f"{at_s:g}" for at_s in self.kills_s)
        return f"{self.count} entries, {self.per_s} a second each, killed at {kills}"

    def run(self) -> "RetryLoad":
        """Run to the end; each entry retries whatever its budget allows."""
        clock = VirtualClock()
        entries = [Entry(clock) for _ in range(self.count)]
        kills_s = list(self.kills_s)
        is_failing = False
        ends_s = self.fails_s + ENDS_S - FAILS_S
        for step in range(round(ends_s * self.per_s)):
            now_s = clock.now_s()
            if kills_s and now_s >= kills_s[0]:
                kills_s.pop(0)
                entries[self.turned_away :] = [
                    Entry(clock, self.turned_away)
                    for _ in range(self.count - self.turned_away)
                ]
            is_failing = self._is_failing(now_s, is_failing)
            for i, entry in enumerate(entries):
                if self._is_drawn(KILL_SHARE):
                    entries[i] = entry = Entry(clock)
                is_turned_away = i < self.turned_away
                entry.hear(self.count if is_turned_away else self.known(now_s))
                entry.budget.on_first_attempt()
                self.firsts_s.append(now_s)
                while is_failing and entry.budget.try_spend():
                    self.retries_s.append(now_s)
            clock.advance((step + 1) / self.per_s - now_s)
        return self

    def _is_failing(self, now_s: float, is_failing: bool) -> bool:
        if self.rng is None:
            return now_s >= self.fails_s
        return is_failing != self._is_drawn(CHANGE_SHARE)

    def _is_drawn(self, share: float) -> bool:
        return self.rng is not None and self.rng.random() < share

    def largest_use(self) -> float:
        """Return the largest number of retries in a window, as a share of the bound."""
        return max(
            (self._use(from_s) for from_s in sorted(set(self.retries_s))), default=0.0
        )

    def _use(self, from_s: float) -> float:
        end_s = from_s + WINDOW_S
        firsts = bisect_left(self.firsts_s, end_s) - bisect_left(self.firsts_s, from_s)
        retries = bisect_left(self.retries_s, end_s) - bisect_left(
            self.retries_s, from_s
        )
        return retries / (BOUNDS.retry_slack + BOUNDS.retry_share * firsts)


class RetrySharesTest(unittest.TestCase):
    def assert_bound_kept(self, *loads: RetryLoad) -> None:
        uses = [(load.run().largest_use(), str(load)) for load in loads]
        self.assertEqual([], [(use, load) for use, load in uses if use > 1.0])

    def test_calm_entries_use_most_of_the_bound(self) -> None:
        # Guards against broken streams that are not tried again though they may be.
        load = RetryLoad(fails_s=REGISTRATION_S + WINDOW_S + STANDSTILL_S + 5)
        self.assert_bound_kept(load)
        self.assertGreater(load.largest_use(), 0.6)

    def test_entries_that_have_just_started_use_much_of_the_bound(self) -> None:
        # Guards against broken streams that are not tried again for long after a start.
        load = RetryLoad(fails_s=REGISTRATION_S + WINDOW_S + 2)
        self.assert_bound_kept(load)
        self.assertGreater(load.largest_use(), 0.4)

    def test_all_entries_that_start_again_keep_the_bound(self) -> None:
        # Guards against a full slack for each new process, while what the earlier
        # ones have used still counts.
        self.assert_bound_kept(RetryLoad(kills_s=(FAILS_S + 2,)))

    def test_entries_killed_in_series_keep_the_bound(self) -> None:
        # Guards against an allowance for each new process of an entry, which adds up
        # where all of them are killed several times within a window.
        self.assert_bound_kept(
            *(
                RetryLoad(count, per_s, _constant(count), _kill_times(interval_s))
                for count in (6, 9, 46)
                for interval_s in (1.0, 1.8, 2.0, 3.0)
                for per_s in (2, 20)
            )
        )

    def test_entries_that_start_again_at_any_time_keep_the_bound(self) -> None:
        # Guards against a budget that is filled up for what the window still holds.
        self.assert_bound_kept(
            *(RetryLoad(rng=random.Random(seed), per_s=4) for seed in range(40))
        )

    def test_quiet_entry_has_its_parts_in_time(self) -> None:
        # Guards against quiet pools whose first broken stream is not tried again, and
        # against a whole part while targets may read that of the process before.
        clock = VirtualClock()
        entry = Entry(clock)
        for duration_s, fraction in (
            (round(WINDOW_S) + 3, STARTUP_FRACTION),
            (round(STANDSTILL_S) - 4, STARTUP_FRACTION),
            (2, SLACK_FRACTION),
        ):
            for _ in range(duration_s):
                clock.advance(1.0)
                entry.hear(9)
            self.assertAlmostEqual(entry.budget.left, fraction * 100 / 9)
            new_budget = entry.shares.budgets.for_pool(f"after {duration_s} more")
            self.assertAlmostEqual(new_budget.left, fraction * 100 / 9)

    def test_entries_that_start_while_the_store_is_away_keep_the_bound(self) -> None:
        # Guards against new processes that take themselves for the only ones, as they
        # have heard of no registration.
        self.assert_bound_kept(
            *(
                RetryLoad(count, 20, _away_until(returns_s, count), (5.0,))
                for count in (6, 9, 46)
                for returns_s in (FAILS_S - 2, FAILS_S + 8, ENDS_S)
            )
        )

    def test_outage_of_the_registrations_keeps_the_bound(self) -> None:
        # Guards against entries that take themselves for the only one, and the whole
        # slack for theirs, when all registrations lapse.
        known = _fall_at(5.0, 9, 1)
        self.assert_bound_kept(RetryLoad(per_s=10, known=known))

    def test_zones_cut_off_from_each_other_keep_the_bound(self) -> None:
        known = _fall_at(5.0, 9, 3)
        self.assert_bound_kept(RetryLoad(per_s=10, known=known))

    def test_entries_that_the_store_turns_away_count(self) -> None:
        # Guards against entries that start again and count only each other, while
        # others serve callers whose registrations have lapsed.
        self.assert_bound_kept(
            *(
                RetryLoad(
                    count,
                    known=_fall_at(5.0, count, count // 3),
                    kills_s=(6.0,),
                    turned_away=count - count // 3,
                    fails_s=60.0,
                )
                for count in (9, 18, 45)
            )
        )

    def test_many_entries_keep_the_bound_in_an_outage(self) -> None:
        self.assert_bound_kept(RetryLoad(46, known=_fall_at(5.0, 46, 1)))

    def test_entries_that_were_removed_are_forgotten(self) -> None:
        # Guards against a smaller slack for good after entries were replaced.
        clock = VirtualClock()
        entry = Entry(clock)
        entry.hear(18)
        clock.advance(REGISTRATION_S)
        clock.advance(1.0)
        entry.hear(9)
        for _ in range(40):
            clock.advance(10.0)
            entry.timers.run_due()
            entry.budget.on_first_attempt()
        for _ in range(100):
            entry.budget.on_first_attempt()
        self.assertAlmostEqual(entry.budget.left, SLACK_FRACTION * 100 / 9)


def _constant(count: int) -> Callable[[float], int | None]:
    return lambda now_s: count


def _away_until(returns_s: float, count: int) -> Callable[[float], int | None]:
    """Return registrations that have lapsed when the store comes back."""

    def known(now_s: float) -> int | None:
        if now_s < 4 or now_s >= returns_s + 1:
            return count
        return 1 if now_s >= returns_s else None

    return known


def _kill_times(interval_s: float) -> tuple[float, ...]:
    return tuple(FAILS_S + i * interval_s for i in range(1, 6))


def _fall_at(at_s: float, before: int, after: int) -> Callable[[float], int | None]:
    return lambda now_s: before if now_s < at_s else after


if __name__ == "__main__":
    unittest.main()
