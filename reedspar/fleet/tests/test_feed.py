"""Tests of following the store's prefixes."""

import random
import unittest
from collections.abc import Awaitable, Callable, Sequence

import anyio

from reedspar.fleet import FleetFeed, FleetPrefix, FleetView, create_fleet_feed
from reedspar.fleet.feed import DEFERRED_CHECK_INTERVAL_S, EPOCH_CHECK_INTERVAL_S
from reedspar.fleet.store_retry import RETRY_DELAY_MAX_S
from reedspar.fleet.tests.fakes import FakeCodec, FakeStore
from reedspar.timers import TimerService, VirtualClock

PREFIXES = (FleetPrefix("zones/"), FleetPrefix("targets/", defers_outage_removals=True))
BATCH_INTERVAL_S = 0.3
PROPAGATION_TIME_S = 0.1
POLL_INTERVAL_S = 0.2


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

    def test_initial_entries_and_changes_are_applied(self) -> None:
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            self.assertEqual(self.ids(), ["t1"])
            self.assertEqual(self.view.zones_out, {"b"})
            store.put("targets/t2", b'{"zone": "c"}')
            store.put("zones/b", None)
            await anyio.sleep(PROPAGATION_TIME_S)
            self.assertEqual(self.ids(), ["t1", "t2"])
            self.assertEqual(self.view.zones_out, frozenset())

        self.follow(script)

    def test_watch_that_was_lost_in_an_outage_is_replaced_at_its_end(self) -> None:
        # Guards against late news after an outage in which the store drops the pending
        # watches without an answer: only the renewals of the lease fail, then succeed.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            await anyio.sleep(PROPAGATION_TIME_S)
            store.lose_watches()
            feed.record_store_failure()
            store.put("targets/t2", b'{"zone": "c"}')
            await anyio.sleep(PROPAGATION_TIME_S)
            self.assertEqual(self.ids(), ["t1"])
            feed.record_store_success()
            await anyio.sleep(PROPAGATION_TIME_S)
            self.assertEqual(self.ids(), ["t1", "t2"])

        self.follow(script)

    def test_watch_of_an_earlier_epoch_is_replaced(self) -> None:
        # Guards against late news after a restore in which the store drops the pending
        # watches without an answer: only other calls tell that the epoch has risen.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            await anyio.sleep(PROPAGATION_TIME_S)
            store.lose_watches()
            store.put("targets/t2", b'{"zone": "c"}')
            await anyio.sleep(PROPAGATION_TIME_S)
            self.assertEqual(self.ids(), ["t1"])
            store.epoch += 1
            for _ in range(3):
                self.clock.advance(EPOCH_CHECK_INTERVAL_S)
                self.timers.run_due()
                await anyio.sleep(PROPAGATION_TIME_S)
            self.assertEqual(self.ids(), ["t1", "t2"])
            self.assertLessEqual(store.calls.count("watch"), 3 * len(PREFIXES))

        self.follow(script)

    def test_first_epoch_is_not_a_restore(self) -> None:
        # Guards against unnecessary calls to the store at each start of a daemon.
        async def run() -> None:
            store = FakeStore()
            store.epoch = 3
            feed = create_fleet_feed(
                store, self.view, FakeCodec(), self.timers, PREFIXES, random.Random(1)
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.run)
                await feed.wait_initialized()
                for _ in range(3):
                    await anyio.sleep(PROPAGATION_TIME_S)
                    self.clock.advance(EPOCH_CHECK_INTERVAL_S)
                    self.timers.run_due()
                self.assertEqual(store.calls.count("watch"), len(PREFIXES))
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_listing_that_brings_nothing_new_is_not_repeated_at_once(self) -> None:
        # Guards against calling the store in a loop while it answers each watch that
        # its history is gone.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            store.first_kept_revision = store.revision + 5
            store.interrupt_watches()
            calls = len(store.calls)
            await anyio.sleep(2.0)
            self.assertLessEqual(len(store.calls) - calls, 30)

        self.follow(script)

    def test_watches_are_replaced_once_after_an_outage(self) -> None:
        # Guards against a call of the store for each renewal that succeeds.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            await anyio.sleep(PROPAGATION_TIME_S)
            calls = len(store.calls)
            feed.record_store_failure()
            for _ in range(3):
                feed.record_store_success()
                await anyio.sleep(PROPAGATION_TIME_S)
            self.assertEqual(len(store.calls) - calls, len(PREFIXES))

        self.follow(script)

    def test_polled_document_is_read_rarely(self) -> None:
        # A document of a thousand routes changes ten times in succession.  If daemons
        # that need little of it read each revision, they saturate the links between
        # regions, and requests and weights are queued behind the document.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            reads = len(store.calls)
            for turn in range(10):
                store.put("zones/b", f"{turn}".encode())
                await anyio.sleep(POLL_INTERVAL_S / 10)
            await anyio.sleep(2 * POLL_INTERVAL_S)
            self.assertEqual(self.view.zones_out, {"b"})
            self.assertLessEqual(len(store.calls) - reads, 6)
            self.assertEqual(feed.shared_caches, [])

        self.follow(script, (FleetPrefix("zones/", poll_interval_s=POLL_INTERVAL_S),))

    def test_first_version_of_polled_document_is_applied_immediately(self) -> None:
        # Daemons start before operators have written the document.  If those that poll
        # it read it again only half a minute later, they don't know the origin until
        # then and get no weights.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            store.put("routes/first", b"{}")
            await anyio.sleep(PROPAGATION_TIME_S)
            self.assertTrue(feed.caches["routes/"].entries_after(0))

        self.follow(script, (FleetPrefix("routes/", poll_interval_s=30.0),))

    def test_successive_changes_are_fetched_by_one_call(self) -> None:
        # All daemons start at once.  If each of 24 daemons makes a call for each start
        # of another one, they make hundreds of calls, all of which are billed.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            before = store.calls.count("watch")
            for i in range(10):
                store.put(f"daemons/d{i}", b"{}")
                await anyio.sleep(0.02)
            await anyio.sleep(BATCH_INTERVAL_S)
            self.assertLessEqual(store.calls.count("watch") - before, 3)

        prefix = FleetPrefix("daemons/", batch_interval_s=BATCH_INTERVAL_S)
        self.follow(script, [prefix])

    def test_prefix_is_listed_again_after_history_is_dropped(self) -> None:
        # The store drops its history while a target leaves.  A watch that continued
        # from the old revision would never return the removal.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            store.is_unavailable = True
            store.put("targets/t1", None)
            store.put("targets/t2", b"{}")
            store.drop_history()
            store.is_unavailable = False
            await anyio.sleep(1.5)
            self.timers.run_due()
            self.clock.advance(5.0)
            self.timers.run_due()
            self.assertEqual(self.ids(), ["t2"])

        self.follow(script)

    def test_removal_after_interrupted_watch_is_applied_immediately(self) -> None:
        # The store interrupts a watch and answers the next call, while a target leaves
        # without notice.  When its entry was kept as if its lease might have expired,
        # it got requests up to 2.8 s after its removal.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            store.interrupt_watches()
            store.put("targets/t1", None)
            await anyio.sleep(RETRY_DELAY_MAX_S + PROPAGATION_TIME_S)
            self.clock.advance(RETRY_DELAY_MAX_S + DEFERRED_CHECK_INTERVAL_S)
            self.timers.run_due()
            self.assertEqual(self.ids(), [])

        self.follow(script)

    def test_unwatched_prefix_does_not_block_others(self) -> None:
        # During an outage one prefix retries for all others.  If it is then no longer
        # watched, another one has to retry, or the others wait forever.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            store.is_unavailable = True
            store.put("zones/c", b"{}")
            await anyio.sleep(PROPAGATION_TIME_S)
            self.assertIs(feed._retry.retrying_cache, feed.caches["zones/"])
            feed.set_watched("zones/", False)
            store.is_unavailable = False
            store.put("targets/t2", b"{}")
            await anyio.sleep(2 * RETRY_DELAY_MAX_S)
            self.assertEqual(self.ids(), ["t1", "t2"])
            self.assertEqual(self.view.zones_out, {"b"})
            self.assertFalse(feed.is_store_unavailable)
            feed.set_watched("zones/", True)
            await anyio.sleep(PROPAGATION_TIME_S)
            self.assertEqual(self.view.zones_out, {"b", "c"})

        self.follow(script)

    def test_initial_read_asks_peers_again_after_store_failure(self) -> None:
        # After a power failure the link is saturated, and reads of a document time out.
        # A daemon that only retries them gets the document after ten seconds, though
        # its peers have it after three.
        async def run() -> None:
            store = FakeStore()
            store.is_unavailable = True
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

            feed.set_peer_poll("zones/", poll)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.run)
                with anyio.fail_after(2 * RETRY_DELAY_MAX_S):
                    await feed.wait_initialized()
                # Otherwise no other prefix would call the store again.
                self.assertIsNone(feed._retry.retrying_cache)
                self.assertFalse(feed.is_store_unavailable)
                tasks.cancel_scope.cancel()
            self.assertEqual(store.calls.count("list"), 1)

        anyio.run(run)

    def test_known_entries_remain_during_outage(self) -> None:
        # The store is down, and requests are still sent to the known targets.
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            store.is_unavailable = True
            store.put("targets/t2", b"{}")
            await anyio.sleep(PROPAGATION_TIME_S)
            self.assertEqual(self.ids(), ["t1"])
            self.assertTrue(feed.is_store_unavailable)
            store.is_unavailable = False
            await anyio.sleep(1.5)
            self.assertEqual(self.ids(), ["t1", "t2"])
            self.assertFalse(feed.is_store_unavailable)

        self.follow(script)

    def test_each_prefix_takes_one_listing_and_one_watch(self) -> None:
        async def script(store: FakeStore, feed: FleetFeed) -> None:
            await anyio.sleep(0.5)
            self.assertEqual(store.calls.count("list"), 2)
            self.assertEqual(store.calls.count("watch"), 2)

        self.follow(script)


if __name__ == "__main__":
    unittest.main()
