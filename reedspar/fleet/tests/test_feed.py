"""Tests of following the store."""

import random
import unittest
from collections.abc import Awaitable, Callable, Sequence

import anyio

from reedspar.fleet import FleetFeed, FleetPrefix, FleetView, create_fleet_feed
from reedspar.fleet.feed import HELD_CHECK_S, RETRY_MAX_S
from reedspar.fleet.tests.fakes import FakeCodec, FakeStore
from reedspar.timers import TimerService, VirtualClock

PREFIXES = (FleetPrefix("zones/"), FleetPrefix("targets/", defers_outage_removals=True))
GATHER_S = 0.3
SETTLE_S = 0.1
POLL_S = 0.2


class FeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.timers = TimerService(self.clock)
        self.view = FleetView(self.timers)

    def follow(
        self,
        script: Callable[[FakeStore, FleetFeed], Awaitable[None]],
        prefixes: Sequence[FleetPrefix] = PREFIXES,
    ) -> None:
        async def run() -> None:
            store = FakeStore()
            store.put("targets/t1", b"{}")
            store.put("zones/b", b"{}")
            feed = create_fleet_feed(
                store, self.view, FakeCodec(), self.timers, prefixes, random.Random(1)
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.run)
                with anyio.fail_after(5):
                    await feed.wait_initialized()
                    await script(store, feed)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def ids(self) -> list[str]:
        return [known.record.id for known in self.view.targets("quotes")]

    def test_takes_what_is_there_and_what_changes(self) -> None:
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            self.assertEqual(self.ids(), ["t1"])
            self.assertEqual(self.view.zones_out, {"b"})
            store.put("targets/t2", b'{"zone": "c"}')
            store.put("zones/b", None)
            await anyio.sleep(SETTLE_S)
            self.assertEqual(self.ids(), ["t1", "t2"])
            self.assertEqual(self.view.zones_out, frozenset())

        self.follow(script)

    def test_document_that_may_wait_is_read_seldom(self) -> None:
        # A document of a thousand routes changes ten times in a row.  Each daemon that
        # needs little of it read it ten times, and the links between regions were full
        # for as long as that took: requests and weights waited behind it.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            reads = len(store.calls)
            for turn in range(10):
                store.put("zones/b", f"{turn}".encode())
                await anyio.sleep(POLL_S / 10)
            await anyio.sleep(2 * POLL_S)
            self.assertEqual(self.view.zones_out, {"b"})
            self.assertLessEqual(len(store.calls) - reads, 6)
            self.assertEqual(feed.shared_caches, [])

        self.follow(script, (FleetPrefix("zones/", poll_interval_s=POLL_S),))

    def test_first_document_is_taken_at_once(self) -> None:
        # Daemons start before the operator has written anything.  Those that read the
        # document seldom found nothing, and looked again half a minute later: until
        # then they knew no origin, and got no weights.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            store.put("routes/first", b"{}")
            await anyio.sleep(SETTLE_S)
            self.assertTrue(feed.caches["routes/"].entries_after(0))

        self.follow(script, (FleetPrefix("routes/", poll_interval_s=30.0),))

    def test_changes_that_may_wait_share_a_call(self) -> None:
        # All daemons start at once.  With a call for each start of each other one,
        # 24 of them made hundreds of calls, all of which are paid for.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            before = store.calls.count("watch")
            for i in range(10):
                store.put(f"daemons/d{i}", b"{}")
                await anyio.sleep(0.02)
            await anyio.sleep(GATHER_S)
            self.assertLessEqual(store.calls.count("watch") - before, 3)

        prefix = FleetPrefix("daemons/", batch_interval_s=GATHER_S)
        self.follow(script, [prefix])

    def test_lists_again_once_the_history_is_gone(self) -> None:
        # The store drops its history while a target leaves.  A watch that went on
        # from the old place would never tell of it.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            store.is_away = True
            store.put("targets/t1", None)
            store.put("targets/t2", b"{}")
            store.drop_history()
            store.is_away = False
            await anyio.sleep(1.5)
            self.timers.run_due()
            self.clock.advance(5.0)
            self.timers.run_due()
            self.assertEqual(self.ids(), ["t2"])

        self.follow(script)

    def test_removal_after_a_watch_was_cut_holds_at_once(self) -> None:
        # The store cuts a watch and answers the next call.  A target leaves at that
        # moment without a word.  Kept as if its lease might have lapsed, it got
        # requests up to 2.8 s after its removal.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            store.cut_watches()
            store.put("targets/t1", None)
            await anyio.sleep(RETRY_MAX_S + SETTLE_S)
            self.clock.advance(RETRY_MAX_S + HELD_CHECK_S)
            self.timers.run_due()
            self.assertEqual(self.ids(), [])

        self.follow(script)

    def test_prefix_that_is_left_to_peers_holds_up_no_other(self) -> None:
        # A daemon asked the store for all its prefixes by that of a document when it
        # was no longer its turn to read it.  The others waited for good.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            store.is_away = True
            store.put("zones/c", b"{}")
            await anyio.sleep(SETTLE_S)
            self.assertIs(feed._asking, feed.caches["zones/"])
            feed.set_watched("zones/", False)
            store.is_away = False
            store.put("targets/t2", b"{}")
            await anyio.sleep(2 * RETRY_MAX_S)
            self.assertEqual(self.ids(), ["t1", "t2"])
            self.assertEqual(self.view.zones_out, {"b"})
            self.assertFalse(feed.is_store_away)
            feed.set_watched("zones/", True)
            await anyio.sleep(SETTLE_S)
            self.assertEqual(self.view.zones_out, {"b", "c"})

        self.follow(script)

    def test_start_asks_peers_again_after_the_store_has_failed(self) -> None:
        # After a loss of power the link was full, and reads of a document were given up
        # and begun again for ten seconds, though peers had it since the third.
        async def run() -> None:
            store = FakeStore()
            store.is_away = True
            answers = [False, True]
            feed = create_fleet_feed(
                store,
                self.view,
                FakeCodec(),
                self.timers,
                (FleetPrefix("zones/", is_relayed=True),),
                random.Random(1),
            )

            async def poll() -> bool:
                return answers.pop(0)

            feed.set_poller("zones/", poll)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.run)
                with anyio.fail_after(2 * RETRY_MAX_S):
                    await feed.wait_initialized()
                # Else no other prefix asked the store again.
                self.assertIsNone(feed._asking)
                self.assertFalse(feed.is_store_away)
                tasks.cancel_scope.cancel()
            self.assertEqual(store.calls.count("list"), 1)

        anyio.run(run)

    def test_goes_on_by_what_is_known_while_the_store_is_away(self) -> None:
        # The store is down.  Requests go on to the targets that are known.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            store.is_away = True
            store.put("targets/t2", b"{}")
            await anyio.sleep(SETTLE_S)
            self.assertEqual(self.ids(), ["t1"])
            self.assertTrue(feed.is_store_away)
            store.is_away = False
            await anyio.sleep(1.5)
            self.assertEqual(self.ids(), ["t1", "t2"])
            self.assertFalse(feed.is_store_away)

        self.follow(script)

    def test_calm_store_is_asked_once_for_each_prefix(self) -> None:
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            await anyio.sleep(0.5)
            self.assertEqual(store.calls.count("list"), 2)
            self.assertEqual(store.calls.count("watch"), 2)

        self.follow(script)


if __name__ == "__main__":
    unittest.main()
