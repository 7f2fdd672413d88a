"""Tests of hearing from peers what the store does not tell."""

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
from reedspar.fleet.entries import LAPSE_MIN_S
from reedspar.fleet.messages import FleetEntries, FleetRequest
from reedspar.fleet.tests.fakes import FakeCodec, FakeStore
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.timers import TimerService, VirtualClock

PREFIXES = (
    FleetPrefix("zones/"),
    FleetPrefix("targets/", defers_outage_removals=True),
    FleetPrefix("versions/"),
)


class Daemon:
    """A daemon's feed and exchange, without its tasks."""

    def __init__(self, name: str, names: list[str]) -> None:
        self.name = name
        self.clock = VirtualClock()
        self.timers = TimerService(self.clock)
        self.view = FleetView(self.timers)
        self.network = FakeNetwork()
        rng = random.Random(1)
        self.feed = create_fleet_feed(
            FakeStore(), self.view, FakeCodec(), self.timers, PREFIXES, rng
        )
        create_fleet_exchange(
            name,
            self.feed,
            self.view,
            self.network,  # type: ignore[arg-type]
            self.timers,
            rng,
        )
        for other in names:
            record = DaemonRecord(other, "entry", "a", "r", "10.0.0.1", 1, 2)
            self.view.apply(DaemonChange(other, record))

    def hear_store(self, prefix: str, *entries: WatchedEntry) -> None:
        revision = max(entry.revision for entry in entries)
        cache = self.feed.caches[prefix]
        for entry in cache.take_listing(Listing(entries, revision), 0.0):
            change = FakeCodec().decode(entry)
            assert change is not None
            self.view.apply(change)

    def tick(self) -> None:
        self.clock.advance(0.5)
        self.timers.run_due()


class ExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        names = ["e1", "e2", "e3"]
        self.cut_off = Daemon("e1", names)
        self.served = Daemon("e2", names)
        for daemon in (self.cut_off, self.served):
            daemon.hear_store("zones/", WatchedEntry("zones/a", b"", 5))
            daemon.hear_store("targets/", WatchedEntry("targets/t1", b"{}", 6))

    def pass_on(self) -> None:
        """Deliver questions and answers between the two."""
        for _, message in self.cut_off.network.sent:
            self.served.network.deliver("e1", message)
        for _, message in self.served.network.sent:
            self.cut_off.network.deliver("e2", message)

    def test_asks_one_peer_while_the_store_answers_and_two_while_it_is_away(self):
        self.cut_off.tick()
        self.assertEqual(len({peer for peer, _ in self.cut_off.network.sent}), 1)
        self.cut_off.network.sent.clear()
        self.cut_off.feed.caches["zones/"].note_away()
        self.cut_off.tick()
        self.assertEqual(len({peer for peer, _ in self.cut_off.network.sent}), 2)

    def test_machine_whose_watch_the_store_has_forgotten_learns_from_a_peer(self):
        # The store keeps one machine's watch open and never answers it, while it
        # serves the others.  That machine took itself for up to date, and refused
        # requests on a route that operators had added two seconds before.
        added = [WatchedEntry("zones/a", b"", 5), WatchedEntry("zones/b", b"", 9)]
        self.served.hear_store("zones/", *added)
        for _ in range(4):
            self.cut_off.tick()
        self.pass_on()
        self.assertFalse(self.cut_off.feed.is_store_away)
        self.assertEqual(self.cut_off.view.zones_out, {"a", "b"})

    def test_machine_that_the_store_turns_away_learns_from_a_peer(self) -> None:
        # The store serves all machines but one.  Operators take a zone out; on that
        # one machine requests would go on to it.
        taken_out = [WatchedEntry("zones/a", b"", 5), WatchedEntry("zones/b", b"", 9)]
        self.served.hear_store("zones/", *taken_out)
        self.cut_off.feed.caches["zones/"].note_away()
        self.cut_off.tick()
        asked = self.cut_off.network.sent_of(FleetRequest)
        self.assertEqual(asked[0], FleetRequest("zones/", 5))
        self.pass_on()
        self.assertEqual(self.cut_off.view.zones_out, {"a", "b"})

    def test_removal_is_passed_on_and_never_undone(self) -> None:
        cache = self.served.feed.caches["zones/"]
        cache.take([WatchedEntry("zones/a", None, 9)], 9, 0.0)
        self.cut_off.feed.caches["zones/"].note_away()
        self.cut_off.tick()
        self.pass_on()
        self.assertEqual(self.cut_off.view.zones_out, frozenset())
        late = FleetEntries("zones/", 5, ())
        self.cut_off.network.deliver("e3", late)
        self.assertEqual(self.cut_off.view.zones_out, frozenset())

    def test_version_that_was_heard_late_counts_from_when_a_peer_heard(self) -> None:
        # A machine's link is busy and the store's news of a version comes three seconds
        # late.  Counted from then, the older version began requests past its bound.
        named = WatchedEntry("versions/m", b"2", 9)
        self.served.hear_store("versions/", named)
        for _ in range(6):
            self.served.tick()
            self.cut_off.tick()
        self.cut_off.network.sent.clear()
        self.cut_off.hear_store("versions/", named)
        for _ in range(4):
            self.cut_off.tick()
            self.served.tick()
            self.pass_on()
        version = self.cut_off.view.version_of("m")
        assert version is not None
        self.assertLess(version.named_at_s, 1.0)

    def test_removal_that_a_peer_holds_for_certain_is_not_kept_back(self) -> None:
        # The store turns one machine away for nine seconds, and a target leaves.  Its
        # removal was kept back there until 2 s after the store's return, though the
        # peer that told of it had been served all the while.
        self.cut_off.feed.caches["targets/"].note_away()
        self.cut_off.clock.advance(LAPSE_MIN_S)
        gone = WatchedEntry("targets/t1", None, 9)
        self.served.feed.caches["targets/"].take([gone], 9, 0.0)
        self.cut_off.tick()
        self.pass_on()
        self.assertIsNone(self.cut_off.view.target("t1"))

    def test_removal_that_a_peer_keeps_back_is_not_passed_on(self) -> None:
        # The store is away for everyone and the leases lapse.  A peer that hears of it
        # first must not spread what may be back in a moment.
        for daemon in (self.cut_off, self.served):
            daemon.feed.caches["targets/"].note_away()
            daemon.clock.advance(LAPSE_MIN_S)
        gone = WatchedEntry("targets/t1", None, 9)
        now_s = self.served.clock.now_s()
        self.served.feed.caches["targets/"].take([gone], 9, now_s)
        self.cut_off.tick()
        self.pass_on()
        self.assertIsNotNone(self.cut_off.view.target("t1"))

    def test_own_watch_goes_on_where_it_stood(self) -> None:
        # A peer's entries may leave gaps; a watch that went on after them would
        # never hear what lies between.
        self.served.hear_store(
            "zones/", WatchedEntry("zones/a", b"", 5), WatchedEntry("zones/b", b"", 9)
        )
        cache = self.cut_off.feed.caches["zones/"]
        cache.note_away()
        self.cut_off.tick()
        self.pass_on()
        self.assertEqual(cache.revision, 5)
        self.assertEqual(cache.seen_revision, 9)


if __name__ == "__main__":
    unittest.main()
