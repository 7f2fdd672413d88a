"""Tests of the distribution under random histories: the real decisions, paced links.

Every history asserts the same: each live target ends with every chunk, no
agent ever holds more than its memory (asserted in `ChunkMemory`), and the
origin and the links between regions carry little more than one copy.
"""

import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.inbound_queues import Case
from bench.inbound_queues import create_fleet as create_fleet_of
from bench.paced_links import LinkRates
from bench.weight_agents import Fleet, FleetAgent, make_weights
from reedspar.weights import WeightPeer
from reedspar.weights.limits import SwarmLimits
from reedspar.weights.swarm import SwarmDistribution

MODEL = "quotes"
REGIONS = ("centro", "occidente", "oriente")
CHUNK_BYTES = 4096
PIECE_BYTES = 1024
CHUNKS = 24
RATES = LinkRates(machine=200_000, region=50_000, origin=400_000)
TIME_LIMIT_S = 120.0
FAULTS = ("kill", "freeze", "origin_away", "restart_engine", "change", "return")


def create_fleet(
    size: int,
    seed: int,
    *,
    corrupt_share: float = 0.0,
    memory_bytes: int = CHUNKS * CHUNK_BYTES * 2,
) -> Fleet:
    limits = SwarmLimits(
        origin_region=REGIONS[0],
        machine_bytes_per_s=RATES.machine,
        region_bytes_per_s=RATES.region,
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
    """Return targets with links of 3.65 Mbit/s, and an origin with twice that."""
    case = Case(
        "narrow",
        sizes,
        link_mbps=3.65,
        region_mbps=10.0,
        origin_mbps=7.3,
        chunk_count=96,
        chunk_bytes=24_576,
    )
    return create_fleet_of(case)


class History:
    """A distribution, and the faults that befall it."""

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
            agent.want(self.manifest)

    def run_for(self, seconds: float) -> None:
        events = self.fleet.events
        events.run(lambda: False, events.now_s + seconds)

    def finish(self) -> bool:
        return self.fleet.events.run(self.fleet.is_finished, TIME_LIMIT_S)

    def befall(self, fault: str) -> None:
        fleet = self.fleet
        agent = self.rng.choice(fleet.live)
        now_s = fleet.events.now_s
        if fault == "kill" and len(fleet.live) > 2:
            fleet.kill([agent], MODEL)
        elif fault == "freeze":
            agent.frozen_until_s = now_s + self.rng.uniform(0.5, 15.0)
        elif fault == "origin_away":
            fleet.origin_is_away = True
            until_s = now_s + self.rng.uniform(0.1, 10.0)
            fleet.events.at(until_s, lambda: setattr(fleet, "origin_is_away", False))
        elif fault == "restart_engine":
            agent.want(self.manifest)
        elif fault == "change":
            self.change()
        elif fault == "return":
            self.replace(agent)

    def change(self) -> None:
        sequence = self.manifest.sequence + 1
        older = self.manifest.root_digest
        shared = CHUNKS // 2
        self.manifest, objects = make_weights(CHUNKS, CHUNK_BYTES, sequence, shared)
        self.fleet.objects.update(objects)
        for agent in self.fleet.live:
            agent.decide.remove_version(older, self.fleet.events.now_s)
            agent.want(self.manifest)

    def replace(self, agent: FleetAgent) -> None:
        """Let an agent come back with nothing, under its old name."""
        fleet = self.fleet
        agent.is_dead = True
        successor = FleetAgent(fleet, agent.peer, fleet.create(agent.peer))
        fleet.agents[agent.peer.name] = successor
        others = [a.peer for a in fleet.live if a is not successor]
        successor.decide.set_peers(MODEL, others, fleet.events.now_s)
        successor.want(self.manifest)


class SwarmTest(unittest.TestCase):
    def test_a_copy_crosses_each_narrow_link_once_at_most(self) -> None:
        fleet = create_fleet(18, 1)
        history = History(fleet, 1)
        self.assertTrue(history.finish())
        copy = history.manifest.size_bytes
        self.assertEqual(fleet.origin_bytes, copy)
        into = dict.fromkeys(REGIONS[1:], 0)
        for (_, region), link in fleet.regions.items():
            into[region] += link.sent_bytes
        self.assertEqual(into, dict.fromkeys(REGIONS[1:], copy))

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
        # Agents die, freeze and come back with nothing, the origin goes away,
        # an engine loses its chunks, the version changes, chunks arrive
        # damaged; two or three of these at a time.  A target that is left
        # with a gap would never serve the version.
        history = History(create_fleet(size, seed, corrupt_share=corrupt_share), seed)
        for delay_s, fault in faults:
            history.run_for(delay_s)
            history.befall(fault)
        self.assertTrue(history.finish())

    def test_origin_outage_costs_little_more_than_its_own_length(self) -> None:
        # The origin goes away for ten seconds as a distribution starts.  Agents
        # whose requests timed out meanwhile avoided each other for minutes.
        fleet = create_fleet(5, 5)
        fleet.origin_is_away = True
        history = History(fleet, 5)
        history.run_for(10.0)
        fleet.origin_is_away = False
        self.assertTrue(history.finish())
        self.assertLess(fleet.events.now_s, 30.0)

    def test_the_first_copy_leaves_the_origin_before_neighbours_exchange(self) -> None:
        # Two targets are near the origin, and their links together carry just
        # what the origin sends.  While they also sent each other what they had
        # drawn, a fifth of the copy was still at the origin when it went away:
        # every request was refused until the origin was back and all had the rest.
        fleet = create_narrow_fleet({"centro": 2, "occidente": 4, "oriente": 3})
        history = History(fleet, 1, chunks=96, chunk_bytes=24_576)
        history.run_for(2.45)
        self.assertGreater(fleet.origin_bytes, 0.85 * history.manifest.size_bytes)
        fleet.origin_is_away = True
        history.run_for(6.05)
        fleet.origin_is_away = False
        self.assertTrue(history.finish())
        self.assertLess(fleet.events.now_s, 11.0)

    def test_neighbours_exchange_while_the_origin_leaves_reads_open(self) -> None:
        # The origin goes dark: it answers no read, and closes none.  The two targets
        # near it waited for their reads, and did not send each other what they had;
        # the whole fleet got the version later by as much.
        fleet = create_narrow_fleet({"centro": 2, "occidente": 4, "oriente": 3})
        history = History(fleet, 1, chunks=96, chunk_bytes=24_576)
        history.run_for(1.5)
        with mock.patch.object(fleet, "read_origin"):
            history.run_for(2.5)
        near = [a for a in fleet.live if a.peer.region == REGIONS[0]]
        drawn = fleet.origin_bytes / history.manifest.size_bytes
        for agent in near:
            lacking = len(agent.missing) / len(history.manifest.chunk_digests)
            self.assertLess(lacking, 1 - drawn + 0.1)

    def test_region_of_the_origin_gets_back_what_only_others_hold(self) -> None:
        # One of three targets near the origin is taken away, and the origin goes away
        # just after.  What that target had drawn lay in the other regions alone: the
        # two others lacked four tenths of the copy until the origin was back, and all
        # requests were refused three seconds longer.
        fleet = create_narrow_fleet({"centro": 3, "occidente": 4, "oriente": 3})
        history = History(fleet, 1, chunks=96, chunk_bytes=24_576)
        history.run_for(2.3)
        fleet.kill([fleet.live[0]], MODEL)
        history.run_for(0.15)
        fleet.origin_is_away = True
        history.run_for(6.05)
        lacking = [len(agent.missing) for agent in fleet.live]
        self.assertLess(max(lacking), min(lacking) + 6)
        fleet.origin_is_away = False
        self.assertTrue(history.finish())
        self.assertLess(fleet.events.now_s, 11.0)

    @settings(max_examples=15, derandomize=True, deadline=None)
    @given(
        st.integers(1, 9),
        st.integers(0, 10_000),
        st.sampled_from([None, *FAULTS]),
        st.sampled_from((2, 4)),
    )
    def test_memory_below_a_copy_is_enough(self, size, seed, fault, part) -> None:
        # The slot of an agent is small and a copy is not.  Chunks are evicted
        # while others still need them, and all must still end up whole.
        memory_bytes = CHUNKS * CHUNK_BYTES // part
        history = History(create_fleet(size, seed, memory_bytes=memory_bytes), seed)
        if fault is not None:
            history.run_for(1.0)
            history.befall(fault)
        self.assertTrue(history.finish())

    def test_small_memory_costs_no_second_draw_and_little_time(self) -> None:
        # A copy is many times an agent's memory.  Agents that ran ahead of the
        # others evicted what those lacked; gains that were evicted before they
        # were told left them waiting, and the transfer took minutes or for ever.
        fleet = create_fleet(18, 1, memory_bytes=CHUNKS * CHUNK_BYTES // 3)
        history = History(fleet, 1)
        self.assertTrue(history.finish())
        copy = history.manifest.size_bytes
        self.assertLessEqual(fleet.origin_bytes, 1.5 * copy)
        self.assertLessEqual(fleet.events.now_s, 3.0 * copy / RATES.region)

    def test_returning_target_is_served_by_its_region(self) -> None:
        # An instance is replaced after the version has reached everyone.  The
        # origin's link is for new versions, not for each of 820 restarts a day.
        for place in range(3):
            fleet = create_fleet(18, 1)
            history = History(fleet, 1)
            self.assertTrue(history.finish())
            drawn = fleet.origin_bytes
            across = sum(link.sent_bytes for link in fleet.regions.values())
            history.replace(fleet.agents[f"agent-{place}"])
            self.assertTrue(history.finish())
            self.assertEqual(fleet.origin_bytes, drawn)
            now_across = sum(link.sent_bytes for link in fleet.regions.values())
            self.assertEqual(now_across, across)

    def test_change_in_mid_transfer_draws_shared_chunks_once(self) -> None:
        # An operator replaces the version while it is on its way.  What the
        # two versions share has crossed the narrow links already.
        fleet = create_fleet(12, 1)
        history = History(fleet, 1)
        history.run_for(0.5)
        history.change()
        self.assertTrue(history.finish())
        self.assertLessEqual(fleet.origin_bytes, 1.6 * history.manifest.size_bytes)

    def test_region_new_at_once_draws_one_copy(self) -> None:
        # All agents of a region are replaced at once.  The region must come
        # back with one copy over the links, and none from the origin.
        fleet = create_fleet(18, 1)
        history = History(fleet, 1)
        self.assertTrue(history.finish())
        drawn = fleet.origin_bytes
        across = sum(link.sent_bytes for link in fleet.regions.values())
        for agent in list(fleet.agents.values()):
            if agent.peer.region == REGIONS[2]:
                history.replace(agent)
        self.assertTrue(history.finish())
        self.assertEqual(fleet.origin_bytes, drawn)
        now_across = sum(link.sent_bytes for link in fleet.regions.values())
        self.assertLessEqual(now_across - across, 1.1 * history.manifest.size_bytes)
