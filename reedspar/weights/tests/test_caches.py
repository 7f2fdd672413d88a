"""Tests of entries that cache versions for the agents of their region."""

import unittest
from dataclasses import replace
from unittest import mock

from bench.inbound_queues import CACHED_SCENARIOS, MODEL, create_fleet
from bench.weight_agents import Fleet, FleetAgent, make_weights
from reedspar.weights import Manifest
from reedspar.weights.limits import OPEN_ORIGIN_READS_MAX

TIME_LIMIT_S = 60.0
MANIFEST_DELAY_S = 0.2
CACHE = "occidente-cache-0"
FIRST_RESTART_S = 0.4
RESTART_INTERVAL_S = 0.7
RESTART_DURATION_S = 0.5


class CacheTest(unittest.TestCase):
    def setUp(self) -> None:
        self.case = CACHED_SCENARIOS[0]
        self.fleet = create_fleet(self.case)
        self.manifest, self.fleet.objects = make_weights(
            self.case.chunk_count, self.case.chunk_bytes
        )
        self.fleet.set_views(MODEL)

    def begin(self, late: str = "") -> None:
        for agent in self.fleet.live:
            if not agent.peer.is_cache:
                agent.fetch_version(self.manifest)
            elif agent.peer.name != late:
                agent.distribution.register_version(
                    self.manifest, self.fleet.events.now_s
                )

    def finish(self) -> float:
        self.assertTrue(self.fleet.events.run(self.fleet.is_finished, TIME_LIMIT_S))
        return self.fleet.events.now_s

    def test_restarted_entry_fetches_no_unneeded_chunks(self) -> None:
        # Guards against restarted entries that fetch their assigned chunks again, over
        # links shared with requests, although all targets have the version.
        self.begin()
        self.finish()
        origin_bytes = self.fleet.origin_bytes
        region_bytes = count_region_bytes(self.fleet)
        successor = restart(self.fleet, CACHE, self.manifest)
        self.fleet.events.run(lambda: False, self.fleet.events.now_s + 5.0)
        self.assertEqual(self.fleet.origin_bytes, origin_bytes)
        self.assertEqual(count_region_bytes(self.fleet), region_bytes)
        self.assertEqual(
            successor.distribution.object_bytes(self.manifest.chunks[0].digest), None
        )

    def test_entry_that_reads_a_manifest_late_serves_requests_immediately(self) -> None:
        # Guards against a transfer that is delayed by 1 s.  Agents request an entry's
        # map before it has read the manifest, and repeat the request only after 1 s.
        self.begin(late=CACHE)
        events = self.fleet.events
        cache = self.fleet.agents[CACHE]

        def register() -> None:
            cache.distribution.register_version(self.manifest, events.now_s)
            cache.run_actions()

        events.at(MANIFEST_DELAY_S, register)
        late_s = self.finish()
        copy_s = self.manifest.size_bytes / (self.case.link_mbps * 125_000)
        self.assertLess(late_s, 1.2 * copy_s + MANIFEST_DELAY_S)

    def test_rolling_restart_of_entries_repeats_few_origin_reads(self) -> None:
        # Guards against repeated origin reads when all entries restart in turn during a
        # transfer, which moves their assignments.  The chunks of the only entry in the
        # origin's region are lost; other restarts may only repeat their open reads.
        self.begin()
        events = self.fleet.events
        names = [a.peer.name for a in self.fleet.live if a.peer.is_cache]
        for turn, name in enumerate(names):
            events.at(
                FIRST_RESTART_S + turn * RESTART_INTERVAL_S,
                lambda name=name: self.restart_later(name),
            )
        self.finish()
        copies = self.fleet.origin_bytes / self.manifest.size_bytes
        open_reads = OPEN_ORIGIN_READS_MAX * len(names) / self.case.chunk_count
        self.assertLess(copies, 2.0 + open_reads)

    def test_replaced_version_is_not_read_from_the_origin(self) -> None:
        # Guards against a new version arriving at two thirds of the origin's rate.
        # When entries restarted, others took over their chunks of the replaced version
        # and read it again although no agent needed it.
        self.begin()
        fleet = self.fleet
        fleet.events.run(lambda: False, 0.6)
        older = self.manifest
        self.manifest, objects = make_weights(
            self.case.chunk_count, self.case.chunk_bytes, sequence=2
        )
        fleet.objects.update(objects)
        for agent in fleet.live:
            if not agent.peer.is_cache:
                agent.distribution.remove_version(older.root_digest, fleet.events.now_s)
        self.begin()
        fleet.events.run(lambda: False, 0.8)
        with mock.patch.object(fleet, "read_origin", wraps=fleet.read_origin) as read:
            self.restart_later("centro-cache-0")
            self.finish()
        digests = {call.args[1] for call in read.call_args_list}
        self.assertFalse(digests & set(older.chunk_digests))

    def restart_later(self, name: str) -> None:
        leaving = self.fleet.agents[name]
        leaving.is_dead = True
        self.fleet.set_views(MODEL)

        def start_again() -> None:
            restart(self.fleet, name, self.manifest)
            self.fleet.set_views(MODEL)

        self.fleet.events.at(self.fleet.events.now_s + RESTART_DURATION_S, start_again)

    def test_origin_is_not_overloaded_after_an_outage(self) -> None:
        # Guards against an origin that sends thirty copies in a minute while no target
        # completes the version.  After an outage all agents lack most of it.  Each read
        # large chunks from the origin directly, and reads timed out and were repeated.
        case = replace(
            self.case,
            link_mbps=7.0,
            region_mbps=9.0,
            origin_mbps=9.0,
            chunk_count=24,
            chunk_bytes=131_072,
        )
        self.fleet = create_fleet(case)
        fleet = self.fleet
        first, objects = make_weights(case.chunk_count, case.chunk_bytes)
        second, more = make_weights(case.chunk_count, case.chunk_bytes, sequence=2)
        fleet.objects = objects | more
        fleet.set_views(MODEL)
        self.manifest = first
        self.begin()
        fleet.events.run(lambda: False, 2.0)
        for agent in fleet.live:
            agent.distribution.register_version(second, fleet.events.now_s)
            agent.distribution.fetch_chunks(second, fleet.events.now_s)
            agent.run_actions()
        fleet.events.run(lambda: False, 2.5)
        fleet.is_origin_unavailable = True
        fleet.events.run(lambda: False, 8.5)
        fleet.is_origin_unavailable = False
        fleet.events.run(lambda: False, 20.0)
        held = [
            set(second.chunk_digests) - missing_digests(agent, second)
            for agent in fleet.live
            if not agent.peer.is_cache
        ]
        self.assertEqual({len(digests) for digests in held}, {case.chunk_count})
        self.assertLess(fleet.origin_bytes, 4 * first.size_bytes)

    def test_region_without_entries_receives_the_version(self) -> None:
        # Guards against additional origin reads when a region has no entries.  Its
        # agents fetch chunks from other regions and exchange them.
        case = replace(self.case, caches={"centro": 1, "occidente": 3})
        self.fleet = create_fleet(case)
        _, self.fleet.objects = make_weights(case.chunk_count, case.chunk_bytes)
        self.fleet.set_views(MODEL)
        self.begin()
        self.finish()
        self.assertLessEqual(self.fleet.origin_bytes, 1.1 * self.manifest.size_bytes)


def missing_digests(agent: FleetAgent, manifest: Manifest) -> set[str]:
    return {
        d for d in manifest.chunk_digests if agent.distribution.object_bytes(d) is None
    }


def count_region_bytes(fleet: Fleet) -> int:
    return sum(link.sent_bytes for link in fleet.region_links.values())


def restart(fleet: Fleet, name: str, manifest: Manifest) -> FleetAgent:
    """Restart a cache with empty memory under the same name."""
    before = fleet.agents[name]
    before.is_dead = True
    successor = FleetAgent(fleet, before.peer, fleet.create_distribution(before.peer))
    successor.uplink, successor.downlink = before.uplink, before.downlink
    fleet.agents[name] = successor
    others = [a.peer for a in fleet.live if a is not successor]
    successor.distribution.set_peers(MODEL, others, fleet.events.now_s)
    successor.distribution.register_version(manifest, fleet.events.now_s)
    successor.run_actions()
    return successor


if __name__ == "__main__":
    unittest.main()
