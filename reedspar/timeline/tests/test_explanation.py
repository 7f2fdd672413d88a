"""Tests of telling a request's story from logs."""

import json
import unittest
from typing import Any

from reedspar.timeline import (
    LogLine,
    RequestExplanation,
    count_unlogged_requests,
    explain_request,
    parse_log_line,
)

ENTRY = "front-a-1"
AGENT = "side-a-1"
MINUTE = "2026-10-16T03:52"


def make_line(second: float, process: str, message: str, **fields: Any) -> LogLine:
    document = {
        "time": f"{MINUTE}:{second:09.6f}Z",
        "level": "info",
        "logger": "reedspar",
        "process": process,
        "zone": "a",
        "message": message,
        **fields,
    }
    line = parse_log_line(f"  {second} {process} {json.dumps(document)}")
    assert line is not None
    return line


def make_target(second: float, target_id: str, **weights: int) -> LogLine:
    target = {"id": target_id, "pool": "quotes", "weights": weights}
    return make_line(second, ENTRY, "target changed", target=target)


REFUSAL = make_line(
    30.0,
    ENTRY,
    "request not-run no_target",
    request_id="r1",
    pool="quotes",
    model="m",
    targets=[],
    elapsed_ms=0,
    failure="route failed (no_target): none of 2 known targets may be given work",
)
LOST = make_line(
    31.0,
    ENTRY,
    "request unknown outcome_unknown",
    request_id="r2",
    pool="quotes",
    model="m",
    targets=["t1"],
    elapsed_ms=900,
    failure="target_call failed at t1 (outcome_unknown): ReadError",
)


class StoryTest(unittest.TestCase):
    def test_refusal_tells_what_targets_held_and_which_version_was_due(self) -> None:
        # A caller complains of a refusal.  No target had the weights that were due,
        # since the origin was away; that must show from the id alone.
        lines = [
            make_target(20.0, "t1", m=1),
            make_target(22.0, "t1"),
            make_target(23.0, "t2"),
            make_line(22.0, ENTRY, "weights named", model="m", version=2),
            make_line(24.0, AGENT, "manifest was not read", version=2),
            make_line(5.0, AGENT, "weights staged", version=1),
            make_line(29.0, "front-b-1", "store lost"),
            REFUSAL,
            LOST,
        ]
        story = explain_request(lines, "r1")
        assert story is not None
        self.assertEqual(story.own, (REFUSAL,))
        self.assertEqual(places_of(story, lines), [1, 2, 3, 4])
        self.assertIn("it has not run", story.conclusion)
        self.assertIn("weights named", story.conclusion)

    def test_unknown_outcome_tells_of_its_targets_alone(self) -> None:
        lines = [
            make_target(25.0, "t1", m=1),
            make_target(26.0, "t2", m=1),
            make_line(30.5, ENTRY, "target crashed", target="t1"),
            make_line(31.5, ENTRY, "store lost"),
            LOST,
        ]
        story = explain_request(lines, "r2")
        assert story is not None
        self.assertEqual(places_of(story, lines), [0, 2])
        self.assertIn("handed to t1", story.conclusion)

    def test_clocks_of_other_processes_may_be_ahead(self) -> None:
        staged = make_line(31.0, AGENT, "weights staged", version=2)
        story = explain_request([REFUSAL, staged], "r1")
        assert story is not None
        self.assertEqual(story.known, (staged,))

    def test_unknown_id_has_no_story_and_summaries_count_what_was_left_out(
        self,
    ) -> None:
        lines = [
            make_line(10.0, ENTRY, "requests ended", left_out=3),
            make_line(15.0, ENTRY, "requests ended", left_out=4),
        ]
        self.assertIsNone(explain_request(lines, "r9"))
        self.assertEqual(count_unlogged_requests(lines), 7)

    def test_what_is_no_line_is_passed_over(self) -> None:
        for text in ("", "Traceback", "{}", "[1]", "{broken", '{"time": 3}'):
            with self.subTest(text=text):
                self.assertIsNone(parse_log_line(text))


def places_of(story: RequestExplanation, lines: list[LogLine]) -> list[int]:
    return sorted(lines.index(line) for line in story.known)


if __name__ == "__main__":
    unittest.main()
