"""Measure the time until all targets have a version, and the traffic it causes.

The agents run the product's distribution code in one process, in virtual time, over
simulated links with limited rates.  Sizes and rates are divided by 16, which leaves
the times the same.  The designs are "swarm", "hashed" and "origin_only", the baseline
in which every target reads from the origin.  Times are compared with the physical
bound: the largest of the time for a copy over a machine's link, for the copies that
the origin sends over its link, and for the copies between regions over a region link.
"""

import argparse
import json
import random
from dataclasses import dataclass
from typing import Any

from reedspar.weights import WeightPeer
from reedspar.weights.distribution import Distribution
from reedspar.weights.limits import SwarmLimits
from reedspar.weights.swarm import SwarmDistribution

from .hashed_distribution import HashedDistribution
from .origin_only_distribution import OriginOnlyDistribution
from .simulated_links import LinkRates
from .weight_agents import Fleet, make_weights

MODEL = "quotes"
REGIONS = ("guate-centro", "occidente", "oriente")
SCALE = 16
CHUNK_BYTES = 256 * 1024 // SCALE
PIECE_BYTES = 64 * 1024 // SCALE
MACHINE_BYTES_PER_S = 12_500_000 / SCALE
LINK_RATES = {
    "machine": LinkRates(
        MACHINE_BYTES_PER_S, 8 * MACHINE_BYTES_PER_S, 2 * MACHINE_BYTES_PER_S
    ),
    "region": LinkRates(
        MACHINE_BYTES_PER_S, MACHINE_BYTES_PER_S / 10, 2 * MACHINE_BYTES_PER_S
    ),
}
TIME_LIMIT_S = 2000.0


@dataclass(frozen=True, slots=True)
class RunParameters:
    """Parameters of one run."""

    design: str
    links: str
    targets: int
    chunks: int
    event: str = ""
    seed: int = 1


def create_distribution(parameters: RunParameters, peer: WeightPeer) -> Distribution:
    """Return an agent's distribution of the chosen design."""
    rates = LINK_RATES[parameters.links]
    if parameters.design == "origin_only":
        return OriginOnlyDistribution()
    if parameters.design == "hashed":
        return HashedDistribution(peer, REGIONS[0], 3.0)
    limits = SwarmLimits(
        origin_region=REGIONS[0],
        machine_bytes_per_s=rates.machine_bytes_per_s,
        region_bytes_per_s=rates.region_bytes_per_s,
        memory_bytes=64 * 1024 * 1024 // SCALE,
        piece_bytes=PIECE_BYTES,
    )
    return SwarmDistribution(
        peer, limits, random.Random(f"{parameters.seed} {peer.name}")
    )


def compute_bounds(parameters: RunParameters) -> dict[str, float]:
    """Return the physical bounds, in seconds.

    `star_s` is for one copy over each link from the origin's region.  `exchange_s` is
    for regions that also exchange parts of the copy with each other.
    """
    rates = LINK_RATES[parameters.links]
    copy_bytes = parameters.chunks * CHUNK_BYTES
    common_s = max(
        copy_bytes / rates.machine_bytes_per_s, copy_bytes / rates.origin_bytes_per_s
    )
    across_s = copy_bytes / rates.region_bytes_per_s
    return {
        "star_s": max(common_s, across_s),
        "exchange_s": max(common_s, across_s / (len(REGIONS) - 1)),
        "origin_only_s": max(
            common_s, parameters.targets * copy_bytes / rates.origin_bytes_per_s
        ),
    }


