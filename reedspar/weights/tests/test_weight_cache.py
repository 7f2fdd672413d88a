"""Tests of when an entry gets a version: at its naming, or when an agent asks."""

import random
import unittest

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
    """Manifests by version, and chunks; counts the reads of chunks."""

    def __init__(self) -> None:
        self.chunk_reads = 0
        self.manifests: dict[int, Manifest] = {}
        self._objects: dict[str, bytes] = {}

    async def read_manifest(self, model: str, version: int) -> Manifest | Failure:
        weights = random.Random(version).randbytes(CHUNKS * CHUNK_BYTES)
        for start in range(0, len(weights), CHUNK_BYTES):
            chunk = weights[start : start + CHUNK_BYTES]
            self._objects[digest_bytes(chunk)] = chunk
        manifest = build_manifest(model, str(version), version, weights, CHUNK_BYTES)
        assert not isinstance(manifest, Failure)
        self.manifests[version] = manifest
        return manifest

    async def read(self, name: str, offset: int, size_bytes: int) -> bytes | Failure:
        self.chunk_reads += 1
        return self._objects[name]


class OnlyCache:
    """The view of an entry that knows no agent yet."""

    def __init__(self, is_one: bool = True) -> None:
        self.is_one = is_one

    def agents_of(self, model: str) -> tuple[WeightPeer, ...]:
        return ()

    def is_cache(self) -> bool:
        return self.is_one


class WeightCacheTest(unittest.TestCase):
    def test_version_named_while_it_runs_is_drawn_before_anybody_asks(self) -> None:
        # Two versions are named in a row, and the origin goes away half a second later.
        # Agents ask for the second one only once they have the first; had the entry
        # waited for that, nothing of the second would have left the origin.
        async def script() -> None:
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

        anyio.run(script)

    def test_successor_of_an_entry_gets_what_is_lacked_of_both_versions(self) -> None:
        # Entries restart in turn while two versions are on their way.  Those that took
        # their places knew the second one only: a quarter of what the targets lacked
        # of the first was read by nobody, and they never had it whole.
        async def script() -> None:
            origin = NumberedOrigin()
            view = OnlyCache(is_one=False)
            links = FakeLinks()
            clock = VirtualClock()
            timers = TimerService(clock)
            async with anyio.create_task_group() as tasks:
                cache = make_cache(origin, tasks, view, links, timers)
                cache.start()
                tasks.start_soon(cache.run)
                for version in (1, 2, 3):
                    cache.set_named_version(MODEL, version)
                view.is_one = True
                clock.advance(1.0)
                timers.run_due()
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(set(origin.manifests), {2, 3})
                self.assertEqual(origin.chunk_reads, 0)
                nothing = encode_map(0, CHUNKS)
                root = origin.manifests[2].root_digest
                asked = HaveMap(root, 1, nothing, nothing, is_reply_wanted=True)
                links.handlers["entry-1", HaveMap](Sender("agent-1", 1, 1), asked)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(origin.chunk_reads, CHUNKS)
                tasks.cancel_scope.cancel()

        anyio.run(script)


def make_cache(
    origin: NumberedOrigin,
    tasks: anyio.abc.TaskGroup,
    view: OnlyCache | None = None,
    links: FakeLinks | None = None,
    timers: TimerService | None = None,
) -> WeightCache:
    me = WeightPeer("entry-1", "ra", "a", is_cache=True)
    limits = SwarmLimits(
        origin_region="ra",
        machine_bytes_per_s=1e6,
        region_bytes_per_s=1e6,
        memory_bytes=1_000_000,
        map_wait_s=0.0,
    )
    return WeightCache(
        FakeNetwork("entry-1", links or FakeLinks()),
        timers or TimerService(VirtualClock()),
        tasks,
        origin,
        view or OnlyCache(),
        SwarmDistribution(me, limits, random.Random(1)),
        random.Random(1),
    )


if __name__ == "__main__":
    unittest.main()
