"""Tests of admission, quarantine, retry budgets and routing."""

import heapq
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspar.attempts import CrashSuspect, TargetStatus
from reedspar.configuration import ConfigurationDocument
from reedspar.errors import Failure
from reedspar.requests.admission import AdmissionControl, WorkspaceLimits
from reedspar.requests.quarantine import Quarantine, Standing
from reedspar.requests.retry_budgets import RetryBudget
from reedspar.requests.routing import Router
from reedspar.requests.target_directory import create_target_directory
from reedspar.requests.tests.fakes import DOCUMENT, FakeNetwork, make_report
from reedspar.requests.tests.test_claims import make_order
from reedspar.timers import TimerService, VirtualClock

DETERMINISTIC = settings(max_examples=60, deadline=None, derandomize=True)


class RetryBudgetTest(unittest.TestCase):
    @DETERMINISTIC
    @given(st.lists(st.booleans(), max_size=300), st.floats(0, 1))
    def test_retries_stay_a_share_of_first_attempts(
        self, steps: list[bool], share: float
    ) -> None:
        # All requests fail in an outage.  Without a limit, retries would multiply
        # the load while the targets have the least capacity.
        budget = RetryBudget(share, burst=5)
        firsts = retries = 0
        for is_first in steps:
            if is_first:
                budget.on_first_attempt()
                firsts += 1
            else:
                retries += budget.try_spend()
            self.assertLessEqual(retries, 5 + share * firsts + 1e-6)


class SimulatedPool:
    """Simulation of admission at one entry, and targets with slots and a queue."""

    def __init__(self, capacity: int, seed: int) -> None:
        self.capacity = capacity
        self.rng = random.Random(seed)
        self.control = AdmissionControl()
        self.free_s = [0.0] * capacity
        self.busy: list[tuple[float, float, str]] = []
        self.offered: dict[str, int] = {}
        self.answered: dict[str, int] = {}

    def run(
        self,
        rates: dict[str, float],
        limits: dict[str, WorkspaceLimits],
        seconds: float,
    ) -> None:
        """Send `rates` requests a second of 0.1 s each; count after half the time."""
        names = list(rates)
        now_s = 0.0
        while now_s < seconds:
            now_s += self.rng.expovariate(sum(rates.values()))
            self._end_due(now_s, is_counted=now_s > seconds / 2)
            name = self.rng.choices(names, list(rates.values()))[0]
            if now_s > seconds / 2:
                self.offered[name] = self.offered.get(name, 0) + 1
            if self.control.try_admit(name, limits[name], now_s) is not None:
                continue
            if len(self.busy) >= 2 * self.capacity:
                self.control.on_refused(name, now_s)
            else:
                end_s = max(now_s, heapq.heappop(self.free_s)) + 0.1
                heapq.heappush(self.free_s, end_s)
                self.busy.append((end_s, now_s, name))

    def _end_due(self, now_s: float, is_counted: bool) -> None:
        for item in [item for item in self.busy if item[0] <= now_s]:
            self.busy.remove(item)
            end_s, began_s, name = item
            self.control.on_answered(name, end_s - began_s, end_s)
            if is_counted:
                self.answered[name] = self.answered.get(name, 0) + 1

    def share(self, name: str) -> float:
        """Return the answered share of the requests that a workspace sent."""
        return self.answered.get(name, 0) / self.offered[name]


