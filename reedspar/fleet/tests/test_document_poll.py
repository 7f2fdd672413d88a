"""Tests of reading a document from entry daemons instead of the store."""

import random
import unittest
from collections.abc import Awaitable, Callable, Sequence

import anyio

from reedspar.fleet import (
    DaemonChange,
    DaemonRecord,
    FleetPrefix,
    FleetView,
    Listing,
    WatchedEntry,
    create_fleet_feed,
)
from reedspar.fleet.document_poll import INITIAL_ANSWER_TIMEOUT_S, DocumentPoll
from reedspar.fleet.messages import DocumentNews
from reedspar.fleet.reader_selection import READERS_KEY
from reedspar.fleet.tests.fakes import FakeCodec, FakeStore
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.requests.tests.virtual_time import LoopClock, run_virtual
from reedspar.timers import TimerService
from reedspar.utils import rank_by_rendezvous

PREFIX = "versions/"
RANKED = rank_by_rendezvous(READERS_KEY, [f"e{i}" for i in range(6)])
ANSWER_DELAY_S = INITIAL_ANSWER_TIMEOUT_S / 3


class DocumentPollTest(unittest.TestCase):
    def run_with(self, script: Callable[[], Awaitable[None]]) -> None:
        async def run() -> None:
            self.create()
            await script()

        run_virtual(run)

    def create(self, name: str = RANKED[-1], known: Sequence[str] = RANKED) -> None:
        timers = TimerService(LoopClock())
        view = FleetView(timers)
        for other in known:
            record = DaemonRecord(other, "entry", "a", "ra", "10.0.0.1", 1, 2)
            view.apply(DaemonChange(other, record))
        self.feed = create_fleet_feed(
            FakeStore(),
            view,
            FakeCodec(),
            timers,
            [FleetPrefix(PREFIX, is_relayed=True)],
        )
        self.network = FakeNetwork()
        self.poll = DocumentPoll(
            name,
            "ra",
            self.feed.caches[PREFIX],
            self.feed,
            view,
            self.network,  # type: ignore[arg-type]
            timers,
            random.Random(1),
            is_relayed=True,
        )

    def receive_revision(self, revision: int) -> None:
        self.network.deliver(RANKED[0], DocumentNews(PREFIX, revision, revision, True))

    async def run_poll(self, revision: int) -> bool:
        """Poll while a peer reports a revision and sends the entry shortly after."""

        async def answer() -> None:
            self.receive_revision(revision)
            await anyio.sleep(ANSWER_DELAY_S)
            entry = WatchedEntry("versions/m", b"2", 8)
            self.feed.apply_from_peer(PREFIX, [entry])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(answer)
            is_answered = await self.poll.poll()
            tasks.cancel_scope.cancel()
        return is_answered

    def test_report_of_newer_revision_does_not_complete_poll(self) -> None:
        # Readers report their revision several times a second.  If a starting entry
        # treats that as the answer, it finds that it has no document and reads the
        # store.
        async def run() -> None:
            self.assertTrue(await self.run_poll(revision=8))

        self.run_with(run)

    def test_first_ranked_entry_reads_store_if_peers_lack_document(self) -> None:
        async def run() -> None:
            self.create(RANKED[0])
            start_s = anyio.current_time()
            self.assertFalse(await self.poll.poll())
            self.assertLessEqual(
                anyio.current_time() - start_s, INITIAL_ANSWER_TIMEOUT_S
            )

        run_virtual(run)

    def test_restarted_only_entry_reads_store_immediately(self) -> None:
        # Guards against a wait of up to five seconds for peers that don't exist.
        async def run() -> None:
            self.create("e0", ["e0"])
            start_s = anyio.current_time()
            self.assertFalse(await self.poll.poll())
            self.assertEqual(anyio.current_time(), start_s)

        run_virtual(run)

    def test_peer_with_same_revision_completes_poll(self) -> None:
        async def run() -> None:
            cache = self.feed.caches[PREFIX]
            entry = WatchedEntry("versions/m", b"2", 8)
            cache.apply_listing(Listing((entry,), 8), 0.0)
            start_s = anyio.current_time()
            self.assertTrue(await self.run_poll(revision=8))
            self.assertLess(anyio.current_time() - start_s, ANSWER_DELAY_S)

        self.run_with(run)


if __name__ == "__main__":
    unittest.main()
