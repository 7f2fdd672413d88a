"""Tests of the manifest exchange between daemons."""

import asyncio
import unittest
import zlib
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from reedspar.errors import Failure, Reason, Step
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.requests.tests.virtual_time import run_virtual
from reedspar.weights import (
    Manifest,
    WeightPeer,
    build_manifest,
    encode_manifest,
)
from reedspar.weights.manifest_exchange import (
    ANSWER_TIMEOUT_S,
    MANIFEST_READERS,
    ManifestExchange,
    create_manifest_exchange,
)
from reedspar.weights.messages import ManifestAnswer

MODEL = "quotes"
ORIGIN_REGION = "centro"
REGIONS = (ORIGIN_REGION, "xela", "zacapa", "flores", "escuintla")
CACHES_PER_REGION = 4
AGENTS_PER_REGION = 9
LATENCY_S = 0.002
READS_PER_READER = 2
"""Number of origin reads that must agree."""
ORIGIN_READ_S = 0.01
EXCHANGE_MAX_S = 0.1


def make_manifest(sequence: int, seed: bytes = b"") -> Manifest:
    weights = seed + bytes(range(200)) * sequence
    manifest = build_manifest(MODEL, str(sequence), sequence, weights, 10)
    assert not isinstance(manifest, Failure)
    return manifest


class FakeOrigin:
    """Counts manifest reads; can be unavailable or return a wrong manifest."""

    def __init__(self) -> None:
        self.reads = 0
        self.is_unavailable = False
        self.is_corrupt = False
        self.is_inconsistent = False
        """Return a different wrong manifest on each read."""
        self.registered: list[Manifest] = []

    async def read(self, name: str, offset: int, size_bytes: int) -> bytes:
        return b""

    async def read_manifest(self, model: str, version: int) -> Manifest | Failure:
        self.reads += 1
        await anyio.sleep(ORIGIN_READ_S)
        if self.is_unavailable:
            return Failure(Reason.UNAVAILABLE, Step.MANIFEST)
        if self.is_inconsistent:
            return make_manifest(version, f"{id(self)} {self.reads}".encode())
        return make_manifest(version, b"wrong" if self.is_corrupt else b"")

    def register_manifest(self, manifest: Manifest) -> None:
        self.registered.append(manifest)


class Daemon:
    """A cache or agent with its own exchange and fake origin."""

    def __init__(self, site: "Site", peer: WeightPeer) -> None:
        self.site = site
        self.peer = peer
        self.is_dead = False
        self.origin = FakeOrigin()
        self.network = _Network(site, self)
        self.exchange: ManifestExchange = create_manifest_exchange(
            peer,
            self.origin,
            self,
            self.network,  # type: ignore[arg-type]
            lambda: ORIGIN_REGION,
        )

    def is_cache(self) -> bool:
        return self.peer.is_cache

    def agents_of(self, model: str) -> tuple[WeightPeer, ...]:
        return tuple(d.peer for d in self.site.daemons.values() if d is not self)


class _Network(FakeNetwork):
    def __init__(self, site: "Site", daemon: Daemon) -> None:
        super().__init__()
        self._site = site
        self._daemon = daemon

    def send(self, peer: str, message: Any, priority: int = 0) -> None:
        other = self._site.daemons[peer]

        def deliver() -> None:
            if not other.is_dead:
                other.network.deliver(self._daemon.peer.name, message)

        asyncio.get_running_loop().call_later(LATENCY_S, deliver)


class Site:
    """Caches and agents in five regions."""

    def __init__(self) -> None:
        self.daemons: dict[str, Daemon] = {}
        for region in REGIONS:
            for i in range(CACHES_PER_REGION):
                self._add(WeightPeer(f"{region}-{i}", region, region, is_cache=True))
            for i in range(AGENTS_PER_REGION):
                self._add(WeightPeer(f"{region}-agent-{i}", region, region))

    @property
    def reads(self) -> int:
        return sum(daemon.origin.reads for daemon in self.daemons.values())

    def _add(self, peer: WeightPeer) -> None:
        self.daemons[peer.name] = Daemon(self, peer)

    async def read_all(self, version: int) -> dict[str, Manifest | Failure]:
        """Read the manifest of a version concurrently on every running daemon."""
        manifests: dict[str, Manifest | Failure] = {}

        async def read(daemon: Daemon) -> None:
            name = daemon.peer.name
            manifests[name] = await daemon.exchange.read_manifest(MODEL, version)

        async with anyio.create_task_group() as tasks:
            for daemon in self.daemons.values():
                if not daemon.is_dead:
                    tasks.start_soon(read, daemon)
        return manifests


Scenario = Callable[[Site], Awaitable[None]]


