"""Time from acceptance of a version to its being in force, under virtual time.

``python -m bench.configuration [--seed N] [--rounds N] [--sizes small,middle,full]``

Only the decisions run: latency, lost messages and stopped processes are drawn
from the seed.  The baseline lets every daemon watch the key-value service.
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
LOSS = 0.05
WARM_UP_S = 15.0
ROUND_S = 10.0
OUT_BOUND_S = 3.0
STEADY_S = 10.0
FRAME_LENGTH_BYTES = 4
ALL_WATCH = 1_000_000


@dataclass(frozen=True)
class Size:
    """A fleet to measure."""

    entries: int
    agents: int
    zones: int
    regions: int


SIZES = {
    "small": Size(9, 9, 3, 3),
    "middle": Size(59, 190, 11, 5),
    "full": Size(590, 1900, 11, 5),
}


def make_measure() -> Callable[[Sender, Any], int]:
    """Return a function that gives a frame's bytes, encoded once for each shape."""
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
    """Return a document of the size that a full history gives."""
    pools = {f"pool-{i}": PoolConfiguration(kind=PoolKind.PLAIN) for i in range(20)}
    shops = {f"shop-{i}": WorkspaceConfiguration(share=2.0) for i in range(50)}
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
        version=version, pools=pools, workspaces=shops, zones=zones, history=history
    )


def make_fleet(size: Size, seed: int, watchers_per_zone: int) -> Fleet:
    """Return a fleet with the links that membership would open."""
    zones = [f"zone-{i:02d}" for i in range(size.zones)]
    regions = {zone: f"region-{i % size.regions}" for i, zone in enumerate(zones)}
    fleet = Fleet(
        regions,
        seed,
        LOSS,
        watchers_per_zone=watchers_per_zone,
        measure=make_measure(),
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


class Round:
    """One acceptance, with some of the processes stopped around it."""

    def __init__(self, fleet: Fleet, version: int, zone: str) -> None:
        self.fleet = fleet
        self.version = version
        self.zone = zone
        self.thawed_s: dict[str, float] = {}
        self.in_force_s: dict[str, float] = {}
        self.late = 0

    def run(self) -> None:
        fleet = self.fleet
        nodes = list(fleet.nodes.values())
        for node in fleet.rng.sample(nodes, int(len(nodes) * FROZEN_SHARE)):
            delay_s = fleet.rng.uniform(0.0, 4.0)
            fleet.call_after(delay_s, functools.partial(self._freeze, node))
        fleet.run_for(2.0)
        self.accepted_s = fleet.clock.now_s()
        fleet.observe = self._observe
        fleet.key_value.write(make_document(self.version, self.zone))
        fleet.run_for(ROUND_S)
        fleet.observe = lambda node: None

    def _freeze(self, node: Node) -> None:
        duration_s = self.fleet.rng.uniform(0.5, 3.0)
        self.fleet.freeze(node, duration_s)
        self.thawed_s[node.name] = self.fleet.clock.now_s() + duration_s

    def _observe(self, node: Node) -> None:
        now_s = self.fleet.clock.now_s()
        if node.controller.version >= self.version:
            self.in_force_s.setdefault(node.name, now_s)
            return
        is_late = now_s - self.accepted_s > OUT_BOUND_S
        if is_late and node.controller.check_work_allowed(self.zone) is None:
            self.late += 1

    def times_s(self, *, is_running: bool) -> list[float]:
        """Return each daemon's time; from its going on, if `is_running`."""
        times = []
        for name, at_s in self.in_force_s.items():
            since_s = self.accepted_s
            thawed_s = self.thawed_s.get(name, 0.0)
            if is_running and since_s < thawed_s <= at_s:
                since_s = thawed_s
            times.append(max(at_s - since_s, 0.0))
        return times


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the quantiles that the aim names."""
    ordered = sorted(values)
    last = len(ordered) - 1
    shares = (("p50", 0.5), ("p99", 0.99), ("p99_9", 0.999), ("max", 1.0))
    return {
        key: round(ordered[min(int(len(ordered) * q), last)], 3) for key, q in shares
    }


def measure_steady(fleet: Fleet) -> dict[str, float]:
    """Return the cost while nothing changes, a daemon and second."""
    nodes = list(fleet.nodes.values())
    messages = sum(node.sent_messages for node in nodes)
    sent_bytes = sum(node.sent_bytes for node in nodes)
    calls = fleet.key_value.calls
    ages: list[float] = []
    for _ in range(int(STEADY_S / 0.5)):
        fleet.run_for(0.5)
        ages += [node.controller.age_s for node in nodes]
    daemon_seconds = len(nodes) * STEADY_S
    messages = sum(node.sent_messages for node in nodes) - messages
    sent_bytes = sum(node.sent_bytes for node in nodes) - sent_bytes
    return {
        "messages_sent_per_s": round(messages / daemon_seconds, 2),
        "bytes_sent_per_s": round(sent_bytes / daemon_seconds, 1),
        "key_value_calls_per_s": round((fleet.key_value.calls - calls) / STEADY_S, 1),
        "freshness_age_p99_s": quantiles(ages)["p99"],
        "freshness_age_max_s": quantiles(ages)["max"],
    }


def measure_size(
    size: Size, seed: int, rounds: int, watchers_per_zone: int
) -> dict[str, Any]:
    """Return the figures for one fleet."""
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
    raw: list[float] = []
    running: list[float] = []
    late = 0
    missing = 0
    for i in range(rounds):
        trial = Round(fleet, i + 2, f"zone-{i % size.zones:02d}")
        trial.run()
        raw += trial.times_s(is_running=False)
        running += trial.times_s(is_running=True)
        late += trial.late
        missing += len(fleet.nodes) - len(trial.in_force_s)
    return {
        "daemons": len(fleet.nodes),
        "links_per_daemon": round(
            sum(len(node.linked) for node in fleet.nodes.values()) / len(fleet.nodes), 1
        ),
        "in_force_s": quantiles(raw),
        "in_force_since_running_s": quantiles(running),
        "not_in_force": missing,
        "work_started_after_3_s": late,
        "steady": steady,
        "service_down": outage,
        "took_s": round(time.perf_counter() - started_s, 1),
    }


def main() -> None:
    """Measure the sizes asked for and print one JSON line last."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--sizes", default=",".join(SIZES))
    options = parser.parse_args()
    result: dict[str, Any] = {"seed": options.seed, "loss": LOSS}
    result["frozen_share"] = FROZEN_SHARE
    for name in options.sizes.split(","):
        size = SIZES[name]
        figures = measure_size(size, options.seed, options.rounds, WATCHERS_PER_ZONE)
        result[name] = figures
        print(name, figures, flush=True)
        if name != "full":
            key = f"{name}_all_watch"
            result[key] = measure_size(size, options.seed, 1, ALL_WATCH)
            print(key, result[key], flush=True)
    print_result(result)


if __name__ == "__main__":
    main()
