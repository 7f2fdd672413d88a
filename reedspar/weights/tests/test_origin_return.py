"""Tests of two versions on their way when the origin goes away and comes back."""

import random
import unittest
from dataclasses import dataclass
from functools import cache

from bench.inbound_queues import BYTES_PER_S, MODEL, REGIONS, Case, create_fleet
from bench.weight_agents import FleetAgent, make_weights
from reedspar.errors import Failure, Reason, Step
from reedspar.weights import Manifest, WeightPeer
from reedspar.weights.distribution import ReadOrigin, SendMessage
from reedspar.weights.fetches import AVOID_ORIGIN_MAX_S
from reedspar.weights.limits import SwarmLimits
from reedspar.weights.messages import ChunkRefused, ChunkRequest, HaveMap, RefusalCause
from reedspar.weights.neighbours import encode_map
from reedspar.weights.swarm import SwarmDistribution

CASE = Case(
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
NEXT_NAMED_S = 1.3
AWAY_S = 2.0
BACK_S = 7.8
TIME_LIMIT_S = 30.0
SHIFTS_S = (0.0, 0.07, 0.13)
"""Of the origin's return, against the requests that are repeated meanwhile."""
OVER_BOUND = 1.2
STALLED_S = 1.5
CHUNKS = 16
CHUNK_BYTES = 1000
ENTRY = WeightPeer("entry-1", "ra", "a", is_cache=True)
NEAR = WeightPeer("entry-3", "ra", "a", is_cache=True)
FAR = WeightPeer("entry-2", "rb", "b", is_cache=True)
LIMITS = SwarmLimits(
    origin_region="ra",
    machine_bytes_per_s=1e6,
    region_bytes_per_s=1e6,
    memory_bytes=1_000_000,
    draws_everywhere=True,
)


class Outage:
    """A fleet in which the origin goes away before the first of two versions is whole.

    The second version is named while the first one is on its way.
    """

    def __init__(self, back_s: float) -> None:
        self.back_s = back_s
        self.fleet = create_fleet(CASE)
        self.fleet.set_views(MODEL)
        self.first = self._make(1)
        self.second = self._make(2)
        events = self.fleet.events
        events.at(0.0, lambda: self._name(self.first))
        events.at(NEXT_NAMED_S, lambda: self._name(self.second))
        events.at(AWAY_S, lambda: self._set_away(True))
        events.at(back_s, lambda: self._set_away(False))

    @property
    def targets(self) -> list[FleetAgent]:
        return [a for a in self.fleet.live if not a.peer.is_cache]

    def _make(self, sequence: int) -> Manifest:
        manifest, objects = make_weights(
            CASE.chunk_count, CASE.chunk_bytes, sequence=sequence
        )
        self.fleet.objects.update(objects)
        return manifest

    def _name(self, manifest: Manifest) -> None:
        for agent in self.fleet.live:
            agent.decide.register_version(manifest, self.fleet.events.now_s)
            agent.decide.fetch_chunks(manifest, self.fleet.events.now_s)
            agent.pump()

    def _set_away(self, is_away: bool) -> None:
        self.fleet.origin_is_away = is_away

    def run_until(self, time_s: float) -> None:
        self.fleet.events.run(lambda: False, time_s)

    def count_lacking(self, manifest: Manifest, *regions: str) -> int:
        """Return how many chunks the target lacks that lacks most."""
        return max(
            sum(agent.decide.object_bytes(d) is None for d in manifest.chunk_digests)
            for agent in self.targets
            if agent.peer.region in regions
        )


@dataclass(frozen=True, slots=True)
class Course:
    """What became of the first version after the origin's return."""

    lacking: int
    whole_s: dict[str, float]
    """How long after the return all targets of a region had it."""
    read_by_targets: int
    """Bytes that targets read past the entries."""

    @property
    def bound_s(self) -> float:
        """Return what the lacking chunks may take over a target's link."""
        chunk_s = CASE.chunk_bytes / (CASE.link_mbps * BYTES_PER_S)
        return OVER_BOUND * self.lacking * chunk_s + AVOID_ORIGIN_MAX_S


@cache
def play(shift_s: float) -> Course:
    """Return the course of an outage that ends a little later."""
    outage = Outage(BACK_S + shift_s)
    outage.run_until(outage.back_s)
    lacking = outage.count_lacking(outage.first, *REGIONS)
    whole_s = {}
    while len(whole_s) < len(REGIONS):
        outage.run_until(outage.fleet.events.now_s + 0.05)
        for region in REGIONS:
            if not outage.count_lacking(outage.first, region):
                whole_s.setdefault(region, outage.fleet.events.now_s - outage.back_s)
        if outage.fleet.events.now_s > TIME_LIMIT_S:
            raise AssertionError("the first version is not everywhere")
    sent_bytes = outage.fleet.origin.sent_bytes
    read_by_targets = sum(sent_bytes[agent.peer.name] for agent in outage.targets)
    return Course(lacking, whole_s, read_by_targets)


class OriginReturnTest(unittest.TestCase):
    def check_whole(self, *regions: str) -> None:
        """Check when targets have the first version, by what they lacked of it."""
        late_s = {}
        for shift_s in SHIFTS_S:
            course = play(shift_s)
            self.assertGreater(course.lacking, 0)
            last_s = max(course.whole_s[region] for region in regions)
            if last_s >= course.bound_s:
                late_s[shift_s] = last_s - course.bound_s
        self.assertEqual(late_s, {})

    def test_region_of_the_origin_gets_the_earlier_version_first(self) -> None:
        # Targets lack a fifth of a version when the origin comes back, and all of the
        # next.  The entries read the next one first: the earlier one, which could have
        # served, came seconds later, and nothing was served meanwhile.
        self.check_whole(REGIONS[0])

    def test_other_regions_get_the_earlier_version_first(self) -> None:
        # As above; what the entries near the origin had read again was not asked for
        # where it was, and the other regions waited for seconds more.
        self.check_whole(REGIONS[1], REGIONS[2])

    def test_targets_leave_the_origin_to_entries_that_answer(self) -> None:
        # Entries refuse what they can't get while the origin is away.  Targets took
        # them for gone, and as soon as it was back a dozen of them read the same chunk.
        read_bytes = [play(shift_s).read_by_targets for shift_s in SHIFTS_S]
        self.assertEqual(read_bytes, [0] * len(SHIFTS_S))


class ReadOrderTest(unittest.TestCase):
    def test_chunk_that_is_asked_for_is_read_before_the_next_version(self) -> None:
        # The origin sends nothing for a while, and other regions ask an entry for what
        # it is to read.  Those chunks were tried again after a pause only, and in each
        # pause one of the next version, which nobody had asked for, was read instead.
        entry = SwarmDistribution(ENTRY, LIMITS, random.Random(1))
        entry.set_peers(MODEL, [FAR], 0.0)
        first, objects = make_weights(CHUNKS, CHUNK_BYTES)
        second, more = make_weights(CHUNKS, CHUNK_BYTES, sequence=2)
        objects |= more
        for manifest in (first, second):
            entry.register_version(manifest, 0.0)
            entry.fetch_chunks(manifest, 0.0)
        reading = take_reads(entry)
        for number, digest in enumerate(first.chunk_digests):
            request = ChunkRequest(digest, number, may_draw=True)
            entry.receive(FAR.name, request, STALLED_S)
        order = list(reading)
        for turn in range(CHUNKS - len(reading)):
            now_s = STALLED_S + 0.013 * (turn + 1)
            entry.tick(now_s)
            entry.complete_read(order[turn], objects[order[turn]], now_s)
            order += take_reads(entry)
        self.assertEqual(set(order), set(first.chunk_digests))

    def test_chunk_that_another_entry_holds_is_got_from_there(self) -> None:
        # Another region asks an entry for a chunk while the origin is away, and a
        # second entry reads it then.  The first one had failed to get it too often to
        # look there: it read it once more, after all of its own, seconds later.
        entry = SwarmDistribution(ENTRY, LIMITS, random.Random(1))
        entry.set_peers(MODEL, [FAR, NEAR], 0.0)
        manifest, _ = make_weights(CHUNKS, CHUNK_BYTES)
        entry.register_version(manifest, 0.0)
        digest = manifest.chunk_digests[0]
        entry.receive(FAR.name, ChunkRequest(digest, 1, may_draw=True), 0.0)
        for turn in range(50):
            entry.tick(turn * 0.1)
            fail_all(entry, turn * 0.1)
        held = encode_map(1, CHUNKS)
        news = HaveMap(manifest.root_digest, 1, held, held, is_reply_wanted=False)
        entry.receive(NEAR.name, news, 5.5)
        entry.tick(6.0)
        asked = [
            (action.peer, action.message.digest)
            for action in entry.take_actions()
            if isinstance(action, SendMessage)
            and isinstance(action.message, ChunkRequest)
        ]
        self.assertEqual(asked, [(NEAR.name, digest)])


def fail_all(entry: SwarmDistribution, now_s: float) -> None:
    """Answer what an entry reads or asks for: the origin is away, and nobody has it."""
    failure = Failure(Reason.UNAVAILABLE, Step.ORIGIN_DRAW, "origin")
    for action in entry.take_actions():
        if isinstance(action, ReadOrigin):
            entry.complete_read(action.digest, failure, now_s)
        elif isinstance(action, SendMessage) and isinstance(
            action.message, ChunkRequest
        ):
            asked = action.message
            cause = RefusalCause.NOT_HELD
            refusal = ChunkRefused(asked.digest, asked.request_id, cause)
            entry.receive(action.peer, refusal, now_s)


def take_reads(entry: SwarmDistribution) -> list[str]:
    actions = entry.take_actions()
    return [action.digest for action in actions if isinstance(action, ReadOrigin)]


if __name__ == "__main__":
    unittest.main()
