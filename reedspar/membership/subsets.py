"""Deterministic subsetting: chooses which links a daemon opens.

An agent dials a few entries of its own zone, so that every agent has the same number of
links, whatever the number of daemons.  An entry dials a few agents of each pool in
each zone, so that it can reach every zone.  Both choose by rendezvous hashing, so that
a daemon that starts or stops changes only its own links.  Costs and rejected
alternatives are described in docs/design/membership.md.
"""

from collections import defaultdict
from collections.abc import Iterable

from reedspar.platform import InstanceRecord
from reedspar.utils import rank_by_rendezvous

__all__ = ["choose_agents", "choose_entries", "choose_neighbours"]

ENTRY_LINKS_PER_AGENT = 4
AGENT_LINKS_PER_POOL = 8
"""Number of agents that an entry dials in each pool, spread over the zones."""
NEIGHBOUR_COUNT = 2


def choose_entries(
    own: InstanceRecord, entries: Iterable[InstanceRecord]
) -> list[InstanceRecord]:
    """Return the entries that an agent dials, preferring those of its zone."""
    records = list(entries)
    same_zone = [record for record in records if record.zone == own.zone]
    chosen = _rank(own, same_zone)[:ENTRY_LINKS_PER_AGENT]
    if len(chosen) < ENTRY_LINKS_PER_AGENT:
        other_zones = [record for record in records if record.zone != own.zone]
        chosen += _rank(own, other_zones)[: ENTRY_LINKS_PER_AGENT - len(chosen)]
    return chosen


def choose_agents(
    own: InstanceRecord, agents: Iterable[InstanceRecord]
) -> list[InstanceRecord]:
    """Return the agents that an entry dials: a few of each pool in each zone."""
    by_pool: dict[str, dict[str, list[InstanceRecord]]] = defaultdict(dict)
    for record in agents:
        by_pool[record.pool].setdefault(record.zone, []).append(record)
    chosen = []
    for zones in by_pool.values():
        per_zone = max(1, -(-AGENT_LINKS_PER_POOL // len(zones)))
        for records in zones.values():
            chosen += _rank(own, records)[:per_zone]
    return chosen


def choose_neighbours(
    own: InstanceRecord, entries: Iterable[InstanceRecord]
) -> list[InstanceRecord]:
    """Return the other entries that an entry dials, to connect the gossip network."""
    others = [record for record in entries if record.name != own.name]
    return _rank(own, others)[:NEIGHBOUR_COUNT]


def _rank(
    own: InstanceRecord, records: Iterable[InstanceRecord]
) -> list[InstanceRecord]:
    by_name = {record.name: record for record in records}
    return [by_name[name] for name in rank_by_rendezvous(own.name, by_name)]
