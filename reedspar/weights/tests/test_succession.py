"""Tests of versions that are named faster than they can be transferred."""

import random
import unittest
from collections.abc import Awaitable, Callable

import anyio

from reedspar.configuration import ConfigurationDocument
from reedspar.errors import Failure, Reason, Step
from reedspar.timers import TimerService, VirtualClock
from reedspar.weights import Chunk, Manifest, VersionCatalog
from reedspar.weights.activation import SwitchDecision
from reedspar.weights.manifest import compute_root_digest
from reedspar.weights.succession import (
    COPY_OVERHEAD,
    Succession,
    TransferSequence,
    should_finish_current,
)

BOUND_S = 8.0


def make_manifest(version: int, chunks: int = 4) -> Manifest:
    digests = [f"{version:x}{index:x}".rjust(64, "0") for index in range(chunks)]
    return Manifest(
        model="m",
        label=str(version),
        sequence=version,
        root_digest=compute_root_digest(digests),
        chunks=tuple(Chunk(digest=d, size_bytes=1000) for d in digests),
    )


class FinishCurrentTest(unittest.TestCase):
    def test_half_transferred_version_is_finished_to_avoid_a_gap(self) -> None:
        # Guards against dropping the second version when the third is named, which
        # would leave the targets without a version once the first has expired.
        self.assertTrue(should_finish_current(Succession(4.0, 2.3, 6.0, 7.6, 11.6)))

    def test_barely_begun_transfer_is_dropped(self) -> None:
        self.assertFalse(should_finish_current(Succession(0.2, 6.0, 6.0, 7.6, 7.8)))


