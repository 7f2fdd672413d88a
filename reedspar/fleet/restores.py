"""Entries of a restored store that contradict what was known before the restore.

The copy lacks what was written after it was made, and has again what was removed or
replaced after it.  Until operators, targets and daemons have written their entries
again, or leases have ended, the earlier state is more likely to hold.
"""

import logging
from collections.abc import Callable

from .revisions import describe_revision, epoch_of
from .store import WatchedEntry

__all__ = [
    "RESTORED_ENTRY_HOLD_S",
    "RESTORED_REMOVAL_GRACE_S",
    "IsOlder",
    "RestoreTracker",
]

RESTORED_REMOVAL_GRACE_S = 2.0
"""How long an entry that the copy lacks is kept; it is written again in this time."""
RESTORED_ENTRY_HOLD_S = 5.0
"""How long an earlier entry that the copy has again is held back.

It is longer than the leases of targets and daemons, which end if nobody renews them."""

IsOlder = Callable[[WatchedEntry, WatchedEntry], bool]
"""Tells of two entries with values whether the first value is provably older."""

_logger = logging.getLogger(__name__)


class RestoreTracker:
    """Tells which entries contradict the state of an earlier epoch."""

    def __init__(self, is_older: IsOlder) -> None:
        self._is_older = is_older
        self._epoch: int | None = None
        self._restored_s = float("-inf")
        self._first_revision = 0
        """Newest revision of the epoch's first entries, which may be the copy's."""
        self._held: dict[str, WatchedEntry] = {}

    def record_revision(self, revision: int, now_s: float) -> None:
        """Record the newest revision of several entries before they are applied."""
        if not revision:
            return
        epoch = epoch_of(revision)
        if self._epoch is not None and epoch > self._epoch:
            self._restored_s = now_s
            self._first_revision = revision
            self._held.clear()
        self._epoch = max(epoch, self._epoch or 0)

    def must_keep(
        self, removal: WatchedEntry, known: WatchedEntry, now_s: float
    ) -> bool:
        """Return whether an entry may have been removed by the restore alone."""
        is_earlier = epoch_of(known.revision) < epoch_of(removal.revision)
        return is_earlier and self.is_removal_doubtful(now_s)

    def is_removal_doubtful(self, now_s: float) -> bool:
        """Return whether entries that the copy lacks may still be written again."""
        return now_s - self._restored_s < RESTORED_REMOVAL_GRACE_S

    def hold_back(
        self, entry: WatchedEntry, known: WatchedEntry | None, now_s: float
    ) -> bool:
        """Hold back an entry that the copy has again, if it is one."""
        held = self._held.pop(entry.key, None)
        if entry.value is None or known is None or self._is_hold_over(now_s):
            return False
        if epoch_of(known.revision) == epoch_of(entry.revision):
            return False
        if known.value is None:
            is_earlier = entry.revision <= self._first_revision
        else:
            is_earlier = self._is_older(entry, known)
        if is_earlier:
            self._held[entry.key] = entry
        if is_earlier and held is None:
            extra = {"key": entry.key, **describe_revision(entry.revision)}
            _logger.info("restored entry is held back", extra=extra)
        return is_earlier

    def drop_unlisted(self, listed_keys: set[str]) -> None:
        """Drop the held entries that a newer listing lacks."""
        for key in self._held.keys() - listed_keys:
            del self._held[key]

    def pop_due(self, now_s: float) -> list[WatchedEntry]:
        """Remove and return the held entries once their leases would have ended."""
        if not self._held or not self._is_hold_over(now_s):
            return []
        due, self._held = list(self._held.values()), {}
        return due

    def _is_hold_over(self, now_s: float) -> bool:
        return now_s - self._restored_s >= RESTORED_ENTRY_HOLD_S
