"""Assignment of chunks to agents by rendezvous hashing over the live agents.

Chunks are hashed in two steps, so that the number of hashes after a change of the view
is proportional to the agents, and not to agents times chunks.  Each chunk belongs to
one of a fixed number of buckets, and the first agents in the ranking of its bucket are
its replicas.  Fetches from the origin and between regions are divided into few slots.
A chunk belongs to a slot by its index, which distributes chunks evenly, and each slot
is assigned to the agent with its highest rank.
"""

import heapq
from collections.abc import Iterable

from reedspar.utils import rank_by_rendezvous, rendezvous_score

from .distribution import WeightPeer

__all__ = ["Placement"]

RANKED_AGENTS_MAX = 8
"""Number of ranked agents per object; others are never replicas."""
TREE_FANOUT = 4
ALL_REGIONS = ""
"""Key of the slots shared by the agents of all regions."""


class Placement:
    """The live agents of a model, and the chunks assigned to them."""

    def __init__(
        self,
        me: WeightPeer,
        origin_region: str,
        origin_slots: int,
        region_slots: int,
        *,
        all_regions_read_origin: bool = False,
    ) -> None:
        self._me = me
        self._all_regions_read_origin = all_regions_read_origin
        self._origin_region = origin_region
        self._origin_slots = origin_slots
        self._region_slots = region_slots
        self._agents: frozenset[WeightPeer] = frozenset([me])
        self._names_by_region: dict[str, list[str]] = {me.region: [me.name]}
        self._region_by_name: dict[str, str] = {me.name: me.region}
        self._caches = frozenset([me.name] if me.is_cache else [])
        self._has_origin_region_cache = me.is_cache and me.region == origin_region
        self._ranked: dict[tuple[str, str], list[str]] = {}
        self._slots: dict[str, list[str]] = {}

    @property
    def me(self) -> str:
        """Return this agent's name."""
        return self._me.name

    @property
    def all_regions_read_origin(self) -> bool:
        """Return whether agents of all regions read from the origin.

        A cache in the origin's region fills the origin's link alone.  A chunk that it
        reads crosses to each other region once; one that another region reads crosses
        once more.
        """
        return self._all_regions_read_origin and not self._has_origin_region_cache

    @property
    def may_read_origin(self) -> bool:
        """Return whether this agent may read from the origin in a fallback."""
        return self._all_regions_read_origin or self.is_in_origin_region

    @property
    def origin_reader_count(self) -> int:
        """Return the number of agents assigned to read from the origin."""
        if self.all_regions_read_origin:
            return len(set(self._slots_of_all()))
        return len(set(self._slots_of(self._origin_region)))

    @property
    def is_in_origin_region(self) -> bool:
        """Return whether this agent counts as an agent of the origin's region.

        Agents of all regions do if the origin's region has no live agent.
        """
        is_in_region = self._me.region == self._origin_region
        return is_in_region or not self._names_by_region.get(self._origin_region)

    def is_fetched_from_origin(self, index: int) -> bool:
        """Return whether this region fetches a chunk from the origin."""
        if self.all_regions_read_origin:
            return self._gateway_region(index) == self._me.region
        return self.is_in_origin_region

    @property
    def region_names(self) -> list[str]:
        """Return the names of this region's agents, including this one."""
        return self._names_by_region[self._me.region]

    @property
    def names(self) -> list[str]:
        """Return the names of all live agents, including this one."""
        return list(self._region_by_name)

    @property
    def other_regions(self) -> list[str]:
        """Return the other regions with live agents."""
        return [region for region in self._names_by_region if region != self._me.region]

    def set_peers(self, peers: Iterable[WeightPeer]) -> bool:
        """Set the other live agents; return whether they have changed."""
        agents = frozenset([self._me, *peers])
        if agents == self._agents:
            return False
        self._agents = agents
        self._names_by_region = {}
        for agent in sorted(agents):
            self._names_by_region.setdefault(agent.region, []).append(agent.name)
        self._region_by_name = {agent.name: agent.region for agent in agents}
        self._caches = frozenset(a.name for a in agents if a.is_cache)
        self._has_origin_region_cache = any(
            a.is_cache and a.region == self._origin_region for a in agents
        )
        self._ranked.clear()
        self._slots.clear()
        return True

    def is_cache(self, name: str) -> bool:
        """Return whether a peer is a cache."""
        return name in self._caches

    @property
    def fetches_all(self) -> bool:
        """Return whether this agent fetches all chunks, not only its assigned ones.

        A cache holds only the chunks assigned to it.  Transfers between caches would
        use the links over which agents receive chunks, and a restarted cache would
        fetch chunks over the agents' narrow links.
        """
        return not self._me.is_cache

    def is_source(self, name: str) -> bool:
        """Return whether chunks held by a peer need not be fetched into this region.

        For a cache, only other caches count, as agents send little over their links.
        """
        return self.fetches_all or self.is_cache(name)

    def region_of(self, name: str) -> str:
        """Return the region of an agent, or an empty string if it is not live."""
        return self._region_by_name.get(name, "")

    def replicas(self, digest: str, region: str = "") -> list[str]:
        """Return the replicas of an object in a region (default: own), by rank."""
        bucket = digest[:2]
        region = region or self._me.region
        key = (region, bucket)
        if key not in self._ranked:
            names = self._prefer_caches(self._names_by_region.get(region, []))
            self._ranked[key] = heapq.nlargest(
                RANKED_AGENTS_MAX,
                names,
                lambda name: (rendezvous_score(bucket, name), name),
            )
        return self._ranked[key]

    def assigned_agent(self, index: int, region: str = "") -> str:
        """Return the agent assigned to fetch a chunk into a region (default: own)."""
        region = region or self._me.region
        if self.all_regions_read_origin and region == self._gateway_region(index):
            return self._assigned_origin_reader(index)
        slots = self._slots_of(region)
        # Gateway regions also rotate by index.  If slots rotated in step with them,
        # one slot would carry all chunks of a link with only a share of its rate.
        turn = index // max(1, len(self._non_origin_regions()))
        return slots[turn % len(slots)] if slots else ""

    def slot_count(self) -> int:
        """Return the number of its region's slots assigned to this agent."""
        return self._slots_of(self._me.region).count(self._me.name)

    def remote_sources(self, index: int, digest: str) -> list[str]:
        """Return the agents of other regions to request a chunk from, in order.

        Each chunk reaches the other regions through one of them, its gateway region,
        which passes it on, so that all links between regions share the load.
        """
        gateway_region = self._gateway_region(index)
        if self.all_regions_read_origin:
            names = [
                self._assigned_origin_reader(index),
                *self.remote_holders(index, digest),
            ]
            return [name for name in dict.fromkeys(names) if name]
        origin_names = [self.assigned_agent(index, self._origin_region)]
        gateway_names = (
            [self.assigned_agent(index, gateway_region)]
            if gateway_region != self._me.region
            else []
        )
        names = [
            *gateway_names,
            *origin_names,
            *self.replicas(digest, self._origin_region),
        ]
        names = [name for name in dict.fromkeys(names) if name]
        return [name for name in names if self._region_by_name[name] != self._me.region]

    def remote_holders(self, index: int, digest: str) -> list[str]:
        """Return the agents of other regions that may hold a chunk."""
        gateway_region = self._gateway_region(index)
        regions = [
            gateway_region,
            *(r for r in self._names_by_region if r != gateway_region),
        ]
        assigned_agents = [self.assigned_agent(index, region) for region in regions]
        replicas = [name for r in regions for name in self.replicas(digest, r)[:1]]
        names = [name for name in dict.fromkeys([*assigned_agents, *replicas]) if name]
        return [name for name in names if self._region_by_name[name] != self._me.region]

    def ancestors(self, digest: str) -> list[str]:
        """Return the ancestors of this agent in the tree of a single object.

        The region's agents form a tree by rank, which bounds how often each agent
        sends the object.  The nearest ancestor is first; the root has none.
        """
        ranked = rank_by_rendezvous(digest, self.region_names)
        position = ranked.index(self._me.name)
        names = []
        while position > 0:
            position = (position - 1) // TREE_FANOUT
            names.append(ranked[position])
        return names

    def roots(self, digest: str) -> list[str]:
        """Return the agents in the origin's region to request a single object from."""
        names = self._names_by_region.get(self._origin_region, [])
        return rank_by_rendezvous(digest, names)[:RANKED_AGENTS_MAX]

    def _gateway_region(self, index: int) -> str:
        if self.all_regions_read_origin:
            return self._region_by_name[self._assigned_origin_reader(index)]
        others = self._non_origin_regions()
        return others[index % len(others)] if others else self._origin_region

    def _assigned_origin_reader(self, index: int) -> str:
        """Return the agent of any region assigned to read a chunk from the origin.

        Few agents in the origin's region can't fill its link: two read 10 chunks per
        second each from a link that carries 37.  In addition, an agent that leaves
        takes a tenth of a version with it instead of a third.
        """
        slots = self._slots_of_all()
        return slots[index % len(slots)]

    def _slots_of_all(self) -> list[str]:
        if ALL_REGIONS not in self._slots:
            names = self._prefer_caches(sorted(self._region_by_name))
            self._slots[ALL_REGIONS] = self._assign_slots(names, self._origin_slots)
        return self._slots[ALL_REGIONS]

    def _non_origin_regions(self) -> list[str]:
        return sorted(r for r in self._names_by_region if r != self._origin_region)

    def _slots_of(self, region: str) -> list[str]:
        if region not in self._slots:
            count = self._region_slots
            if region == self._origin_region:
                count = self._origin_slots
            names = self._prefer_caches(self._names_by_region.get(region, []))
            self._slots[region] = self._assign_slots(names, count)
        return self._slots[region]

    def _prefer_caches(self, names: list[str]) -> list[str]:
        """Return the caches among the given agents, or all agents if there is none.

        A cache does not share its link with the answers of a target, and can serve many
        agents at the same time.
        """
        return [name for name in names if name in self._caches] or names

    def _assign_slots(self, names: list[str], count: int) -> list[str]:
        slots: list[str] = []
        free = set(names)
        for i in range(count if names else 0):
            free = free or set(names)
            owner = rank_by_rendezvous(f"slot {i}", free)[0]
            free.discard(owner)
            slots.append(owner)
        return slots
