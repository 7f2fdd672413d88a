"""Entries, agents and targets of the fleet, as kept for the exchange of pool state."""

from collections.abc import Mapping, Sequence

from reedspar.fleet import DaemonChange, FleetChange, FleetView, TargetChange
from reedspar.links import Role
from reedspar.utils import rank_by_rendezvous

from .messages import identify_target

__all__ = ["FleetMembers"]

AGENTS_PER_COLLECTOR_MAX = 32
"""Maximum number of agents whose reports a collector receives."""


class FleetMembers:
    """Keeps lists of the fleet's members between changes of the fleet."""

    def __init__(self, view: FleetView, own_name: str, region: str) -> None:
        self._view = view
        self._own_name = own_name
        self._region = region
        self._entries: Mapping[str, Sequence[str]] | None = None
        self._agents: Sequence[str] | None = None
        self._addresses: dict[int, tuple[str, int]] | None = None
        view.on_change(self._forget)

    def entries_by_region(self) -> Mapping[str, Sequence[str]]:
        """Return the registered entries of each region."""
        if self._entries is None:
            found: dict[str, list[str]] = {}
            for record in self._view.daemons(Role.ENTRY.value):
                found.setdefault(record.region, []).append(record.name)
            self._entries = found
        return self._entries

    def agents(self) -> Sequence[str]:
        """Return the agents from whose reports this entry learns loads if it collects.

        Agents of a region without entries belong to one of the other regions.
        """
        if self._agents is None:
            regions = list(self.entries_by_region())
            homes: dict[str, str] = {}
            found = []
            for record in self._view.daemons(Role.AGENT.value):
                home = record.region
                if home not in homes:
                    ranked = [home] if home in regions else []
                    ranked = ranked or rank_by_rendezvous(home, regions)
                    homes[home] = ranked[0] if ranked else ""
                if record.pool and homes[home] == self._region:
                    found.append(record.name)
            ranked = rank_by_rendezvous(self._own_name, found)
            self._agents = ranked[:AGENTS_PER_COLLECTOR_MAX]
        return self._agents

    def find_address(self, target_id: int) -> tuple[str, int] | None:
        """Return host and port of a target, None if it is unknown."""
        if self._addresses is None:
            self._addresses = {
                identify_target(record.host, record.port): (record.host, record.port)
                for record in self._view.all_target_records()
            }
        return self._addresses.get(target_id)

    def _forget(self, change: FleetChange) -> None:
        if isinstance(change, DaemonChange):
            self._entries = self._agents = None
        elif isinstance(change, TargetChange):
            self._addresses = None
