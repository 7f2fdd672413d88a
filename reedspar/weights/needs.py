"""Decision: which chunks of a version are worth a draw over a narrow link."""

from .placement import Placement
from .transfers import Transfer

__all__ = ["is_here", "knows_neighbours", "needed_map_of"]

AGENT_MAP_WAIT_S = 0.05
"""How long a cache waits for the maps of agents, which may not know the version yet."""


def is_here(transfer: Transfer, placement: Placement, index: int) -> bool:
    """Tell whether a chunk need not be drawn, for the region has it.

    A cache that takes over the part of another one finds it there while that one lives.
    """
    table = transfer.table
    here_map = table.seen_map if placement.pulls else table.available_map
    return bool(here_map >> index & 1)


def needed_map_of(transfer: Transfer, placement: Placement) -> int:
    """Return the chunks that are worth a draw now.

    Before any agent has asked, a cache draws all of its part, for the origin may go
    away.  Later the parts move as entries come and go; drawn anew for nobody, a version
    that was replaced would hold up the one that replaced it.
    """
    lacked_map = None if placement.pulls else transfer.table.lacked_map
    return transfer.table.full_map if lacked_map is None else lacked_map


def knows_neighbours(transfer: Transfer, map_wait_s: float, now_s: float) -> bool:
    """Tell whether the neighbours' maps are in, or were waited for.

    An agent that draws before it knows what its region holds would bring
    over a narrow link what is next door.
    """
    if now_s - transfer.started_s >= map_wait_s:
        return True
    waits_for_agents = now_s - transfer.started_s < AGENT_MAP_WAIT_S
    return all(
        neighbour.has_answered
        for neighbour in transfer.table.neighbours.values()
        if neighbour.is_source or waits_for_agents
    )
