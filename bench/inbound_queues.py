"""Measure how long prompts wait for a target's link while a version arrives over it.

The agents run the product's distribution code in virtual time, over simulated links
with queues.  A prompt for a target waits for everything that is queued on the link to
the target's machine.  This wait is sampled every 10 ms at each target that still
lacks chunks.

Run ``python -m bench.inbound_queues``; the last line is one JSON array.
"""

import json
import random
from collections.abc import Collection, Mapping
from dataclasses import asdict, dataclass, field, replace

from reedspar.links.messages import Role
from reedspar.settings import SiteSettings
from reedspar.weights import WeightPeer
from reedspar.weights.limits import SwarmLimits, create_swarm_limits
from reedspar.weights.swarm import SwarmDistribution

from .simulated_links import LinkRates
from .weight_agents import Fleet, make_weights

__all__ = [
    "CACHED_SCENARIOS",
    "SCENARIOS",
    "DistributionScenario",
    "Outcome",
    "simulate",
]

MODEL = "quotes"
REGIONS = ("centro", "occidente", "oriente")
BYTES_PER_MEGABIT = 1_000_000 / 8
PACKET_BYTES = 1460
SAMPLE_INTERVAL_S = 0.01
TIME_LIMIT_S = 60.0


@dataclass(frozen=True, slots=True)
class DistributionScenario:
    """Number of targets by region, rates of links in Mbit/s, and size of a version."""

    name: str
    targets: Mapping[str, int]
    link_mbps: float
    region_mbps: float
    origin_mbps: float
    chunk_count: int
    chunk_bytes: int
    caches: Mapping[str, int] = field(default_factory=dict)
    """Number of entries by region that cache versions for the targets."""
    cache_mbps: float = 1000.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """Times until targets have the version, and waits of prompts before they do."""

    name: str
    bound_s: float
    """Physical bound: the time for one copy over a target's link."""
    first_s: float
    last_s: float
    mean_wait_s: float
    worst_wait_s: float

    @property
    def over_bound(self) -> float:
        """Return the time until all targets had the version, relative to the bound."""
        return self.last_s / self.bound_s


SCENARIOS = (
    DistributionScenario(
        "large chunks",
        {"centro": 6, "occidente": 5, "oriente": 4},
        link_mbps=4.7,
        region_mbps=13.0,
        origin_mbps=15.0,
        chunk_count=48,
        chunk_bytes=49_152,
    ),
    DistributionScenario(
        "small chunks",
        {"centro": 2, "occidente": 4, "oriente": 4},
        link_mbps=3.65,
        region_mbps=10.0,
        origin_mbps=7.3,
        chunk_count=96,
        chunk_bytes=24_576,
    ),
)
CACHED_SCENARIOS = (
    replace(
        SCENARIOS[0],
        name="large chunks, caches",
        caches={"centro": 1, "occidente": 3, "oriente": 2},
    ),
    replace(
        SCENARIOS[1],
        name="small chunks, caches",
        caches={"centro": 2, "occidente": 4, "oriente": 3},
    ),
    replace(
        SCENARIOS[0],
        name="many, narrow caches",
        targets={"centro": 10, "occidente": 10, "oriente": 10},
        caches={"centro": 4, "occidente": 4, "oriente": 4},
        region_mbps=16.0,
        cache_mbps=20.0,
    ),
)


