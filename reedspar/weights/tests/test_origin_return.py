"""Tests of the transfer of two versions during and after an origin outage."""

import random
import unittest
from dataclasses import dataclass
from functools import cache

from bench.inbound_queues import (
    BYTES_PER_MEGABIT,
    MODEL,
    REGIONS,
    DistributionScenario,
    create_fleet,
)
from bench.weight_agents import FleetAgent, make_weights
from reedspar.errors import Failure, Reason, Step
from reedspar.weights import Manifest, WeightPeer
from reedspar.weights.distribution import ReadOrigin, SendMessage
from reedspar.weights.limits import SwarmLimits
from reedspar.weights.messages import ChunkRefused, ChunkRequest, HaveMap, RefusalCause
from reedspar.weights.neighbours import encode_map
from reedspar.weights.swarm import SwarmDistribution

CASE = DistributionScenario(
    "two versions, many targets",
    {REGIONS[0]: 9, REGIONS[1]: 11, REGIONS[2]: 11},
    link_mbps=3.65,
    region_mbps=11.5,
    origin_mbps=7.3,
    chunk_count=96,
    chunk_bytes=24_576,
    caches=dict.fromkeys(REGIONS, 4),
    cache_mbps=20.0,
)
SECOND_NAMED_AT_S = 1.3
OUTAGE_START_S = 2.0
OUTAGE_END_S = 7.8
TIME_LIMIT_S = 30.0
OUTAGE_END_OFFSETS_S = (0.0, 0.07, 0.13)
"""Offsets of the end of the outage relative to the repeated requests."""
BOUND_FACTOR_MAX = 1.2
DETECTION_MAX_S = 0.25
"""Maximum time until the end of the outage is noticed."""
ORIGIN_STALL_S = 1.5
CHUNKS = 16
CHUNK_BYTES = 1000
ENTRY = WeightPeer("entry-1", "ra", "a", is_cache=True)
SAME_REGION_ENTRY = WeightPeer("entry-3", "ra", "a", is_cache=True)
OTHER_REGION_ENTRY = WeightPeer("entry-2", "rb", "b", is_cache=True)
LIMITS = SwarmLimits(
    origin_region="ra",
    machine_bytes_per_s=1e6,
    region_bytes_per_s=1e6,
    memory_bytes=1_000_000,
    all_regions_read_origin=True,
)


class Outage:
    """A fleet whose origin becomes unavailable during the transfer of two versions.

    The second version is named while the first one is incomplete.
    """

    def __init__(self, outage_end_s: float) -> None:
        self.outage_end_s = outage_end_s
        self.fleet = create_fleet(CASE)
        self.fleet.set_views(MODEL)
        self.first = self._make(1)
        self.second = self._make(2)
        events = self.fleet.events
        events.at(0.0, lambda: self._distribute(self.first))
        events.at(SECOND_NAMED_AT_S, lambda: self._distribute(self.second))
        events.at(OUTAGE_START_S, lambda: self._set_unavailable(True))
        events.at(outage_end_s, lambda: self._set_unavailable(False))

    @property
    def targets(self) -> list[FleetAgent]:
        return [a for a in self.fleet.live if not a.peer.is_cache]

    def _make(self, sequence: int) -> Manifest:
        manifest, objects = make_weights(
            CASE.chunk_count, CASE.chunk_bytes, sequence=sequence
        )
        self.fleet.objects.update(objects)
        return manifest

    def _distribute(self, manifest: Manifest) -> None:
        for agent in self.fleet.live:
            agent.distribution.register_version(manifest, self.fleet.events.now_s)
            agent.distribution.fetch_chunks(manifest, self.fleet.events.now_s)
            agent.run_actions()

    def _set_unavailable(self, is_unavailable: bool) -> None:
        self.fleet.is_origin_unavailable = is_unavailable

    def run_until(self, time_s: float) -> None:
        self.fleet.events.run(lambda: False, time_s)

    def count_missing_chunks(self, manifest: Manifest, *regions: str) -> int:
        """Return the maximum number of chunks that a target lacks."""
        return max(
            sum(
                agent.distribution.object_bytes(d) is None
                for d in manifest.chunk_digests
            )
            for agent in self.targets
            if agent.peer.region in regions
        )


@dataclass(frozen=True, slots=True)
class Recovery:
    """The transfer of the first version after the end of the outage."""

    missing_chunks: int
    whole_s: dict[str, float]
    """Time from the end of the outage until all targets of a region have it."""
    read_by_targets: int
    """Bytes that targets read directly from the origin."""

    @property
    def bound_s(self) -> float:
        """Return the time limit for the missing chunks over a target's link."""
        chunk_s = CASE.chunk_bytes / (CASE.link_mbps * BYTES_PER_MEGABIT)
        return BOUND_FACTOR_MAX * self.missing_chunks * chunk_s + DETECTION_MAX_S


@cache
def simulate(offset_s: float) -> Recovery:
    """Return the recovery from an outage whose end is delayed by an offset."""
    outage = Outage(OUTAGE_END_S + offset_s)
    outage.run_until(outage.outage_end_s)
    missing_chunks = outage.count_missing_chunks(outage.first, *REGIONS)
    whole_s = {}
    while len(whole_s) < len(REGIONS):
        outage.run_until(outage.fleet.events.now_s + 0.05)
        for region in REGIONS:
            if not outage.count_missing_chunks(outage.first, region):
                whole_s.setdefault(
                    region, outage.fleet.events.now_s - outage.outage_end_s
                )
        if outage.fleet.events.now_s > TIME_LIMIT_S:
            raise AssertionError("the first version did not reach all targets")
    sent_bytes = outage.fleet.origin.sent_bytes
    read_by_targets = sum(sent_bytes[agent.peer.name] for agent in outage.targets)
    return Recovery(missing_chunks, whole_s, read_by_targets)


