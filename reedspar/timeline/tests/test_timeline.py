"""Tests of recording, merging, selecting and rendering events."""

import itertools
import json
import unittest
import xml.etree.ElementTree as ET

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspar.timeline import (
    Event,
    EventFilter,
    EventKind,
    EventRecorder,
    event_from_json,
    event_to_json,
    merge_events,
    render_html,
    render_text,
)

DIGEST = "ab" * 32


def make_event(process: str, sequence: int, time_s: float, **fields) -> Event:
    kind = fields.pop("kind", EventKind.ATTEMPT_SENT)
    return Event(
        time_s, process, fields.pop("incarnation", 1), sequence, kind, **fields
    )


class EventRecorderTest(unittest.TestCase):
    def test_buffer_keeps_the_latest_events_and_counts_lost_ones(self) -> None:
        recorder = EventRecorder("e1", 7, capacity=4, wall_clock=lambda: 1.0)
        for i in range(10):
            recorder.record(EventKind.CONFIG_ADOPTED, version=i)
        page = recorder.after(0)
        self.assertEqual([e.sequence for e in page.events], [7, 8, 9, 10])
        self.assertEqual((page.lost_count, page.next_after), (6, 10))
        self.assertEqual(recorder.after(10).events, ())

    def test_consecutive_pages_have_no_gap(self) -> None:
        recorder = EventRecorder("e1", 7, capacity=4, wall_clock=lambda: 1.0)
        for _ in range(3):
            recorder.record(EventKind.LINK_UP)
        first = recorder.after(0, limit=2)
        second = recorder.after(first.next_after, limit=2)
        numbers = [e.sequence for e in first.events + second.events]
        self.assertEqual(numbers, [1, 2, 3])

    def test_position_beyond_the_last_event_is_reset(self) -> None:
        # A daemon restarts and numbers its events from one again, while a reader
        # still uses a position in the previous incarnation.  Without a lower
        # `next_after` the reader would miss the first events after the restart.
        recorder = EventRecorder("e1", 8, wall_clock=lambda: 1.0)
        recorder.record(EventKind.DAEMON_STARTED)
        page = recorder.after(500)
        self.assertEqual((page.events, page.next_after), ((), 1))

    def test_frequent_events_are_not_logged_at_info(self) -> None:
        recorder = EventRecorder("e1", 7, wall_clock=lambda: 1.0)
        with self.assertLogs("reedspar.timeline", "INFO") as logs:
            recorder.record(EventKind.REQUEST_RECEIVED, request_id="r1")
            recorder.record(EventKind.ZONE_OUT, detail="kingston-a")
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(logs.records[0].event["kind"], "zone.out")


class MergeEventsTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(st.data())
    def test_order_within_a_process_holds_for_any_clock_steps(self, data) -> None:
        # A daemon's clock is stepped back while it runs, so later events have
        # earlier times.  The operator must still see them in the order in which
        # they occurred.
        events = []
        for process in ("a", "b", "c"):
            for incarnation in (1, 2):
                times = data.draw(st.lists(st.integers(0, 50), max_size=6))
                events += [
                    make_event(process, n, float(t), incarnation=incarnation)
                    for n, t in enumerate(times, 1)
                ]
        mixed = data.draw(st.permutations(events))
        merged = merge_events(mixed + mixed[:3])
        self.assertEqual(len(merged), len(events))
        for process in ("a", "b", "c"):
            own = [(e.incarnation, e.sequence) for e in merged if e.process == process]
            self.assertEqual(own, sorted(own))

    def test_steady_clocks_give_wall_time_order(self) -> None:
        events = [
            make_event("b", 1, 2.0),
            make_event("a", 1, 1.0),
            make_event("a", 2, 3.0),
        ]
        self.assertEqual([e.time_s for e in merge_events(events)], [1.0, 2.0, 3.0])


class EventFilterTest(unittest.TestCase):
    def test_events_are_selected_by_request_target_and_version(self) -> None:
        events = [
            make_event("entry-1", 1, 1.0, request_id="r1", target="agent-1"),
            make_event("agent-1", 1, 2.0, version=DIGEST),
            make_event("entry-1", 2, 3.0, version="12"),
        ]
        selected = EventFilter(target="agent-1").select(events)
        self.assertEqual(selected, events[:2])
        self.assertEqual(EventFilter(request_id="r1").select(events), events[:1])
        self.assertEqual(EventFilter(version="ababab").select(events), events[1:2])
        self.assertEqual(EventFilter(version="1").select(events), [])


class RenderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.events = [
            make_event("entry-1", 1, 1.0, request_id="r<1>", attempt=0, target="a-2"),
            make_event("a-2", 1, 1.001, request_id="r<1>", attempt=0, version=DIGEST),
            make_event("a-2", 2, 600.0, kind=EventKind.INVARIANT_BROKEN, detail="x&y"),
        ]

    def test_json_round_trip(self) -> None:
        for event in self.events:
            document = json.loads(json.dumps(event_to_json(event)))
            self.assertEqual(event_from_json(document), event)
        self.assertIsNone(event_from_json({"kind": "of.tomorrow"}))

    def test_text_columns_are_aligned(self) -> None:
        heading, *lines = render_text(self.events)
        self.assertEqual(heading, "-- 1970-01-01 UTC")
        self.assertEqual({line.index("a") for line in lines[1:]}, {14})
        self.assertIn("request=r<1> attempt=0 target=a-2", lines[0])
        self.assertIn("version=abababababab", lines[1])

    def test_id_of_a_single_request_is_shown_once(self) -> None:
        heading, _, line, _ = render_text(self.events[:2])
        self.assertEqual(heading, "-- request r<1>")
        self.assertNotIn("r<1>", line)

    def test_control_characters_from_callers_are_replaced(self) -> None:
        # A caller's id contains an escape sequence that would clear the screen of
        # the operator who views the timeline.
        event = make_event("e", 1, 1.0, detail="caller-id=\x1b[2J\n12:00:00 faked")
        lines = list(render_text([event]))
        self.assertEqual(len(lines), 2)
        self.assertTrue(lines[1].isprintable())

    def test_html_is_well_formed_and_self_contained(self) -> None:
        page = render_html(self.events, "A <title>")
        body = page[page.index("<body>") : page.index("</html>")]
        tree = ET.fromstring(body)
        circles = list(tree.iter("circle"))
        self.assertEqual(len(circles), 3)
        self.assertEqual(len({circle.get("cy") for circle in circles}), 2)
        crossings = [
            line for line in tree.iter("line") if line.get("y1") != line.get("y2")
        ]
        self.assertEqual([line.get("stroke") for line in crossings][-1:], ["#5aa0e6"])
        xs = [float(circle.get("cx")) for circle in circles]
        self.assertGreaterEqual(min(b - a for a, b in itertools.pairwise(xs)), 16)
        for outside in ("http:", "https:", "src=", "<script"):
            self.assertNotIn(outside, page)

    def test_html_of_no_events_is_rendered(self) -> None:
        self.assertIn("0 events", render_html([]))


if __name__ == "__main__":
    unittest.main()
