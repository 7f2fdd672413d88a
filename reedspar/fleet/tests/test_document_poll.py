"""Tests of asking entries for a document instead of the store."""

import random
import unittest
from collections.abc import Awaitable, Callable

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
from reedspar.fleet.document_poll import FIRST_ANSWER_S, DocumentPoll
from reedspar.fleet.messages import DocumentNews
from reedspar.fleet.tests.fakes import FakeCodec, FakeStore
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.requests.tests.virtual import LoopClock, run_virtual
from reedspar.timers import TimerService

PREFIX = "versions/"
ANSWER_S = FIRST_ANSWER_S / 3


class DocumentPollTest(unittest.TestCase):
    def run_with(self, script: Callable[[], Awaitable[None]]) -> None:
        async def run() -> None:
            self.create()
            await script()

        run_virtual(run)

    def create(self) -> None:
        view = FleetView(TimerService(LoopClock()))
        record = DaemonRecord("e0", "entry", "a", "ra", "10.0.0.1", 1, 2)
        view.apply(DaemonChange("e0", record))
        feed = create_fleet_feed(
            FakeStore(),
            view,
            FakeCodec(),
            TimerService(LoopClock()),
            [FleetPrefix(PREFIX, is_relayed=True)],
        )
        self.feed = feed
        self.network = FakeNetwork()
        self.poll = DocumentPoll(
            "ra",
            feed.books[PREFIX],
            feed,
            view,
            self.network,  # type: ignore[arg-type]
            random.Random(1),
        )

    def hear(self, revision: int) -> None:
        self.network.deliver("e0", DocumentNews(PREFIX, revision, revision, True))

    async def run_poll(self, revision: int) -> bool:
        """Poll while a peer tells of a revision and sends the entry a moment later."""

        async def answer() -> None:
            self.hear(revision)
            await anyio.sleep(ANSWER_S)
            entry = WatchedEntry("versions/m", b"2", 8)
            self.feed.take_from_peer(PREFIX, [entry])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(answer)
            is_answered = await self.poll.poll_first()
            tasks.cancel_scope.cancel()
        return is_answered

    def test_news_of_a_document_is_not_taken_for_the_document(self) -> None:
        # Readers tell of what they have a few times a second.  An entry that started
        # took that for its answer, found that it knew nothing, and read the store.
        async def run() -> None:
            self.assertTrue(await self.run_poll(revision=8))

        self.run_with(run)

    def test_peer_that_knows_nothing_is_not_waited_for(self) -> None:
        async def run() -> None:
            start_s = anyio.current_time()
            self.assertFalse(await self.run_poll(revision=0))
            self.assertLess(anyio.current_time() - start_s, ANSWER_S)

        self.run_with(run)

    def test_peer_that_knows_the_same_has_answered(self) -> None:
        async def run() -> None:
            book = self.feed.books[PREFIX]
            entry = WatchedEntry("versions/m", b"2", 8)
            book.take_listing(Listing((entry,), 8), 0.0)
            start_s = anyio.current_time()
            self.assertTrue(await self.run_poll(revision=8))
            self.assertLess(anyio.current_time() - start_s, ANSWER_S)

        self.run_with(run)


if __name__ == "__main__":
    unittest.main()