class AdmissionTest(unittest.TestCase):
    def test_large_workspace_does_not_starve_a_small_one(self) -> None:
        # One workspace sends four times the pool's capacity.  Nearly all of the
        # small workspace's requests must be answered, as they are within its share.
        for seed in range(5):
            pool = SimulatedPool(20, seed)
            limits = dict.fromkeys(("big", "small"), WorkspaceLimits())
            pool.run({"big": 800, "small": 40}, limits, 20)
            self.assertGreater(pool.share("small"), 0.85)
            total = sum(pool.answered.values()) / 10
            self.assertGreater(total, 0.95 * 200)

    def test_long_streams_are_admitted_while_targets_have_spare_capacity(self) -> None:
        # Many streams that take minutes start within a second.  A window that
        # grows only with answers would refuse nearly all, with targets idle.
        control = AdmissionControl()
        limits = WorkspaceLimits(max_in_flight=1000)
        for number in range(400):
            failure = control.try_admit(
                "w", limits, number / 400, has_spare_capacity=True
            )
            self.assertIsNone(failure)

    def test_low_priority_is_refused_first(self) -> None:
        pool = SimulatedPool(20, 1)
        limits = {
            "counter": WorkspaceLimits(share=4, priority=9),
            "batch": WorkspaceLimits(priority=0),
        }
        pool.run({"counter": 120, "batch": 400}, limits, 20)
        self.assertGreater(pool.share("counter"), 0.9)
        self.assertLess(pool.share("batch"), 0.35)

    @DETERMINISTIC
    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3)), max_size=200))
    def test_slots_are_neither_leaked_nor_exceeded(
        self, steps: list[tuple[int, int]]
    ) -> None:
        control = AdmissionControl(window=4)
        held: list[str] = []
        for now_s, (step, number) in enumerate(steps):
            name = f"w{number}"
            if step < 3:
                limits = WorkspaceLimits(max_in_flight=3)
                window = control.window
                if control.try_admit(name, limits, now_s / 10) is None:
                    held.append(name)
                    self.assertLessEqual(len(held), max(1, window))
            elif held:
                name = held.pop()
                handlers = (
                    control.on_refused,
                    control.on_neutral_end,
                    control.on_answered,
                )
                end = handlers[step - 3]
                arguments = ((now_s / 10,), (), (0.1, now_s / 10))[step - 3]
                end(name, *arguments)
            self.assertEqual(control.in_flight, len(held))
            self.assertLessEqual(max(map(held.count, held), default=0), 3)


class QuarantineTest(unittest.TestCase):
    @DETERMINISTIC
    @given(st.integers(0, 2**32))
    def test_only_the_crashing_request_is_blamed(self, seed: int) -> None:
        # A caller repeats a request that crashes every target that runs it, while
        # other requests are in flight there.  The crashing one must be refused
        # after the second crash, or after it has run alone once more.  The others
        # must be clear once they are answered.
        rng = random.Random(seed)
        quarantine = Quarantine()
        bystanders = [f"i{number}" for number in range(6)]
        now_s = crashes = 0.0
        for _ in range(8):
            now_s += rng.uniform(1, 5)
            standing, _ = quarantine.standing("deadly", now_s)
            if standing is Standing.BLAMED:
                break
            is_alone = standing is Standing.SUSPECT
            suspects = {
                name
                for name in bystanders
                if quarantine.standing(name, now_s)[0] is not Standing.CLEAR
            }
            in_flight_bystanders = {name for name in bystanders if rng.random() < 0.4}
            in_flight_bystanders -= suspects if is_alone else set()
            crashes += 1
            crash_id = f"t/{crashes}"
            for _ in range(2):
                names = {"deadly", *in_flight_bystanders}
                quarantine.on_crash(crash_id, map(CrashSuspect, names), now_s, now_s)
            for name in bystanders:
                if rng.random() < 0.7:
                    quarantine.on_answered(name, now_s + 0.5)
                    self.assertIs(
                        quarantine.standing(name, now_s + 0.5)[0], Standing.CLEAR
                    )
        self.assertLessEqual(crashes, 3)
        self.assertIs(quarantine.standing("deadly", now_s)[0], Standing.BLAMED)
        later_s = now_s + quarantine.quarantine_s + 1
        self.assertIs(quarantine.standing("deadly", later_s)[0], Standing.CLEAR)


class RouterTest(unittest.TestCase):
    def choose(self, seed: int, *reports: dict) -> object:
        network = FakeNetwork()
        timers = TimerService(VirtualClock())
        directory = create_target_directory(network, timers)
        for number, changes in enumerate(reports):
            name = f"t{number}"
            network.deliver(name, make_report(name, **changes))
        zones = {"zones": {"out": "out"}}
        document = ConfigurationDocument.model_validate(DOCUMENT.model_dump() | zones)
        router = Router(directory, "a", random.Random(seed))
        return router.choose(make_order("r", ""), document)

    @DETERMINISTIC
    @given(st.integers(0, 1000))
    def test_only_targets_that_accept_work_and_own_zone_first(self, seed: int) -> None:
        leaving = {"status": TargetStatus.LEAVING}
        chosen = self.choose(
            seed,
            leaving,
            {"status": TargetStatus.DOWN},
            {"zone": "out"},
            {"in_flight": 4, "queued": 4},
            {"zone": "b"},
            {"in_flight": 3},
        )
        assert not isinstance(chosen, Failure)
        self.assertEqual(chosen.name, "t5")

    def test_refusal_by_full_targets_has_retry_after(self) -> None:
        failure = self.choose(1, {"in_flight": 4, "queued": 4, "latency_s": 4.0})
        assert isinstance(failure, Failure) and failure.retry_after_s
        self.assertGreater(failure.retry_after_s, 4.0)


if __name__ == "__main__":
    unittest.main()
