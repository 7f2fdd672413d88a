"""Measure the time from a version's acceptance until it is in force, in virtual time.

``python -m bench.configuration [--seed N] [--rounds N] [--sizes small,middle,full]``

Simulates the configuration controllers without processes or a network.  A generator
with the given seed decides on latencies, lost messages and frozen processes.  In the
baseline, every daemon watches the key-value service.
"""

import argparse
import functools
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bench.measuring import print_result
from reedspar.configuration import (
    ConfigurationDocument,
    PatchRecord,
    PoolConfiguration,
    PoolKind,
    WorkspaceConfiguration,
    ZoneState,
    register_messages,
)
from reedspar.configuration.messages import ConfigurationOffer, FreshnessBeacon
from reedspar.configuration.tests.fleet import Fleet, Node
from reedspar.configuration.watching import WATCHERS_PER_ZONE
from reedspar.links import Role
from reedspar.membership.subsets import (
    choose_agents,
    choose_entries,
    choose_neighbours,
)
from reedspar.messages import MessageRegistry, Sender, encode_frame
from reedspar.platform import InstanceRecord

__all__ = ["main"]

FROZEN_SHARE = 0.1
MESSAGE_LOSS_SHARE = 0.05
WARM_UP_S = 15.0
ROUND_DURATION_S = 10.0
ZONE_OUT_LIMIT_S = 3.0
STEADY_DURATION_S = 10.0
FRAME_LENGTH_BYTES = 4
UNLIMITED_WATCHERS = 1_000_000


@dataclass(frozen=True)
class FleetSize:
    """Size of a fleet to measure."""

    entries: int
    agents: int
    zones: int
    regions: int


SIZES = {
    "small": FleetSize(9, 9, 3, 3),
    "middle": FleetSize(59, 190, 11, 5),
    "full": FleetSize(590, 1900, 11, 5),
}


def make_frame_sizer() -> Callable[[Sender, Any], int]:
    """Return a function that computes the size of a message's frame in bytes.

    Each combination of message class and size of the variable part is encoded once.
    """
    registry = MessageRegistry()
    register_messages(registry)
    known: dict[tuple[type, int], int] = {}

    def measure(sender: Sender, message: Any) -> int:
        size = 0
        if isinstance(message, FreshnessBeacon):
            size = len(message.attestations)
        elif isinstance(message, ConfigurationOffer):
            size = len(message.document)
        shape = (type(message), size)
        if shape not in known:
            frame = encode_frame(registry, sender, message)
            known[shape] = len(frame) + FRAME_LENGTH_BYTES
        return known[shape]

    return measure


def make_document(version: int, zone_out: str) -> ConfigurationDocument:
    """Return a document with up to 200 records of earlier versions."""
    pools = {f"pool-{i}": PoolConfiguration(kind=PoolKind.PLAIN) for i in range(20)}
    workspaces = {f"shop-{i}": WorkspaceConfiguration(share=2.0) for i in range(50)}
    first = max(version - 200, 0)
    history = tuple(
        PatchRecord(
            patch_id=f"patch-{i:032d}",
            version=i,
            author="operator",
            summary="take a zone out",
            accepted_at="2026-12-02T23:00:00+00:00",
        )
        for i in range(first + 1, version + 1)
    )
    zones = {zone_out: ZoneState.OUT} if zone_out else {}
    return ConfigurationDocument(
        version=version,
        pools=pools,
        workspaces=workspaces,
        zones=zones,
        history=history,
    )


def make_fleet(size: FleetSize, seed: int, watchers_per_zone: int) -> Fleet:
    """Return a fleet with the links that membership opens."""
    zones = [f"zone-{i:02d}" for i in range(size.zones)]
    regions = {zone: f"region-{i % size.regions}" for i, zone in enumerate(zones)}
    fleet = Fleet(
        regions,
        seed,
        MESSAGE_LOSS_SHARE,
        watchers_per_zone=watchers_per_zone,
        measure=make_frame_sizer(),
    )
    entries, agents = (
        [
            InstanceRecord(
                f"{role.value}-{i}",
                role.value,
                zone := zones[i % size.zones],
                regions[zone],
                "127.0.0.1",
                1,
                2,
                pool="" if role is Role.ENTRY else "quotes",
            )
            for i in range(count)
        ]
        for role, count in ((Role.ENTRY, size.entries), (Role.AGENT, size.agents))
    )
    for record in (*entries, *agents):
        fleet.add(record.name, Role(record.role), record.zone)
    for record in agents:
        for other in choose_entries(record, entries):
            fleet.link(record.name, other.name)
    for record in entries:
        chosen = choose_agents(record, agents) + choose_neighbours(record, entries)
        for other in chosen:
            fleet.link(record.name, other.name)
    return fleet


