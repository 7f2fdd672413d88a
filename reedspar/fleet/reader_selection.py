"""Selects the daemons that read the store for their region by rendezvous hashing."""

from collections.abc import Iterable

from reedspar.utils import rank_by_rendezvous

__all__ = ["READERS_KEY", "READERS_PER_REGION", "REPORT_INTERVAL_S", "ReaderSelection"]

READERS_KEY = "readers"
"""Key of the rendezvous hashing by which all daemons rank those of a region."""
READERS_PER_REGION = 2
"""Number of daemons that read the store for a region; also the size of a group."""
SMALL_REGION_ENTRIES_MAX = 2
"""Maximum number of entry daemons in a region where each reads the store itself."""
REPORT_INTERVAL_S = 0.4
"""Interval between two state reports of a reader."""
READER_TIMEOUT_S = 1.1
"""Time without a report of a reader after which the next group reads."""
GROUP_TIMEOUT_STEP_S = 0.25
"""Additional timeout of each later group, so that they don't all read at once."""
TIMEOUT_STEPS_MAX = 8
"""Maximum number of steps in a timeout, which bounds it in large regions."""


class ReaderSelection:
    """Tracks which daemons of this region read the store.

    Entry daemons rank before agents.  The first daemons in rank are the default
    readers.  The others, the standbys, take over group by group while no reader of an
    earlier group reports that the store answers it.
    """

    def __init__(self, key: str, now_s: float) -> None:
        self._key = key
        self._members: tuple[tuple[str, ...], ...] = ()
        self._ranked: list[str] = []
        self._is_small_region = True
        self._rank = 0
        self._last_report_s = now_s
        self._last_served_s = now_s

    @property
    def is_default_reader(self) -> bool:
        """Return whether this daemon always reads."""
        return self._rank < READERS_PER_REGION

    @property
    def is_primary(self) -> bool:
        """Return whether this daemon ranks first in its group."""
        return self._rank % READERS_PER_REGION == 0

    @property
    def is_first_standby(self) -> bool:
        """Return whether this daemon is in the group that takes over first."""
        return self.group == 1

    @property
    def is_small_region(self) -> bool:
        """Return whether each entry daemon of this region reads the store itself."""
        return self._is_small_region

    @property
    def standbys(self) -> list[str]:
        """Return the region's other daemons, to which readers send their state."""
        return self._ranked[READERS_PER_REGION:]

    @property
    def group(self) -> int:
        """Return the index of this daemon's group."""
        return self._rank // READERS_PER_REGION

    @property
    def default_readers(self) -> list[str]:
        """Return the daemons that always read."""
        return self._ranked[:READERS_PER_REGION]

    def update_members(
        self, own_name: str, names: Iterable[str], agents: Iterable[str] = ()
    ) -> None:
        """Set this region's entry daemons and agents by name, including this daemon."""
        self._members, previous_members = (tuple(names), tuple(agents)), self._members
        if self._members != previous_members:
            entry_names, agent_names = self._members
            self._is_small_region = len(entry_names) <= SMALL_REGION_ENTRIES_MAX
            ranked = rank_by_rendezvous(self._key, entry_names)
            self._ranked = [*ranked, *rank_by_rendezvous(self._key, agent_names)]
        self._rank = self._ranked.index(own_name)

    def record_report(self, now_s: float, reader: str, is_served: bool) -> None:
        """Record the report of a reader, and whether the store answers it.

        Reports from daemons of the same or a later group are ignored.
        """
        if reader in self._ranked and self.group_of(reader) >= self.group:
            return
        self._last_report_s = now_s
        if is_served:
            self._last_served_s = now_s

    def reset_timeouts(self, now_s: float) -> None:
        """Restart the timeouts after a pause, as received reports are still unread."""
        self._last_report_s = now_s
        self._last_served_s = now_s

    def record_store_unavailable(self, now_s: float) -> None:
        """Record that the store doesn't answer this daemon, so it can't take over."""
        self._last_served_s = max(self._last_served_s, now_s)

    def is_reading(self, now_s: float) -> bool:
        """Return whether this daemon watches the store."""
        return (
            self.is_default_reader or now_s - self._last_served_s >= self._timeout_s()
        )

    def is_polling_peers(self, now_s: float) -> bool:
        """Return whether this daemon polls its peers."""
        is_without_reports = now_s - self._last_report_s >= self._timeout_s()
        return is_without_reports or self.is_reading(now_s)

    def _timeout_s(self) -> float:
        return (
            READER_TIMEOUT_S
            + min(self.group - 1, TIMEOUT_STEPS_MAX) * GROUP_TIMEOUT_STEP_S
        )

    def group_of(self, name: str) -> int:
        """Return a daemon's group; unranked daemons come after all others."""
        is_ranked = name in self._ranked
        rank = self._ranked.index(name) if is_ranked else len(self._ranked)
        return rank // READERS_PER_REGION
