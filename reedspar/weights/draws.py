"""Order in which the versions of a model are read from the origin and other regions."""

from collections.abc import Iterable

from .distribution import VersionStatus
from .needed_chunks import lacking_bytes
from .placement import Placement
from .transfers import Transfer

__all__ = ["DrawOrder", "describe_transfer"]

AFAR_REQUEST_S = 1.0
"""Time after a request from another region in which its agents count as waiting."""


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
    return VersionStatus(lacking_bytes(transfer), is_stalled, is_asked)