def create_fleet(scenario: DistributionScenario) -> Fleet:
    """Return the agents of a scenario with their links."""
    limits = _create_limits(scenario, scenario.link_mbps)
    cache_limits = _create_limits(scenario, scenario.cache_mbps)
    caches = [
        WeightPeer(f"{region}-cache-{i}", region, f"{region}-a", is_cache=True)
        for region, count in scenario.caches.items()
        for i in range(count)
    ]
    targets = [
        WeightPeer(f"{region}-{i}", region, f"{region}-a")
        for region, count in scenario.targets.items()
        for i in range(count)
    ]
    rates = LinkRates(
        machine_bytes_per_s=scenario.link_mbps * BYTES_PER_MEGABIT,
        region_bytes_per_s=scenario.region_mbps * BYTES_PER_MEGABIT,
        origin_bytes_per_s=scenario.origin_mbps * BYTES_PER_MEGABIT,
    )

    def create(peer: WeightPeer) -> SwarmDistribution:
        peer_limits = cache_limits if peer.is_cache else limits
        return SwarmDistribution(peer, peer_limits, random.Random(peer.name))

    fleet = Fleet(
        [*caches, *targets], rates, PACKET_BYTES, create, origin_region=REGIONS[0]
    )
    for agent in fleet.live:
        if agent.peer.is_cache:
            agent.set_link(scenario.cache_mbps * BYTES_PER_MEGABIT)
    return fleet


def _create_limits(scenario: DistributionScenario, link_mbps: float) -> SwarmLimits:
    settings = SiteSettings(
        name="agent-0",
        role=Role.ENTRY,
        host="10.1.0.1",
        zone="centro-a",
        region=REGIONS[0],
        zones={"centro-a": REGIONS[0]},
        store="10.200.0.1:8007",
        listen={"callers": "10.1.0.1:1", "peers_port": 2, "metrics_port": 3},
        link_mbps=link_mbps,
        region_link_mbps=scenario.region_mbps,
    )
    return create_swarm_limits(settings)


def simulate(
    scenario: DistributionScenario,
    lost_cache: str = "",
    lost_s: float = 0.0,
    frozen_caches: Collection[str] = (),
) -> Outcome:
    """Distribute a version to every target, and return the times and waits.

    `lost_cache` is killed at `lost_s`, but stays in the views.  `frozen_caches` handle
    no message during the run, and their links stay open.
    """
    fleet = create_fleet(scenario)
    manifest, fleet.objects = make_weights(scenario.chunk_count, scenario.chunk_bytes)
    fleet.set_views(MODEL)
    for agent in fleet.live:
        if agent.peer.is_cache:
            agent.distribution.register_version(manifest, 0.0)
        else:
            agent.fetch_version(manifest)
    targets = [agent for agent in fleet.live if not agent.peer.is_cache]
    if lost_cache:
        lost = fleet.agents[lost_cache]
        fleet.events.at(lost_s, lambda: fleet.kill([lost], MODEL, TIME_LIMIT_S))
    waits: list[float] = []

    def sample_waits() -> None:
        waits.extend(agent.downlink.wait_s() for agent in targets if agent.missing)
        fleet.events.at(fleet.events.now_s + SAMPLE_INTERVAL_S, sample_waits)

    for name in frozen_caches:
        fleet.agents[name].frozen_until_s = TIME_LIMIT_S
    sample_waits()
    if not fleet.events.run(fleet.is_finished, TIME_LIMIT_S):
        raise RuntimeError(f"{scenario.name}: not every target has the version")
    times = [agent.finished_s or 0.0 for agent in targets]
    return Outcome(
        scenario.name,
        manifest.size_bytes / (scenario.link_mbps * BYTES_PER_MEGABIT),
        min(times),
        max(times),
        sum(waits) / len(waits),
        max(waits),
    )


def main() -> None:
    """Simulate every scenario."""
    outcomes = [simulate(scenario) for scenario in (*SCENARIOS, *CACHED_SCENARIOS)]
    for outcome in outcomes:
        print(
            f"{outcome.name:20} all complete after {outcome.last_s:.2f} s, "
            f"{outcome.over_bound:.2f} of the bound; prompts wait "
            f"{outcome.mean_wait_s * 1000:.0f} ms on average, "
            f"{outcome.worst_wait_s * 1000:.0f} ms at most"
        )
    print(json.dumps([asdict(outcome) for outcome in outcomes]))


if __name__ == "__main__":
    main()
