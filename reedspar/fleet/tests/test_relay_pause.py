"""Tests of the reader selection after a process pause."""

import random
import unittest

from reedspar.fleet import (
    DaemonChange,
    DaemonRecord,
    FleetPrefix,
    FleetView,
    create_fleet_feed,
)
from reedspar.fleet.messages import FleetNews, PrefixState
from reedspar.fleet.reader_selection import READERS_KEY
from reedspar.fleet.relay import CHECK_INTERVAL_S, RegionRelay
from reedspar.fleet.tests.fakes import FakeCodec, FakeStore
from reedspar.links import Role
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.timers import TimerService, VirtualClock
from reedspar.utils import rank_by_rendezvous

KEY = "doc"
LOCAL_ENTRIES = [f"e{i}" for i in range(9)]
PAUSE_S = 5.0


class RelayPauseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.timers = TimerService(self.clock)
        self.view = FleetView(self.timers)
        for name, region in [*((name, "ra") for name in LOCAL_ENTRIES), ("f0", "rb")]:
            record = DaemonRecord(name, "entry", "a", region, "10.0.0.1", 1, 2)
            self.view.apply(DaemonChange(name, record))
        ranked = rank_by_rendezvous(READERS_KEY, LOCAL_ENTRIES)
        self.reader, self.name = ranked[0], ranked[-1]
        feed = create_fleet_feed(
            FakeStore(),
            self.view,
            FakeCodec(),
            self.timers,
            [FleetPrefix(KEY, is_relayed=True)],
        )
        self.network = FakeNetwork()
        self.relay = RegionRelay(
            self.name,
            "ra",
            Role.ENTRY,
            feed,
            self.view,
            self.network,  # type: ignore[arg-type]
            self.timers,
            random.Random(1),
        )

    def tick(self, count: int) -> None:
        for _ in range(count):
            self.clock.advance(CHECK_INTERVAL_S)
            report = FleetNews((PrefixState(KEY, 0, 0, 0),), True)
            self.network.deliver(self.reader, report)
            self.timers.run_due()

    def test_resumed_daemon_waits_for_reports_before_reading(self) -> None:
        # Many daemons resume at once while the reports of their readers are unread in
        # their sockets.  They must not all read the whole document from the store.
        self.tick(20)
        self.assertFalse(self.relay.is_polling_peers)
        self.clock.advance(PAUSE_S)
        with self.assertNoLogs("reedspar.fleet.feed", "INFO"):
            self.timers.run_due()
            self.tick(20)


if __name__ == "__main__":
    unittest.main()
