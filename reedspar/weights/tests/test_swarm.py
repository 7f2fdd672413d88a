"""Tests of `SwarmDistribution` with simulated links and random faults.

Each live target must obtain every chunk, no agent may exceed its memory (checked by
`ChunkMemory`), and the origin and the links between regions may carry little more than
one copy of a version.
"""

import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.inbound_queues import DistributionScenario
from bench.inbound_queues import create_fleet as create_bench_fleet
from bench.simulated_links import LinkRates
from bench.weight_agents import Fleet, FleetAgent, make_weights
from reedspar.weights import WeightPeer
from reedspar.weights.limits import SwarmLimits
from reedspar.weights.swarm import SwarmDistribution

MODEL = "quotes"
REGIONS = ("centro", "occidente", "oriente")
CHUNK_BYTES = 4096
PIECE_BYTES = 1024
CHUNKS = 24
RATES = LinkRates(
    machine_bytes_per_s=200_000, region_bytes_per_s=50_000, origin_bytes_per_s=400_000
)
TIME_LIMIT_S = 120.0
FAULTS = (
    "kill",
    "freeze",
    "origin_outage",
    "restart_engine",
    "change",
    "restart_agent",
)


def create_fleet(
    size: int,
    seed: int,
    *,
    corrupt_share: float = 0.0,
    memory_bytes: int = CHUNKS * CHUNK_BYTES * 2,
) -> Fleet:
    limits = SwarmLimits(
        origin_region=REGIONS[0],
        machine_bytes_per_s=RATES.machine_bytes_per_s,
        region_bytes_per_s=RATES.region_bytes_per_s,
        memory_bytes=memory_bytes,
        piece_bytes=PIECE_BYTES,
    )
    peers = [
        WeightPeer(f"agent-{i}", REGIONS[i % 3], f"{REGIONS[i % 3]}-a")
        for i in range(size)
    ]
    fleet = Fleet(
        peers,
        RATES,
        PIECE_BYTES,
        lambda peer: SwarmDistribution(peer, limits, random.Random(peer.name)),
        corrupt_share=corrupt_share,
        seed=seed,
    )
    return fleet


def create_narrow_fleet(sizes: dict[str, int]) -> Fleet:
    """Return a fleet with links of 3.65 Mbit/s, and an origin with twice that rate."""
    case = DistributionScenario(
        "narrow",
        sizes,
        link_mbps=3.65,
        region_mbps=10.0,
        origin_mbps=7.3,
        chunk_count=96,
        chunk_bytes=24_576,
    )
    return create_bench_fleet(case)


class Scenario:
    """A distribution into which faults can be injected."""

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        chunks: int = CHUNKS,
        chunk_bytes: int = CHUNK_BYTES,
    ) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.manifest, fleet.objects = make_weights(chunks, chunk_bytes)
        fleet.set_views(MODEL)
        for agent in fleet.live:
            agent.fetch_version(self.manifest)

    def run_for(self, seconds: float) -> None:
        events = self.fleet.events
        events.run(lambda: False, events.now_s + seconds)

    def finish(self) -> bool:
        return self.fleet.events.run(self.fleet.is_finished, TIME_LIMIT_S)

    def inject_fault(self, fault: str) -> None:
        fleet = self.fleet
        agent = self.rng.choice(fleet.live)
        now_s = fleet.events.now_s
        if fault == "kill" and len(fleet.live) > 2:
            fleet.kill([agent], MODEL)
        elif fault == "freeze":
            agent.frozen_until_s = now_s + self.rng.uniform(0.5, 15.0)
        elif fault == "origin_outage":
            fleet.is_origin_unavailable = True
            until_s = now_s + self.rng.uniform(0.1, 10.0)
            fleet.events.at(
                until_s, lambda: setattr(fleet, "is_origin_unavailable", False)
            )
        elif fault == "restart_engine":
            agent.fetch_version(self.manifest)
        elif fault == "change":
            self.change_version()
        elif fault == "restart_agent":
            self.restart_agent(agent)

    def change_version(self) -> None:
        sequence = self.manifest.sequence + 1
        older = self.manifest.root_digest
        shared = CHUNKS // 2
        self.manifest, objects = make_weights(CHUNKS, CHUNK_BYTES, sequence, shared)
        self.fleet.objects.update(objects)
        for agent in self.fleet.live:
            agent.distribution.remove_version(older, self.fleet.events.now_s)
            agent.fetch_version(self.manifest)

    def restart_agent(self, agent: FleetAgent) -> None:
        """Restart an agent with empty memory under the same name."""
        fleet = self.fleet
        agent.is_dead = True
        successor = FleetAgent(fleet, agent.peer, fleet.create_distribution(agent.peer))
        fleet.agents[agent.peer.name] = successor
        others = [a.peer for a in fleet.live if a is not successor]
        successor.distribution.set_peers(MODEL, others, fleet.events.now_s)
        successor.fetch_version(self.manifest)