class OriginReturnTest(unittest.TestCase):
    def check_recovery(self, *regions: str) -> None:
        """Check that targets complete the first version within its time limit."""
        late_s = {}
        for offset_s in OUTAGE_END_OFFSETS_S:
            recovery = simulate(offset_s)
            self.assertGreater(recovery.missing_chunks, 0)
            last_s = max(recovery.whole_s[region] for region in regions)
            if last_s >= recovery.bound_s:
                late_s[offset_s] = last_s - recovery.bound_s
        self.assertEqual(late_s, {})

    def test_region_of_the_origin_gets_the_earlier_version_first(self) -> None:
        # Guards against seconds without a version to serve.  After an outage, targets
        # lack a fifth of a version and all of the next one.  Entries that read the next
        # one first delay the earlier one, which could be served sooner.
        self.check_recovery(REGIONS[0])

    def test_other_regions_get_the_earlier_version_first(self) -> None:
        # Guards against the same fault, and against a delay of seconds in other
        # regions, which occurs if they request the chunks from other entries than those
        # that have read them.
        self.check_recovery(REGIONS[1], REGIONS[2])

    def test_targets_do_not_read_from_the_origin_while_entries_answer(self) -> None:
        # Guards against a dozen targets reading the same chunk after an outage.
        # Entries refuse requests during the outage, and the targets read the chunks
        # themselves if they therefore consider the entries dead.
        read_bytes = [
            simulate(offset_s).read_by_targets for offset_s in OUTAGE_END_OFFSETS_S
        ]
        self.assertEqual(read_bytes, [0] * len(OUTAGE_END_OFFSETS_S))


class ReadOrderTest(unittest.TestCase):
    def test_requested_chunk_is_read_before_the_next_version(self) -> None:
        # Guards against reading chunks of the next version before requested ones.
        # While the origin stalls, other regions request chunks assigned to an entry.
        # An entry that retries those after a delay reads a chunk of the next version in
        # each delay.
        entry = SwarmDistribution(ENTRY, LIMITS, random.Random(1))
        entry.set_peers(MODEL, [OTHER_REGION_ENTRY], 0.0)
        first, objects = make_weights(CHUNKS, CHUNK_BYTES)
        second, more = make_weights(CHUNKS, CHUNK_BYTES, sequence=2)
        objects |= more
        for manifest in (first, second):
            entry.register_version(manifest, 0.0)
            entry.fetch_chunks(manifest, 0.0)
        reading = pop_reads(entry)
        for number, digest in enumerate(first.chunk_digests):
            request = ChunkRequest(digest, number, may_draw=True)
            entry.receive(OTHER_REGION_ENTRY.name, request, ORIGIN_STALL_S)
        order = list(reading)
        for turn in range(CHUNKS - len(reading)):
            now_s = ORIGIN_STALL_S + 0.013 * (turn + 1)
            entry.tick(now_s)
            entry.complete_read(order[turn], objects[order[turn]], now_s)
            order += pop_reads(entry)
        self.assertEqual(set(order), set(first.chunk_digests))

    def test_chunk_held_by_another_entry_is_requested_from_it(self) -> None:
        # Guards against reading a chunk again seconds later.  During an outage, another
        # region requests a chunk from an entry, and a second entry reads it afterwards.
        # The first one must request it from the second, even after many failed
        # attempts.
        entry = SwarmDistribution(ENTRY, LIMITS, random.Random(1))
        entry.set_peers(MODEL, [OTHER_REGION_ENTRY, SAME_REGION_ENTRY], 0.0)
        manifest, _ = make_weights(CHUNKS, CHUNK_BYTES)
        entry.register_version(manifest, 0.0)
        digest = manifest.chunk_digests[0]
        entry.receive(
            OTHER_REGION_ENTRY.name, ChunkRequest(digest, 1, may_draw=True), 0.0
        )
        for turn in range(50):
            entry.tick(turn * 0.1)
            refuse_all(entry, turn * 0.1)
        held = encode_map(1, CHUNKS)
        announcement = HaveMap(
            manifest.root_digest, 1, held, held, is_reply_wanted=False
        )
        entry.receive(SAME_REGION_ENTRY.name, announcement, 5.5)
        entry.tick(6.0)
        requested = [
            (action.peer, action.message.digest)
            for action in entry.take_actions()
            if isinstance(action, SendMessage)
            and isinstance(action.message, ChunkRequest)
        ]
        self.assertEqual(requested, [(SAME_REGION_ENTRY.name, digest)])


def refuse_all(entry: SwarmDistribution, now_s: float) -> None:
    """Fail all reads and refuse all requests of an entry."""
    failure = Failure(Reason.UNAVAILABLE, Step.ORIGIN_DRAW, "origin")
    for action in entry.take_actions():
        if isinstance(action, ReadOrigin):
            entry.complete_read(action.digest, failure, now_s)
        elif isinstance(action, SendMessage) and isinstance(
            action.message, ChunkRequest
        ):
            requested = action.message
            cause = RefusalCause.NOT_HELD
            refusal = ChunkRefused(requested.digest, requested.request_id, cause)
            entry.receive(action.peer, refusal, now_s)


def pop_reads(entry: SwarmDistribution) -> list[str]:
    actions = entry.take_actions()
    return [action.digest for action in actions if isinstance(action, ReadOrigin)]


if __name__ == "__main__":
    unittest.main()
