"""Keeps the fleet view up to date: lists each prefix of the store, then watches it."""

import logging
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from functools import partial

import anyio

from reedspar.errors import Failure, Reason
from reedspar.supervision import call_contained, run_restarting
from reedspar.timers import TimerService

from .prefix_cache import PrefixCache
from .prefix_options import FleetPrefix
from .revisions import describe_revision
from .store import (
    FleetCodec,
    Listing,
    WatchableStore,
    WatchedChanges,
    WatchedEntry,
)
from .store_retry import StoreRetry
from .view import FleetView
from .watch_gate import WatchGate

__all__ = ["FleetFeed", "create_fleet_feed"]

WATCH_TIMEOUT_S = 18.0
"""Timeout of one watch; each watch counts as a call.

Audits notice a watch that is lost before its timeout.  It is below the 20 s of history
that the store keeps.  A longer watch may fail with EXPIRED, after which the prefix has
to be listed again."""
RECOVERY_WATCH_TIMEOUT_S = 0.05
"""Watch timeout after a failure, short so that recovery is detected early."""
POLL_JITTER_MIN = 0.5
POLL_JITTER_MAX = 1.5
"""Bounds of the random factor of a poll interval, which spreads the daemons' reads."""
DEFERRED_CHECK_INTERVAL_S = 0.25
EPOCH_CHECK_INTERVAL_S = 0.25

EntriesListener = Callable[[str, Sequence[WatchedEntry]], None]

_logger = logging.getLogger(__name__)