class SwarmTest(unittest.TestCase):
    def test_version_crosses_each_narrow_link_once(self) -> None:
        fleet = create_fleet(18, 1)
        scenario = Scenario(fleet, 1)
        self.assertTrue(scenario.finish())
        copy = scenario.manifest.size_bytes
        self.assertEqual(fleet.origin_bytes, copy)
        received_bytes = dict.fromkeys(REGIONS[1:], 0)
        for (_, region), link in fleet.region_links.items():
            received_bytes[region] += link.sent_bytes
        self.assertEqual(received_bytes, dict.fromkeys(REGIONS[1:], copy))

    @settings(max_examples=25, derandomize=True, deadline=None)
    @given(
        st.integers(1, 9),
        st.integers(0, 10_000),
        st.lists(st.tuples(st.floats(0, 3), st.sampled_from(FAULTS)), max_size=3),
        st.sampled_from((0.0, 0.0, 0.02)),
    )
    def test_every_live_target_gets_every_chunk(
        self, size, seed, faults, corrupt_share
    ) -> None:
        # Guards against a target that never completes the version.  Two or three faults
        # overlap: agents die, freeze or restart with empty memory, the origin becomes
        # unavailable, an engine loses its chunks, the version changes, or chunks are
        # corrupt.
        scenario = Scenario(create_fleet(size, seed, corrupt_share=corrupt_share), seed)
        for delay_s, fault in faults:
            scenario.run_for(delay_s)
            scenario.inject_fault(fault)
        self.assertTrue(scenario.finish())

    def test_origin_outage_delays_transfer_by_little_more_than_its_duration(
        self,
    ) -> None:
        # Guards against agents that avoid each other for minutes because their requests
        # timed out during an outage of 10 s at the start of a distribution.
        fleet = create_fleet(5, 5)
        fleet.is_origin_unavailable = True
        scenario = Scenario(fleet, 5)
        scenario.run_for(10.0)
        fleet.is_origin_unavailable = False
        self.assertTrue(scenario.finish())
        self.assertLess(fleet.events.now_s, 30.0)

    def test_origin_reads_have_precedence_over_exchange_between_neighbours(
        self,
    ) -> None:
        # Guards against refused requests during an outage because a fifth of the
        # version was not read before.  The links of the two targets in the origin's
        # region together have just the origin's rate, and they also exchanged chunks
        # over them.
        fleet = create_narrow_fleet({"centro": 2, "occidente": 4, "oriente": 3})
        scenario = Scenario(fleet, 1, chunks=96, chunk_bytes=24_576)
        scenario.run_for(2.45)
        self.assertGreater(fleet.origin_bytes, 0.85 * scenario.manifest.size_bytes)
        fleet.is_origin_unavailable = True
        scenario.run_for(6.05)
        fleet.is_origin_unavailable = False
        self.assertTrue(scenario.finish())
        self.assertLess(fleet.events.now_s, 11.0)

    def test_neighbours_exchange_chunks_while_origin_reads_hang(self) -> None:
        # Guards against a delay of the whole fleet by hanging reads.  The origin
        # neither answers nor closes reads, and the two targets in its region waited for
        # them without exchanging the chunks that they had.
        fleet = create_narrow_fleet({"centro": 2, "occidente": 4, "oriente": 3})
        scenario = Scenario(fleet, 1, chunks=96, chunk_bytes=24_576)
        scenario.run_for(1.5)
        with mock.patch.object(fleet, "read_origin"):
            scenario.run_for(2.5)
        origin_agents = [a for a in fleet.live if a.peer.region == REGIONS[0]]
        read_share = fleet.origin_bytes / scenario.manifest.size_bytes
        for agent in origin_agents:
            missing_share = len(agent.missing) / len(scenario.manifest.chunk_digests)
            self.assertLess(missing_share, 1 - read_share + 0.1)

    def test_origin_region_fetches_chunks_that_only_other_regions_hold(self) -> None:
        # Guards against refusing requests for 3 s longer than necessary.  One of three
        # targets in the origin's region is removed, and the origin becomes unavailable.
        # Only other regions held the chunks of that target, and the two others lacked
        # four tenths of the version until the end of the outage.
        fleet = create_narrow_fleet({"centro": 3, "occidente": 4, "oriente": 3})
        scenario = Scenario(fleet, 1, chunks=96, chunk_bytes=24_576)
        scenario.run_for(2.3)
        fleet.kill([fleet.live[0]], MODEL)
        scenario.run_for(0.15)
        fleet.is_origin_unavailable = True
        scenario.run_for(6.05)
        missing_counts = [len(agent.missing) for agent in fleet.live]
        self.assertLess(max(missing_counts), min(missing_counts) + 6)
        fleet.is_origin_unavailable = False
        self.assertTrue(scenario.finish())
        self.assertLess(fleet.events.now_s, 11.0)

    @settings(max_examples=15, derandomize=True, deadline=None)
    @given(
        st.integers(1, 9),
        st.integers(0, 10_000),
        st.sampled_from([None, *FAULTS]),
        st.sampled_from((2, 4)),
    )
    def test_memory_smaller_than_a_version_is_sufficient(
        self, size, seed, fault, part
    ) -> None:
        # Guards against targets that never complete a version larger than the memory of
        # agents, whose chunks are evicted while others still need them.
        memory_bytes = CHUNKS * CHUNK_BYTES // part
        scenario = Scenario(create_fleet(size, seed, memory_bytes=memory_bytes), seed)
        if fault is not None:
            scenario.run_for(1.0)
            scenario.inject_fault(fault)
        self.assertTrue(scenario.finish())

    def test_small_memory_causes_few_repeated_fetches_and_little_delay(self) -> None:
        # Guards against transfers that take minutes or never end.  A version is several
        # times an agent's memory.  Agents ahead of the others evicted chunks that those
        # lacked, some before they were announced, so that neighbours waited for them.
        fleet = create_fleet(18, 1, memory_bytes=CHUNKS * CHUNK_BYTES // 3)
        scenario = Scenario(fleet, 1)
        self.assertTrue(scenario.finish())
        copy = scenario.manifest.size_bytes
        self.assertLessEqual(fleet.origin_bytes, 1.5 * copy)
        self.assertLessEqual(fleet.events.now_s, 3.0 * copy / RATES.region_bytes_per_s)

    def test_replaced_target_receives_chunks_from_its_region(self) -> None:
        # Guards against reads from the origin after an instance was replaced, which
        # happens 820 times a day; its link is needed for new versions.
        for index in range(3):
            fleet = create_fleet(18, 1)
            scenario = Scenario(fleet, 1)
            self.assertTrue(scenario.finish())
            origin_bytes = fleet.origin_bytes
            region_bytes = sum(link.sent_bytes for link in fleet.region_links.values())
            scenario.restart_agent(fleet.agents[f"agent-{index}"])
            self.assertTrue(scenario.finish())
            self.assertEqual(fleet.origin_bytes, origin_bytes)
            region_bytes_after = sum(
                link.sent_bytes for link in fleet.region_links.values()
            )
            self.assertEqual(region_bytes_after, region_bytes)

    def test_version_change_during_transfer_fetches_shared_chunks_once(self) -> None:
        # Guards against fetching chunks twice that are shared with a version that was
        # replaced during its transfer.
        fleet = create_fleet(12, 1)
        scenario = Scenario(fleet, 1)
        scenario.run_for(0.5)
        scenario.change_version()
        self.assertTrue(scenario.finish())
        self.assertLessEqual(fleet.origin_bytes, 1.6 * scenario.manifest.size_bytes)

    def test_replaced_region_fetches_one_copy(self) -> None:
        # Guards against origin reads, and more than one copy over the links between
        # regions, after all agents of a region were replaced at once.
        fleet = create_fleet(18, 1)
        scenario = Scenario(fleet, 1)
        self.assertTrue(scenario.finish())
        origin_bytes = fleet.origin_bytes
        region_bytes = sum(link.sent_bytes for link in fleet.region_links.values())
        for agent in list(fleet.agents.values()):
            if agent.peer.region == REGIONS[2]:
                scenario.restart_agent(agent)
        self.assertTrue(scenario.finish())
        self.assertEqual(fleet.origin_bytes, origin_bytes)
        region_bytes_after = sum(
            link.sent_bytes for link in fleet.region_links.values()
        )
        self.assertLessEqual(
            region_bytes_after - region_bytes, 1.1 * scenario.manifest.size_bytes
        )
