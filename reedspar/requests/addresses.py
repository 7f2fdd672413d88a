"""Selection and order of the entry addresses listed to a caller."""

from collections.abc import Iterable

from reedspar.configuration import ConfigurationDocument
from reedspar.utils import rank_by_rendezvous

from .views import EntryAddress

__all__ = ["ADDRESSES_MAX", "rank_addresses"]

ADDRESSES_MAX = 5
"""Maximum number of addresses in one list."""


def rank_addresses(
    entries: Iterable[EntryAddress],
    document: ConfigurationDocument | None,
    own_zone: str,
    key: str,
) -> list[str]:
    """Return base URLs for the caller identified by `key`, most preferred first.

    Rendezvous hashing by `key` spreads callers evenly and gives the same caller
    the same order while the set of entries is unchanged.  Entries of the local
    zone come first.  Then zones alternate, so that a caller's second address
    still works when the zone of its first one fails.
    """
    usable = {
        entry.name: entry
        for entry in entries
        if not entry.is_leaving
        and (document is None or document.is_zone_in(entry.zone))
    }
    ranked = [usable[name] for name in rank_by_rendezvous(key, usable)]
    listed_by_zone: dict[str, int] = {}
    ordered = []
    for rank, entry in enumerate(ranked):
        zone_rank = listed_by_zone.get(entry.zone, 0)
        listed_by_zone[entry.zone] = zone_rank + 1
        ordered.append((zone_rank, entry.zone != own_zone, rank, entry))
    ordered.sort(key=lambda item: item[:3])
    return [
        f"http://{entry.host}:{entry.http_port}"
        for _, _, _, entry in ordered[:ADDRESSES_MAX]
    ]
