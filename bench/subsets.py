"""Evenness and churn of links between entries and agents, beside random choice.

``python -m bench.subsets [--seed N]``

Three ways: the product's (agents choose entries of their zone, entries choose
agents of other zones), a random choice by each entry with as many links, and
an arc of the ring of agents for each entry ("deterministic subsetting").
Churn counts the links that differ after one agent, or one entry, is removed.
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
CHANGES = 5


def make_records(count: int, role: str, zone_count: int) -> Records:
    """Return daemons spread over the zones in turn."""
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
    """Return the links that membership opens."""
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


def make_random_links(per_entry: int, seed: int) -> Callable[[Records, Records], Links]:
    """Return a choice in which each entry draws its agents at random."""

    def link(entries: Records, agents: Records) -> Links:
        links = set()
        for entry in entries:
            rng = random.Random(f"{seed}{entry.name}")
            names = [agent.name for agent in agents]
            for name in rng.sample(names, min(per_entry, len(names))):
                links.add((entry.name, name))
        return links

    return link


def make_arc_links(per_entry: int) -> Callable[[Records, Records], Links]:
    """Return a choice in which each entry takes an arc of the agents in order."""

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
    """Return how evenly one unit of each entry's work spreads, own zone first."""
    zone_of = {record.name: record.zone for record in (*entries, *agents)}
    by_entry: dict[str, list[str]] = {entry.name: [] for entry in entries}
    for entry, agent in sorted(links):
        by_entry[entry].append(agent)
    load = Counter({agent.name: 0.0 for agent in agents})
    zones = {agent.zone for agent in agents}
    uncovered = 0
    for entry, names in by_entry.items():
        near = [name for name in names if zone_of[name] == zone_of[entry]]
        chosen = near or names
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
    """Return the mean count of links that change when one instance goes."""
    rng = random.Random(seed)
    agent_changes = [
        len(links ^ link(entries, [a for a in agents if a is not gone]))
        for gone in rng.sample(agents, CHANGES)
    ]
    entry_changes = [
        len(links ^ link([e for e in entries if e is not gone], agents))
        for gone in rng.sample(entries, CHANGES)
    ]
    return {
        "links_changed_by_agent": statistics.fmean(agent_changes),
        "links_changed_by_entry": statistics.fmean(entry_changes),
    }


def measure(seed: int, name: str) -> dict[str, Any]:
    """Return the figures of the three ways for one size."""
    entry_count, agent_count, zone_count = SIZES[name]
    entries = make_records(entry_count, "entry", zone_count)
    agents = make_records(agent_count, "agent", zone_count)
    product = link_by_product(entries, agents)
    per_entry = round(len(product) / entry_count)
    ways = {
        "product": link_by_product,
        "random": make_random_links(per_entry, seed),
        "arc": make_arc_links(per_entry),
    }
    result: dict[str, Any] = {}
    for way, link in ways.items():
        links = link(entries, agents)
        degrees = Counter(agent for _, agent in links)
        result[way] = {
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
        for way, figures in result[name].items():
            print(name, way, figures, flush=True)
    print_result(result)


if __name__ == "__main__":
    main()
