"""Chunks that are worth fetching into a region, and the order of their versions."""

from collections.abc import Iterable

from .distribution import VersionStatus
from .neighbours import iterate_bits
from .placement import Placement
from .transfers import Transfer

__all__ = ["DrawOrder", "describe_transfer", "is_in_region", "needed_map"]

AFAR_REQUEST_S = 1.0
"""Time after a request from another region in which its agents count as waiting."""


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


def _count_lacking_bytes(transfer: Transfer) -> int:
    """Return the size of wanted chunks that no agent of the region is known to hold."""
    table = transfer.table
    if not transfer.is_wanted:
        return 0
    lacking = table.full_map & ~(transfer.held | transfer.obtained | table.seen_map)
    return sum(transfer.sizes[transfer.digests[i]] for i in iterate_bits(lacking))


class DrawOrder:
    """Chooses the transfers for which chunks are fetched remotely, and their order."""

    def __init__(self, *, is_cache: bool) -> None:
        self._is_cache = is_cache
        self._drawn: dict[str, str] = {}
        """Root digest of the only version read from the origin, by model."""

    def set_drawn(self, model: str, root_digest: str) -> bool:
        """Set the only version that is read; return whether that is a change."""
        is_changed = self._drawn.get(model) != root_digest
        self._drawn[model] = root_digest
        return is_changed

    def may_draw(self, transfer: Transfer, placement: Placement) -> bool:
        """Return whether chunks of a version may be fetched into the region now."""
        drawn = self._drawn.get(transfer.model, transfer.root_digest)
        return transfer.root_digest == drawn or not placement.is_in_origin_region

    def sort(self, transfers: Iterable[Transfer]) -> list[Transfer]:
        """Return the incomplete transfers, the one with the fewest chunks first."""
        incomplete = (transfer for transfer in transfers if not transfer.is_complete)
        return sorted(incomplete, key=self._count_remaining)

    def _count_remaining(self, transfer: Transfer) -> int:
        return len(transfer.assigned if self._is_cache else transfer.missing)


def describe_transfer(
    transfer: Transfer | None, now_s: float, stall_s: float
) -> VersionStatus:
    """Return how a transfer stands; without progress for `stall_s` it has stalled."""
    if transfer is None:
        return VersionStatus()
    requested_map = transfer.table.requested_map
    is_asked = None if requested_map is None else requested_map != 0
    if now_s - transfer.asked_from_afar_s < AFAR_REQUEST_S:
        is_asked = True
    is_stalled = not transfer.is_complete and now_s - transfer.progress_s >= stall_s
    return VersionStatus(_count_lacking_bytes(transfer), is_stalled, is_asked)
