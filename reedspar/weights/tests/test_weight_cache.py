"""Tests of when a cache fetches a version: on naming, or on an agent's request."""

import random
import unittest
from typing import Any

import anyio

from reedspar.errors import Failure
from reedspar.messages import Sender
from reedspar.timers import TimerService, VirtualClock
from reedspar.utils import digest_bytes
from reedspar.weights import Manifest, WeightPeer, build_manifest
from reedspar.weights.cache import WeightCache
from reedspar.weights.limits import SwarmLimits
from reedspar.weights.messages import HaveMap
from reedspar.weights.neighbours import encode_map
from reedspar.weights.swarm import SwarmDistribution
from reedspar.weights.tests.fakes import FakeLinks, FakeNetwork

MODEL = "quotes"
CHUNK_BYTES = 1000
CHUNKS = 4


class NumberedOrigin:
    """Provides manifests by version, and chunks; counts the reads of chunks."""

    def __init__(self) -> None:
        self.chunk_reads = 0
        self.versions_read: set[int] = set()
        self.blocked: anyio.Event | None = None
        """Reads of chunks wait for it."""
        self._version_of: dict[str, int] = {}
        self.manifests: dict[int, Manifest] = {}
        self._objects: dict[str, bytes] = {}

    async def read_manifest(self, model: str, version: int) -> Manifest | Failure:
        weights = random.Random(version).randbytes(CHUNKS * CHUNK_BYTES)
        for start in range(0, len(weights), CHUNK_BYTES):
            chunk = weights[start : start + CHUNK_BYTES]
            self._objects[digest_bytes(chunk)] = chunk
            self._version_of[digest_bytes(chunk)] = version
        manifest = build_manifest(model, str(version), version, weights, CHUNK_BYTES)
        assert not isinstance(manifest, Failure)
        self.manifests[version] = manifest
        return manifest

    async def read(self, name: str, offset: int, size_bytes: int) -> bytes | Failure:
        self.chunk_reads += 1
        self.versions_read.add(self._version_of[name])
        if self.blocked is not None:
            await self.blocked.wait()
        return self._objects[name]


class FakePeerView:
    """The peer view of an entry without known agents."""

    def __init__(self, has_cache_role: bool = True) -> None:
        self.has_cache_role = has_cache_role

    def agents_of(self, model: str) -> tuple[WeightPeer, ...]:
        return ()

    def is_cache(self) -> bool:
        return self.has_cache_role


class WeightCacheTest(unittest.TestCase):
    def test_newly_named_version_is_fetched_before_any_request(self) -> None:
        # Guards against a second version that is not read before an origin outage.  It
        # is named shortly after the first, and agents request it only once they have
        # the first, which is after the outage begins 0.5 s later.
        async def scenario() -> None:
            origin = NumberedOrigin()
            async with anyio.create_task_group() as tasks:
                cache = make_cache(origin, tasks)
                cache.start()
                tasks.start_soon(cache.run)
                cache.set_named_version(MODEL, 1)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(origin.chunk_reads, 0)
                cache.set_named_version(MODEL, 2)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(origin.chunk_reads, CHUNKS)
                tasks.cancel_scope.cancel()

        anyio.run(scenario)

    def test_replacement_cache_fetches_requested_chunks_of_an_earlier_version(
        self,
    ) -> None:
        # Guards against targets that never complete the first of two versions.  Entries
        # restart in turn during both transfers.  Their replacements knew only the
        # second version, and a quarter of the first one's missing chunks was read by
        # none of the entries.
        async def scenario() -> None:
            origin = NumberedOrigin()
            view = FakePeerView(has_cache_role=False)
            links = FakeLinks()
            clock = VirtualClock()
            timers = TimerService(clock)
            async with anyio.create_task_group() as tasks:
                cache = make_cache(origin, tasks, view, links, timers)
                cache.start()
                tasks.start_soon(cache.run)
                for version in (1, 2, 3):
                    cache.set_named_version(MODEL, version)
                view.has_cache_role = True
                clock.advance(1.0)
                timers.run_due()
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(set(origin.manifests), {2, 3})
                self.assertEqual(origin.chunk_reads, 0)
                empty_map = encode_map(0, CHUNKS)
                root = origin.manifests[2].root_digest
                request = HaveMap(root, 1, empty_map, empty_map, is_reply_wanted=True)
                links.handlers["entry-1", HaveMap](Sender("agent-1", 1, 1), request)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(origin.chunk_reads, CHUNKS)
                tasks.cancel_scope.cancel()

        anyio.run(scenario)

    def test_one_version_is_read_from_the_origin_at_a_time(self) -> None:
        # Guards against two versions that share the origin's link, so that the origin
        # removes the first before it is complete.
        async def scenario() -> None:
            origin = NumberedOrigin()
            clock = VirtualClock()
            timers = TimerService(clock)
            origin.blocked = anyio.Event()
            async with anyio.create_task_group() as tasks:
                cache = make_cache(
                    origin, tasks, timers=timers, read_origin_bytes_per_s=lambda: 1e6
                )
                cache.start()
                tasks.start_soon(cache.run)
                cache.set_named_version(MODEL, 1)
                await anyio.wait_all_tasks_blocked()
                clock.advance(100.0)
                cache.set_named_version(MODEL, 2)
                await anyio.wait_all_tasks_blocked()
                clock.advance(3.0)
                cache.set_named_version(MODEL, 3)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(origin.versions_read, {2})
                origin.blocked.set()
                for _ in range(3):
                    clock.advance(0.1)
                    timers.run_due()
                    await anyio.wait_all_tasks_blocked()
                self.assertEqual(origin.versions_read, {2, 3})
                tasks.cancel_scope.cancel()

        anyio.run(scenario)


def make_cache(
    origin: NumberedOrigin,
    tasks: anyio.abc.TaskGroup,
    view: FakePeerView | None = None,
    links: FakeLinks | None = None,
    timers: TimerService | None = None,
    **more: Any,
) -> WeightCache:
    me = WeightPeer("entry-1", "ra", "a", is_cache=True)
    limits = SwarmLimits(
        origin_region="ra",
        machine_bytes_per_s=1e6,
        region_bytes_per_s=1e6,
        memory_bytes=1_000_000,
        map_timeout_s=0.0,
    )
    return WeightCache(
        FakeNetwork("entry-1", links or FakeLinks()),
        timers or TimerService(VirtualClock()),
        tasks,
        origin,
        view or FakePeerView(),
        SwarmDistribution(me, limits, random.Random(1)),
        random.Random(1),
        **more,
    )


if __name__ == "__main__":
    unittest.main()
