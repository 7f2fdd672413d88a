"""Chunks of a version that are worth fetching into a region."""

from .neighbours import iterate_bits
from .placement import Placement
from .transfers import Transfer

__all__ = ["is_in_region", "lacking_bytes", "needed_map"]


def is_in_region(transfer: Transfer, placement: Placement, index: int) -> bool:
    """Return whether the region already has a chunk.

    A cache that takes over another one's chunks skips those that the other still holds.
    """
    table = transfer.table
    region_map = table.seen_map if placement.fetches_all else table.available_map
    return bool(region_map >> index & 1)


def needed_map(transfer: Transfer, placement: Placement) -> int:
    """Return the map of chunks that are worth fetching now.

    Until an agent requests chunks, a cache fetches all that it is assigned, as the
    origin may become unavailable.  Later, assignments move as entries start and stop.
    Fetching chunks of a replaced version that no agent needs would delay its successor.
    """
    requested_map = None if placement.fetches_all else transfer.table.requested_map
    return transfer.table.full_map if requested_map is None else requested_map


def lacking_bytes(transfer: Transfer) -> int:
    """Return the size of wanted chunks that no agent of the region is known to hold."""
    table = transfer.table
    if not transfer.is_wanted:
        return 0
    lacking = table.full_map & ~(transfer.held | transfer.obtained | table.seen_map)
    return sum(transfer.sizes[transfer.digests[i]] for i in iterate_bits(lacking))
