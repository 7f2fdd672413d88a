"""Ranking of the entries that may send to a target of limited capacity.

Entries choose targets independently.  Without coordination, each of the senders of such
a target keeps to its share of the rate, so that the shares add up to it.
"""

from collections.abc import Iterable

from reedspar.utils import rank_by_rendezvous

__all__ = ["SenderRanking"]

CACHED_TARGETS_MAX = 4096
"""Maximum number of cached target ids; each restart of a target adds a new id."""


class SenderRanking:
    """Ranks the known entries for each target by rendezvous hashing."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._entry_names: frozenset[str] = frozenset({name})
        self._ranks: dict[str, int] = {}
        """Rank of this entry by target id, for the current `_entry_names`."""

    @property
    def entry_count(self) -> int:
        """Return the number of known entries, including this one."""
        return len(self._entry_names)

    def set_entries(self, names: Iterable[str]) -> None:
        """Set the names of the entries; this entry is always included."""
        names = frozenset({self._name, *names})
        if names != self._entry_names:
            self._entry_names = names
            self._ranks.clear()

    def is_sender(self, target_id: str, senders_max: int) -> bool:
        """Return whether this entry ranks among the first `senders_max`."""
        return self.entry_count <= senders_max or self._rank(target_id) < senders_max

    def _rank(self, target_id: str) -> int:
        rank = self._ranks.get(target_id)
        if rank is None:
            rank = rank_by_rendezvous(target_id, self._entry_names).index(self._name)
            if len(self._ranks) >= CACHED_TARGETS_MAX:
                self._ranks.clear()
            self._ranks[target_id] = rank
        return rank
