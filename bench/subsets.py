"""Compare ways to choose links between entries and agents by load balance and churn.

``python -m bench.subsets [--seed N]``

The three ways: the product's, in which agents choose entries of their zone and entries
choose agents of other zones; a random choice by each entry, with the same number of
links; and deterministic subsetting, in which each entry links to an arc of the ring of
agents.  Churn is the number of links that differ after one agent or one entry is
removed.
"""

import argparse
import random
import statistics
from collections import Counter
from collections.abc import Callable
from typing import Any

from bench.measuring import print_result
from reedspar.membership.subsets import choose_agents, choose_entries
from reedspar.platform import InstanceRecord

__all__ = ["main"]

Records = list[InstanceRecord]
Links = set[tuple[str, str]]
"""Pairs of an entry and an agent."""
SIZES = {"small": (9, 9, 3), "middle": (59, 190, 11), "full": (590, 1900, 11)}
"""Numbers of entries, agents and zones."""
REMOVALS_PER_ROLE = 5


def make_records(count: int, role: str, zone_count: int) -> Records:
    """Return daemons that are assigned to the zones in turn."""
    pool = "quotes" if role == "agent" else ""
    return [
        InstanceRecord(
            f"{role}-{i}",
            role,
            f"zone-{i % zone_count}",
            "region",
            "127.0.0.1",
            1,
            2,
            pool=pool,
        )
        for i in range(count)
    ]


def link_by_product(entries: Records, agents: Records) -> Links:
    """Return the links that the product's membership opens."""
    links = {
        (entry.name, agent.name)
        for agent in agents
        for entry in choose_entries(agent, entries)
    }
    links |= {
        (entry.name, agent.name)
        for entry in entries
        for agent in choose_agents(entry, agents)
    }
    return links


def create_random_linker(
    per_entry: int, seed: int
) -> Callable[[Records, Records], Links]:
    """Return a function that links each entry to random agents."""

    def link(entries: Records, agents: Records) -> Links:
        links = set()
        for entry in entries:
            rng = random.Random(f"{seed}{entry.name}")
            names = [agent.name for agent in agents]
            for name in rng.sample(names, min(per_entry, len(names))):
                links.add((entry.name, name))
        return links

    return link


def create_arc_linker(per_entry: int) -> Callable[[Records, Records], Links]:
    """Return a function that links each entry to an arc of the ordered agents."""

    def link(entries: Records, agents: Records) -> Links:
        names = sorted(agent.name for agent in agents)
        links = set()
        for i, entry in enumerate(sorted(entry.name for entry in entries)):
            start = i * len(names) // len(entries)
            for j in range(min(per_entry, len(names))):
                links.add((entry, names[(start + j) % len(names)]))
        return links

    return link


def measure_load(entries: Records, agents: Records, links: Links) -> dict[str, float]:
    """Return how evenly work spreads over the agents.

    Each entry spreads one unit of work over its agents in its own zone, or over all of
    its agents if there are none in the zone.
    """
    zone_of = {record.name: record.zone for record in (*entries, *agents)}
    by_entry: dict[str, list[str]] = {entry.name: [] for entry in entries}
    for entry, agent in sorted(links):
        by_entry[entry].append(agent)
    load = Counter({agent.name: 0.0 for agent in agents})
    zones = {agent.zone for agent in agents}
    uncovered = 0
    for entry, names in by_entry.items():
        same_zone_names = [name for name in names if zone_of[name] == zone_of[entry]]
        chosen = same_zone_names or names
        for name in chosen:
            load[name] += 1 / len(chosen)
        uncovered += len(zones - {zone_of[name] for name in names})
    values = list(load.values())
    mean = statistics.fmean(values)
    return {
        "load_max_to_mean": round(max(values) / mean, 3),
        "load_deviation_to_mean": round(statistics.pstdev(values) / mean, 3),
        "agents_without_work": sum(1 for value in values if not value),
        "zones_out_of_reach": uncovered,
    }


def measure_churn(
    link: Callable[[Records, Records], Links],
    entries: Records,
    agents: Records,
    links: Links,
    seed: int,
) -> dict[str, float]:
    """Return the mean number of links that change if one instance is removed."""
    rng = random.Random(seed)
    agent_changes = [
        len(links ^ link(entries, [a for a in agents if a is not removed]))
        for removed in rng.sample(agents, REMOVALS_PER_ROLE)
    ]
    entry_changes = [
        len(links ^ link([e for e in entries if e is not removed], agents))
        for removed in rng.sample(entries, REMOVALS_PER_ROLE)
    ]
    return {
        "links_changed_by_agent": statistics.fmean(agent_changes),
        "links_changed_by_entry": statistics.fmean(entry_changes),
    }


def measure(seed: int, name: str) -> dict[str, Any]:
    """Return the results of the three ways for one size."""
    entry_count, agent_count, zone_count = SIZES[name]
    entries = make_records(entry_count, "entry", zone_count)
    agents = make_records(agent_count, "agent", zone_count)
    product = link_by_product(entries, agents)
    per_entry = round(len(product) / entry_count)
    strategies = {
        "product": link_by_product,
        "random": create_random_linker(per_entry, seed),
        "arc": create_arc_linker(per_entry),
    }
    result: dict[str, Any] = {}
    for strategy, link in strategies.items():
        links = link(entries, agents)
        degrees = Counter(agent for _, agent in links)
        result[strategy] = {
            "links": len(links),
            "links_of_agent_min": min(degrees[agent.name] for agent in agents),
            "links_of_agent_max": max(degrees.values()),
            **measure_load(entries, agents, links),
            **measure_churn(link, entries, agents, links, seed),
        }
    return result


def main() -> None:
    """Measure each size and print one JSON line last."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    result: dict[str, Any] = {"seed": options.seed}
    for name in SIZES:
        result[name] = measure(options.seed, name)
        for strategy, figures in result[name].items():
            print(name, strategy, figures, flush=True)
    print_result(result)


if __name__ == "__main__":
    main()
