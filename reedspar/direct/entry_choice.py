"""Choice of the entries whose addresses a caller is given."""

from collections.abc import Collection, Iterable

from reedspar.fleet import DaemonRecord
from reedspar.routes import RouteTable

__all__ = ["choose_entries", "list_allowed_regions"]

NEARBY_ENTRIES_MIN = 2
"""Minimum number of entries in the caller's zone, or region, to return only those.

With a single address, a caller would have no alternative when that entry fails."""


def choose_entries(
    entries: Iterable[DaemonRecord],
    zone: str,
    region: str,
    allowed_regions: frozenset[str] | None,
) -> list[DaemonRecord]:
    """Return the entries for a caller: those of its zone, its region, or all.

    Traffic between zones is charged and traffic between regions shares links of low
    bandwidth, so a caller gets the entries of its zone if there are enough.  If its
    requests are restricted to some regions, it gets only entries there or in its own
    region.
    """
    allowed = [
        entry
        for entry in entries
        if allowed_regions is None
        or entry.region in allowed_regions
        or entry.region == region
    ]
    same_zone = [entry for entry in allowed if entry.zone == zone]
    if len(same_zone) >= NEARBY_ENTRIES_MIN:
        return same_zone
    same_region = [entry for entry in allowed if entry.region == region]
    if len(same_region) >= NEARBY_ENTRIES_MIN:
        return same_region
    return allowed


def list_allowed_regions(table: RouteTable | None, host: str) -> frozenset[str] | None:
    """Return the regions that all routes of a host allow; None for all regions."""
    if table is None:
        return None
    allowed_regions: Collection[frozenset[str]] = [
        route.regions
        for route in table.routes.get(host.lower(), ())
        if route.regions is not None
    ]
    return frozenset.intersection(*allowed_regions) if allowed_regions else None
