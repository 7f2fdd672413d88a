"""Tests of what requests that crash targets cost sound ones, under load.

The load: 30 sound streams a second, whose first and second prompt parts are one of
three each, and five crashing requests a second for 20 s, at 16 targets.
"""

import unittest
from typing import Any

from reedspar.attempts import CrashSuspect
from reedspar.requests.crash_records import Cause
from reedspar.requests.quarantine import Quarantine, Standing, Verdict
from reedspar.requests.tests.crash_load import DENSE, Kind, Load

LATE_RUNS_MAX = 3
WRONGLY_BLAMED_MAX_S = 1.0
SERVED_SHARE_MIN = 0.95
SERVED_AFTER_SHARE_MIN = 0.99
AFTER_S = 2.0
"""Time after the last crash from which all but a hundredth must be served."""
SEEDS = range(4)
DENSE_SEEDS = range(8, 12)


class ReplacementTest(unittest.TestCase):
    """A verdict that a better explanation replaces."""

    def setUp(self) -> None:
        self.quarantine = Quarantine()
        self.verdicts: list[Verdict] = []
        self.quarantine.on_verdict(self.verdicts.append)
        self.parts = Cause(prompt_parts=frozenset({"popular"}))
        self.quarantine.adopt_verdict(Verdict(self.parts, 2.0, is_blamed=True))

    def crash(self, count: int) -> None:
        for number in range(count):
            beside = CrashSuspect(f"r{number}", ("other",), f"b{number}")
            deadly = CrashSuspect("deadly", ("popular",), f"a{number}")
            at_s = 1.0 + number / 10
            self.quarantine.on_crash(f"t/{number}", [deadly, beside], at_s, at_s)

    def is_refused(self) -> bool:
        standing, _ = self.quarantine.standing("new", 2.0, ("popular",))
        return standing is Standing.BLAMED

    def test_parts_are_set_free_once_a_request_explains_their_crashes(self) -> None:
        # Guards against refusing a third of all requests for 300 s for one request.
        self.assertTrue(self.is_refused())
        self.crash(3)
        self.assertFalse(self.is_refused())
        replaced = Verdict(self.parts, 2.0, is_blamed=False, is_replaced=True)
        self.assertEqual(self.verdicts[-1], replaced)

    def test_replaced_verdict_is_not_adopted_again(self) -> None:
        # Guards against entries that tell each other of stale blame without end.
        self.crash(3)
        self.quarantine.adopt_verdict(Verdict(self.parts, 2.1, is_blamed=True))
        self.assertFalse(self.is_refused())

    def test_replacement_by_another_entry_is_no_answer(self) -> None:
        # Guards against clearing parts for good though nothing with them was answered.
        replaced = Verdict(self.parts, 2.0, is_blamed=False, is_replaced=True)
        self.quarantine.adopt_verdict(replaced)
        self.assertFalse(self.is_refused())
        self.assertEqual(
            self.quarantine.history.last_answer_s("popular"), float("-inf")
        )

    def test_part_that_explains_more_than_a_request_stays_blamed(self) -> None:
        # Guards against setting a part free while targets go on ending, since a request
        # that crashes targets by itself was in flight at most of its crashes.
        for number in range(40):
            parts = ("first", "popular")
            self.quarantine.history.record_attempt(("", ""), f"a{number}", parts)
        for cause in (Cause(prompt_parts=frozenset({"bad"})), Cause("deadly")):
            self.quarantine.adopt_verdict(Verdict(cause, 0.5, is_blamed=True))
        for number in range(6):
            suspects = [CrashSuspect(f"r{number}", ("first", "bad"), f"b{number}")]
            if number < 4:
                suspects.append(CrashSuspect("deadly", ("popular",), f"a{number}"))
            at_s = 1.0 + number / 10
            self.quarantine.on_crash(f"t/{number}", suspects, at_s, at_s)
        standing, _ = self.quarantine.standing("new", 2.0, ("first", "bad"))
        self.assertIs(standing, Standing.BLAMED)

    def test_common_request_is_set_free_once_others_explain_its_crashes(self) -> None:
        # Guards against refusing a request that many callers send alike for 300 s: once
        # it is refused it is neither answered nor at any further crash.
        for number in range(40):
            name = "alike" if number % 3 == 0 else f"a{number}"
            self.quarantine.history.record_attempt(("", ""), name, ())
        alike = Cause("alike")
        self.quarantine.adopt_verdict(Verdict(alike, 0.5, is_blamed=True))
        for number in range(6):
            deadly = CrashSuspect(f"deadly{number % 2}", (), f"a{number}")
            beside = CrashSuspect("alike", (), f"b{number}")
            at_s = 1.0 + number / 10
            self.quarantine.on_crash(f"t/{number}", [deadly, beside], at_s, at_s)
        self.assertIs(self.quarantine.standing("alike", 2.0)[0], Standing.SUSPECT)
        for name in ("deadly0", "deadly1"):
            self.assertIs(self.quarantine.standing(name, 2.0)[0], Standing.BLAMED)

    def test_common_request_is_set_free_by_an_entry_that_knows_few_answers(
        self,
    ) -> None:
        # Guards against the same at entries that have just started.
        for number in range(8):
            name = "alike" if number % 3 == 0 else f"a{number}"
            self.quarantine.history.record_attempt(("", ""), name, ())
        alike = Cause("alike")
        self.quarantine.adopt_verdict(Verdict(alike, 0.5, is_blamed=True))
        for number in range(9):
            suspects = [CrashSuspect(f"r{number}", ("bad",), f"b{number}")]
            if number < 5:
                suspects.append(CrashSuspect("alike", (), f"a{number}"))
                suspects.append(CrashSuspect(f"s{number}", ("other",), f"c{number}"))
            at_s = 1.0 + number / 10
            self.quarantine.on_crash(f"t/{number}", suspects, at_s, at_s)
        standing, _ = self.quarantine.standing("alike", 2.0)
        self.assertIsNot(standing, Standing.BLAMED)
        standing, _ = self.quarantine.standing("new", 2.0, ("bad",))
        self.assertIs(standing, Standing.BLAMED)

    def test_attempts_of_one_arrival_are_no_new_evidence(self) -> None:
        # Guards against blaming a sound request that an entry tries again.
        for number in range(4):
            tried = CrashSuspect("tried", (), "a1")
            beside = CrashSuspect(f"r{number}", (), f"b{number}")
            self.quarantine.on_crash(f"t/{number}", [tried, beside], number, number)
        standing, _ = self.quarantine.standing("tried", 4.0)
        self.assertIs(standing, Standing.SUSPECT)


