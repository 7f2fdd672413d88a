"""Tests of the archive of verdicts in the key-value service."""

import random
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio

from reedspar.errors import Failure, Reason, Step
from reedspar.requests import verdict_archive
from reedspar.requests.crash_records import Cause
from reedspar.requests.quarantine import Quarantine, Standing, Verdict
from reedspar.requests.tests.fakes import FakeKeyValue
from reedspar.requests.verdict_archive import create_verdict_archive
from reedspar.timers import TimerService, VirtualClock

PARTS = Cause(prompt_parts=frozenset({"bad"}))
REQUEST = Cause("deadly")


class ArchiveTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeKeyValue()
        for name, value in (("WRITE_DELAY_MAX_S", 0.02), ("RETRY_DELAY_S", 0.01)):
            patch = mock.patch.object(verdict_archive, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def run_entries(
        self, count: int, script: Callable[[list[Quarantine]], Awaitable[None]]
    ) -> None:
        """Run entries that know nothing of each other but by the archive."""

        async def run() -> None:
            quarantines = [Quarantine() for _ in range(count)]
            async with anyio.create_task_group() as tasks:
                for seed, quarantine in enumerate(quarantines):
                    archive = create_verdict_archive(
                        quarantine,
                        self.store,
                        TimerService(VirtualClock()),
                        random.Random(seed),
                    )
                    tasks.start_soon(archive.run)
                await anyio.sleep(0.05)
                await script(quarantines)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    async def blame(self, quarantines: list[Quarantine], *causes: Cause) -> None:
        for cause in causes:
            for quarantine in quarantines:
                quarantine.adopt_verdict(Verdict(cause, 0.0, is_blamed=True))
        await anyio.sleep(0.2)

    def assert_refused(self, quarantine: Quarantine, is_refused: bool = True) -> None:
        for fingerprint, parts in (("deadly", ()), ("new", ("first", "bad"))):
            standing, _ = quarantine.standing(fingerprint, 1.0, parts)
            self.assertEqual(standing is Standing.BLAMED, is_refused)

    def test_entries_that_all_restart_refuse_what_crashed_targets_before(self) -> None:
        # Guards against learning from more crashes, after all entries have stopped at
        # once, what crashes targets.
        async def before(quarantines: list[Quarantine]) -> None:
            await self.blame(quarantines, PARTS, REQUEST)

        async def after(quarantines: list[Quarantine]) -> None:
            for quarantine in quarantines:
                self.assert_refused(quarantine)

        self.run_entries(5, before)
        self.run_entries(5, after)

    def test_answered_cause_is_removed(self) -> None:
        async def before(quarantines: list[Quarantine]) -> None:
            await self.blame(quarantines, PARTS, REQUEST)
            quarantines[0].on_answered("deadly", 1.0, ("first", "bad"))
            await anyio.sleep(0.2)

        async def after(quarantines: list[Quarantine]) -> None:
            self.assert_refused(quarantines[0], is_refused=False)

        self.run_entries(1, before)
        self.run_entries(1, after)

    def test_replaced_cause_is_removed(self) -> None:
        # Guards against restarted entries that refuse parts for another's crashes.
        replaced = Verdict(PARTS, 1.0, is_blamed=False, is_replaced=True)

        async def before(quarantines: list[Quarantine]) -> None:
            await self.blame(quarantines, PARTS)
            self.store.before_write = lambda key: Failure(
                Reason.UNAVAILABLE, Step.KEY_VALUE
            )
            for quarantine in quarantines:
                quarantine.adopt_verdict(replaced)
            await anyio.sleep(0.1)
            self.store.before_write = lambda key: None
            await anyio.sleep(0.2)

        async def after(quarantines: list[Quarantine]) -> None:
            self.assert_refused(quarantines[0], is_refused=False)

        self.run_entries(2, before)
        self.run_entries(1, after)

    def test_archive_is_read_and_written_after_an_outage(self) -> None:
        # Guards against an archive that stays empty since the key-value service was
        # away when targets crashed.
        failure = Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)

        async def before(quarantines: list[Quarantine]) -> None:
            self.store.before_write = lambda key: failure
            await self.blame(quarantines, PARTS, REQUEST)
            self.assertEqual(self.store.writes, 0)
            self.store.before_write = lambda key: None
            await anyio.sleep(0.2)

        async def after(quarantines: list[Quarantine]) -> None:
            self.assert_refused(quarantines[0])

        self.run_entries(2, before)
        self.run_entries(1, after)

    def test_one_write_is_enough_for_entries_that_learn_of_it(self) -> None:
        async def script(quarantines: list[Quarantine]) -> None:
            await self.blame(quarantines, PARTS)
            self.assertEqual(self.store.writes, 1)

        self.run_entries(6, script)

    def test_verdict_of_the_last_moment_is_written(self) -> None:
        # Guards against more crashes after all entries have stopped at once, each
        # between a verdict and its delayed write.
        async def stop() -> None:
            quarantine = Quarantine()
            archive = create_verdict_archive(
                *(quarantine, self.store, TimerService(VirtualClock())),
                random.Random(1),
            )
            with mock.patch.object(verdict_archive, "WRITE_DELAY_MAX_S", 60.0):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(archive.run)
                    await anyio.sleep(0.05)
                    quarantine.adopt_verdict(Verdict(REQUEST, 0.0, is_blamed=True))
                    await anyio.wait_all_tasks_blocked()
                    archive.begin_stop()
                    with anyio.move_on_after(1.0):
                        await archive.wait_written()
                    tasks.cancel_scope.cancel()

        async def after(quarantines: list[Quarantine]) -> None:
            standing, _ = quarantines[0].standing("deadly", 1.0, ())
            self.assertIs(standing, Standing.BLAMED)

        anyio.run(stop)
        self.run_entries(1, after)

    def test_invalid_archive_is_ignored_and_replaced(self) -> None:
        async def write_garbage() -> None:
            await self.store.compare_and_swap(verdict_archive.ARCHIVE_KEY, b"{", 0)

        async def before(quarantines: list[Quarantine]) -> None:
            await self.blame(quarantines, PARTS, REQUEST)

        async def after(quarantines: list[Quarantine]) -> None:
            self.assert_refused(quarantines[0])

        anyio.run(write_garbage)
        with self.assertLogs("reedspar.requests.verdict_archive", "WARNING"):
            self.run_entries(1, before)
        self.run_entries(1, after)


if __name__ == "__main__":
    unittest.main()
