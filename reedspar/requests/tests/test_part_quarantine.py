"""Tests of the quarantine of prompt parts, and of the sound requests beside them."""

import random
import unittest
from dataclasses import dataclass, field
from typing import Any

from reedspar.attempts import CrashSuspect
from reedspar.requests.crash_records import Cause
from reedspar.requests.quarantine import Quarantine, Standing, Verdict

SEEDS = range(40)
CRASHES_MAX = 8
"""Five crashes, and three requests that may reach targets after them."""
BAD = Cause(prompt_parts=frozenset({"bad"}))
SCOPES = (("pool", "a"), ("pool", "b"), ("pool", "c"))


@dataclass
class Workload:
    """Requests at the targets of one pool, and crashes at some of them."""

    seed: int
    first_parts: int = 3
    """Number of routes, each with a first part of its own."""
    sessions: int = 40
    hot_share: float = 0.0
    """Share of the sound requests that are about one thing."""
    bad_part: str = ""
    beside: int = 4
    """Sound requests in flight at each crash."""
    answered_share: float = 0.5
    """Share of the sound requests that are answered while targets crash."""
    gap_s: float = 0.02
    """Time between two requests."""
    quarantine: Quarantine = field(default_factory=Quarantine)
    now_s: float = 100.0
    crashes: int = 0
    numbers: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    def make_sound(self) -> CrashSuspect:
        self.numbers += 1
        first = f"first{self.rng.randrange(self.first_parts)}"
        is_hot = self.rng.random() < self.hot_share
        session = "hot" if is_hot else f"s{self.rng.randrange(self.sessions)}"
        return CrashSuspect(f"r{self.numbers}", (first, session))

    def make_bad(self) -> CrashSuspect:
        suspect = self.make_sound()
        first, _ = suspect.prompt_parts
        return CrashSuspect(suspect.fingerprint, (first, self.bad_part))

    def answer(self, suspect: CrashSuspect, scope: tuple[str, str]) -> None:
        parts = suspect.prompt_parts
        self.quarantine.history.record_attempt(scope, suspect.fingerprint, parts)
        self.quarantine.on_answered(suspect.fingerprint, self.now_s, parts)

    def serve(self, count: int, answered_share: float) -> None:
        """Let sound requests end, none of them at a target that crashes."""
        for _ in range(count):
            self.now_s += self.gap_s
            suspect, scope = self.make_sound(), self.rng.choice(SCOPES)
            if self.rng.random() < answered_share:
                self.answer(suspect, scope)

    def crash(self, *, has_bad: bool, scope: tuple[str, str] | None = None) -> None:
        """Let a target crash with sound requests in flight, and maybe a bad one."""
        scope = scope or self.rng.choice(SCOPES)
        suspects = [self.make_sound() for _ in range(self.beside)]
        if has_bad:
            suspects.append(self.make_bad())
        self.crashes += 1
        self.quarantine.on_crash(
            f"t/{self.crashes}", suspects, self.now_s, self.now_s, scope
        )

    def is_refused(self, *parts: str) -> bool:
        standing, _ = self.quarantine.standing("new", self.now_s, parts)
        return standing is Standing.BLAMED

    def list_refused_sound(self) -> list[str]:
        parts = [f"first{number}" for number in range(self.first_parts)]
        parts += [f"s{number}" for number in range(self.sessions)]
        return [part for part in [*parts, "hot"] if self.is_refused(part)]


