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
from reedspar.weights.succession import Succession, should_finish_current

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
