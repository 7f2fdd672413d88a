"""Tests of entries that hold copies of versions for the agents of their region."""

import unittest
from dataclasses import replace
from unittest import mock

from bench.inbound_queues import CACHED_CASES, MODEL, create_fleet
from bench.weight_agents import Fleet, FleetAgent, make_weights
from reedspar.weights import Manifest
from reedspar.weights.limits import ORIGIN_READS

TIME_LIMIT_S = 60.0
LATE_MANIFEST_S = 0.2
CACHE = "occidente-cache-0"
FIRST_RESTART_S = 0.4
RESTART_GAP_S = 0.7
AWAY_S = 0.5


class CacheTest(unittest.TestCase):
    def setUp(self) -> None:
        self.case = CACHED_CASES[0]
        self.fleet = create_fleet(self.case)
        self.manifest, self.fleet.objects = make_weights(
            self.case.chunk_count, self.case.chunk_bytes
        )
        self.fleet.set_views(MODEL)

    def begin(self, late: str = "") -> None:
        for agent in self.fleet.live:
            if not agent.peer.is_cache:
                agent.want(self.manifest)
            elif agent.peer.name != late:
                agent.decide.register_version(self.manifest, self.fleet.events.now_s)

    def finish(self) -> float:
        self.assertTrue(self.fleet.events.run(self.fleet.is_finished, TIME_LIMIT_S))
        return self.fleet.events.now_s

    def test_entry_that_restarts_gets_nothing_that_nobody_lacks(self) -> None:
        # Entries restart in turn while all targets serve a version.  Each got its part
        # of the version again, over the links between regions that requests share.
        self.begin()
        self.finish()
        drawn = self.fleet.origin_bytes
        across = count_across(self.fleet)
        successor = restart(self.fleet, CACHE, self.manifest)
        self.fleet.events.run(lambda: False, self.fleet.events.now_s + 5.0)
        self.assertEqual(self.fleet.origin_bytes, drawn)
        self.assertEqual(count_across(self.fleet), across)
        self.assertEqual(
            successor.decide.object_bytes(self.manifest.chunks[0].digest), None
        )

    def test_entry_that_learns_of_a_version_later_serves_it_at_once(self) -> None:
        # One entry reads the manifest a moment after the agents have asked it for what
        # it holds.  They asked again a second later, and the version came that late.
        self.begin(late=CACHE)
        events = self.fleet.events
        cache = self.fleet.agents[CACHE]

        def learn() -> None:
            cache.decide.register_version(self.manifest, events.now_s)
            cache.pump()

        events.at(LATE_MANIFEST_S, learn)
        late_s = self.finish()
        copy_s = self.manifest.size_bytes / (self.case.link_mbps * 125_000)
        self.assertLess(late_s, 1.2 * copy_s + LATE_MANIFEST_S)

    def test_entries_that_restart_in_turn_load_the_origin_little(self) -> None:
        # All entries are restarted in turn while a version travels, and each time their
        # parts go to others.  What the one entry near the origin held is lost with it;
        # beyond that each restart may cost what was being read, and no more.
        self.begin()
        events = self.fleet.events
        names = [a.peer.name for a in self.fleet.live if a.peer.is_cache]
        for turn, name in enumerate(names):
            events.at(
                FIRST_RESTART_S + turn * RESTART_GAP_S,
                lambda name=name: self.leave_and_return(name),
            )
        self.finish()
        copies = self.fleet.origin_bytes / self.manifest.size_bytes
        open_reads = ORIGIN_READS * len(names) / self.case.chunk_count
        self.assertLess(copies, 2.0 + open_reads)

    def test_version_that_was_replaced_is_drawn_no_more(self) -> None:
        # A version is replaced before it has come, and entries restart.  The parts of
        # those that were away went to others, which read the old version again for
        # nobody: the new one came at two thirds of the origin's rate.
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
                agent.decide.remove_version(older.root_digest, fleet.events.now_s)
        self.begin()
        fleet.events.run(lambda: False, 0.8)
        with mock.patch.object(fleet, "read_origin", wraps=fleet.read_origin) as read:
            self.leave_and_return("centro-cache-0")
            self.finish()
        digests = {call.args[1] for call in read.call_args_list}
        self.assertFalse(digests & set(older.chunk_digests))

    def leave_and_return(self, name: str) -> None:
        leaving = self.fleet.agents[name]
        leaving.is_dead = True
        self.fleet.set_views(MODEL)

        def come_back() -> None:
            restart(self.fleet, name, self.manifest)
            self.fleet.set_views(MODEL)

        self.fleet.events.at(self.fleet.events.now_s + AWAY_S, come_back)

    def test_origin_that_returns_is_not_flooded(self) -> None:
        # A second version is named just before the origin goes away.  When it is back
        # all agents lack most of it, and each read large chunks past the entries: reads
        # timed out and were begun again, thirty copies left the origin in a minute, and
        # no target had the version.
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
            agent.decide.register_version(second, fleet.events.now_s)
            agent.decide.fetch_chunks(second, fleet.events.now_s)
            agent.pump()
        fleet.events.run(lambda: False, 2.5)
        fleet.origin_is_away = True
        fleet.events.run(lambda: False, 8.5)
        fleet.origin_is_away = False
        fleet.events.run(lambda: False, 20.0)
        held = [
            set(second.chunk_digests) - missing_digests(agent, second)
            for agent in fleet.live
            if not agent.peer.is_cache
        ]
        self.assertEqual({len(digests) for digests in held}, {case.chunk_count})
        self.assertLess(fleet.origin_bytes, 4 * first.size_bytes)

    def test_region_without_an_entry_gets_the_version_all_the_same(self) -> None:
        # The entries of one region are all away.  Its agents draw what the others bring
        # to the links between regions, and send it to each other.
        case = replace(self.case, caches={"centro": 1, "occidente": 3})
        self.fleet = create_fleet(case)
        _, self.fleet.objects = make_weights(case.chunk_count, case.chunk_bytes)
        self.fleet.set_views(MODEL)
        self.begin()
        self.finish()
        self.assertLessEqual(self.fleet.origin_bytes, 1.1 * self.manifest.size_bytes)


def missing_digests(agent: FleetAgent, manifest: Manifest) -> set[str]:
    return {d for d in manifest.chunk_digests if agent.decide.object_bytes(d) is None}


def count_across(fleet: Fleet) -> int:
    return sum(link.sent_bytes for link in fleet.regions.values())


def restart(fleet: Fleet, name: str, manifest: Manifest) -> FleetAgent:
    """Let a cache come back with nothing, under its old name."""
    before = fleet.agents[name]
    before.is_dead = True
    successor = FleetAgent(fleet, before.peer, fleet.create(before.peer))
    successor.up, successor.down = before.up, before.down
    fleet.agents[name] = successor
    others = [a.peer for a in fleet.live if a is not successor]
    successor.decide.set_peers(MODEL, others, fleet.events.now_s)
    successor.decide.register_version(manifest, fleet.events.now_s)
    successor.pump()
    return successor


if __name__ == "__main__":
    unittest.main()
