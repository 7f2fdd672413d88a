"""Tests of the splitting of a stream into complete events."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from reedspar.requests.event_stream import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n"


class EventSplitterTest(unittest.TestCase):
    @given(st.lists(st.integers(0, len(STREAM)), max_size=8))
    def test_any_split_of_the_input_yields_all_events(self, cuts: list) -> None:
        splitter = EventSplitter()
        positions = [0, *sorted(cuts), len(STREAM)]
        out = b""
        for start, end in itertools.pairwise(positions):
            out += splitter.feed(STREAM[start:end])
        self.assertEqual(out, STREAM)
        self.assertEqual((splitter.last_event_id, splitter.event_count), ("3", 3))

    def test_incomplete_event_is_buffered_and_can_be_dropped(self) -> None:
        # A target crashes in the middle of an event; the next one sends it again.
        splitter = EventSplitter("7")
        self.assertEqual(splitter.feed(b"id: 8\ndata: a\n\nid: 9\nda"), STREAM_8)
        self.assertEqual(splitter.last_event_id, "8")
        splitter.drop_pending()
        self.assertEqual(splitter.feed(b"id: 9\ndata: b\n\n"), b"id: 9\ndata: b\n\n")


STREAM_8 = b"id: 8\ndata: a\n\n"

if __name__ == "__main__":
    unittest.main()