class BadPartTest(unittest.TestCase):
    def count_crashes(self, load: Workload, served_between: int) -> int:
        """Return the number of crashes until the bad part is refused."""
        load.serve(200, 1.0)
        while not load.is_refused("first0", load.bad_part) and load.crashes < 30:
            load.crash(has_bad=True)
            load.serve(served_between, load.answered_share)
        self.assertEqual(load.list_refused_sound(), [], f"seed {load.seed}")
        return load.crashes

    def assert_refused_in_time(self, served_between: int, **changes: Any) -> None:
        for seed in SEEDS:
            load = Workload(seed, bad_part="bad", **changes)
            crashes = self.count_crashes(load, served_between)
            self.assertLessEqual(crashes, CRASHES_MAX, f"seed {seed}")

    def test_part_is_refused_in_time_under_load(self) -> None:
        # Guards against requests of which no two are alike, but with one part in all
        # their prompts, which end target after target.
        self.assert_refused_in_time(10)

    def test_part_is_refused_in_time_while_much_is_about_one_thing(self) -> None:
        self.assert_refused_in_time(10, hot_share=0.5)

    def test_part_is_refused_in_time_while_hardly_anything_is_answered(self) -> None:
        self.assert_refused_in_time(5, answered_share=0.1)

    def test_part_is_refused_in_time_beside_long_queues(self) -> None:
        self.assert_refused_in_time(10, beside=20)

    def test_part_is_refused_in_time_at_quiet_hours(self) -> None:
        self.assert_refused_in_time(2, beside=0, answered_share=1.0, gap_s=0.5)

    def test_part_is_refused_in_time_by_entries_with_few_answers(self) -> None:
        # Guards against slow verdicts where many entries share the traffic, so that
        # each of them knows hardly any answers.
        for seed in SEEDS:
            load = Workload(seed, bad_part="bad", beside=2)
            load.serve(4, 1.0)
            while not load.is_refused("first0", "bad") and load.crashes < 30:
                load.crash(has_bad=True)
                load.now_s += 0.2
            self.assertLessEqual(load.crashes, CRASHES_MAX, f"seed {seed}")

    def test_part_that_all_routes_share_with_it_is_not_refused(self) -> None:
        load = Workload(1, first_parts=1, bad_part="bad")
        self.count_crashes(load, 10)
        self.assertTrue(load.is_refused("first0", "bad", "other"))
        self.assertTrue(load.is_refused("bad"))
        self.assertFalse(load.is_refused("first0", "other"))

    def test_part_of_an_unknown_route_is_refused_only_beside_its_first_part(
        self,
    ) -> None:
        # Guards against refusing the sound requests of a route of which, so far, only
        # requests with the bad part have come.
        load = Workload(1)
        load.serve(200, 1.0)
        for crash in range(6):
            suspect = CrashSuspect(f"n{crash}", ("new", "bad"))
            at_s = 200.0 + crash
            load.quarantine.on_crash(f"t/{crash}", [suspect], at_s, at_s, SCOPES[0])
        self.assertTrue(load.is_refused("new", "bad", "other"))
        self.assertFalse(load.is_refused("new", "other"))


class SoundPartTest(unittest.TestCase):
    """Crashes without a bad part must not refuse what is in flight there."""

    def assert_nothing_refused(self, load: Workload) -> None:
        self.assertEqual(load.list_refused_sound(), [], f"seed {load.seed}")

    def test_targets_that_end_at_once(self) -> None:
        for seed in SEEDS:
            load = Workload(seed, hot_share=0.5, beside=8)
            load.serve(200, 1.0)
            for _ in range(12):
                load.crash(has_bad=False)
                self.assert_nothing_refused(load)

    def test_targets_that_crash_in_series_until_none_is_left(self) -> None:
        for seed in SEEDS:
            load = Workload(seed, hot_share=0.3)
            load.serve(200, 1.0)
            for _ in range(40):
                load.crash(has_bad=False)
                load.serve(3, 0.0)
                self.assert_nothing_refused(load)

    def test_targets_of_one_zone_crash_while_others_serve(self) -> None:
        # Guards against refusing a route whose requests may go to one zone alone.
        for seed in SEEDS:
            load = Workload(seed, first_parts=1)
            load.serve(100, 1.0)
            local = [CrashSuspect(f"l{n}", ("local", f"s{n}")) for n in range(60)]
            for suspect in local[:30]:
                load.answer(suspect, SCOPES[2])
            for crash in range(30):
                in_flight = load.rng.sample(local, 4)
                load.quarantine.on_crash(
                    f"l/{crash}", in_flight, load.now_s, load.now_s, SCOPES[2]
                )
                load.now_s += 0.1
                self.assertFalse(load.is_refused("local"), f"seed {seed}")

    def test_one_request_that_crashes_targets_leaves_its_parts_alone(self) -> None:
        # Guards against refusing a session because one of its requests, which comes
        # again and again, crashes targets while others are in flight.
        for seed in SEEDS:
            load = Workload(seed, sessions=4)
            load.serve(200, 1.0)
            deadly = CrashSuspect("deadly", ("first0", "s0"))
            for crash in range(20):
                beside = [load.make_sound() for _ in range(4)]
                load.quarantine.on_crash(
                    f"t/{crash}", [deadly, *beside], load.now_s, load.now_s, SCOPES[0]
                )
                load.serve(2, 0.0)
            self.assert_nothing_refused(load)
            self.assertIs(
                load.quarantine.standing("deadly", load.now_s)[0], Standing.BLAMED
            )


class VerdictTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = Quarantine()
        self.verdicts: list[Verdict] = []
        self.quarantine.on_verdict(self.verdicts.append)
        self.blamed = Verdict(BAD, 10.0, is_blamed=True)
        self.quarantine.adopt_verdict(self.blamed)

    def is_refused(self, now_s: float) -> bool:
        standing, _ = self.quarantine.standing("new", now_s, ("first", "bad"))
        return standing is Standing.BLAMED

    def test_verdict_of_another_entry_is_adopted_and_passed_on_once(self) -> None:
        self.quarantine.adopt_verdict(self.blamed)
        self.assertTrue(self.is_refused(11.0))
        self.assertEqual(self.verdicts, [self.blamed])

    def test_verdict_without_a_cause_refuses_nothing(self) -> None:
        # Guards against refusing all requests for a message with empty fields.
        empty = Verdict(Cause(), 10.0, is_blamed=True)
        with self.assertLogs("reedspar.requests.quarantine", "WARNING"):
            self.quarantine.adopt_verdict(empty)
        standing, _ = self.quarantine.standing("new", 11.0, ("first", "other"))
        self.assertIs(standing, Standing.CLEAR)

    def test_answer_clears_the_parts_and_outlasts_older_verdicts(self) -> None:
        # Guards against a sound part that stays refused, or is refused again, since
        # other entries repeat what they believed before an answer.
        self.quarantine.on_answered("r", 12.0, ("first", "bad"))
        self.quarantine.adopt_verdict(self.blamed)
        self.assertFalse(self.is_refused(13.0))
        cleared = Verdict(BAD, 12.0, is_blamed=False)
        self.assertEqual(self.verdicts, [self.blamed, cleared])

    def test_answer_to_another_request_does_not_clear_them(self) -> None:
        self.quarantine.on_answered("r", 12.0, ("first", "other"))
        self.assertTrue(self.is_refused(13.0))

    def test_clearing_by_another_entry_is_adopted(self) -> None:
        cleared = Verdict(BAD, 12.0, is_blamed=False)
        self.quarantine.adopt_verdict(cleared)
        self.assertFalse(self.is_refused(13.0))

    def test_first_crash_after_the_quarantine_refuses_the_part_again(self) -> None:
        # Guards against several crashes each time that a quarantine ends.
        later_s = 10.0 + self.quarantine.quarantine_s + 1.0
        self.assertFalse(self.is_refused(later_s))
        suspect = CrashSuspect("r", ("first", "bad"))
        self.quarantine.on_crash("t/1", [suspect], later_s, later_s)
        self.assertTrue(self.is_refused(later_s))


if __name__ == "__main__":
    unittest.main()
