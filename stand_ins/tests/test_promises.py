"""Tests that the checks of promises find violations."""

import json
import unittest

from reedspar.settings import TargetKind
from stand_ins.caller import Call, CallKind, Ending, check_text
from stand_ins.generation import expect_text, make_token
from stand_ins.promises import StalledPath, TargetRun, TrialRecords, ZoneOutage

PLAIN = TargetKind.PLAIN_SERVICE


def make_order(key: str, ending: Ending, status: int = 200) -> Call:
    return Call(CallKind.ORDER, key, ended_at=1.0, status=status, ending=ending)


def make_run(key: str, at: float = 0.5, zone: str = "a") -> TargetRun:
    return TargetRun("t", zone, PLAIN, key, at, "POST")


class TrialRecordsTest(unittest.TestCase):
    def find(self, records: TrialRecords) -> list[str]:
        return [violation.promise for violation in records.check()]

    def test_kept_promises_are_not_reported(self) -> None:
        records = TrialRecords(
            [
                make_order("ran", Ending.ANSWERED),
                make_order("lost", Ending.UNKNOWN, 504),
                make_order("refused", Ending.NOT_RUN, 503),
                make_order("again", Ending.NOT_RUN, 409),
                make_order("again", Ending.ANSWERED),
            ],
            runs=[make_run("ran"), make_run("lost"), make_run("again")],
        )
        self.assertEqual(self.find(records), [])

    def test_order_that_ran_twice_is_found(self) -> None:
        # Two targets run the same order, although the caller gets one answer.
        records = TrialRecords([make_order("k", Ending.ANSWERED)])
        records.runs = [make_run("k", 1.0), make_run("k", 2.0)]
        self.assertEqual(
            self.find(records), ["a non-idempotent order runs at most once"]
        )

    def test_order_that_ran_though_refused_is_found(self) -> None:
        # The caller is told that the order did not run and acts on it, but the
        # order did run.
        records = TrialRecords(
            [make_order("k", Ending.NOT_RUN, 503)], runs=[make_run("k")]
        )
        self.assertEqual(
            self.find(records), ["an order reported as not run was not run"]
        )

    def test_confirmation_without_a_run_is_found(self) -> None:
        records = TrialRecords([make_order("k", Ending.ANSWERED)])
        self.assertEqual(self.find(records), ["an answered order has run"])

    def test_work_delayed_by_silent_path_is_not_new_work(self) -> None:
        # The agent sends an order to its target, the path between them goes silent,
        # and the zone is taken out.  The path delivers the order when it recovers:
        # the target records a late run, but the agent started no new work.
        call = make_order("k", Ending.ANSWERED)
        call.started_at = 9.0
        records = TrialRecords([call], [ZoneOutage("a", 10.0, 30.0)])
        records.runs = [make_run("k", 16.1)]
        late = ["a zone that was taken out gets no new work"]
        self.assertEqual(self.find(records), late)
        records.stalled_paths = [StalledPath("t", 9.5, 16.0)]
        self.assertEqual(self.find(records), [])
        call.started_at = 11.0
        self.assertEqual(self.find(records), late)

    def test_late_work_in_a_zone_taken_out_is_found(self) -> None:
        # A zone taken out for maintenance still gets new requests.
        records = TrialRecords(outages=[ZoneOutage("a", 10.0, 20.0)])
        records.runs = [make_run("1", 12.9), make_run("2", 14.0, "b")]
        self.assertEqual(self.find(records), [])
        records.runs = [make_run("3", 13.1)]
        self.assertEqual(
            self.find(records), ["a zone that was taken out gets no new work"]
        )


class TextTest(unittest.TestCase):
    def check(self, text: str, digest: str = "old") -> str:
        call = Call(CallKind.QUOTE, "oak", digest=digest)
        answer = json.dumps({"choices": [{"text": text}]}).encode()
        return check_text(call, answer, "oak", 3, stream=False)

    def test_complete_answer_passes(self) -> None:
        self.assertEqual(self.check(expect_text("oak", "old", 3)), "")

    def test_partial_and_mixed_answers_are_found(self) -> None:
        # The engine switches weights during an answer, or the answer is truncated:
        # the caller gets a text that no version generates.
        mixed = expect_text("oak", "old", 2) + make_token("oak", "new", 2)
        self.assertIn("not the complete text", self.check(mixed))
        self.assertIn("not the complete text", self.check(expect_text("oak", "old", 2)))
        whole = expect_text("oak", "old", 3)
        self.assertIn("does not name", self.check(whole, digest=""))
