"""Tests of the entries that an entry on a site names to callers."""

import random
import unittest
from types import SimpleNamespace
from typing import Any, cast

from reedspar.daemon.site_entry import SiteEntry
from reedspar.direct.entry_selection import EntrySelection
from reedspar.fleet import DaemonRecord
from reedspar.links import Role
from reedspar.timers import TimerService, VirtualClock

ENTRIES = tuple(
    DaemonRecord(f"e{i}", "entry", "a", "ra", "10.0.0.1", 1, 2) for i in range(6)
)


class SilentBoard:
    def pressure(self, entry: str, now_s: float) -> float | None:
        return None


class Board:
    def pressure(self, entry: str, now_s: float) -> float | None:
        return 5.0 if entry == "e0" else 0.2


def make_entry(clock: VirtualClock) -> SiteEntry:
    """Return the last of the entries, with what it needs to name them."""
    view = SimpleNamespace(daemons=lambda role: ENTRIES, routes=None)
    parts: dict[str, Any] = {
        "settings": SimpleNamespace(role=Role.ENTRY, name="e5"),
        "components": SimpleNamespace(view=view),
        "timers": TimerService(clock),
        "selection": EntrySelection(2.0, random.Random(1)),
        "pressure_board": SilentBoard(),
    }
    names = ("service", "verdict_archive", "create_cache", "tasks")
    return SiteEntry(**parts, **dict.fromkeys(names, cast("Any", None)))


class ListAddressesTest(unittest.TestCase):
    def test_leaving_entry_does_not_name_itself(self) -> None:
        # Guards against callers that are sent to an entry that stops, by itself, while
        # the store does not tell of its withdrawal.
        entry = make_entry(VirtualClock())
        self.assertIn(ENTRIES[5], entry.list_addresses("x", "a", "ra"))
        entry.is_leaving = True
        for _ in range(100):
            named = entry.list_addresses("x", "a", "ra")
            self.assertNotIn(ENTRIES[5], named)
            self.assertEqual(len(named), len(ENTRIES) - 1)

    def test_short_entry_is_left_out_only_with_news_of_pressures(self) -> None:
        clock = VirtualClock()
        entry = make_entry(clock)

        def count_named() -> int:
            """Return how often callers are told of the short entry, of 100 times."""
            for _ in range(100):
                clock.advance(0.5)
                entry.update_selection()
            found = [entry.list_addresses("x", "a", "ra") for _ in range(100)]
            return sum(ENTRIES[0] in names for names in found)

        self.assertEqual(count_named(), 100)
        entry.pressure_board = Board()
        self.assertLess(count_named(), 50)


if __name__ == "__main__":
    unittest.main()
