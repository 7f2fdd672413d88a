"""Tests of passing a document on within a region."""

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
from reedspar.fleet.relay import ANSWER_S
from reedspar.fleet.tests.fakes import FakeCodec, FakeStore
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.timers import TimerService, VirtualClock

PREFIX = "versions/"
NEAR = [f"e{i}" for i in range(5)]
FAR = "f0"
TICK_S = 0.1


class RelayTestCase(unittest.TestCase):
    """Sets up daemons of one region, and one of another."""

    prefix = FleetPrefix(PREFIX, is_relayed=True)

    def setUp(self) -> None:
        turn = ReaderSelection(READERS_KEY, 0.0)
        turn.place(NEAR[0], NEAR)
        self.listeners = turn.listeners
        self.readers = [name for name in NEAR if name not in self.listeners]

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
        for other in [*NEAR, FAR]:
            region = "r" if other in NEAR else "s"
            record = DaemonRecord(other, "entry", "a", region, "10.0.0.1", 1, 2)
            view.apply(DaemonChange(other, record))
        cache = self.feed.caches[PREFIX]
        cache.take_listing(Listing((WatchedEntry("versions/m", b"1", 5),), 5), 0.0)
        self.tick()
        self.network.sent.clear()

    def tick(self) -> None:
        self.clock.advance(TICK_S)
        self.timers.run_due()

    def hear(self, revision: int, sender: str = "") -> None:
        news = FleetNews((PrefixState(PREFIX, revision, revision, 0),), True)
        self.network.deliver(sender or self.readers[0], news)

    def asked(self) -> list[str]:
        return [p for p, m in self.network.sent if isinstance(m, FleetRequest)]


class RelayTest(RelayTestCase):
    def test_reader_tells_the_others_of_a_change_at_once(self) -> None:
        self.create(self.readers[0])
        self.feed.take_from_peer(PREFIX, [WatchedEntry("versions/m", b"2", 8)])
        told = [p for p, m in self.network.sent if isinstance(m, FleetNews)]
        self.assertEqual(told, self.listeners)
        self.assertEqual(len(self.readers), READERS_PER_REGION)

    def test_listener_asks_the_one_that_told_it(self) -> None:
        self.create(self.listeners[0])
        self.hear(8)
        self.hear(8, self.readers[1])
        self.assertEqual(self.asked(), [self.readers[0]])

    def test_listener_asks_another_if_no_answer_comes(self) -> None:
        # A reader froze after it had told of a change.
        self.create(self.listeners[0])
        self.hear(8)
        for _ in range(round(ANSWER_S / TICK_S) + 1):
            self.tick()
        self.hear(8, self.readers[1])
        self.assertEqual(self.asked(), self.readers[:2])

    def test_listener_asks_for_the_next_change_at_once(self) -> None:
        # Configurations come in a row, and the answer about the first is on its way.
        self.create(self.listeners[0])
        self.hear(8)
        self.hear(9)
        self.assertEqual(len(self.asked()), 2)

    def test_listener_asks_nobody_unprompted_while_readers_are_heard(self) -> None:
        self.create(self.listeners[-1])
        for _ in range(50):
            self.tick()
            self.hear(5)
        self.assertEqual(self.asked(), [])
        self.assertEqual(self.feed.caches[PREFIX].revision, 5)

    def test_next_in_rank_asks_none_but_other_regions_unprompted(self) -> None:
        # Readers whose links are slow go on telling that the store serves them.
        self.create(self.listeners[0])
        for _ in range(50):
            self.tick()
            self.hear(5)
        self.assertEqual(set(self.asked()), {FAR})
        self.assertEqual(self.feed.caches[PREFIX].revision, 5)

    def test_reader_asks_other_regions_too(self) -> None:
        # The store leaves the watches of a region's readers without any answer.
        self.create(self.readers[0])
        for _ in range(50):
            self.tick()
        self.assertIn(FAR, self.asked())

    def test_answer_moves_the_own_watch_on(self) -> None:
        # Went it on from before, the store would send the document once more.
        self.create(self.listeners[0])
        entry = FleetEntry("versions/m", b"2", 8, False)
        self.network.deliver(self.readers[0], FleetEntries(PREFIX, 12, (entry,)))
        self.assertEqual(self.feed.caches[PREFIX].revision, 12)


class PushTest(RelayTestCase):
    """Tests of a prefix whose changes readers send without a request."""

    prefix = FleetPrefix(PREFIX, is_relayed=True, is_pushed=True)

    def recipients(self, name: str) -> list[str]:
        """Return the daemons that a daemon sends a change to."""
        self.create(name)
        self.feed.take_from_peer(PREFIX, [WatchedEntry("versions/m", b"2", 8)])
        return [p for p, m in self.network.sent if isinstance(m, FleetEntries)]

    def test_reader_sends_a_change_and_a_listener_does_not(self) -> None:
        self.assertEqual(self.recipients(self.readers[0]), self.listeners)
        self.assertEqual(self.recipients(self.listeners[-1]), [])

    def test_listener_that_has_missed_a_change_asks_for_all_entries(self) -> None:
        # Guards against a lost change going unnoticed once a newer one has arrived.
        self.create(self.listeners[-1])
        digest = self.feed.caches[PREFIX].digest
        for known, asked in ((digest, []), (digest + 1, [FleetRequest(PREFIX, 0)])):
            state = PrefixState(PREFIX, 5, 7, known)
            self.network.deliver(self.readers[0], FleetNews((state,), True))
            requests = [m for _, m in self.network.sent if isinstance(m, FleetRequest)]
            self.assertEqual(requests, asked)

    def test_reader_that_lags_is_not_asked(self) -> None:
        self.create(self.listeners[-1])
        state = PrefixState(PREFIX, 3, 4, 1)
        self.network.deliver(self.readers[0], FleetNews((state,), True))
        self.assertEqual(self.asked(), [])


if __name__ == "__main__":
    unittest.main()