def run_distribution(parameters: RunParameters) -> dict[str, Any]:
    """Distribute a version with the given parameters and return the figures."""
    rng = random.Random(parameters.seed)
    peers = [
        WeightPeer(f"agent-{i}", REGIONS[i % 3], f"{REGIONS[i % 3]}-a")
        for i in range(parameters.targets)
    ]
    fleet = Fleet(
        peers,
        LINK_RATES[parameters.links],
        PIECE_BYTES,
        lambda peer: create_distribution(parameters, peer),
        corrupt_share=0.01 if parameters.event == "corrupt" else 0.0,
        seed=parameters.seed,
    )
    manifest, fleet.objects = make_weights(parameters.chunks, CHUNK_BYTES)
    bounds = compute_bounds(parameters)
    bound_s = bounds["exchange_s"]
    fleet.set_views(MODEL)
    for agent in fleet.live:
        agent.fetch_version(manifest)
    copy_bytes = manifest.size_bytes
    changed_s = 0.0
    if parameters.event == "kill":
        fleet.events.run(fleet.is_finished, bound_s / 2)
        victims = rng.sample(fleet.live, parameters.targets // 10)
        fleet.kill(victims, MODEL)
    elif parameters.event == "change":
        fleet.events.run(fleet.is_finished, bound_s / 2)
        changed_s = fleet.events.now_s
        manifest, objects = make_weights(
            parameters.chunks, CHUNK_BYTES, 2, parameters.chunks // 2
        )
        fleet.objects.update(objects)
        for agent in fleet.live:
            agent.distribution.remove_version(
                find_first_root_digest(agent, manifest), fleet.events.now_s
            )
            agent.fetch_version(manifest)
    is_done = fleet.events.run(fleet.is_finished, TIME_LIMIT_S)
    return describe(parameters, fleet, bounds, copy_bytes, is_done, changed_s)


def find_first_root_digest(agent: Any, manifest: Any) -> str:
    """Return the root digest of the first version."""
    first, _ = make_weights(len(manifest.chunks), CHUNK_BYTES)
    return first.root_digest


def describe(
    parameters: RunParameters,
    fleet: Fleet,
    bounds: dict[str, float],
    copy_bytes: int,
    is_done: bool,
    changed_s: float,
) -> dict[str, Any]:
    """Return the figures of a run."""
    finish_times_s = sorted(
        a.finished_s for a in fleet.live if a.finished_s is not None
    )
    last_s = finish_times_s[-1] - changed_s if is_done else None
    links = {
        f"{a}>{b}": r.sent_bytes / copy_bytes
        for (a, b), r in fleet.region_links.items()
    }
    control_bytes = [agent.control_bytes for agent in fleet.live]
    result = {
        "design": parameters.design,
        "links": parameters.links,
        "targets": parameters.targets,
        "chunks": parameters.chunks,
        "event": parameters.event,
        "finished": is_done,
        "time_s": round(last_s, 3) if last_s else None,
        "half_s": round(finish_times_s[len(finish_times_s) // 2] - changed_s, 3)
        if finish_times_s
        else None,
        "bound_star_s": round(bounds["star_s"], 3),
        "bound_exchange_s": round(bounds["exchange_s"], 3),
        "over_star": round(last_s / bounds["star_s"], 3) if last_s else None,
        "over_exchange": round(last_s / bounds["exchange_s"], 3) if last_s else None,
        "origin_copies": round(fleet.origin_bytes / copy_bytes, 3),
        "region_link_copies_max": round(max(links.values(), default=0.0), 3),
        "sent_copies_max": round(
            max(a.uplink.sent_bytes for a in fleet.agents.values()) / copy_bytes, 3
        ),
    }
    if last_s:
        result["control_bytes_per_s"] = round(max(control_bytes) / (last_s + changed_s))
    return result


def main() -> None:
    """Run all combinations; print a JSON line for each, and one with all last."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--targets", type=int, nargs="*", default=[24, 96, 240])
    parser.add_argument("--chunks", type=int, default=128)
    parser.add_argument("--designs", nargs="*", default=["hashed", "swarm"])
    parser.add_argument("--links", nargs="*", default=list(LINK_RATES))
    parser.add_argument(
        "--events", nargs="*", default=["", "kill", "corrupt", "change"]
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    results = []
    for links in options.links:
        for targets in options.targets:
            for event in options.events:
                for design in options.designs:
                    parameters = RunParameters(
                        design, links, targets, options.chunks, event, options.seed
                    )
                    result = run_distribution(parameters)
                    results.append(result)
                    print(json.dumps(result), flush=True)
    print(json.dumps({"bench": "weights_distribution", "results": results}))


if __name__ == "__main__":
    main()
