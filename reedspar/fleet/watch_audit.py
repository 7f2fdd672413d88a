"""Audits the watches of the fleet, since a watch that is lost looks like a quiet one.

The store may drop a watch without an answer while it answers all other calls.  At short
intervals one entry asks the store for all changes, and tells all daemons of the newest
one below each prefix.  A daemon that lacks one replaces its watch.  The number of calls
does not grow with the fleet.
"""

import logging
from collections import Counter
from collections.abc import Iterable, Sequence

import anyio

from reedspar.errors import Failure, Reason
from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService
from reedspar.utils import rank_by_rendezvous

from .feed import FleetFeed
from .messages import AuditNews, ChangedPrefix
from .prefix_cache import PrefixCache
from .revisions import describe_revision
from .store import WatchableStore, WatchedEntry
from .view import FleetView

__all__ = ["WatchAudit", "create_watch_audit"]

AUDITORS_KEY = "auditors"
"""Key of the rendezvous hashing by which all daemons rank the entries."""
ALL_KEYS = ""
"""Prefix of all keys, so that one call covers every watch."""
AUDIT_INTERVAL_S = 2.0
"""Interval of audits: operators allow a change three seconds after a disruption."""
AUDIT_WAIT_S = 0.02
DELIVERY_S = 0.25
"""Time in which watches deliver what an audit has found."""
CHECK_INTERVAL_S = 0.25
RETRY_DELAY_S = 0.5
SERVED_WITHIN_S = 1.5
"""Age of the last answer up to which the store is expected to answer an audit.

Each daemon renews its lease once a second."""
TAKEOVER_STEP_S = 0.7
"""Additional wait of each entry that ranks below the auditor before it takes over."""
TAKEOVER_STEPS_MAX = 8
UNCONFIRMED_MIN_S = 6.0
"""Age of the last audit from which it is logged that changes may have been missed."""

_logger = logging.getLogger(__name__)


