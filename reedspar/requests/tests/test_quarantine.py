"""Tests of the quarantine of requests that crash targets."""

import unittest
from typing import Any

import anyio

from reedspar.attempts import CrashSuspect
from reedspar.requests.filters import fingerprint_request
from reedspar.requests.protection_filters import QuarantineFilter
from reedspar.requests.quarantine import Quarantine, Standing, Verdict
from reedspar.requests.request import Answer, Outcome, Request
from reedspar.requests.tests.test_claims import make_order
from reedspar.timers import TimerService, VirtualClock


class BlameTest(unittest.TestCase):
    def setUp(self) -> None:
        self.quarantine = Quarantine()

    def assert_blamed(self, *names: str) -> None:
        for name in names:
            self.assertIs(self.quarantine.standing(name, 9.0)[0], Standing.BLAMED)

    def assert_not_blamed(self, *names: str) -> None:
        for name in names:
            self.assertIsNot(self.quarantine.standing(name, 9.0)[0], Standing.BLAMED)

    def test_request_beside_others_at_each_crash_is_blamed_at_the_third(self) -> None:
        # Guards against a request that goes on to crash targets since other requests
        # are in flight at several of its crashes, too.
        for crash, beside in enumerate((("a", "b"), ("a", "c"), ("b", "c"))):
            self.quarantine.on_crash(
                f"t/{crash}", map(CrashSuspect, {"deadly", *beside}), crash, 9.0
            )
        self.assert_blamed("deadly")
        self.assert_not_blamed("a", "b", "c")

    def test_requests_at_several_unrelated_crashes_are_not_blamed(self) -> None:
        # Guards against refusing sound requests that are in flight when several
        # targets end at once.
        for crash in range(8):
            names = {f"r{crash}", f"r{crash + 1}"}
            self.quarantine.on_crash(f"t/{crash}", map(CrashSuspect, names), 0.0, 0.1)
        self.assert_not_blamed(*(f"r{number}" for number in range(9)))

    def test_two_requests_that_crash_targets_are_both_blamed(self) -> None:
        for crash in range(6):
            name = "first" if crash % 2 else "second"
            self.quarantine.on_crash(
                f"t/{crash}", map(CrashSuspect, {name, "hot"}), crash, 9.0
            )
            self.quarantine.on_answered("hot", crash + 0.5)
        self.assert_blamed("first", "second")
        self.assert_not_blamed("hot")

    def test_request_stays_blamed_when_another_explains_more_crashes(self) -> None:
        # Guards against a request that is let through again, and crashes more targets,
        # once another request was in flight at all of its crashes.
        for number in range(30):
            self.quarantine.history.record_attempt(("", ""), f"a{number}", ())
        for crash in range(3):
            names = {"deadly", "other", f"r{crash}"}
            self.quarantine.on_crash(f"t/{crash}", map(CrashSuspect, names), crash, 4.0)
        self.assert_blamed("deadly")
        for crash in range(3, 6):
            names = {"other", f"r{crash}"}
            self.quarantine.on_crash(f"t/{crash}", map(CrashSuspect, names), crash, 9.0)
        self.assert_blamed("deadly", "other")

    def test_entry_without_experience_keeps_its_verdict_to_itself(self) -> None:
        # Guards against refusing a request that many callers send alike, because an
        # entry that has just started saw it at three crashes.
        verdicts: list[Verdict] = []
        self.quarantine.on_verdict(verdicts.append)
        for crash in range(3):
            names = map(CrashSuspect, ("common", f"r{crash}"))
            self.quarantine.on_crash(f"t/{crash}", names, crash, 4.0)
        self.assert_blamed("common")
        self.assertEqual(verdicts, [])

    def test_request_that_many_have_just_begun_to_send_is_not_blamed(self) -> None:
        # Guards against refusing a burst of requests that are all alike, none of which
        # is answered yet, when targets end one after the other.
        for number in range(40):
            self.quarantine.history.record_attempt(("", ""), f"a{number}", ())
        for crash in range(5):
            suspects = [CrashSuspect("alike", (), f"x{crash}-{i}") for i in range(3)]
            suspects += [CrashSuspect(f"r{crash}-{i}", ()) for i in range(5)]
            at_s = crash / 10
            self.quarantine.on_crash(f"t/{crash}", suspects, at_s, at_s)
        standing, _ = self.quarantine.standing("alike", 2.0)
        self.assertIs(standing, Standing.SUSPECT)

    def test_common_request_is_not_blamed_for_crashes_of_others(self) -> None:
        # Guards against refusing a request that many callers send alike, which is in
        # flight wherever a target ends.
        scope = ("orders", "a")
        for number in range(60):
            name = "common" if number % 2 else f"r{number}"
            self.quarantine.history.record_attempt(scope, name, ())
        for crash in range(6):
            names = {"common", "deadly", f"a{crash}", f"b{crash}"}
            suspects = map(CrashSuspect, names if crash % 2 else names - {"deadly"})
            self.quarantine.on_crash(f"t/{crash}", suspects, crash, 9.0, scope)
        self.assert_blamed("deadly")
        self.assert_not_blamed("common")


