"""Tests of versions that are named faster than they travel."""

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
from reedspar.weights.succession import Succession, should_finish_first

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


class FinishFirstTest(unittest.TestCase):
    def test_version_half_way_is_finished_if_that_spares_a_gap(self) -> None:
        # The second version is half-way when the third is named.  Dropped, the
        # targets would have nothing to serve with after the first one's bound.
        self.assertTrue(should_finish_first(Succession(4.0, 2.3, 6.0, 7.6, 11.6)))

    def test_version_that_has_barely_begun_is_dropped(self) -> None:
        self.assertFalse(should_finish_first(Succession(0.2, 6.0, 6.0, 7.6, 7.8)))


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

    async def settle(self) -> None:
        await anyio.sleep(0.25)

    def follow(self, script: Callable[[VersionCatalog], Awaitable[None]]) -> list[int]:
        """Let a catalog run while a script names versions; return what it made."""

        async def run() -> None:
            catalog = self.make_catalog()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(catalog.run)
                await script(catalog)
                tasks.cancel_scope.cancel()

        anyio.run(run)
        return self.versions()

    async def name_in_turn(self, catalog: VersionCatalog, *versions: int) -> None:
        for version in versions:
            catalog.set_named_version("m", version)
            await self.settle()

    def test_named_versions_become_documents(self) -> None:
        async def script(catalog: VersionCatalog) -> None:
            await self.name_in_turn(catalog, 1)
            catalog.set_named_version("m", 2)
            catalog.set_named_version("m", 1)
            await self.settle()
            digest = make_manifest(2).root_digest
            self.assertEqual(catalog.find_version(digest), ("m", 2))
            self.assertEqual(catalog.root_digest_of("m", 2), digest)

        self.assertEqual(self.follow(script), [1, 2])

    def test_origin_that_fails_is_asked_again(self) -> None:
        self.reader.failures = 2

        async def script(catalog: VersionCatalog) -> None:
            catalog.set_named_version("m", 1)
            await anyio.sleep(1.2)

        self.assertEqual(self.follow(script), [1])

    def test_next_version_is_fetched_beside_the_present_one(self) -> None:
        # The third version is named while the second is on its way, and the second
        # lacks chunks while the origin is away.  The link would idle; the third is
        # asked for at once, once, and loaded after the second.
        async def script(catalog: VersionCatalog) -> None:
            await self.name_in_turn(catalog, 1, 2)
            self.left_s = 2.0
            self.clock.advance(4.0)
            await self.name_in_turn(catalog, 3)
            self.assertEqual((self.versions(), self.prefetched), ([1, 2], [3]))
            self.left_s = 0.0
            await self.settle()
            self.assertEqual((self.versions(), self.prefetched), ([1, 2], [3]))
            self.left_s = None
            await self.settle()

        self.assertEqual(self.follow(script), [1, 2, 3])

    def test_agents_that_lack_more_or_less_choose_alike(self) -> None:
        # The third version is named two seconds after the second.  One agent has half
        # of the second, another one nearly all.  One dropped it and the other did not:
        # neither version came to the whole fleet, and callers were refused for 8 s.
        self.reader.chunks = 6

        async def script(catalog: VersionCatalog) -> None:
            await self.name_in_turn(catalog, 1, 2)
            self.clock.advance(2.0)
            await self.name_in_turn(catalog, 3)

        made = []
        for self.left_s in (4.35, 2.5):
            self.documents = []
            made.append(self.follow(script))
        self.assertEqual(made[0], made[1])

    def test_agents_that_hear_late_choose_alike(self) -> None:
        # One agent hears of the second version 0.6 s after another, over a busy link.
        # It counted from its own hearing, whatever peers told, and dropped the second
        # version for the third alone.
        self.reader.chunks = 5
        self.left_s = 3.5
        made = []
        for late_s in (0.0, 0.6):
            self.clock = VirtualClock()
            self.documents = []

            async def script(catalog: VersionCatalog, late_s: float = late_s) -> None:
                await self.name_in_turn(catalog, 1)
                named_s = self.clock.now_s()
                self.clock.advance(late_s)
                await self.name_in_turn(catalog, 2)
                catalog.record_naming_time("m", 2, named_s)
                self.clock.advance(2.0 - late_s)
                await self.name_in_turn(catalog, 3)

            made.append(self.follow(script))
        self.assertEqual(made[0], made[1])

    def test_version_that_comes_too_late_to_serve_is_dropped(self) -> None:
        # The origin went away while the second version was on its way.  When it is
        # back, the second one could serve for no moment before the third is due.
        async def script(catalog: VersionCatalog) -> None:
            await self.name_in_turn(catalog, 1, 2)
            self.left_s = 1.0
            self.clock.advance(4.0)
            await self.name_in_turn(catalog, 3)
            self.assertEqual(self.versions(), [1, 2])
            self.clock.advance(BOUND_S - 1.0)
            await self.settle()

        self.assertEqual(self.follow(script), [1, 2, 3])

    def test_version_served_ends_by_the_one_named_after_it(self) -> None:
        # The second version was given up for the third.  Targets took turns to leave
        # the first one until the third's bound, while it could serve nobody.
        async def script(catalog: VersionCatalog) -> None:
            named_s = self.clock.now_s()
            await self.name_in_turn(catalog, 1, 2)
            self.clock.advance(2.0)
            await self.name_in_turn(catalog, 3)
            self.assertEqual(catalog.service_deadline_s("m", 1), named_s + BOUND_S)
            self.assertEqual(
                catalog.service_deadline_s("m", 2), named_s + 2.0 + BOUND_S
            )
            self.assertEqual(catalog.service_deadline_s("m", 3), float("inf"))

        self.assertEqual(self.follow(script), [1, 2, 3])


class DeadlineTest(unittest.TestCase):
    def test_turns_fit_into_the_time_that_is_left(self) -> None:
        # Ten targets may switch three at a time.  Shortly before the older version
        # must go, that would leave most of them without a version that may serve.
        decision = SwitchDecision("t0", 0.34)
        decision.set_peers([f"t{i}" for i in range(1, 10)])
        self.assertEqual(decision.allowed(0.0), 3)
        decision.set_deadline(10.0)
        self.assertEqual(decision.allowed(0.0), 3)
        self.assertEqual(decision.allowed(9.0), 5)
        self.assertEqual(decision.allowed(10.0), 10)
        self.assertTrue(decision.may_switch(10.0))


if __name__ == "__main__":
    unittest.main()
