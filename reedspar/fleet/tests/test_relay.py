"""Tests of relaying entries within a region."""

import random
import unittest

from reedspar.fleet import (
    DaemonChange,
    DaemonRecord,
    FleetPrefix,
    FleetView,
    Listing,
    WatchedEntry,
    create_fleet_exchange,
    create_fleet_feed,
)
from reedspar.fleet.messages import (
    FleetEntries,
    FleetEntry,
    FleetNews,
    FleetRequest,
    PrefixState,
)
from reedspar.fleet.reader_selection import (
    READERS_KEY,
    READERS_PER_REGION,
    ReaderSelection,
)
from reedspar.fleet.relay import ANSWER_TIMEOUT_S
from reedspar.fleet.tests.fakes import FakeCodec, FakeStore
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.timers import TimerService, VirtualClock

PREFIX = "versions/"
LOCAL_ENTRIES = [f"e{i}" for i in range(5)]
REMOTE_ENTRY = "f0"
TICK_S = 0.1


class RelayTestCase(unittest.TestCase):
    """Sets up daemons of one region, and one of another."""

    prefix = FleetPrefix(PREFIX, is_relayed=True)

    def setUp(self) -> None:
        selection = ReaderSelection(READERS_KEY, 0.0)
        selection.update_members(LOCAL_ENTRIES[0], LOCAL_ENTRIES)
        self.standbys = selection.standbys
        self.readers = [name for name in LOCAL_ENTRIES if name not in self.standbys]

    def create(self, name: str) -> None:
        self.clock = VirtualClock()
        timers = TimerService(self.clock)
        self.timers = timers
        view = FleetView(timers)
        self.network = FakeNetwork()
        rng = random.Random(1)
        self.feed = create_fleet_feed(
            FakeStore(),
            view,
            FakeCodec(),
            timers,
            [self.prefix],
            rng,
        )
        create_fleet_exchange(
            name,
            self.feed,
            view,
            self.network,  # type: ignore[arg-type]
            timers,
            rng,
            "r",
        )
        for other in [*LOCAL_ENTRIES, REMOTE_ENTRY]:
            region = "r" if other in LOCAL_ENTRIES else "s"
            record = DaemonRecord(other, "entry", "a", region, "10.0.0.1", 1, 2)
            view.apply(DaemonChange(other, record))
        cache = self.feed.caches[PREFIX]
        cache.apply_listing(Listing((WatchedEntry("versions/m", b"1", 5),), 5), 0.0)
        self.tick()
        self.network.sent.clear()

    def tick(self) -> None:
        self.clock.advance(TICK_S)
        self.timers.run_due()

    def receive_report(self, revision: int, sender: str = "") -> None:
        report = FleetNews((PrefixState(PREFIX, revision, revision, 0),), True)
        self.network.deliver(sender or self.readers[0], report)

    def requested_peers(self) -> list[str]:
        return [p for p, m in self.network.sent if isinstance(m, FleetRequest)]


class RelayTest(RelayTestCase):
    def test_reader_reports_change_to_all_standbys_immediately(self) -> None:
        self.create(self.readers[0])
        self.feed.apply_from_peer(PREFIX, [WatchedEntry("versions/m", b"2", 8)])
        recipients = [p for p, m in self.network.sent if isinstance(m, FleetNews)]
        self.assertEqual(recipients, self.standbys)
        self.assertEqual(len(self.readers), READERS_PER_REGION)

    def test_standby_requests_change_from_first_reporting_reader(self) -> None:
        self.create(self.standbys[0])
        self.receive_report(8)
        self.receive_report(8, self.readers[1])
        self.assertEqual(self.requested_peers(), [self.readers[0]])

    def test_standby_asks_another_reader_without_answer(self) -> None:
        # A reader hangs after it has reported a change.
        self.create(self.standbys[0])
        self.receive_report(8)
        for _ in range(round(ANSWER_TIMEOUT_S / TICK_S) + 1):
            self.tick()
        self.receive_report(8, self.readers[1])
        self.assertEqual(self.requested_peers(), self.readers[:2])

    def test_standby_requests_next_change_immediately(self) -> None:
        # Two changes follow each other, and the answer for the first is still pending.
        self.create(self.standbys[0])
        self.receive_report(8)
        self.receive_report(9)
        self.assertEqual(len(self.requested_peers()), 2)

    def test_standby_does_not_poll_while_readers_report(self) -> None:
        self.create(self.standbys[-1])
        for _ in range(50):
            self.tick()
            self.receive_report(5)
        self.assertEqual(self.requested_peers(), [])
        self.assertEqual(self.feed.caches[PREFIX].revision, 5)

    def test_first_standby_polls_only_other_regions(self) -> None:
        # Readers with slow links continue to report that the store serves them.
        self.create(self.standbys[0])
        for _ in range(50):
            self.tick()
            self.receive_report(5)
        self.assertEqual(set(self.requested_peers()), {REMOTE_ENTRY})
        self.assertEqual(self.feed.caches[PREFIX].revision, 5)

    def test_reader_polls_other_regions(self) -> None:
        # The store does not answer the watches of a region's readers.
        self.create(self.readers[0])
        for _ in range(50):
            self.tick()
        self.assertIn(REMOTE_ENTRY, self.requested_peers())

    def test_answer_advances_own_watch(self) -> None:
        # If the watch continued from the older revision, the store would send the
        # document again.
        self.create(self.standbys[0])
        entry = FleetEntry("versions/m", b"2", 8, False)
        self.network.deliver(self.readers[0], FleetEntries(PREFIX, 12, (entry,)))
        self.assertEqual(self.feed.caches[PREFIX].revision, 12)


class PushTest(RelayTestCase):
    """Tests of a prefix whose changes readers push."""

    prefix = FleetPrefix(PREFIX, is_relayed=True, is_pushed=True)

    def recipients(self, name: str) -> list[str]:
        """Return the daemons that the named daemon pushes a change to."""
        self.create(name)
        self.feed.apply_from_peer(PREFIX, [WatchedEntry("versions/m", b"2", 8)])
        return [p for p, m in self.network.sent if isinstance(m, FleetEntries)]

    def test_only_reader_pushes_change(self) -> None:
        self.assertEqual(self.recipients(self.readers[0]), self.standbys)
        self.assertEqual(self.recipients(self.standbys[-1]), [])

    def test_standby_with_different_digest_requests_all_entries(self) -> None:
        # Guards against a lost change going unnoticed once a newer one has arrived.
        self.create(self.standbys[-1])
        digest = self.feed.caches[PREFIX].digest
        for reader_digest, expected_requests in (
            (digest, []),
            (digest + 1, [FleetRequest(PREFIX, 0)]),
        ):
            state = PrefixState(PREFIX, 5, 7, reader_digest)
            self.network.deliver(self.readers[0], FleetNews((state,), True))
            requests = [m for _, m in self.network.sent if isinstance(m, FleetRequest)]
            self.assertEqual(requests, expected_requests)

    def test_lagging_reader_is_not_asked(self) -> None:
        self.create(self.standbys[-1])
        state = PrefixState(PREFIX, 3, 4, 1)
        self.network.deliver(self.readers[0], FleetNews((state,), True))
        self.assertEqual(self.requested_peers(), [])


if __name__ == "__main__":
    unittest.main()