class TransferSequenceTest(unittest.TestCase):
    """Versions of which a copy takes 5.2 s, and 2.6 s on the origin's link."""

    def find_arrivals(self, interval_s: float, count: int) -> dict[int, float]:
        """Return the times at which versions arrive that are named at intervals."""
        sequence = TransferSequence("m", BOUND_S - 0.4)
        sequence.add_named(1, 0.0)
        current, began_s, arrivals_s = 1, -100.0, {}
        copy_s, draw_s = 5.2, 2.6
        times_s = [100.0 + interval_s * number for number in range(count)]
        sequence.begin(1, 0.0, has_current_arrived=True)
        for number, named_s in enumerate(times_s):
            version = number + 2
            if began_s + COPY_OVERHEAD * copy_s <= named_s:
                self.arrive(sequence, arrivals_s, current, began_s, version - 1)
                current, began_s = version - 1, began_s + COPY_OVERHEAD * copy_s
            sequence.add_named(version, named_s)
            has_arrived = current in arrivals_s or current == 1
            if has_arrived or not sequence.should_finish(version, copy_s, draw_s):
                sequence.begin(version, named_s, has_current_arrived=has_arrived)
                current, began_s = version, named_s
        arrivals_s[current] = began_s + COPY_OVERHEAD * copy_s
        return arrivals_s

    def arrive(
        self,
        sequence: TransferSequence,
        arrivals_s: dict[int, float],
        current: int,
        began_s: float,
        newest: int,
    ) -> None:
        """Let a transfer end, and begin that of the newest version."""
        if current == 1 or current in arrivals_s:
            return
        arrives_s = began_s + COPY_OVERHEAD * 5.2
        arrivals_s[current] = arrives_s
        if newest != current:
            sequence.begin(newest, arrives_s, has_current_arrived=True)

    def test_versions_arrive_while_others_are_named_in_quick_succession(self) -> None:
        # Guards against a series in which each name drops the transfer before it, so
        # that nothing can be served until the series ends.
        for interval_s in (2.0, 2.5, 3.0, 4.0):
            with self.subTest(interval_s=interval_s):
                arrivals_s = self.find_arrivals(interval_s, 20)
                early = [v for v in arrivals_s if v < 21]
                self.assertGreaterEqual(len(early), 20 * interval_s // 12)

    def test_version_that_the_origin_removes_too_early_is_not_finished(self) -> None:
        # Guards against targets that wait for chunks that nobody can provide any more.
        self.assertEqual(set(self.find_arrivals(1.0, 20)), {21})

    def test_served_version_is_the_last_that_has_arrived(self) -> None:
        # Guards against a deadline of the version before the current one, though that
        # was dropped and nobody serves it.
        sequence = TransferSequence("m", BOUND_S)
        sequence.add_named(1, 0.0)
        sequence.begin(1, 0.0, has_current_arrived=True)
        for version, named_s in ((2, 100.0), (3, 100.2), (4, 103.2)):
            sequence.add_named(version, named_s)
            if version < 4:
                is_first = version == 2
                sequence.begin(version, named_s, has_current_arrived=is_first)
        self.assertTrue(sequence.should_finish(4, 5.2, 2.0))


class FakeReader:
    def __init__(self) -> None:
        self.failures = 0
        self.chunks = 4
        self.reads: list[int] = []

    async def read_manifest(self, model: str, version: int) -> Manifest | Failure:
        self.reads.append(version)
        if self.failures:
            self.failures -= 1
            return Failure(Reason.UNAVAILABLE, Step.MANIFEST)
        return make_manifest(version, self.chunks)


class CatalogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.reader = FakeReader()
        self.documents: list[ConfigurationDocument] = []
        self.left_s: float | None = None
        self.prefetched: list[int] = []

    def make_catalog(self) -> VersionCatalog:
        catalog = VersionCatalog(
            "quotes",
            self.reader,
            TimerService(self.clock),
            random.Random(1),
            BOUND_S,
            1000.0,
        )
        catalog.on_change(self.documents.append)
        catalog.set_callbacks(
            lambda digest, data: None,
            lambda model: self.left_s,
            lambda manifest: self.prefetched.append(manifest.sequence),
        )
        return catalog

    def versions(self) -> list[int]:
        return [document.models["m"].sequence for document in self.documents]

    async def wait(self) -> None:
        await anyio.sleep(0.25)

    def run_scenario(
        self, scenario: Callable[[VersionCatalog], Awaitable[None]]
    ) -> list[int]:
        """Run a catalog while a scenario names versions; return those published."""

        async def run() -> None:
            catalog = self.make_catalog()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(catalog.run)
                await scenario(catalog)
                tasks.cancel_scope.cancel()

        anyio.run(run)
        return self.versions()

    def test_prefetch_of_a_replaced_version_is_cancelled(self) -> None:
        # Guards against links that carry chunks of versions that nobody will load.
        self.reader.chunks = 5
        cancelled: list[int] = []

        async def scenario(catalog: VersionCatalog) -> None:
            catalog.set_callbacks(
                lambda digest, data: None,
                lambda model: self.left_s,
                lambda manifest: self.prefetched.append(manifest.sequence),
                lambda manifest: cancelled.append(manifest.sequence),
            )
            await self.name_in_sequence(catalog, 1, 2)
            self.left_s = 2.0
            self.clock.advance(4.0)
            await self.name_in_sequence(catalog, 3)
            self.clock.advance(0.5)
            await self.name_in_sequence(catalog, 4)
            self.assertEqual((self.prefetched, cancelled), ([3, 4], [3]))

        self.assertEqual(self.run_scenario(scenario), [1, 2])

    async def name_in_sequence(self, catalog: VersionCatalog, *versions: int) -> None:
        for version in versions:
            catalog.set_named_version("m", version)
            await self.wait()

    def test_named_versions_become_documents(self) -> None:
        async def scenario(catalog: VersionCatalog) -> None:
            await self.name_in_sequence(catalog, 1)
            catalog.set_named_version("m", 2)
            catalog.set_named_version("m", 1)
            await self.wait()
            digest = make_manifest(2).root_digest
            self.assertEqual(catalog.find_version(digest), ("m", 2))
            self.assertEqual(catalog.root_digest_of("m", 2), digest)

        self.assertEqual(self.run_scenario(scenario), [1, 2])

    def test_failed_manifest_read_is_repeated(self) -> None:
        self.reader.failures = 2

        async def scenario(catalog: VersionCatalog) -> None:
            catalog.set_named_version("m", 1)
            await anyio.sleep(1.2)

        self.assertEqual(self.run_scenario(scenario), [1])

    def test_next_version_is_prefetched_during_the_current_transfer(self) -> None:
        # Guards against an idle link while the second version lacks chunks that only
        # the unavailable origin has.  The third version is requested once, immediately,
        # and loaded after the second.
        async def scenario(catalog: VersionCatalog) -> None:
            await self.name_in_sequence(catalog, 1, 2)
            self.left_s = 2.0
            self.clock.advance(4.0)
            await self.name_in_sequence(catalog, 3)
            self.assertEqual((self.versions(), self.prefetched), ([1, 2], [3]))
            self.left_s = 0.0
            await self.wait()
            self.assertEqual((self.versions(), self.prefetched), ([1, 2], [3]))
            self.left_s = None
            await self.wait()

        self.assertEqual(self.run_scenario(scenario), [1, 2, 3])

    def test_agents_with_different_progress_decide_alike(self) -> None:
        # Guards against callers refused for 8 s.  The third version is named 2 s after
        # the second.  One agent had half of the second and dropped it, while another
        # had nearly all and finished it, so neither version reached the whole fleet.
        self.reader.chunks = 6

        async def scenario(catalog: VersionCatalog) -> None:
            await self.name_in_sequence(catalog, 1, 2)
            self.clock.advance(2.0)
            await self.name_in_sequence(catalog, 3)

        results = []
        for self.left_s in (4.35, 2.5):
            self.documents = []
            results.append(self.run_scenario(scenario))
        self.assertEqual(results[0], results[1])

    def test_agents_that_learn_of_a_version_late_decide_alike(self) -> None:
        # Guards against an agent that drops the second version on its own.  It learned
        # of that version 0.6 s later than others, over a busy link, and measured from
        # that time instead of the time of naming that peers announce.
        self.reader.chunks = 5
        self.left_s = 3.5
        results = []
        for late_s in (0.0, 0.6):
            self.clock = VirtualClock()
            self.documents = []

            async def scenario(catalog: VersionCatalog, late_s: float = late_s) -> None:
                await self.name_in_sequence(catalog, 1)
                named_at_s = self.clock.now_s()
                self.clock.advance(late_s)
                await self.name_in_sequence(catalog, 2)
                catalog.record_naming_time("m", 2, named_at_s)
                self.clock.advance(2.0 - late_s)
                await self.name_in_sequence(catalog, 3)

            results.append(self.run_scenario(scenario))
        self.assertEqual(results[0], results[1])

    def test_version_that_would_arrive_expired_is_dropped(self) -> None:
        # Guards against finishing a version that could not be served.  After an outage
        # during its transfer, the second version would expire before it is loaded.
        async def scenario(catalog: VersionCatalog) -> None:
            await self.name_in_sequence(catalog, 1, 2)
            self.left_s = 1.0
            self.clock.advance(4.0)
            await self.name_in_sequence(catalog, 3)
            self.assertEqual(self.versions(), [1, 2])
            self.clock.advance(BOUND_S - 1.0)
            await self.wait()

        self.assertEqual(self.run_scenario(scenario), [1, 2, 3])

    def test_deadline_depends_on_the_next_named_version(self) -> None:
        # Guards against switches after the first version has expired.  The second
        # version was dropped for the third, and targets used the later deadline of the
        # third.
        async def scenario(catalog: VersionCatalog) -> None:
            named_at_s = self.clock.now_s()
            await self.name_in_sequence(catalog, 1, 2)
            self.clock.advance(2.0)
            await self.name_in_sequence(catalog, 3)
            self.assertEqual(catalog.service_deadline_s("m", 1), named_at_s + BOUND_S)
            self.assertEqual(
                catalog.service_deadline_s("m", 2), named_at_s + 2.0 + BOUND_S
            )
            self.assertEqual(catalog.service_deadline_s("m", 3), float("inf"))

        self.assertEqual(self.run_scenario(scenario), [1, 2, 3])


class DeadlineTest(unittest.TestCase):
    def test_more_targets_switch_at_once_before_the_deadline(self) -> None:
        # Guards against targets without a valid version.  Three of ten targets may
        # switch at once, which is too few shortly before the older version expires.
        decision = SwitchDecision("t0", 0.34)
        decision.set_peers([f"t{i}" for i in range(1, 10)])
        self.assertEqual(decision.max_switching(0.0), 3)
        decision.set_deadline(10.0)
        self.assertEqual(decision.max_switching(0.0), 3)
        self.assertEqual(decision.max_switching(9.0), 5)
        self.assertEqual(decision.max_switching(10.0), 10)
        self.assertTrue(decision.may_switch(10.0))


if __name__ == "__main__":
    unittest.main()
