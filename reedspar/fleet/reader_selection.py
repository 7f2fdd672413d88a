"""Decision: whether this daemon reads the store for the others of its region."""

from collections.abc import Iterable

from reedspar.utils import rank_by_rendezvous

__all__ = ["NEWS_S", "READERS_KEY", "READERS_PER_REGION", "ReaderSelection"]

READERS_KEY = "readers"
"""Rendezvous hashing key by which all daemons rank those of a region."""
READERS_PER_REGION = 2
"""Daemons of a region that read the store."""
READ_BY_ALL = 2
"""In a region of so few daemons each reads by itself."""
NEWS_S = 0.4
"""Between two news of a reader."""
SILENT_S = 1.1
"""Without news of any reader for so long, the next daemons in rank read."""
STEP_S = 0.25
"""Until those after them do, who else would all read at once."""
STEPS_MAX = 8
"""Bounds the timeout of later groups in large regions."""


class ReaderSelection:
    """Follows who reads in this region.

    Entries rank before agents.  The first daemons in rank read.  The others stand in,
    group by group, while no reader of an earlier group reports that the store serves
    it.
    """

    def __init__(self, key: str, now_s: float) -> None:
        self._key = key
        self._names: tuple[tuple[str, ...], ...] = ()
        self._ranked: list[str] = []
        self._is_small = True
        self._rank = 0
        self._alive_s = now_s
        self._served_s = now_s

    @property
    def is_first(self) -> bool:
        """Tell whether this daemon is one of those that always read."""
        return self._rank < READERS_PER_REGION

    @property
    def is_primary(self) -> bool:
        """Tell whether this daemon ranks first in its group."""
        return self._rank % READERS_PER_REGION == 0

    @property
    def is_next(self) -> bool:
        """Tell whether this daemon is among the first to stand in."""
        return self.group == 1

    @property
    def is_small(self) -> bool:
        """Tell whether each daemon of this region reads by itself."""
        return self._is_small

    @property
    def listeners(self) -> list[str]:
        """Return the daemons of this region that are told what readers know."""
        return self._ranked[READERS_PER_REGION:]

    @property
    def group(self) -> int:
        """Return how many groups are before this daemon's."""
        return self._rank // READERS_PER_REGION

    @property
    def first(self) -> list[str]:
        """Return the daemons that always read."""
        return self._ranked[:READERS_PER_REGION]

    def place(
        self, own_name: str, names: Iterable[str], agents: Iterable[str] = ()
    ) -> None:
        """Set the entries and agents of this region, including this daemon."""
        self._names, before = (tuple(names), tuple(agents)), self._names
        if self._names != before:
            entry_names, agent_names = self._names
            self._is_small = len(entry_names) <= READ_BY_ALL
            ranked = rank_by_rendezvous(self._key, entry_names)
            self._ranked = [*ranked, *rank_by_rendezvous(self._key, agent_names)]
        self._rank = self._ranked.index(own_name)

    def note_news(self, now_s: float, reader: str, is_served: bool) -> None:
        """Note that a reader of this region is there, and if the store serves it."""
        if reader in self._ranked and self.group_of(reader) >= self.group:
            return
        self._alive_s = now_s
        if is_served:
            self._served_s = now_s

    def lapse(self, now_s: float) -> None:
        """Wait for news anew: after a pause those that came lie unread."""
        self._alive_s = now_s
        self._served_s = now_s

    def note_away(self, now_s: float) -> None:
        """Note that the store doesn't answer this daemon: it can't stand in."""
        self._served_s = max(self._served_s, now_s)

    def is_reading(self, now_s: float) -> bool:
        """Tell whether this daemon watches the store."""
        return self.is_first or now_s - self._served_s >= self._timeout_s()

    def is_asking(self, now_s: float) -> bool:
        """Tell whether this daemon polls its peers."""
        is_alone = now_s - self._alive_s >= self._timeout_s()
        return is_alone or self.is_reading(now_s)

    def _timeout_s(self) -> float:
        return SILENT_S + min(self.group - 1, STEPS_MAX) * STEP_S

    def group_of(self, name: str) -> int:
        """Return the group of a daemon; an unranked one comes after all others."""
        is_ranked = name in self._ranked
        rank = self._ranked.index(name) if is_ranked else len(self._ranked)
        return rank // READERS_PER_REGION
