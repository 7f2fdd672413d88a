"""Tests of the freshness guarantee under faults.

No daemon may start work in a zone long after the zone was taken out, and the version
that a daemon holds may not revert.
"""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspar.configuration import ConfigurationDocument, ZoneState
from reedspar.configuration.tests.fleet import Fleet, Node
from reedspar.errors import InvariantError
from reedspar.links import Role

REGIONS = {"kingston-a": "east", "kingston-b": "east", "montego-a": "west"}
ZONES = tuple(REGIONS)
NODES_PER_ZONE = 3
FRESHNESS_S = 4.0
"""Default of the `freshness_s` setting, which the simulated daemons use."""
ZONE_PROPAGATION_S = 1.0
"""Assumed time for a version to reach all running daemons of a zone."""
RECOVERY_S = 8.0


class FaultSimulation:
    """A small fleet, its active faults, and invariants checked after every event."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.partitioned_zone_pairs: set[frozenset[str]] = set()
        self.isolated: set[str] = set()
        self.first_known_s: dict[int, float] = {}
        self.held: dict[tuple[str, int], int] = {}
        self.out_since_version: dict[str, int] = {}
        self.fleet = Fleet(
            REGIONS,
            seed,
            is_partitioned=self.is_partitioned,
            observe=self.observe,
            loss=0.02,
        )
        names = [
            self.fleet.add(f"{zone}-{i}", Role.ENTRY, zone).name
            for zone in ZONES
            for i in range(NODES_PER_ZONE)
        ]
        for i, name in enumerate(names):
            for other in names[:i]:
                self.fleet.link(name, other)
        self.nodes = [self.fleet.nodes[name] for name in names]
        self.key_value = self.fleet.key_value
        self.key_value.max_read_staleness_s = 0.5
        self.write()
        self.fleet.start()
        self.fleet.run_for(4.0)

    def is_partitioned(self, a: Node, b: Node) -> bool:
        if a.name in self.isolated or b.name in self.isolated:
            return True
        return frozenset((a.zone, b.zone)) in self.partitioned_zone_pairs

    def write(self) -> None:
        version = self.key_value.version + 1
        zone = self.rng.choice(ZONES)
        if zone in self.out_since_version:
            del self.out_since_version[zone]
        else:
            self.out_since_version[zone] = version
        zones = dict.fromkeys(self.out_since_version, ZoneState.OUT)
        self.key_value.write(ConfigurationDocument(version=version, zones=zones))

    def observe(self, node: Node) -> None:
        controller = node.controller
        now_s = self.fleet.clock.now_s()
        process = (node.name, node.incarnation)
        version = controller.version
        assert version >= self.held.get(process, 0), (
            f"{process} reverted to version {version}"
        )
        self.held[process] = version
        self.first_known_s.setdefault(version, now_s)
        for zone, out_version in self.out_since_version.items():
            first_known_s = self.first_known_s.get(out_version, now_s)
            if (
                version < out_version
                and now_s - first_known_s > FRESHNESS_S + ZONE_PROPAGATION_S
            ):
                refusal = controller.check_work_allowed(zone)
                assert refusal is not None, (
                    f"{process} holds version {version} and starts work in {zone} "
                    f"{now_s - first_known_s:.1f} s after version {out_version}"
                )

    def apply(self, fault: str) -> None:
        node = self.rng.choice(self.nodes)
        zone = self.rng.choice(ZONES)
        if fault == "write":
            self.write()
        elif fault == "freeze":
            self.fleet.freeze(node, self.rng.uniform(0.2, 12.0))
        elif fault == "restart":
            node.restart()
        elif fault == "cold_start":
            for each in self.nodes:
                each.restart()
        elif fault == "service_down":
            self.key_value.is_down = not self.key_value.is_down
        elif fault == "service_cut":
            # The guarantee assumes that a daemon isolated from its zone cannot reach
            # the service either, so isolated daemons stay cut off from it.
            self.key_value.unreachable_from ^= {
                each.name for each in self.nodes_in_zone(zone)
            }
            self.key_value.unreachable_from |= self.isolated
        elif fault == "zone_pair_cut":
            self.partitioned_zone_pairs ^= {frozenset(self.rng.sample(ZONES, 2))}
        else:
            self.toggle_isolation(node)

    def toggle_isolation(self, node: Node) -> None:
        self.isolated ^= {node.name}
        if node.name in self.isolated:
            self.key_value.unreachable_from |= {node.name}

    def nodes_in_zone(self, zone: str) -> list[Node]:
        return [node for node in self.nodes if node.zone == zone]

    def heal(self) -> None:
        self.partitioned_zone_pairs.clear()
        self.isolated.clear()
        self.key_value.unreachable_from.clear()
        self.key_value.is_down = False
        # A process is stopped for up to 12 s.
        self.fleet.run_for(12.0 + RECOVERY_S)


FAULTS = (
    "write",
    "freeze",
    "restart",
    "cold_start",
    "service_down",
    "service_cut",
    "zone_pair_cut",
    "isolate",
)
STEPS = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.floats(0.5, 8.0)), min_size=3, max_size=14
)


class HistoriesTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(seed=st.integers(0, 2**32), steps=STEPS)
    def test_random_fault_sequence(
        self, seed: int, steps: list[tuple[str, float]]
    ) -> None:
        # Daemons are stopped, restarted and cut off from each other and from the
        # key-value service, while operators take zones out and in.  A request that
        # starts in a zone that was taken out may lose its machine, and a version
        # that reverts would put such a zone back in.
        simulation = FaultSimulation(seed)
        for fault, wait_s in steps:
            simulation.apply(fault)
            simulation.fleet.run_for(wait_s)
        simulation.heal()
        for node in simulation.nodes:
            self.assertEqual(node.controller.version, simulation.key_value.version)
            self.assertTrue(node.controller.is_ready, node.name)


class FreshnessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.simulation = FaultSimulation(seed=5)

    def refused(self) -> list[str]:
        # No document takes this zone out; only lack of freshness refuses work.
        return [
            node.name
            for node in self.simulation.nodes
            if node.controller.check_work_allowed("kingston-c") is not None
        ]

    def test_key_value_outage_alone_refuses_no_work(self) -> None:
        # The key-value service is down for ten minutes.  If freshness depended on
        # it alone, all requests would be refused although nothing has changed.
        self.simulation.key_value.is_down = True
        for _ in range(600):
            self.simulation.fleet.run_for(1.0)
            self.assertEqual(self.refused(), [])

    def test_restarted_process_learns_version_from_peers_in_an_outage(self) -> None:
        self.simulation.key_value.is_down = True
        self.simulation.fleet.run_for(5.0)
        for node in self.simulation.nodes:
            node.restart()
            self.simulation.fleet.run_for(4.0)
        self.assertEqual(self.refused(), [])

    def test_fleet_started_during_an_outage_serves_nothing(self) -> None:
        # All processes start while the service is down, so none knows the version.
        # Serving anyway could send work to a zone that was taken out.
        self.simulation.key_value.is_down = True
        for node in self.simulation.nodes:
            node.restart()
        self.simulation.fleet.run_for(20.0)
        self.assertEqual(len(self.refused()), len(self.simulation.nodes))
        self.simulation.key_value.is_down = False
        self.simulation.fleet.run_for(8.0)
        self.assertEqual(self.refused(), [])

    def test_cut_off_zone_stops_within_freshness_limit_and_others_serve(self) -> None:
        # A zone cannot reach the service or the other two zones.  An operator may
        # have taken it out meanwhile, which it cannot learn.
        simulation = self.simulation
        cut = {node.name for node in simulation.nodes_in_zone("montego-a")}
        simulation.partitioned_zone_pairs = {
            frozenset(("montego-a", zone)) for zone in ZONES[:2]
        }
        simulation.key_value.unreachable_from = set(cut)
        simulation.fleet.run_for(FRESHNESS_S)
        self.assertEqual(set(self.refused()), cut)
        simulation.heal()
        self.assertEqual(self.refused(), [])

    def test_zone_cut_off_from_peers_serves_while_it_reaches_the_service(self) -> None:
        self.simulation.partitioned_zone_pairs = {
            frozenset(("montego-a", zone)) for zone in ZONES[:2]
        }
        for _ in range(30):
            self.simulation.fleet.run_for(1.0)
            self.assertEqual(self.refused(), [])

    def test_late_answer_of_a_patch_does_not_revert_the_version(self) -> None:
        # The answer to an accepted patch arrives after a peer has sent a later
        # version.  The operator must still see the patch accepted, without a revert.
        controller = self.simulation.nodes[0].controller
        controller.adopt(ConfigurationDocument(version=9))
        controller.adopt_if_newer(ConfigurationDocument(version=8))
        self.assertEqual(controller.version, 9)
        with self.assertRaises(InvariantError):
            controller.adopt(ConfigurationDocument(version=8))

    def test_frames_delayed_in_a_socket_are_no_fresh_evidence(self) -> None:
        # A process is stopped for a minute while frames with recent evidence wait in
        # its socket.  If their ages were taken as current, the process could start
        # work in a zone that was taken out during the stop.
        simulation = self.simulation
        node = simulation.nodes[0]
        simulation.fleet.freeze(node, 60.0)
        simulation.fleet.run_for(1.0)
        simulation.isolated.add(node.name)
        simulation.key_value.unreachable_from.add(node.name)
        simulation.fleet.run_for(58.95)
        self.assertTrue(node.is_frozen)
        simulation.fleet.run_for(0.3)
        self.assertFalse(node.is_frozen)
        self.assertIn(node.name, self.refused())


if __name__ == "__main__":
    unittest.main()
