"""Who draws and who keeps a chunk: rendezvous hashing over the live agents.

Chunks are hashed to agents in two steps, so that a change of view costs
hashes by the number of agents and not by that times the chunks.  A chunk
falls into one of a fixed number of buckets, whose ranking of the agents says
who keeps it.  Draws over a narrow link go through few slots: a chunk belongs
to a slot by its index, so that slots carry the same, and each slot goes to
the agent that ranks first for it.
"""

import heapq
from collections.abc import Iterable

from reedspar.utils import rank_by_rendezvous, rendezvous_score

from .distribution import WeightPeer

__all__ = ["Placement"]

RANKED_LIMIT = 8
"""Agents told apart by rank; those behind never have a duty."""
TREE_FANOUT = 4
ALL_REGIONS = ""
"""Key of the slots that agents of all regions have together."""


class Placement:
    """The live agents of one model, and their duties."""

    def __init__(
        self,
        me: WeightPeer,
        origin_region: str,
        origin_slots: int,
        region_slots: int,
        *,
        draws_everywhere: bool = False,
    ) -> None:
        self._me = me
        self._draws_everywhere = draws_everywhere
        self._origin_region = origin_region
        self._origin_slots = origin_slots
        self._region_slots = region_slots
        self._agents: frozenset[WeightPeer] = frozenset([me])
        self._names: dict[str, list[str]] = {me.region: [me.name]}
        self._regions: dict[str, str] = {me.name: me.region}
        self._caches = frozenset([me.name] if me.is_cache else [])
        self._has_cache_near_origin = me.is_cache and me.region == origin_region
        self._ranked: dict[tuple[str, str], list[str]] = {}
        self._slots: dict[str, list[str]] = {}

    @property
    def me(self) -> str:
        """Return this agent's name."""
        return self._me.name

    @property
    def draws_everywhere(self) -> bool:
        """Tell whether agents of all regions draw from the origin.

        A cache near the origin fills the origin's link alone.  What is drawn there
        crosses to each other region once; drawn elsewhere, it crosses once more.
        """
        return self._draws_everywhere and not self._has_cache_near_origin

    @property
    def may_read_origin(self) -> bool:
        """Tell whether this agent may read the origin, in whatever region it is."""
        return self._draws_everywhere or self.is_in_origin_region

    @property
    def origin_drawers(self) -> int:
        """Return how many agents draw from the origin."""
        if self.draws_everywhere:
            return len(set(self._slots_of_all()))
        return len(set(self._slots_of(self._origin_region)))

    @property
    def is_in_origin_region(self) -> bool:
        """Tell whether this agent asks the origin for single objects.

        So does one whose origin region has no live agent to ask.
        """
        is_nearest = self._me.region == self._origin_region
        return is_nearest or not self._names.get(self._origin_region)

    def is_drawn_here(self, index: int) -> bool:
        """Tell whether this region gets a chunk from the origin, not from a region."""
        if self.draws_everywhere:
            return self._home(index) == self._me.region
        return self.is_in_origin_region

    @property
    def region_names(self) -> list[str]:
        """Return the names of this region's agents, with this one."""
        return self._names[self._me.region]

    @property
    def names(self) -> list[str]:
        """Return the names of all live agents, with this one."""
        return list(self._regions)

    @property
    def other_regions(self) -> list[str]:
        """Return the other regions that have a live agent."""
        return [region for region in self._names if region != self._me.region]

    def set_peers(self, peers: Iterable[WeightPeer]) -> bool:
        """Take the live agents; tell whether they have changed."""
        agents = frozenset([self._me, *peers])
        if agents == self._agents:
            return False
        self._agents = agents
        self._names = {}
        for agent in sorted(agents):
            self._names.setdefault(agent.region, []).append(agent.name)
        self._regions = {agent.name: agent.region for agent in agents}
        self._caches = frozenset(a.name for a in agents if a.is_cache)
        self._has_cache_near_origin = any(
            a.is_cache and a.region == self._origin_region for a in agents
        )
        self._ranked.clear()
        self._slots.clear()
        return True

    def is_cache(self, name: str) -> bool:
        """Tell whether a peer holds copies for others, on a wide link."""
        return name in self._caches

    @property
    def pulls(self) -> bool:
        """Tell whether this agent gets all chunks, and not only those it draws.

        The caches of a region hold the parts that they draw.  Copies that they sent
        each other would take the links from which the agents get theirs, and one that
        restarts would fill itself over the agents' narrow links.
        """
        return not self._me.is_cache

    def is_source(self, name: str) -> bool:
        """Tell whether what a peer holds needs not be drawn into this region.

        To a cache that is what other caches hold: agents send little over their links.
        """
        return self.pulls or self.is_cache(name)

    def region_of(self, name: str) -> str:
        """Return an agent's region, empty if it is not live."""
        return self._regions.get(name, "")

    def keepers(self, digest: str, region: str = "") -> list[str]:
        """Return the first agents of a region (this one's) for an object."""
        bucket = digest[:2]
        region = region or self._me.region
        key = (region, bucket)
        if key not in self._ranked:
            names = self._prefer_caches(self._names.get(region, []))
            self._ranked[key] = heapq.nlargest(
                RANKED_LIMIT, names, lambda name: (rendezvous_score(bucket, name), name)
            )
        return self._ranked[key]

    def drawer(self, index: int, region: str = "") -> str:
        """Return who draws a chunk into a region (this one), by the chunk's index."""
        region = region or self._me.region
        if self.draws_everywhere and region == self._home(index):
            return self._origin_drawer(index)
        slots = self._slots_of(region)
        # The homes take turns by index, too: were the slots to take turns with
        # them, one slot would draw all of one link, at a share of its budget.
        turn = index // max(1, len(self._far_regions()))
        return slots[turn % len(slots)] if slots else ""

    def slots_held(self) -> int:
        """Return how many of its region's slots this agent has."""
        return self._slots_of(self._me.region).count(self._me.name)

    def sources(self, index: int, digest: str) -> list[str]:
        """Return whom to ask, in this order, to draw a chunk into this region.

        Each chunk enters the other regions through one of them, its home,
        which hands it on: so every link between regions carries a part.
        """
        home = self._home(index)
        if self.draws_everywhere:
            names = [self._origin_drawer(index), *self.holders_across(index, digest)]
            return [name for name in dict.fromkeys(names) if name]
        near = [self.drawer(index, self._origin_region)]
        far = [self.drawer(index, home)] if home != self._me.region else []
        names = [*far, *near, *self.keepers(digest, self._origin_region)]
        names = [name for name in dict.fromkeys(names) if name]
        return [name for name in names if self._regions[name] != self._me.region]

    def holders_across(self, index: int, digest: str) -> list[str]:
        """Return who of the other regions has a chunk once it has left this one."""
        home = self._home(index)
        regions = [home, *(r for r in self._names if r != home)]
        drawers = [self.drawer(index, region) for region in regions]
        keepers = [name for r in regions for name in self.keepers(digest, r)[:1]]
        names = [name for name in dict.fromkeys([*drawers, *keepers]) if name]
        return [name for name in names if self._regions[name] != self._me.region]

    def ancestors(self, digest: str) -> list[str]:
        """Return whom to ask for a single object, the nearest in its tree first.

        The region's agents form a tree by rank, so that each one sends an
        object a bounded number of times.  The root has none to ask.
        """
        ranked = rank_by_rendezvous(digest, self.region_names)
        position = ranked.index(self._me.name)
        names = []
        while position > 0:
            position = (position - 1) // TREE_FANOUT
            names.append(ranked[position])
        return names

    def roots(self, digest: str) -> list[str]:
        """Return the agents near the origin to ask for a single object."""
        names = self._names.get(self._origin_region, [])
        return rank_by_rendezvous(digest, names)[:RANKED_LIMIT]

    def _home(self, index: int) -> str:
        if self.draws_everywhere:
            return self._regions[self._origin_drawer(index)]
        others = self._far_regions()
        return others[index % len(others)] if others else self._origin_region

    def _origin_drawer(self, index: int) -> str:
        """Return who of all agents draws a chunk from the origin.

        The origin's link is to be full though few agents stand near it: two of them
        read 10 chunks a second each, where it carries 37.  And what one that leaves
        takes with it is a tenth of the copy, not a third.
        """
        slots = self._slots_of_all()
        return slots[index % len(slots)]

    def _slots_of_all(self) -> list[str]:
        if ALL_REGIONS not in self._slots:
            names = self._prefer_caches(sorted(self._regions))
            self._slots[ALL_REGIONS] = self._assign_slots(names, self._origin_slots)
        return self._slots[ALL_REGIONS]

    def _far_regions(self) -> list[str]:
        return sorted(r for r in self._names if r != self._origin_region)

    def _slots_of(self, region: str) -> list[str]:
        if region not in self._slots:
            count = self._region_slots
            if region == self._origin_region:
                count = self._origin_slots
            names = self._prefer_caches(self._names.get(region, []))
            self._slots[region] = self._assign_slots(names, count)
        return self._slots[region]

    def _prefer_caches(self, names: list[str]) -> list[str]:
        """Return the caches among some agents, or all if there is none.

        What a cache draws takes nothing of a link that a target's answers share, and
        many can have it from there at once.
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