class QuarantineFilterTest(unittest.TestCase):
    def test_suspects_run_beside_each_other(self) -> None:
        # Guards against requests that wait until their deadlines because others were
        # in flight at the same crashes.
        quarantine = Quarantine()
        for crash in range(2):
            quarantine.on_crash(f"t/{crash}", map(CrashSuspect, {"61", "62"}), 0.0, 0.0)
        begun: list[str] = []

        async def proceed(request: Request) -> Answer:
            begun.append(request.fingerprint)
            await anyio.sleep(0.05)
            return Answer(Outcome.ANSWERED, 200)

        async def run() -> None:
            item = QuarantineFilter(quarantine, TimerService(VirtualClock()))
            async with anyio.create_task_group() as tasks:
                for body in (b"a", b"b"):
                    request = make_order("r", "", body)
                    self.assertIs(
                        quarantine.standing(request.fingerprint, 0.0)[0],
                        Standing.SUSPECT,
                    )
                    tasks.start_soon(item.apply, request, proceed)
                await anyio.sleep(0.01)
                self.assertEqual(sorted(begun), ["61", "62"])

        anyio.run(run)

    def test_error_of_a_target_does_not_clear_a_request(self) -> None:
        # Guards against a request that goes on to crash targets since a faulty target
        # has answered it with an error, which it had not run.
        quarantine = Quarantine()
        request = make_order("r", "", b"a")
        statuses = [500, 503, 200]

        async def proceed(request: Request) -> Answer:
            return Answer(Outcome.ANSWERED, statuses.pop(0))

        async def run() -> None:
            item = QuarantineFilter(quarantine, TimerService(VirtualClock()))
            for crash in range(2):
                quarantine.on_crash(
                    f"t/{crash}", map(CrashSuspect, {"61", "62"}), -1.0, 0.0
                )
                await item.apply(request, proceed)
            quarantine.on_crash("t/2", map(CrashSuspect, {"61", "63"}), -1.0, 0.0)
            answer = await item.apply(request, proceed)
            self.assertIs(answer.outcome, Outcome.NOT_RUN)

        anyio.run(run)


class FingerprintTest(unittest.TestCase):
    def make(self, **changes: Any) -> str:
        request = make_order("r", "", b"a")
        for name, value in changes.items():
            setattr(request, name, value)
        return fingerprint_request(request)

    def test_request_of_another_caller_has_another_fingerprint(self) -> None:
        # Guards against refusing all callers that send the same path and body, and
        # against an answer to one of them that clears another's request.
        self.assertNotEqual(self.make(), self.make(workspace="other"))

    def test_repeat_that_goes_to_another_pool_has_the_same_fingerprint(self) -> None:
        # Guards against counting the crashes of one request apart while its route is
        # split between pools or moves to another one.
        one, other = (self.make(host="shop.example", pool=name) for name in "ab")
        self.assertEqual(one, other)

    def test_repeat_that_names_another_host_has_the_same_fingerprint(self) -> None:
        # Guards against counting the crashes of one request apart for each entry, whose
        # address its callers name, and so allowing as many series of crashes.
        hosts = ("shop.example", "SHOP.example:8005", "10.1.0.40:8005")
        self.assertEqual(len({self.make(host=host) for host in hosts}), 1)


if __name__ == "__main__":
    unittest.main()