class AdoptionRound:
    """Acceptance of one version while some of the processes are frozen."""

    def __init__(self, fleet: Fleet, version: int, zone: str) -> None:
        self.fleet = fleet
        self.version = version
        self.zone = zone
        self.resumed_s: dict[str, float] = {}
        self.in_force_s: dict[str, float] = {}
        self.late = 0

    def run(self) -> None:
        fleet = self.fleet
        nodes = list(fleet.nodes.values())
        for node in fleet.rng.sample(nodes, int(len(nodes) * FROZEN_SHARE)):
            delay_s = fleet.rng.uniform(0.0, 4.0)
            fleet.call_after(delay_s, functools.partial(self._freeze_node, node))
        fleet.run_for(2.0)
        self.accepted_s = fleet.clock.now_s()
        fleet.observe = self._record_adoption
        fleet.key_value.write(make_document(self.version, self.zone))
        fleet.run_for(ROUND_DURATION_S)
        fleet.observe = lambda node: None

    def _freeze_node(self, node: Node) -> None:
        duration_s = self.fleet.rng.uniform(0.5, 3.0)
        self.fleet.freeze(node, duration_s)
        self.resumed_s[node.name] = self.fleet.clock.now_s() + duration_s

    def _record_adoption(self, node: Node) -> None:
        now_s = self.fleet.clock.now_s()
        if node.controller.version >= self.version:
            self.in_force_s.setdefault(node.name, now_s)
            return
        is_late = now_s - self.accepted_s > ZONE_OUT_LIMIT_S
        if is_late and node.controller.check_work_allowed(self.zone) is None:
            self.late += 1

    def list_adoption_times_s(self, *, since_resumed: bool) -> list[float]:
        """Return the time until the version was in force, for each daemon.

        If `since_resumed`, a daemon that resumed after the acceptance is timed from
        then.
        """
        times = []
        for name, at_s in self.in_force_s.items():
            since_s = self.accepted_s
            resumed_s = self.resumed_s.get(name, 0.0)
            if since_resumed and since_s < resumed_s <= at_s:
                since_s = resumed_s
            times.append(max(at_s - since_s, 0.0))
        return times


def compute_quantiles(values: list[float]) -> dict[str, float]:
    """Return the 50th, 99th and 99.9th percentiles and the maximum."""
    ordered = sorted(values)
    last = len(ordered) - 1
    shares = (("p50", 0.5), ("p99", 0.99), ("p99_9", 0.999), ("max", 1.0))
    return {
        key: round(ordered[min(int(len(ordered) * q), last)], 3) for key, q in shares
    }


def measure_steady(fleet: Fleet) -> dict[str, float]:
    """Return the costs per daemon and second while the configuration is unchanged."""
    nodes = list(fleet.nodes.values())
    messages = sum(node.sent_messages for node in nodes)
    sent_bytes = sum(node.sent_bytes for node in nodes)
    calls = fleet.key_value.calls
    ages: list[float] = []
    for _ in range(int(STEADY_DURATION_S / 0.5)):
        fleet.run_for(0.5)
        ages += [node.controller.freshness_age_s for node in nodes]
    daemon_seconds = len(nodes) * STEADY_DURATION_S
    messages = sum(node.sent_messages for node in nodes) - messages
    sent_bytes = sum(node.sent_bytes for node in nodes) - sent_bytes
    return {
        "messages_sent_per_s": round(messages / daemon_seconds, 2),
        "bytes_sent_per_s": round(sent_bytes / daemon_seconds, 1),
        "key_value_calls_per_s": round(
            (fleet.key_value.calls - calls) / STEADY_DURATION_S, 1
        ),
        "freshness_age_p99_s": compute_quantiles(ages)["p99"],
        "freshness_age_max_s": compute_quantiles(ages)["max"],
    }


def measure_size(
    size: FleetSize, seed: int, rounds: int, watchers_per_zone: int
) -> dict[str, Any]:
    """Return the results for one fleet."""
    started_s = time.perf_counter()
    fleet = make_fleet(size, seed, watchers_per_zone)
    fleet.key_value.write(make_document(1, ""))
    fleet.start()
    fleet.run_for(WARM_UP_S)
    steady = measure_steady(fleet)
    fleet.key_value.is_down = True
    outage = measure_steady(fleet)
    fleet.key_value.is_down = False
    fleet.run_for(5.0)
    adoption_times_s: list[float] = []
    running: list[float] = []
    late = 0
    missing = 0
    for i in range(rounds):
        adoption_round = AdoptionRound(fleet, i + 2, f"zone-{i % size.zones:02d}")
        adoption_round.run()
        adoption_times_s += adoption_round.list_adoption_times_s(since_resumed=False)
        running += adoption_round.list_adoption_times_s(since_resumed=True)
        late += adoption_round.late
        missing += len(fleet.nodes) - len(adoption_round.in_force_s)
    return {
        "daemons": len(fleet.nodes),
        "links_per_daemon": round(
            sum(len(node.linked) for node in fleet.nodes.values()) / len(fleet.nodes), 1
        ),
        "in_force_s": compute_quantiles(adoption_times_s),
        "in_force_since_running_s": compute_quantiles(running),
        "not_in_force": missing,
        "work_started_after_3_s": late,
        "steady": steady,
        "service_down": outage,
        "took_s": round(time.perf_counter() - started_s, 1),
    }


def main() -> None:
    """Measure the selected sizes and print one JSON line last."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--sizes", default=",".join(SIZES))
    options = parser.parse_args()
    result: dict[str, Any] = {"seed": options.seed, "loss": MESSAGE_LOSS_SHARE}
    result["frozen_share"] = FROZEN_SHARE
    for name in options.sizes.split(","):
        size = SIZES[name]
        figures = measure_size(size, options.seed, options.rounds, WATCHERS_PER_ZONE)
        result[name] = figures
        print(name, figures, flush=True)
        if name != "full":
            key = f"{name}_all_watch"
            result[key] = measure_size(size, options.seed, 1, UNLIMITED_WATCHERS)
            print(key, result[key], flush=True)
    print_result(result)


if __name__ == "__main__":
    main()
