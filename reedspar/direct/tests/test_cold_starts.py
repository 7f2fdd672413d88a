"""Tests of the request rate at cold targets while many entries start."""

import random
import unittest
from dataclasses import dataclass
from unittest import mock

from reedspar.direct.cold_limits import ENTRIES_SETTLE_TIME_S, ColdLimits
from reedspar.direct.loads import TargetLoad
from reedspar.utils import rank_by_rendezvous

STEP_S = 0.05
START_SPREAD_S = 1.5
"""Time within which all entries start after a power loss."""
REGISTER_S = 0.05
NOTIFY_DELAY_MAX_S = 1.0
"""Longest delay of a notification; registrations are sent in batches."""
SIMULATED_S = 8.0
TARGETS = 4


@dataclass(frozen=True, slots=True)
class Fleet:
    """Size of a fleet, and the rate granted for each cold target."""

    entries: int
    targets: int
    rate_per_s: float

    @property
    def max_per_second(self) -> float:
        """Return the most requests that a cold target can take within a second."""
        return 1.5 * self.rate_per_s + 5


FLEETS = (Fleet(9, 9, 36.0), Fleet(38, 33, 20.0), Fleet(46, 21, 20.0))
LARGE_FLEET = Fleet(100, 51, 14.0)


def simulate_starts(fleet: Fleet, target_id: str) -> list[float]:
    """Return the times of requests to the only serving target."""
    rng = random.Random(target_id)
    names = [f"entry-{i}" for i in range(fleet.entries)]
    started_s = {name: rng.uniform(0.0, START_SPREAD_S) for name in names}
    notify_delay_s = {name: rng.uniform(0.0, NOTIFY_DELAY_MAX_S) for name in names}
    limits = {name: ColdLimits(name) for name in names}
    loads = {name: TargetLoad() for name in names}
    for name, limit in limits.items():
        limit.set_target_count(fleet.targets)
        limit.begin_startup(started_s[name])
    known_names: dict[str, frozenset[str]] = {}
    sent: list[float] = []
    for step in range(round(SIMULATED_S / STEP_S)):
        now_s = step * STEP_S
        for name in names:
            if now_s < started_s[name]:
                continue
            limit, load = limits[name], loads[name]
            if now_s < START_SPREAD_S + REGISTER_S + NOTIFY_DELAY_MAX_S + 2 * STEP_S:
                until_s = now_s - notify_delay_s[name] - REGISTER_S
                known = frozenset(n for n in names if started_s[n] < until_s)
                if known != known_names.get(name):
                    known_names[name] = known
                    limit.set_entries(known)
                    limit.record_entries_change(now_s)
            if limit.may_send(target_id, load, fleet.rate_per_s, now_s):
                limit.record_sent(load, fleet.rate_per_s, now_s)
                sent.append(now_s)
    return sent


def count_peak_second(sent: list[float]) -> int:
    """Return the highest number of requests within one second."""
    return max(sum(start <= at < start + 1.0 for at in sent) for start in sent)


class StartTest(unittest.TestCase):
    def check_peak(self, fleet: Fleet) -> None:
        for i in range(TARGETS):
            sent = simulate_starts(fleet, f"t{i}")
            self.assertLessEqual(count_peak_second(sent), fleet.max_per_second)

    def test_simultaneous_starts_do_not_overload_a_cold_target(self) -> None:
        # Guards against entries that know few others after a power loss and each claim
        # too large a part of the rate.
        for fleet in FLEETS:
            with self.subTest(entries=fleet.entries):
                self.check_peak(fleet)

    def test_simultaneous_starts_on_a_large_site_do_not_overload_a_cold_target(
        self,
    ) -> None:
        self.check_peak(LARGE_FLEET)

    def test_cold_target_gets_most_of_its_rate_after_startup(self) -> None:
        for fleet in (*FLEETS, LARGE_FLEET):
            with self.subTest(entries=fleet.entries):
                sent = simulate_starts(fleet, "t0")
                late = [at for at in sent if at >= SIMULATED_S - 2.0]
                self.assertGreater(len(late), 0.8 * 2.0 * fleet.rate_per_s)

    def test_entry_restarting_alone_may_send_after_settle_time(self) -> None:
        # Guards against startup limits that outlast the settle time although all
        # entries are known from the start.
        fleet = FLEETS[0]
        limit = ColdLimits("entry-0")
        limit.set_entries(f"entry-{i}" for i in range(fleet.entries))
        limit.set_target_count(fleet.targets)
        limit.begin_startup(0.0)
        now_s = ENTRIES_SETTLE_TIME_S
        for i in range(TARGETS):
            load = TargetLoad()
            self.assertTrue(limit.may_send(f"t{i}", load, fleet.rate_per_s, now_s))


class RankingCacheTest(unittest.TestCase):
    def test_target_is_ranked_once_until_entries_change(self) -> None:
        # Guards against thousands of hashes per request after a power loss, when all
        # targets are cold: this takes milliseconds of CPU time.
        limit = ColdLimits("entry-0")
        limit.set_entries(f"entry-{i}" for i in range(LARGE_FLEET.entries))
        with mock.patch(
            "reedspar.direct.sender_ranking.rank_by_rendezvous",
            wraps=rank_by_rendezvous,
        ) as rank:
            for round_index in range(3):
                for i in range(TARGETS):
                    rate_per_s = LARGE_FLEET.rate_per_s
                    limit.may_send(
                        f"t{i}", TargetLoad(), rate_per_s, float(round_index)
                    )
            self.assertEqual(rank.call_count, TARGETS)
            limit.set_entries(["entry-1"])
            limit.set_entries(f"entry-{i}" for i in range(LARGE_FLEET.entries))
            limit.may_send("t0", TargetLoad(), LARGE_FLEET.rate_per_s, 4.0)
            self.assertEqual(rank.call_count, TARGETS + 1)


if __name__ == "__main__":
    unittest.main()
