"""Decision: which entries a caller is told to use."""

from collections.abc import Collection, Iterable

from reedspar.fleet import DaemonRecord
from reedspar.routes import RouteTable

__all__ = ["choose_entries", "list_allowed_regions"]

NEARBY_ENTRIES_MIN = 2
"""Entries of the caller's zone that must be there before it is told only of them.

With one, a caller would have no other address left once that one failed it."""


def choose_entries(
    entries: Iterable[DaemonRecord],
    zone: str,
    region: str,
    allowed_regions: frozenset[str] | None,
) -> list[DaemonRecord]:
    """Return the entries for a caller in a zone, the nearest that suffice.

    Bytes between zones cost, and between regions they share a thin link, so a
    caller uses its own zone's entries as long as there are enough.  Requests
    that must stay in their homes are told only of entries there or beside the
    caller.
    """
    allowed = [
        entry
        for entry in entries
        if allowed_regions is None
        or entry.region in allowed_regions
        or entry.region == region
    ]
    near = [entry for entry in allowed if entry.zone == zone]
    if len(near) >= NEARBY_ENTRIES_MIN:
        return near
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
