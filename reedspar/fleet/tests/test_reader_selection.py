"""Tests of the selection of a region's readers."""

import unittest

from reedspar.fleet.reader_selection import (
    GROUP_TIMEOUT_STEP_S,
    READER_TIMEOUT_S,
    READERS_PER_REGION,
    REPORT_INTERVAL_S,
    SMALL_REGION_ENTRIES_MAX,
    ReaderSelection,
)

KEY = "doc"
ENTRY_NAMES = [f"e{i}" for i in range(15)]
AFTER_ALL_TIMEOUTS_S = 60.0


def make_selections(names: list[str]) -> dict[str, ReaderSelection]:
    selections = {name: ReaderSelection(KEY, 0.0) for name in names}
    for name, selection in selections.items():
        selection.update_members(name, names)
    return selections


class ReaderSelectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.selections = make_selections(ENTRY_NAMES)
        order = sorted(ENTRY_NAMES, key=lambda name: self.selections[name]._rank)
        self.ranked = [self.selections[name] for name in order]
        self.order = order

    def reading(self, now_s: float) -> list[str]:
        return [name for name in self.order if self.selections[name].is_reading(now_s)]

    def test_few_daemons_read_and_report_to_all_others(self) -> None:
        self.assertEqual(
            self.reading(REPORT_INTERVAL_S), self.order[:READERS_PER_REGION]
        )
        self.assertEqual(self.ranked[0].standbys, self.order[READERS_PER_REGION:])

    def test_every_entry_reads_in_small_region(self) -> None:
        selections = make_selections(ENTRY_NAMES[:SMALL_REGION_ENTRIES_MAX])
        self.assertTrue(
            all(selection.is_reading(0.0) for selection in selections.values())
        )
        self.assertEqual(selections["e0"].standbys, [])

    def test_first_standbys_are_next_in_rank(self) -> None:
        is_first_standby = [
            selection.is_first_standby
            for selection in self.ranked[: 2 * READERS_PER_REGION + 1]
        ]
        self.assertEqual(is_first_standby, [False, False, True, True, False])

    def test_daemon_without_known_peers_reads(self) -> None:
        selection = ReaderSelection(KEY, 0.0)
        selection.update_members("new", ["new"])
        self.assertTrue(selection.is_reading(0.0))

    def test_groups_take_over_in_turn_without_reports(self) -> None:
        # All readers of a region have died.  If all other daemons read the document at
        # once, they would saturate the link to the store.
        self.assertEqual(
            self.reading(READER_TIMEOUT_S), self.order[: 2 * READERS_PER_REGION]
        )
        self.assertEqual(
            self.reading(READER_TIMEOUT_S + GROUP_TIMEOUT_STEP_S),
            self.order[: 3 * READERS_PER_REGION],
        )

    def test_standbys_of_same_group_keep_reading(self) -> None:
        # Two daemons take over from dead readers.  If each stopped reading because of
        # the other's reports, the document would arrive after its time limit.
        first, second = self.ranked[READERS_PER_REGION : 2 * READERS_PER_REGION]
        first.record_report(READER_TIMEOUT_S, self.order[READERS_PER_REGION + 1], True)
        second.record_report(READER_TIMEOUT_S, self.order[READERS_PER_REGION], True)
        self.assertTrue(first.is_reading(READER_TIMEOUT_S))
        self.assertTrue(second.is_reading(READER_TIMEOUT_S))

    def test_later_groups_wait_while_standby_reads(self) -> None:
        last = self.ranked[-1]
        last.record_report(READER_TIMEOUT_S, self.order[READERS_PER_REGION], True)
        self.assertFalse(last.is_reading(2 * READER_TIMEOUT_S))

    def test_reader_refused_by_store_is_replaced(self) -> None:
        # The store refuses the readers and serves the other daemons of their region.
        selection = self.ranked[READERS_PER_REGION]
        selection.record_report(AFTER_ALL_TIMEOUTS_S, self.order[0], False)
        self.assertTrue(selection.is_reading(AFTER_ALL_TIMEOUTS_S))
        selection.record_report(AFTER_ALL_TIMEOUTS_S, self.order[0], True)
        self.assertFalse(selection.is_reading(AFTER_ALL_TIMEOUTS_S))

    def test_daemon_refused_by_store_does_not_take_over(self) -> None:
        # The store serves a region again after it refused all its daemons.  If each of
        # them had taken over meanwhile, all would read the document at that moment.
        selection = self.ranked[READERS_PER_REGION]
        selection.record_store_unavailable(AFTER_ALL_TIMEOUTS_S)
        self.assertFalse(selection.is_reading(AFTER_ALL_TIMEOUTS_S))
        self.assertTrue(selection.is_polling_peers(AFTER_ALL_TIMEOUTS_S))
        selection.record_report(AFTER_ALL_TIMEOUTS_S, self.order[0], False)
        self.assertFalse(selection.is_polling_peers(AFTER_ALL_TIMEOUTS_S))

    def test_unranked_daemon_is_in_last_group(self) -> None:
        # Guards against a ValueError on an answer from a daemon that registered after
        # the ranking.
        selection = self.ranked[0]
        self.assertGreaterEqual(selection.group_of("new"), self.ranked[-1].group)


if __name__ == "__main__":
    unittest.main()
