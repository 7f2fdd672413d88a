"""Tests of who reads a document for a region."""

import unittest

from reedspar.fleet.reader_selection import (
    NEWS_S,
    READ_BY_ALL,
    READERS_PER_REGION,
    SILENT_S,
    STEP_S,
    ReaderSelection,
)

KEY = "doc"
MANY = [f"e{i}" for i in range(15)]
LONG_S = 60.0


def make_selections(names: list[str]) -> dict[str, ReaderSelection]:
    selections = {name: ReaderSelection(KEY, 0.0) for name in names}
    for name, selection in selections.items():
        selection.place(name, names)
    return selections


class ReaderSelectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.selections = make_selections(MANY)
        order = sorted(MANY, key=lambda name: self.selections[name]._rank)
        self.ranked = [self.selections[name] for name in order]
        self.order = order

    def reading(self, now_s: float) -> list[str]:
        return [name for name in self.order if self.selections[name].is_reading(now_s)]

    def test_few_read_and_tell_all_others(self) -> None:
        self.assertEqual(self.reading(NEWS_S), self.order[:READERS_PER_REGION])
        self.assertEqual(self.ranked[0].listeners, self.order[READERS_PER_REGION:])

    def test_each_reads_in_a_small_region(self) -> None:
        selections = make_selections(MANY[:READ_BY_ALL])
        self.assertTrue(
            all(selection.is_reading(0.0) for selection in selections.values())
        )
        self.assertEqual(selections["e0"].listeners, [])

    def test_first_to_stand_in_are_the_next_in_rank(self) -> None:
        is_next = [
            selection.is_next for selection in self.ranked[: 2 * READERS_PER_REGION + 1]
        ]
        self.assertEqual(is_next, [False, False, True, True, False])

    def test_daemon_that_knows_no_other_reads(self) -> None:
        selection = ReaderSelection(KEY, 0.0)
        selection.place("new", ["new"])
        self.assertTrue(selection.is_reading(0.0))

    def test_others_stand_in_group_by_group_while_no_reader_is_heard(self) -> None:
        # All readers of a region died.  Read by each of the others at once, the
        # document would fill the link to the store for as long as it did before.
        self.assertEqual(self.reading(SILENT_S), self.order[: 2 * READERS_PER_REGION])
        self.assertEqual(
            self.reading(SILENT_S + STEP_S), self.order[: 3 * READERS_PER_REGION]
        )

    def test_stand_ins_do_not_send_each_other_back(self) -> None:
        # Two stood in for readers that had died, each heard of the other, and both
        # stopped reading: the document came past its bound.
        first, second = self.ranked[READERS_PER_REGION : 2 * READERS_PER_REGION]
        first.note_news(SILENT_S, self.order[READERS_PER_REGION + 1], True)
        second.note_news(SILENT_S, self.order[READERS_PER_REGION], True)
        self.assertTrue(first.is_reading(SILENT_S))
        self.assertTrue(second.is_reading(SILENT_S))

    def test_later_groups_wait_for_a_stand_in(self) -> None:
        last = self.ranked[-1]
        last.note_news(SILENT_S, self.order[READERS_PER_REGION], True)
        self.assertFalse(last.is_reading(2 * SILENT_S))

    def test_reader_that_the_store_turns_away_does_not_count(self) -> None:
        # The store refuses the readers and serves the others of their region.
        selection = self.ranked[READERS_PER_REGION]
        selection.note_news(LONG_S, self.order[0], False)
        self.assertTrue(selection.is_reading(LONG_S))
        selection.note_news(LONG_S, self.order[0], True)
        self.assertFalse(selection.is_reading(LONG_S))

    def test_daemon_that_the_store_turns_away_does_not_stand_in(self) -> None:
        # The store is back after it turned a whole region away.  Had each daemon stood
        # in meanwhile, all would read the document at that moment.
        selection = self.ranked[READERS_PER_REGION]
        selection.note_away(LONG_S)
        self.assertFalse(selection.is_reading(LONG_S))
        self.assertTrue(selection.is_asking(LONG_S))
        selection.note_news(LONG_S, self.order[0], False)
        self.assertFalse(selection.is_asking(LONG_S))

    def test_unranked_daemon_counts_as_last(self) -> None:
        # An answer from a daemon that registered after the ranking raised ValueError.
        selection = self.ranked[0]
        self.assertGreaterEqual(selection.group_of("new"), self.ranked[-1].group)


if __name__ == "__main__":
    unittest.main()
