"""Tests of getting changes from peers if the store does not send them."""

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
from reedspar.fleet.messages import FleetEntries, FleetRequest
from reedspar.fleet.prefix_cache import LEASE_EXPIRY_OUTAGE_MIN_S
from reedspar.fleet.tests.fakes import FakeCodec, FakeStore
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.timers import TimerService, VirtualClock

PREFIXES = (
    FleetPrefix("zones/"),
    FleetPrefix("targets/", defers_outage_removals=True),
    FleetPrefix("versions/"),
)


class Daemon:
    """A daemon's feed and exchange without background tasks."""

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

    def receive_from_store(self, prefix: str, *entries: WatchedEntry) -> None:
        revision = max(entry.revision for entry in entries)
        cache = self.feed.caches[prefix]
        for entry in cache.apply_listing(Listing(entries, revision), 0.0):
            change = FakeCodec().decode(entry)
            assert change is not None
            self.view.apply(change)

    def tick(self) -> None:
        self.clock.advance(0.5)
        self.timers.run_due()


class ExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        names = ["e1", "e2", "e3"]
        self.unserved = Daemon("e1", names)
        self.served = Daemon("e2", names)
        for daemon in (self.unserved, self.served):
            daemon.receive_from_store("zones/", WatchedEntry("zones/a", b"", 5))
            daemon.receive_from_store("targets/", WatchedEntry("targets/t1", b"{}", 6))

    def deliver_messages(self) -> None:
        """Deliver requests and answers between the two daemons."""
        for _, message in self.unserved.network.sent:
            self.served.network.deliver("e1", message)
        for _, message in self.served.network.sent:
            self.unserved.network.deliver("e2", message)

    def test_one_peer_is_polled_normally_and_two_during_outage(self):
        self.unserved.tick()
        self.assertEqual(len({peer for peer, _ in self.unserved.network.sent}), 1)
        self.unserved.network.sent.clear()
        self.unserved.feed.caches["zones/"].mark_unavailable()
        self.unserved.tick()
        self.assertEqual(len({peer for peer, _ in self.unserved.network.sent}), 2)

    def test_machine_with_dropped_watch_gets_changes_from_peer(self):
        # The store keeps one machine's watch open without ever answering it, while it
        # serves the others.  The machine assumes that it is up to date, and refuses
        # requests for a route that operators added two seconds before.
        added = [WatchedEntry("zones/a", b"", 5), WatchedEntry("zones/b", b"", 9)]
        self.served.receive_from_store("zones/", *added)
        for _ in range(4):
            self.unserved.tick()
        self.deliver_messages()
        self.assertFalse(self.unserved.feed.is_store_unavailable)
        self.assertEqual(self.unserved.view.zones_out, {"a", "b"})

    def test_machine_refused_by_store_gets_changes_from_peer(self) -> None:
        # The store refuses a single machine.  Operators take a zone out of service, and
        # without the exchange that machine would continue to send requests to it.
        taken_out = [WatchedEntry("zones/a", b"", 5), WatchedEntry("zones/b", b"", 9)]
        self.served.receive_from_store("zones/", *taken_out)
        self.unserved.feed.caches["zones/"].mark_unavailable()
        self.unserved.tick()
        asked = self.unserved.network.sent_of(FleetRequest)
        self.assertEqual(asked[0], FleetRequest("zones/", 5))
        self.deliver_messages()
        self.assertEqual(self.unserved.view.zones_out, {"a", "b"})

    def test_removal_is_passed_on_and_not_undone(self) -> None:
        cache = self.served.feed.caches["zones/"]
        cache.apply([WatchedEntry("zones/a", None, 9)], 9, 0.0)
        self.unserved.feed.caches["zones/"].mark_unavailable()
        self.unserved.tick()
        self.deliver_messages()
        self.assertEqual(self.unserved.view.zones_out, frozenset())
        late = FleetEntries("zones/", 5, ())
        self.unserved.network.deliver("e3", late)
        self.assertEqual(self.unserved.view.zones_out, frozenset())

    def test_late_version_gets_naming_time_of_peer(self) -> None:
        # A machine's link is busy, and a new version arrives three seconds late.  If
        # the time were counted from then, requests would begin on the older version
        # after its time limit.
        named = WatchedEntry("versions/m", b"2", 9)
        self.served.receive_from_store("versions/", named)
        for _ in range(6):
            self.served.tick()
            self.unserved.tick()
        self.unserved.network.sent.clear()
        self.unserved.receive_from_store("versions/", named)
        for _ in range(4):
            self.unserved.tick()
            self.served.tick()
            self.deliver_messages()
        version = self.unserved.view.version_of("m")
        assert version is not None
        self.assertLess(version.named_at_s, 1.0)

    def test_removal_applied_by_peer_is_not_deferred(self) -> None:
        # The store refuses one machine for nine seconds, and a target leaves.  The
        # machine must not defer the removal until 2 s after the end of its outage, as
        # the store has served the peer that reports the removal throughout.
        self.unserved.feed.caches["targets/"].mark_unavailable()
        self.unserved.clock.advance(LEASE_EXPIRY_OUTAGE_MIN_S)
        gone = WatchedEntry("targets/t1", None, 9)
        self.served.feed.caches["targets/"].apply([gone], 9, 0.0)
        self.unserved.tick()
        self.deliver_messages()
        self.assertIsNone(self.unserved.view.target("t1"))

    def test_deferred_removal_is_confirmed_by_served_peer(self) -> None:
        # The store answers a refused machine again, and that machine sees a removal
        # itself before a peer reports it.  Requests for newer entries would not return
        # it, and the target would get requests until the end of the deferral.
        gone = WatchedEntry("targets/t1", None, 9)
        self.served.feed.caches["targets/"].apply([gone], 9, 0.0)
        self.defer_removal(self.unserved, gone)
        self.unserved.tick()
        self.deliver_messages()
        self.assertIsNone(self.unserved.view.target("t1"))

    def test_deferred_removal_is_not_confirmed_by_peer_that_defers_it(self) -> None:
        # Guards against an empty view after an outage in which leases have expired.
        gone = WatchedEntry("targets/t1", None, 9)
        for daemon in (self.unserved, self.served):
            self.defer_removal(daemon, gone)
        self.unserved.tick()
        self.deliver_messages()
        self.assertIsNotNone(self.unserved.view.target("t1"))

    def defer_removal(self, daemon: Daemon, gone: WatchedEntry) -> None:
        """Let a daemon see a removal just after an outage."""
        cache = daemon.feed.caches["targets/"]
        cache.mark_unavailable()
        daemon.clock.advance(LEASE_EXPIRY_OUTAGE_MIN_S)
        now_s = daemon.clock.now_s()
        cache.mark_available(now_s)
        self.assertEqual(cache.apply([gone], gone.revision, now_s), [])

    def test_removal_deferred_by_peer_is_not_passed_on(self) -> None:
        # The store is unavailable for all machines and the leases expire.  The peer
        # that first learns of a removal must not pass it on, as the entry may be
        # written again shortly.
        for daemon in (self.unserved, self.served):
            daemon.feed.caches["targets/"].mark_unavailable()
            daemon.clock.advance(LEASE_EXPIRY_OUTAGE_MIN_S)
        gone = WatchedEntry("targets/t1", None, 9)
        now_s = self.served.clock.now_s()
        self.served.feed.caches["targets/"].apply([gone], 9, now_s)
        self.unserved.tick()
        self.deliver_messages()
        self.assertIsNotNone(self.unserved.view.target("t1"))

    def test_peer_entries_do_not_advance_own_watch(self) -> None:
        # A peer's entries may leave gaps.  A watch that continued after them would miss
        # the changes in between.
        self.served.receive_from_store(
            "zones/", WatchedEntry("zones/a", b"", 5), WatchedEntry("zones/b", b"", 9)
        )
        cache = self.unserved.feed.caches["zones/"]
        cache.mark_unavailable()
        self.unserved.tick()
        self.deliver_messages()
        self.assertEqual(cache.revision, 5)
        self.assertEqual(cache.max_known_revision, 9)


if __name__ == "__main__":
    unittest.main()