class FleetFeed:
    """Follows prefixes of the store, with one task for each."""

    def __init__(
        self,
        store: WatchableStore,
        view: FleetView,
        codec: FleetCodec,
        timers: TimerService,
        prefixes: Sequence[FleetPrefix],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._view = view
        self._codec = codec
        self._timers = timers
        self._rng = rng
        self._prefixes = {item.prefix: item for item in prefixes}
        self._caches = {
            item.prefix: PrefixCache(
                item.prefix, item.defers_outage_removals, codec.is_older
            )
            for item in prefixes
        }
        self._gates = {p.prefix: WatchGate(not p.is_pushed) for p in prefixes}
        self._peer_polls: dict[str, Callable[[], Awaitable[bool]]] = {}
        self._entries_listeners: list[EntriesListener] = []
        self._min_batch_interval_s = 0.0
        self._listed: set[str] = set()
        self._answered_s = float("-inf")
        self._retry = StoreRetry(rng)
        self._initialized = anyio.Event()
        self._epoch = 0
        timers.call_every(DEFERRED_CHECK_INTERVAL_S, self._release_deferred)
        timers.call_every(EPOCH_CHECK_INTERVAL_S, self._check_epoch)

    @property
    def is_initialized(self) -> bool:
        """Return whether every prefix was listed once."""
        return self._initialized.is_set()

    @property
    def is_store_unavailable(self) -> bool:
        """Return whether the store does not answer this daemon."""
        return any(cache.is_unavailable for cache in self._caches.values())

    @property
    def caches(self) -> dict[str, PrefixCache]:
        """Return the cached entries by prefix."""
        return self._caches

    @property
    def shared_caches(self) -> list[PrefixCache]:
        """Return the caches of the watched prefixes, whose entries peers exchange."""
        return [
            cache
            for prefix, cache in self._caches.items()
            if self._prefixes[prefix].poll_interval_s is None
        ]

    @property
    def relayed_caches(self) -> list[PrefixCache]:
        """Return the caches of the prefixes that a few daemons of a region watch."""
        return [c for p, c in self._caches.items() if self._prefixes[p].is_relayed]

    @property
    def pushed_caches(self) -> list[PrefixCache]:
        """Return the caches of the prefixes whose changes readers push."""
        return [c for p, c in self._caches.items() if self._prefixes[p].is_pushed]

    @property
    def document_caches(self) -> list[PrefixCache]:
        """Return the caches of the relayed prefixes that have a single, large key."""
        return [c for p, c in self._caches.items() if self._is_relayed_document(p)]

    @property
    def polled_caches(self) -> list[PrefixCache]:
        """Return the caches of the prefixes that are read at intervals, not watched."""
        return [
            cache
            for prefix, cache in self._caches.items()
            if self._prefixes[prefix].poll_interval_s is not None
        ]

    @property
    def unanswered_s(self) -> float:
        """Return the time since the store has answered any call of this daemon."""
        return self._timers.now_s() - self._answered_s

    def replace_watch(self, prefix: str) -> bool:
        """Replace the watch of a prefix; return whether there was one in progress."""
        return self._gates[prefix].cancel_call()

    def replace_watches(self) -> None:
        """Replace all watches in progress."""
        for prefix in self._gates:
            self.replace_watch(prefix)

    def set_peer_poll(self, prefix: str, poll: Callable[[], Awaitable[bool]]) -> None:
        """Call `poll` to ask peers before each read of the store; True skips it."""
        self._peer_polls[prefix] = poll

    def on_entries_changed(self, listener: EntriesListener) -> None:
        """Call `listener` with a prefix and its changed entries."""
        self._entries_listeners.append(listener)

    def set_watched(self, prefix: str, is_watched: bool) -> bool:
        """Start or stop watching a prefix; return whether that was a change."""
        gate = self._gates[prefix]
        if gate.is_open == is_watched:
            return False
        gate.set_open(is_watched)
        _logger.info(
            "watch changed", extra={"prefix": prefix, "is_watched": is_watched}
        )
        if not is_watched:
            self._hand_over_to_peers(self._caches[prefix])
        return True

    def set_min_batch_interval(self, min_batch_interval_s: float) -> None:
        """Set the minimum pause between two watches of any prefix."""
        self._min_batch_interval_s = min_batch_interval_s

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 if it is not known to exist."""
        return next(
            (
                cache.revision_of(key)
                for prefix, cache in self._caches.items()
                if key.startswith(prefix)
            ),
            0,
        )

    def record_store_success(self) -> None:
        """Record that the store has answered any call of this daemon."""
        self._answered_s = now_s = self._timers.now_s()
        for prefix, cache in self._caches.items():
            if self._gates[prefix].is_open:
                cache.record_store_success(now_s)
                self._gates[prefix].cancel_suspect_call()
            else:
                cache.mark_available(now_s)

    def record_store_failure(self) -> None:
        """Record that a call of this daemon to the store has failed.

        Prefixes stay available until their watches fail.  The store may have dropped
        these without an answer, so they are replaced once it answers.
        """
        for prefix, cache in self._caches.items():
            if self._gates[prefix].is_open:
                cache.record_store_failure(self._timers.now_s())
                self._gates[prefix].suspect_call()
            else:
                cache.mark_unavailable()

    async def wait_initialized(self) -> None:
        """Wait until every prefix was listed."""
        await self._initialized.wait()

    async def run(self) -> None:
        """Follow every prefix until cancelled.

        The prefixes up to the last document decide how others are read, so are first.
        """
        documents = [n for n, p in enumerate(self._caches) if self._is_peer_document(p)]
        caches = list(self._caches.values())
        first_count = max(documents, default=0) + 1
        is_from_peers = False
        async with anyio.create_task_group() as tasks:
            for cache in caches[:first_count]:
                is_from_peers = await self._read(cache)
                tasks.start_soon(run_restarting, partial(self._follow, cache))
            for cache in caches[first_count:]:
                follow = partial(self._read_and_follow, cache, is_from_peers)
                tasks.start_soon(run_restarting, follow)

    def _is_peer_document(self, prefix: str) -> bool:
        """Return whether a prefix is a document (one key) that peers are asked for."""
        return prefix in self._peer_polls and not self._prefixes[prefix].is_pushed

    def apply_from_peer(self, prefix: str, entries: Iterable[WatchedEntry]) -> int:
        """Apply entries from a peer; return the number of changes."""
        cache = self._caches.get(prefix)
        if cache is None:
            return 0
        # This daemon's watch continues from its own revision, because a peer's entries
        # may leave gaps below the peer's revision.  They are authoritative: peers don't
        # send removals that they defer themselves.
        now_s = self._timers.now_s()
        changed = cache.apply(entries, cache.revision, now_s, is_authoritative=True)
        self._apply_changes(cache, changed)
        return len(changed)

    def apply_listing_from_peer(self, prefix: str, listing: Listing) -> int:
        """Apply a peer's full listing of a prefix; return the number of changes."""
        cache = self._caches[prefix]
        now_s = self._timers.now_s()
        changed = cache.apply_listing(listing, now_s, is_authoritative=True)
        self._apply_changes(cache, changed)
        return len(changed)

    async def _read_and_follow(self, cache: PrefixCache, is_from_peers: bool) -> None:
        """Read a prefix, trying peers first if they answered before, and follow it."""
        if is_from_peers:
            await self._read(cache)
        else:
            await self._list(cache)
        await self._follow(cache)

    async def _read(self, cache: PrefixCache) -> bool:
        """Read from peers if possible, else from the store.

        Return whether a peer has answered.
        """
        poll = self._peer_polls.get(cache.prefix)
        while True:
            if poll is not None and await poll():
                self._hand_over_to_peers(cache)
                self._mark_listed(cache)
                return True
            if await self._try_list(cache):
                return False

    async def _list(self, cache: PrefixCache) -> None:
        while not await self._try_list(cache):
            pass

    async def _try_list(self, cache: PrefixCache) -> bool:
        """List once and return whether it succeeded; after a failure, wait to retry."""
        listing = await self._store.list_entries(cache.prefix)
        now_s = self._timers.now_s()
        if isinstance(listing, Failure):
            await self._wait_for_store(cache, listing)
            return False
        self._handle_answer(cache, now_s)
        cache.log_outdated(listing)
        self._apply_changes(cache, cache.apply_listing(listing, now_s))
        self._mark_listed(cache)
        return True

    async def _follow(self, cache: PrefixCache) -> None:
        poll_interval_s = self._prefixes[cache.prefix].poll_interval_s
        while True:
            # Until the first entry is written, the prefix is watched instead of polled.
            if poll_interval_s is not None and cache.entries_after(0):
                await anyio.sleep(
                    poll_interval_s
                    * self._rng.uniform(POLL_JITTER_MIN, POLL_JITTER_MAX)
                )
                await self._read(cache)
                continue
            result = await self._gates[cache.prefix].run(lambda: self._watch(cache))
            now_s = self._timers.now_s()
            if result is None:
                continue
            if isinstance(result, WatchedChanges):
                self._handle_answer(cache, now_s)
                changed = cache.apply(result.entries, result.revision, now_s)
                self._apply_changes(cache, changed)
                batch_interval_s = self._prefixes[cache.prefix].batch_interval_s
                await anyio.sleep(max(batch_interval_s, self._min_batch_interval_s))
            elif result.reason is Reason.EXPIRED:
                await self._list_again(cache)
            else:
                await self._wait_for_store(cache, result)

    async def _list_again(self, cache: PrefixCache) -> None:
        """List a prefix whose changes can't be watched from its revision."""
        revision = cache.revision
        extra = {"prefix": cache.prefix, **describe_revision(revision)}
        _logger.warning("history of the store is gone; listing again", extra=extra)
        await self._list(cache)
        if cache.revision <= revision:
            # The next watch would fail in the same way.
            await self._retry.pause()

    async def _watch(self, cache: PrefixCache) -> WatchedChanges | Failure:
        wait_s = RECOVERY_WATCH_TIMEOUT_S if cache.is_unavailable else WATCH_TIMEOUT_S
        is_relayed_document = self._is_relayed_document(cache.prefix)
        after = cache.max_known_revision if is_relayed_document else cache.revision
        return await self._store.watch_entries(cache.prefix, after, wait_s)

    def _is_relayed_document(self, prefix: str) -> bool:
        """Return whether a prefix is a relayed document; one key leaves no gap."""
        options = self._prefixes[prefix]
        return options.is_relayed and not options.is_pushed

    async def _wait_for_store(self, cache: PrefixCache, failure: Failure) -> None:
        """Wait until the store may be called again."""
        if cache.mark_unavailable():
            _logger.warning(
                "store lost", extra={"prefix": cache.prefix, "failure": str(failure)}
            )
        await self._retry.wait(cache)

    def _handle_answer(self, cache: PrefixCache, now_s: float) -> None:
        self.record_store_success()
        if cache.mark_available(now_s):
            _logger.info("store regained", extra={"prefix": cache.prefix})
        self._retry.end()

    def _hand_over_to_peers(self, cache: PrefixCache) -> None:
        cache.mark_unwatched()
        self._retry.hand_over(cache)

    def _mark_listed(self, cache: PrefixCache) -> None:
        self._listed.add(cache.prefix)
        if len(self._listed) == len(self._caches) and not self._initialized.is_set():
            self._epoch = self._store.epoch
            self._view.mark_initialized()
            self._initialized.set()

    def _apply_changes(
        self, cache: PrefixCache, changed: Sequence[WatchedEntry]
    ) -> None:
        self._apply_to_view(changed)
        if changed:
            for listener in self._entries_listeners:
                call_contained("entries listener", listener, cache.prefix, changed)

    def _apply_to_view(self, entries: Iterable[WatchedEntry]) -> None:
        for entry in entries:
            call_contained("store entry", self._apply_entry, entry, subject=entry.key)

    def _apply_entry(self, entry: WatchedEntry) -> None:
        change = self._codec.decode(entry)
        if change is not None:
            self._view.apply(change)

    def _check_epoch(self) -> None:
        """Replace the watches of an earlier epoch, which may never be answered."""
        if self.is_initialized and self._store.epoch > self._epoch:
            self._epoch = self._store.epoch
            self.replace_watches()

    def _release_deferred(self) -> None:
        for cache in self._caches.values():
            self._apply_changes(cache, cache.release_deferred(self._timers.now_s()))


def create_fleet_feed(
    store: WatchableStore,
    view: FleetView,
    codec: FleetCodec,
    timers: TimerService,
    prefixes: Sequence[FleetPrefix],
    rng: random.Random | None = None,
) -> FleetFeed:
    """Create a feed of the prefixes, which are first read in this order."""
    return FleetFeed(store, view, codec, timers, prefixes, rng or random.Random())