class WatchAudit:
    """Audits the watches while this daemon is the auditor, and follows the audits."""

    def __init__(
        self,
        name: str,
        store: WatchableStore,
        feed: FleetFeed,
        view: FleetView,
        network: Network,
        timers: TimerService,
    ) -> None:
        self._name = name
        self._store = store
        self._feed = feed
        self._view = view
        self._network = network
        self._timers = timers
        self._audited_revision = 0
        """Revision up to which an audit has covered all changes; 0 if not known."""
        self._audited_s = timers.now_s()
        self._is_unconfirmed = False
        self._lost: Counter[str] = Counter()
        network.subscribe(AuditNews, self._handle_news)
        timers.call_every(CHECK_INTERVAL_S, self._log_age)

    @property
    def _covered_revision(self) -> int:
        """Return the revision up to which no prefix has missed a change."""
        return min(cache.revision for cache in self._feed.caches.values())

    @property
    def age_s(self) -> float:
        """Return the time since an audit has confirmed this daemon's watches."""
        return self._timers.now_s() - self._audited_s

    def read_age(self) -> list[tuple[float, dict[str, str]]]:
        """Return the age of the last audit in seconds."""
        return [(self.age_s, {})]

    def read_lost(self) -> list[tuple[float, dict[str, str]]]:
        """Return how many watches had missed a change, by prefix."""
        return [(count, {"prefix": prefix}) for prefix, count in self._lost.items()]

    async def run(self) -> None:
        """Audit whenever it is this daemon's turn, until cancelled."""
        await self._feed.wait_initialized()
        while True:
            if not self._is_due():
                await anyio.sleep(CHECK_INTERVAL_S)
            elif not await self._audit():
                await anyio.sleep(RETRY_DELAY_S)

    def _is_due(self) -> bool:
        entries = [entry.name for entry in self._view.daemons(Role.ENTRY.value)]
        if self._name not in entries or self._feed.is_store_unavailable:
            return False
        if self._feed.unanswered_s > SERVED_WITHIN_S:
            return False
        rank = rank_by_rendezvous(AUDITORS_KEY, entries).index(self._name)
        wait_s = min(rank, TAKEOVER_STEPS_MAX) * TAKEOVER_STEP_S
        return self.age_s >= AUDIT_INTERVAL_S + wait_s

    async def _audit(self) -> bool:
        """Ask the store for changes since the last audit; return whether it answered.

        Documents whose change since then is known, or on its way, are not read once
        more; the next audit covers what has changed after that.
        """
        after = self._audited_revision or self._covered_revision
        if not after:
            return await self._begin_anew()
        excluded = [
            cache
            for cache in self._feed.document_caches
            if cache.newest_revision > after or self._store.is_receiving
        ]
        covered = [max(after, cache.newest_revision) for cache in excluded]
        entries: list[WatchedEntry] = []
        for prefix in self._list_others(excluded) if excluded else [ALL_KEYS]:
            result = await self._store.watch_entries(prefix, after, AUDIT_WAIT_S)
            if isinstance(result, Failure):
                if result.reason is Reason.EXPIRED:
                    return await self._begin_anew()
                return self._record_failure(result)
            covered.append(result.revision)
            entries += result.entries
        self._feed.record_store_success()
        if entries:
            await anyio.sleep(DELIVERY_S)
        self._publish(AuditNews(min(covered), self._summarize(entries)))
        return True

    def _list_others(self, excluded: Sequence[PrefixCache]) -> list[str]:
        names = {cache.prefix for cache in excluded}
        return [prefix for prefix in self._feed.caches if prefix not in names]

    async def _begin_anew(self) -> bool:
        """List all prefixes, as the store has dropped the changes since the last audit.

        Only the auditor does so: the others list a prefix if they have missed a change.
        """
        _logger.warning("changes of the store can't be audited; listing all prefixes")
        revisions: list[int] = []
        changed: list[ChangedPrefix] = []
        for prefix, cache in self._feed.caches.items():
            listing = await self._store.list_entries(prefix)
            if isinstance(listing, Failure):
                return self._record_failure(listing)
            revisions.append(listing.revision)
            newest = max((entry.revision for entry in listing.entries), default=0)
            if not cache.exists_in(listing):
                newest = listing.revision
            changed.append(ChangedPrefix(prefix, newest))
        self._feed.record_store_success()
        self._publish(AuditNews(min(revisions), tuple(changed)))
        return True

    def _record_failure(self, failure: Failure) -> bool:
        _logger.warning("audit failed", extra={"failure": str(failure)})
        self._feed.record_store_failure()
        return False

    def _summarize(self, entries: Iterable[WatchedEntry]) -> tuple[ChangedPrefix, ...]:
        """Return the newest revision of the entries below each prefix."""
        newest: dict[str, int] = {}
        for entry in entries:
            for prefix in self._feed.caches:
                if entry.key.startswith(prefix):
                    newest[prefix] = max(newest.get(prefix, 0), entry.revision)
        return tuple(ChangedPrefix(prefix, number) for prefix, number in newest.items())

    def _publish(self, news: AuditNews) -> None:
        self._apply(news)
        for name in self._view.daemon_names():
            if name != self._name:
                self._network.send(name, news)

    def _handle_news(self, sender: Sender, news: AuditNews) -> None:
        self._apply(news)

    def _apply(self, news: AuditNews) -> None:
        self._audited_s = self._timers.now_s()
        self._audited_revision = max(self._audited_revision, news.revision)
        for changed in news.changed:
            self._check_watch(changed)

    def _check_watch(self, changed: ChangedPrefix) -> None:
        """Replace the watch of a prefix unless its newest change is known."""
        prefix, newest = changed.prefix, changed.newest_revision
        cache = self._feed.caches.get(prefix)
        if cache is None or cache.max_known_revision >= newest:
            return
        if self._feed.replace_watch(prefix):
            self._lost[prefix] += 1
            extra = {"prefix": prefix, **describe_revision(newest)}
            _logger.warning("watch has missed a change", extra=extra)

    def _log_age(self) -> None:
        """Log when changes may have been missed, and when they are known again."""
        is_unconfirmed = self.age_s >= UNCONFIRMED_MIN_S and self._feed.is_initialized
        if is_unconfirmed and not self._is_unconfirmed:
            extra = {"age_s": round(self.age_s, 1)}
            _logger.warning("watches of the store are not confirmed", extra=extra)
        elif self._is_unconfirmed and not is_unconfirmed:
            _logger.info("watches of the store are confirmed again")
        self._is_unconfirmed = is_unconfirmed


def create_watch_audit(
    name: str,
    store: WatchableStore,
    feed: FleetFeed,
    view: FleetView,
    network: Network,
    timers: TimerService,
) -> WatchAudit:
    """Create the audit of a daemon and subscribe it to its peers' audits.

    `run` audits; a daemon that does not call it, follows the audits of others.
    """
    return WatchAudit(name, store, feed, view, network, timers)