class CrashLoadTest(unittest.TestCase):
    def assert_kept(self, load: Load, label: str) -> None:
        """Check all bounds of a load that has run."""
        for kind in load.kinds:
            self.assertGreater(len(kind.crashes_s), 0, label)
            late = [at_s for at_s in kind.runs_s if at_s > kind.bound_s]
            self.assertLessEqual(len(late), LATE_RUNS_MAX, f"{label} {kind.name}")
        wrong = {
            key: round(for_s, 2)
            for key, for_s in load.wrongly_blamed_s.items()
            if for_s > WRONGLY_BLAMED_MAX_S
        }
        self.assertEqual(wrong, {}, label)
        bound_s = max(kind.bound_s for kind in load.kinds)
        last_s = max(at_s for kind in load.kinds for at_s in kind.crashes_s)
        self.assertGreaterEqual(load.served_share(bound_s, 32.0), SERVED_SHARE_MIN)
        after = load.served_share(last_s + AFTER_S, 32.0)
        self.assertGreaterEqual(after, SERVED_AFTER_SHARE_MIN, label)

    def run_loads(
        self, *kinds: tuple[str, bool], seeds: range = SEEDS, **changes: Any
    ) -> None:
        for seed in seeds:
            load = Load(seed, [Kind(*kind) for kind in kinds], **changes)
            load.run()
            self.assert_kept(load, f"seed {seed}")

    def test_sound_requests_that_share_parts_with_a_crashing_one(self) -> None:
        # Guards against refusing the parts of one request that explains all crashes.
        self.run_loads(("deadly", False))

    def test_two_crashing_requests_with_the_same_parts(self) -> None:
        self.run_loads(("deadly", False), ("deadly2", False))

    def test_part_beside_popular_parts(self) -> None:
        # Guards against refusing a part of a third of all requests, which is in flight
        # at most crashes of a rare one.
        self.run_loads(("bad", True))

    def test_request_and_part_at_once(self) -> None:
        self.run_loads(("deadly", False), ("bad", True))

    def test_popular_sound_request_beside_each(self) -> None:
        # Guards against blaming a request that many callers send alike.
        for name, is_part in (("deadly", False), ("bad", True)):
            self.run_loads((name, is_part), alike_share=0.3)

    def test_dense_streams_beside_two_causes(self) -> None:
        # Guards against refusing what many callers send alike to the end, as it is in
        # flight at nearly every crash where each breaks off many streams.
        for other in (("deadly2", False), ("bad", True)):
            self.run_loads(
                ("deadly", False),
                other,
                seeds=DENSE_SEEDS,
                sound=DENSE,
                alike_share=0.3,
            )

    def test_entries_that_just_started(self) -> None:
        # Guards against finding the guilty one late while hardly any answers are known.
        for kind in (Kind("deadly", starts_s=0.5), Kind("bad", True, starts_s=0.5)):
            for seed in SEEDS:
                load = Load(seed, [Kind(kind.name, kind.is_part, starts_s=0.5)])
                load.run()
                self.assert_kept(load, f"seed {seed} {kind.name}")

    def test_six_entries(self) -> None:
        self.run_loads(("deadly", False), ("bad", True), entries=6)

    def test_twenty_entries(self) -> None:
        self.run_loads(("deadly", False), ("bad", True), entries=20)

    def test_forty_entries(self) -> None:
        self.run_loads(("bad", True), entries=40)


if __name__ == "__main__":
    unittest.main()