class ManifestExchangeTest(unittest.TestCase):
    def run_scenario(self, scenario: Scenario) -> None:
        async def run() -> None:
            await scenario(Site())

        run_virtual(run)

    async def find_readers(self, site: Site) -> list[Daemon]:
        """Return the daemons that read the origin, and reset the read counts."""
        await site.read_all(1)
        readers = [d for d in site.daemons.values() if d.origin.reads]
        for daemon in site.daemons.values():
            daemon.origin.reads = 0
        return readers

    def test_two_caches_read_the_origin(self) -> None:
        # Guards against each of 65 daemons reading the manifest at the origin.
        async def scenario(site: Site) -> None:
            start_s = anyio.current_time()
            manifests = await site.read_all(2)
            self.assertEqual(set(manifests.values()), {make_manifest(2)})
            self.assertEqual(site.reads, READS_PER_READER * MANIFEST_READERS)
            self.assertLessEqual(anyio.current_time() - start_s, EXCHANGE_MAX_S)
            for daemon in site.daemons.values():
                is_known = bool(daemon.origin.registered) or bool(daemon.origin.reads)
                self.assertTrue(is_known, daemon.peer.name)

        self.run_scenario(scenario)

    def test_versions_read_at_the_same_time_do_not_delay_each_other(self) -> None:
        # Guards against requests that time out, and reads of the origin in their place,
        # while the manifests of several versions are requested.
        async def scenario(site: Site) -> None:
            start_s = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                for version in (2, 3, 3):
                    tasks.start_soon(site.read_all, version)
            self.assertLessEqual(anyio.current_time() - start_s, EXCHANGE_MAX_S)
            self.assertEqual(site.reads, 3 * READS_PER_READER * MANIFEST_READERS)

        self.run_scenario(scenario)

    def test_answer_of_a_peer_that_was_not_asked_is_ignored(self) -> None:
        async def scenario(site: Site) -> None:
            agent = site.daemons["xela-agent-0"]
            wrong = zlib.compress(encode_manifest(make_manifest(2, b"wrong")))
            answer = ManifestAnswer(MODEL, 2, wrong)

            def deliver() -> None:
                for name in ("flores-agent-0", "flores-agent-1"):
                    agent.network.deliver(name, answer)

            asyncio.get_running_loop().call_later(LATENCY_S, deliver)
            manifests = await site.read_all(2)
            self.assertEqual(manifests[agent.peer.name], make_manifest(2))

        self.run_scenario(scenario)

    def test_wrong_manifest_of_one_reader_is_not_passed_on(self) -> None:
        # Guards against accepting the wrong manifest that one of two readers received.
        async def scenario(site: Site) -> None:
            reader = (await self.find_readers(site))[0]
            reader.origin.is_corrupt = True
            manifests = await site.read_all(2)
            del manifests[reader.peer.name]
            self.assertEqual(set(manifests.values()), {make_manifest(2)})

        self.run_scenario(scenario)

    def test_manifest_is_accepted_only_if_two_reads_agree(self) -> None:
        # Guards against accepting a manifest that was corrupted in transit, which would
        # leave the version incomplete forever.
        async def scenario(site: Site) -> None:
            for daemon in site.daemons.values():
                daemon.origin.is_inconsistent = True
            manifests = await site.read_all(2)
            self.assertTrue(all(isinstance(m, Failure) for m in manifests.values()))
            for daemon in site.daemons.values():
                daemon.origin.is_inconsistent = False
            manifests = await site.read_all(2)
            self.assertEqual(set(manifests.values()), {make_manifest(2)})

        self.run_scenario(scenario)

    def test_daemons_read_the_origin_if_a_reader_is_dead(self) -> None:
        async def scenario(site: Site) -> None:
            (await self.find_readers(site))[0].is_dead = True
            start_s = anyio.current_time()
            manifests = await site.read_all(2)
            self.assertEqual(set(manifests.values()), {make_manifest(2)})
            self.assertLessEqual(
                anyio.current_time() - start_s, ANSWER_TIMEOUT_S + EXCHANGE_MAX_S
            )

        self.run_scenario(scenario)

    def test_single_answer_is_accepted_during_an_origin_outage(self) -> None:
        # Guards against a failed read if only one reader answers during an outage.
        async def scenario(site: Site) -> None:
            first, second = await self.find_readers(site)
            second.is_dead = True
            await first.exchange.read_manifest(MODEL, 2)
            for daemon in site.daemons.values():
                daemon.origin.is_unavailable = True
            other = site.daemons["xela-1"]
            read = await other.exchange.read_manifest(MODEL, 2)
            self.assertEqual(read, make_manifest(2))

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
