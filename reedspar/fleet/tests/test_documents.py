"""Tests of how a large document reaches the entries of a region, in virtual time."""

import random
import unittest
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import (
    DaemonChange,
    DaemonRecord,
    FleetPrefix,
    FleetView,
    WatchedChanges,
    create_fleet_exchange,
    create_fleet_feed,
)
from reedspar.fleet.tests.fakes import FakeCodec, FakeStore
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.requests.tests.virtual import LoopClock, run_virtual
from reedspar.timers import TimerService

KEY = "zones/document"
ENTRIES = 15
SIZE_BYTES = 200_000
LINK_BYTES_PER_S = 1_400_000
"""All that daemons of the region read from the store."""
PEER_S = 0.05
"""What the document takes between two daemons of the region."""
START_S = 12.0
BOUND_S = 1.5
"""Half of the time in which a configuration must be in force."""
Script = Callable[["Region"], Awaitable[None]]


class _SharedStore(FakeStore):
    """A store behind a link that the daemons of a region share."""

    def __init__(self) -> None:
        super().__init__()
        self.documents = 0
        self._link = anyio.Lock()

    async def watch_entries(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> WatchedChanges | Failure:
        result = await super().watch_entries(prefix, after_revision, timeout_s)
        if isinstance(result, Failure) or not result.entries:
            return result
        # Of a key that was written several times, the newest value is told.
        newest = result.entries[-1]
        self.documents += 1
        async with self._link:
            await anyio.sleep(len(newest.value or b"") / LINK_BYTES_PER_S)
        return WatchedChanges((newest,), newest.revision)


class _OwnStore(FakeStore):
    """The store as one daemon sees it: it may be away, or its answers may be lost."""

    def __init__(self, store: FakeStore) -> None:
        super().__init__()
        self._store = store
        self.is_mute = False

    async def list_entries(self, prefix: str) -> object:  # type: ignore[override]
        return await self._store.list_entries(prefix)

    async def watch_entries(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> WatchedChanges | Failure:
        if self.is_away:
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        if self.is_mute:
            await anyio.sleep_forever()
        result = await self._store.watch_entries(prefix, after_revision, timeout_s)
        if self.is_mute:
            await anyio.sleep_forever()
        if self.is_away:
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        return result


class _Entry:
    """An entry's feed and exchange, and when it had each revision of the document."""

    def __init__(self, name: str, store: FakeStore, records: list[DaemonRecord]):
        self.name = name
        self.store = _OwnStore(store)
        self.network = FakeNetwork()
        self.timers = TimerService(LoopClock())
        self.view = FleetView(self.timers)
        for record in records:
            self.view.apply(DaemonChange(record.name, record))
        rng = random.Random(name)
        self.feed = create_fleet_feed(
            self.store,
            self.view,
            FakeCodec(),
            self.timers,
            (FleetPrefix("zones/", is_document=True), FleetPrefix("targets/")),
            rng,
            name,
        )
        create_fleet_exchange(
            name,
            self.feed,
            self.view,
            self.network,  # type: ignore[arg-type]
            self.timers,
            rng,
        )

    @property
    def revision(self) -> int:
        return self.feed.books["zones/"].seen_revision


class Region:
    """The entries of one region, which hear each other."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.store = _SharedStore()
        self.store.put(KEY, b"first")
        names = [f"e{i}" for i in range(ENTRIES)]
        records = [DaemonRecord(n, "entry", "a", "r", "10.0.0.1", 1, 2) for n in names]
        self.entries = {n: _Entry(n, self.store, records) for n in names}
        self._tasks = tasks
        self.scopes: dict[str, anyio.CancelScope] = {}
        for entry in self.entries.values():
            entry.network.on_send = self._make_sender(entry.name)
            tasks.start_soon(self._run, entry)

    def kill(self, name: str) -> None:
        self.scopes[name].cancel()
        del self.entries[name]

    def readers(self) -> list[str]:
        return [e.name for e in self.entries.values() if e.feed.reads("zones/")]

    def publish(self) -> int:
        return self.store.put(KEY, b"x" * SIZE_BYTES)

    def list_late(self, revision: int) -> list[str]:
        return [e.name for e in self.entries.values() if e.revision < revision]

    async def _run(self, entry: _Entry) -> None:
        with anyio.CancelScope() as scope:
            self.scopes[entry.name] = scope
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(entry.timers.run)
                tasks.start_soon(entry.feed.run)

    def _make_sender(self, sender: str) -> Callable[[str, object], None]:
        async def deliver(peer: str, message: object) -> None:
            await anyio.sleep(PEER_S)
            if peer in self.entries:
                self.entries[peer].network.deliver(sender, message)

        return lambda peer, message: self._tasks.start_soon(deliver, peer, message)


class DocumentTest(unittest.TestCase):
    def run_with(self, script: Script) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                region = Region(tasks)
                await anyio.sleep(START_S)
                await script(region)
                tasks.cancel_scope.cancel()

        run_virtual(run)

    def test_few_entries_of_a_region_read_a_document_and_all_have_it(self) -> None:
        # Fifteen entries read each version of a document over the link that their
        # region shares.  The last one had it seconds after the first, and all else on
        # that link waited as long.
        async def script(region: Region) -> None:
            before = region.store.documents
            for _ in range(4):
                revision = region.publish()
                await anyio.sleep(0.3)
            await anyio.sleep(BOUND_S - 0.3)
            self.assertEqual(region.list_late(revision), [])
            self.assertLessEqual(region.store.documents - before, 4 * 3)

        self.run_with(script)

    def test_document_comes_though_all_its_readers_are_gone(self) -> None:
        # The machines of the entries that read for the others are killed at once.
        async def script(region: Region) -> None:
            readers = region.readers()
            self.assertEqual(len(readers), 3)
            for name in readers:
                region.kill(name)
            revision = region.publish()
            await anyio.sleep(2 * BOUND_S)
            self.assertEqual(region.list_late(revision), [])

        self.run_with(script)

    def test_document_comes_though_a_reader_hears_nothing(self) -> None:
        # The store has forgotten the watches of two readers, which answer their peers
        # all the same that there is nothing new.
        async def script(region: Region) -> None:
            for name in region.readers()[:2]:
                region.entries[name].store.is_mute = True
            revision = region.publish()
            await anyio.sleep(BOUND_S)
            self.assertEqual(region.list_late(revision), [])

        self.run_with(script)

    def test_entries_read_for_themselves_while_no_reader_is_served(self) -> None:
        # The store turns the readers away and serves the others.
        async def script(region: Region) -> None:
            for name in region.readers():
                region.entries[name].store.is_away = True
            revision = region.publish()
            await anyio.sleep(2 * BOUND_S)
            late = region.list_late(revision)
            self.assertEqual(late, [])

        self.run_with(script)


if __name__ == "__main__":
    unittest.main()
