"""Decision: which entries a caller is told to use, and in which order."""

from collections.abc import Iterable

from reedspar.configuration import ConfigurationDocument
from reedspar.utils import rank_by_rendezvous

from .views import EntryAddress

__all__ = ["ADDRESSES_MAX", "order_addresses"]

ADDRESSES_MAX = 5


def order_addresses(
    entries: Iterable[EntryAddress],
    document: ConfigurationDocument | None,
    own_zone: str,
    key: str,
) -> list[str]:
    """Return base URLs for the caller that asks under `key`, first choice first.

    Rendezvous hashing by `key` spreads callers evenly and gives the same
    caller the same order while the entries stay the same.  Own zone first;
    after that, zones alternate, so that the second address of a caller
    outlives the zone of the first.
    """
    usable = {
        entry.name: entry
        for entry in entries
        if not entry.is_leaving
        and (document is None or document.is_zone_in(entry.zone))
    }
    ranked = [usable[name] for name in rank_by_rendezvous(key, usable)]
    seen: dict[str, int] = {}
    order = []
    for rank, entry in enumerate(ranked):
        turn = seen.get(entry.zone, 0)
        seen[entry.zone] = turn + 1
        order.append((turn, entry.zone != own_zone, rank, entry))
    order.sort(key=lambda item: item[:3])
    return [
        f"http://{entry.host}:{entry.http_port}"
        for _, _, _, entry in order[:ADDRESSES_MAX]
    ]
