"""Local cache of the store's entries, merged by revision.

Changes come from watches, listings and peers.  They may be late, duplicated or out
of order; the store's revision of each key decides which of them is current.
"""

import logging
import zlib
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from .deferred_removals import DeferredRemovals
from .restores import IsOlder, RestoreTracker
from .revisions import describe_revision
from .store import Listing, WatchedEntry

__all__ = ["LEASE_EXPIRY_GRACE_S", "PrefixCache", "read_deferral_counts"]

LEASE_EXPIRY_GRACE_S = 2.0
"""How long an expired entry is kept after the store has become available again.

According to the platform, entries whose leases expired during an outage are written
again about two seconds after its end.  From three seconds after its end on, a target
that has left must get no more requests.  Up to 0.6 s pass before the end is noticed."""
LEASE_EXPIRY_OUTAGE_MIN_S = 2.0
"""Shortest time without any answer of the store after which a lease may have expired.

Leases last three seconds or more and are renewed once a second.  An interrupted watch
or a single refused call is not such an outage."""

FAILURE_RETENTION_S = LEASE_EXPIRY_OUTAGE_MIN_S + LEASE_EXPIRY_GRACE_S
"""How long a failed call shows that the store may be unavailable.

The last failure precedes the end of an outage by up to 1.5 s, and removals are deferred
until the grace period after it."""

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class PrefixCache:
    """Caches the entries below one prefix and tracks whether the store answers."""

    prefix: str
    defers_outage_removals: bool = False
    """Defer removals during and shortly after an outage.

    Leases of live processes may have expired because they could not be renewed."""
    is_older: IsOlder = lambda entry, known: False
    """Tells of two values of a key whether the first is provably older."""
    revision: int = 0
    """No change up to this revision was missed; a watch continues from it."""
    _entries: dict[str, WatchedEntry] = field(default_factory=dict)
    _deferred: DeferredRemovals = field(init=False)
    _restores: RestoreTracker = field(init=False)
    _newest_revision: int = 0
    """Newest revision of all cached entries and removals."""
    _digest: int = 0
    _is_unavailable: bool = False
    _available_since_s: float = float("-inf")
    _last_success_s: float = float("-inf")
    """When the store last answered a call of this daemon, for any prefix."""
    _last_failure_s: float = float("-inf")
    """When a call of this daemon last failed, other than a watch of this prefix."""
    _outage_end_s: float = float("-inf")
    """When it last answered after an outage in which leases may have expired."""

    def __post_init__(self) -> None:
        self._deferred = DeferredRemovals(self.prefix)
        self._restores = RestoreTracker(self.is_older)

    @property
    def deferral_counts(self) -> dict[str, int]:
        """Return the number of deferred removals by how the deferral ended."""
        return self._deferred.counts

    @property
    def deferred_keys(self) -> tuple[str, ...]:
        """Return the keys whose removal is deferred."""
        return tuple(self._deferred)

    @property
    def is_unavailable(self) -> bool:
        """Return whether calls to the store are failing."""
        return self._is_unavailable

    @property
    def newest_revision(self) -> int:
        """Return the revision of the newest cached entry or removal."""
        return self._newest_revision

    @property
    def max_known_revision(self) -> int:
        """Return the highest revision known from the store or from peers."""
        return max(self._newest_revision, self.revision)

    @property
    def digest(self) -> int:
        """Return a checksum of the keys that exist and their revisions."""
        return self._digest

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 if it does not exist."""
        entry = self._entries.get(key)
        return entry.revision if entry is not None and entry.value is not None else 0

    def list_removals(self, keys: Iterable[str]) -> list[WatchedEntry]:
        """Return the applied removals among the entries of some keys."""
        known = (self._entries.get(key) for key in keys)
        return [entry for entry in known if entry is not None and entry.value is None]

    def entries_after(self, revision: int) -> list[WatchedEntry]:
        """Return the entries and removals newer than a revision, oldest first."""
        # Peers poll often, and usually nothing is newer.
        if revision >= self._newest_revision:
            return []
        newer = [e for e in self._entries.values() if e.revision > revision]
        return sorted(newer, key=lambda entry: entry.revision)

    def exists_in(self, listing: Listing) -> bool:
        """Return whether all keys that are known to exist are listed."""
        listed = {entry.key for entry in listing.entries}
        known = (e for e in self._entries.values() if e.value is not None)
        return all(entry.key in listed for entry in known)

    def log_outdated(self, listing: Listing) -> None:
        """Log a listing by the store with entries that are older than cached ones."""
        outdated = sum(
            known.revision > entry.revision
            for entry in listing.entries
            if (known := self._entries.get(entry.key)) is not None
        )
        if outdated:
            _logger.warning(
                "store lists older entries than it did before",
                extra={
                    "prefix": self.prefix,
                    "listed": len(listing.entries),
                    "outdated": outdated,
                    **describe_revision(listing.revision),
                },
            )

    def mark_unavailable(self) -> bool:
        """Record a failed call; return whether the state has changed."""
        is_changed = not self._is_unavailable
        self._is_unavailable = True
        return is_changed

    def mark_unwatched(self) -> None:
        """Clear the failure state of a prefix that is no longer read from the store."""
        self._is_unavailable = False

    def advance_revision(self, newest: int, covered: int, now_s: float) -> None:
        """Advance to the revision up to which a peer has missed no change.

        Has no effect unless the peer's newest entry is known here.
        """
        if newest <= self._newest_revision:
            self._restores.record_revision(covered, now_s)
            self.revision = max(self.revision, covered)

    def record_store_success(self, now_s: float) -> None:
        """Record that the store has answered a call for any prefix."""
        is_first_call = (
            self._last_success_s == float("-inf") and not self._is_unavailable
        )
        if (
            now_s - self._last_success_s >= LEASE_EXPIRY_OUTAGE_MIN_S
            and not is_first_call
        ):
            self._outage_end_s = now_s
        self._last_success_s = now_s

    def record_store_failure(self, now_s: float) -> None:
        """Record that a call has failed, though the watch of this prefix has not."""
        self._last_failure_s = now_s

    def mark_available(self, now_s: float) -> bool:
        """Record a successful call; return whether the state has changed."""
        self.record_store_success(now_s)
        if not self._is_unavailable:
            return False
        self._is_unavailable = False
        self._available_since_s = now_s
        return True

    def apply_listing(
        self, listing: Listing, now_s: float, *, is_authoritative: bool = False
    ) -> list[WatchedEntry]:
        """Apply a full listing; cached entries that it lacks were removed."""
        listed = {entry.key for entry in listing.entries}
        self._restores.drop_unlisted(listed)
        changed = self.apply(
            listing.entries, listing.revision, now_s, is_authoritative=is_authoritative
        )
        removed = [
            WatchedEntry(key, None, listing.revision)
            for key, entry in self._entries.items()
            if key not in listed and entry.value is not None
        ]
        # After a restore a peer may lack an entry only because it has just started.
        is_doubtful = self._restores.is_removal_doubtful(now_s)
        return changed + self.apply(
            removed,
            listing.revision,
            now_s,
            is_authoritative=is_authoritative and not is_doubtful,
        )

    def apply(
        self,
        entries: Iterable[WatchedEntry],
        revision: int,
        now_s: float,
        *,
        is_authoritative: bool = False,
    ) -> list[WatchedEntry]:
        """Apply newer entries; return those that have changed the cache.

        Removals from an authoritative source are never deferred.
        """
        entries = tuple(entries)
        newest = max((entry.revision for entry in entries), default=0)
        self._restores.record_revision(max(newest, revision), now_s)
        changed = []
        for entry in entries:
            known = self._entries.get(entry.key)
            if known is not None and entry.revision <= known.revision:
                continue
            if self._must_defer(entry, known, now_s, is_authoritative):
                self._deferred.add(entry, now_s)
                continue
            if self._restores.hold_back(entry, known, now_s):
                continue
            self._deferred.discard(entry, now_s)
            self._cache_entry(entry)
            changed.append(entry)
        self.revision = max(self.revision, revision)
        return changed

    def release_deferred(self, now_s: float) -> list[WatchedEntry]:
        """Apply and return the deferred changes whose grace period has ended."""
        due = self._restores.pop_due(now_s)
        is_doubtful = self._restores.is_removal_doubtful(now_s)
        if not is_doubtful and not self._may_have_expired(now_s):
            due += self._deferred.pop_all(now_s)
        for entry in due:
            self._cache_entry(entry)
        return due

    def _cache_entry(self, entry: WatchedEntry) -> None:
        self._digest ^= _checksum(self._entries.get(entry.key)) ^ _checksum(entry)
        self._entries[entry.key] = entry
        self._newest_revision = max(self._newest_revision, entry.revision)

    def _must_defer(
        self,
        entry: WatchedEntry,
        known: WatchedEntry | None,
        now_s: float,
        is_authoritative: bool,
    ) -> bool:
        if is_authoritative or entry.value is not None:
            return False
        if known is None or known.value is None:
            return False
        if self._restores.must_keep(entry, known, now_s):
            return True
        if not self.defers_outage_removals:
            return False
        # A lease that could not be renewed during an outage expires though its holder
        # is alive.  If such removals were applied at once, all targets would be missing
        # when the store becomes available again, and every request would be refused.
        return self._may_have_expired(now_s)

    def _may_have_expired(self, now_s: float) -> bool:
        """Return whether a removal may be due to a current or recent outage."""
        has_failed = (
            self._is_unavailable
            or now_s - self._available_since_s < LEASE_EXPIRY_GRACE_S
            or now_s - self._last_failure_s < FAILURE_RETENTION_S
        )
        is_unanswered = now_s - self._last_success_s >= LEASE_EXPIRY_OUTAGE_MIN_S
        was_unanswered = now_s - self._outage_end_s < LEASE_EXPIRY_GRACE_S
        return has_failed and (is_unanswered or was_unanswered)


def _checksum(entry: WatchedEntry | None) -> int:
    """Return an entry's contribution to the digest, 0 if it does not exist."""
    if entry is None or entry.value is None:
        return 0
    return zlib.crc32(f"{entry.key} {entry.revision}".encode())


def read_deferral_counts(
    caches: Iterable[PrefixCache],
) -> list[tuple[float, dict[str, str]]]:
    """Return the counts of deferred removals, with the outcome as label."""
    totals: Counter[str] = Counter()
    for cache in caches:
        totals.update(cache.deferral_counts)
    return [(count, {"outcome": outcome}) for outcome, count in totals.items()]
