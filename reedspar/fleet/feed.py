"""Keeps the view of the fleet up to date from the store: list once, then watch."""

import logging
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

import anyio

from reedspar.errors import Failure, Reason
from reedspar.timers import TimerService

from .changes import FleetChange
from .entries import PrefixCache
from .gate import WatchGate
from .store import Listing, WatchableStore, WatchedChanges, WatchedEntry
from .view import FleetView

__all__ = ["FleetCodec", "FleetFeed", "FleetPrefix", "create_fleet_feed"]

WATCH_S = 15.0
"""How long one watch waits; each counts as a call.

Shorter than the 20 s of history that the store keeps: a longer watch may fail as
expired, after which the prefix is listed again."""
PROBE_S = 0.05
"""How long a watch waits after a failure: its answer tells that the store is back."""
RETRY_MIN_S = 0.3
RETRY_MAX_S = 0.6
"""Pause between calls while the store is away, drawn anew each time, so that its
return is noticed in time and 15 daemons don't call all at once.  One prefix asks for
all: calls that the store refuses count, too."""
GATHER_S = 0.03
"""Pause between two watches: changes that come in a row are fetched by one call,
which spares about half of the calls while many targets change; adds 30 ms."""
POLL_MIN = 0.5
POLL_MAX = 1.5
"""Parts of the time between two reads, drawn anew, so that daemons read in turn."""
HELD_CHECK_S = 0.25

TakenListener = Callable[[str, Sequence[WatchedEntry]], None]

_logger = logging.getLogger(__name__)


class FleetCodec(Protocol):
    """Reads the store's entries."""

    def decode(self, entry: WatchedEntry) -> FleetChange | None:
        """Return the change that an entry stands for, None if it means nothing."""
        ...


@dataclass(frozen=True, slots=True)
class FleetPrefix:
    """A part of the store to follow."""

    prefix: str
    defers_outage_removals: bool = False
    batch_interval_s: float = GATHER_S
    """Pause between two watches, in which changes gather for one call."""
    poll_interval_s: float | None = None
    """Mean time between two reads of what need not be known at once, or None.

    Such a prefix is not watched.  Peers are asked at each read, and the store only if
    they don't answer."""
    is_relayed: bool = False
    """A few daemons of each region watch the prefix for the others."""
    is_pushed: bool = False
    """Readers send changes of this relayed prefix unrequested: its entries are small.

    It is not watched until the relay selects this daemon as a reader."""


class FleetFeed:
    """Follows prefixes of the store, one task each."""

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
            item.prefix: PrefixCache(item.prefix, item.defers_outage_removals)
            for item in prefixes
        }
        self._gates = {
            item.prefix: WatchGate(is_open=not item.is_pushed) for item in prefixes
        }
        self._pollers: dict[str, Callable[[], Awaitable[bool]]] = {}
        self._taken_listeners: list[TakenListener] = []
        self._gather_min_s = 0.0
        self._listed: set[str] = set()
        self._asking: PrefixCache | None = None
        self._answered = anyio.Event()
        self._initialized = anyio.Event()
        timers.call_every(HELD_CHECK_S, self._release_held)

    @property
    def is_initialized(self) -> bool:
        """Tell whether every prefix was listed once."""
        return self._initialized.is_set()

    @property
    def is_store_away(self) -> bool:
        """Tell whether the store does not answer this daemon."""
        return any(cache.is_away for cache in self._caches.values())

    @property
    def caches(self) -> dict[str, PrefixCache]:
        """Return the entries by prefix."""
        return self._caches

    @property
    def shared_caches(self) -> list[PrefixCache]:
        """Return the entries that peers tell each other of, by prefix."""
        return [
            cache
            for prefix, cache in self._caches.items()
            if self._prefixes[prefix].poll_interval_s is None
        ]

    @property
    def relayed_caches(self) -> list[PrefixCache]:
        """Return the entries that a few daemons of each region watch."""
        return [b for p, b in self._caches.items() if self._prefixes[p].is_relayed]

    @property
    def pushed_caches(self) -> list[PrefixCache]:
        """Return the entries whose changes readers send without a request."""
        return [b for p, b in self._caches.items() if self._prefixes[p].is_pushed]

    @property
    def polled_caches(self) -> list[PrefixCache]:
        """Return the entries that are read seldom."""
        return [
            cache
            for prefix, cache in self._caches.items()
            if self._prefixes[prefix].poll_interval_s is not None
        ]

    def set_poller(self, prefix: str, poll: Callable[[], Awaitable[bool]]) -> None:
        """Call `poll` before the store is read; True spares that read."""
        self._pollers[prefix] = poll

    def on_taken(self, listener: TakenListener) -> None:
        """Call `listener` with a prefix and its changed entries."""
        self._taken_listeners.append(listener)

    def set_watched(self, prefix: str, is_watched: bool) -> bool:
        """Watch a prefix at the store, or leave it to peers; tell if that is news."""
        gate = self._gates[prefix]
        if gate.is_open == is_watched:
            return False
        gate.set_open(is_watched)
        _logger.info(
            "watch changed", extra={"prefix": prefix, "is_watched": is_watched}
        )
        if not is_watched:
            self._leave_to_peers(self._caches[prefix])
        return True

    def set_gather_min(self, gather_min_s: float) -> None:
        """Set the minimum pause between two watches of any prefix."""
        self._gather_min_s = gather_min_s

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
        """Note that the store has answered some call of this daemon."""
        now_s = self._timers.now_s()
        for prefix, cache in self._caches.items():
            if self._gates[prefix].is_open:
                cache.record_store_success(now_s)
            else:
                cache.note_returned(now_s)

    def record_store_failure(self) -> None:
        """Note that a call of this daemon to the store has failed.

        Marks only prefixes that are not watched; a watch detects an outage itself.
        """
        for prefix, cache in self._caches.items():
            if not self._gates[prefix].is_open:
                cache.note_away()

    async def wait_initialized(self) -> None:
        """Return once every prefix was listed."""
        await self._initialized.wait()

    async def run(self) -> None:
        """Follow every prefix until cancelled.

        The first prefixes, up to the last document, are read before the others: what
        their entries say decides how those of the others are read.
        """
        documents = [n for n, p in enumerate(self._caches) if self._is_document(p)]
        caches = list(self._caches.values())
        first_count = max(documents, default=0) + 1
        is_from_peers = False
        async with anyio.create_task_group() as tasks:
            for cache in caches[:first_count]:
                is_from_peers = await self._read(cache)
                tasks.start_soon(self._follow, cache)
            for cache in caches[first_count:]:
                tasks.start_soon(self._read_and_follow, cache, is_from_peers)

    def _is_document(self, prefix: str) -> bool:
        return prefix in self._pollers and not self._prefixes[prefix].is_pushed

    def take_from_peer(self, prefix: str, entries: Iterable[WatchedEntry]) -> int:
        """Take in what a peer has heard from the store; return how much was news."""
        cache = self._caches.get(prefix)
        if cache is None:
            return 0
        # The own watch goes on from the revision that it has reached itself:
        # a peer's entries may leave gaps below the peer's revision.
        # Peers pass on no removal that they keep back themselves.
        now_s = self._timers.now_s()
        changed = cache.take(entries, cache.revision, now_s, is_certain=True)
        self._take_in(cache, changed)
        return len(changed)

    def take_listing_from_peer(self, prefix: str, listing: Listing) -> int:
        """Take in all entries of a prefix that a peer has; return how many were new."""
        cache = self._caches[prefix]
        now_s = self._timers.now_s()
        changed = cache.take_listing(listing, now_s, is_certain=True)
        self._take_in(cache, changed)
        return len(changed)

    async def _read_and_follow(self, cache: PrefixCache, is_from_peers: bool) -> None:
        """Read a prefix, from peers if they answered the last read, and follow it."""
        if is_from_peers:
            await self._read(cache)
        else:
            await self._list(cache)
        await self._follow(cache)

    async def _read(self, cache: PrefixCache) -> bool:
        """Read from peers what may be had from them, else from the store.

        Return whether a peer has answered.
        """
        poll = self._pollers.get(cache.prefix)
        while True:
            if poll is not None and await poll():
                self._leave_to_peers(cache)
                self._note_listed(cache)
                return True
            if await self._try_list(cache):
                return False

    async def _list(self, cache: PrefixCache) -> None:
        while not await self._try_list(cache):
            pass

    async def _try_list(self, cache: PrefixCache) -> bool:
        """List once; after a failure return when it is time to call again."""
        listing = await self._store.list_entries(cache.prefix)
        now_s = self._timers.now_s()
        if isinstance(listing, Failure):
            await self._wait_for_store(cache, listing)
            return False
        self._note_answer(cache, now_s)
        self._take_in(cache, cache.take_listing(listing, now_s))
        self._note_listed(cache)
        return True

    async def _follow(self, cache: PrefixCache) -> None:
        poll_interval_s = self._prefixes[cache.prefix].poll_interval_s
        while True:
            # Until the first entry is written it is awaited like any other news.
            if poll_interval_s is not None and cache.entries_after(0):
                await anyio.sleep(
                    poll_interval_s * self._rng.uniform(POLL_MIN, POLL_MAX)
                )
                await self._read(cache)
                continue
            result = await self._gates[cache.prefix].run(lambda: self._watch(cache))
            now_s = self._timers.now_s()
            if result is None:
                continue
            if isinstance(result, WatchedChanges):
                self._note_answer(cache, now_s)
                changed = cache.take(result.entries, result.revision, now_s)
                self._take_in(cache, changed)
                batch_interval_s = self._prefixes[cache.prefix].batch_interval_s
                await anyio.sleep(max(batch_interval_s, self._gather_min_s))
            elif result.reason is Reason.EXPIRED:
                _logger.warning(
                    "history of the store is gone; listing again",
                    extra={"prefix": cache.prefix, "revision": cache.revision},
                )
                await self._list(cache)
            else:
                await self._wait_for_store(cache, result)

    async def _watch(self, cache: PrefixCache) -> WatchedChanges | Failure:
        wait_s = PROBE_S if cache.is_away else WATCH_S
        is_single = self._is_single_document(cache.prefix)
        after = cache.seen_revision if is_single else cache.revision
        return await self._store.watch_entries(cache.prefix, after, wait_s)

    def _is_single_document(self, prefix: str) -> bool:
        """Tell whether a prefix has one entry: peers' revisions then leave no gap."""
        options = self._prefixes[prefix]
        return options.is_relayed and not options.is_pushed

    async def _wait_for_store(self, cache: PrefixCache, failure: Failure) -> None:
        """Return when it is time to call again."""
        if cache.note_away():
            _logger.warning(
                "store lost", extra={"prefix": cache.prefix, "failure": str(failure)}
            )
        if self._asking is None:
            self._asking = cache
        if self._asking is cache:
            await anyio.sleep(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
        else:
            await self._answered.wait()

    def _note_answer(self, cache: PrefixCache, now_s: float) -> None:
        self.record_store_success()
        if cache.note_returned(now_s):
            _logger.info("store regained", extra={"prefix": cache.prefix})
        if self._asking is not None:
            self._let_others_ask()

    def _leave_to_peers(self, cache: PrefixCache) -> None:
        cache.note_left()
        if self._asking is cache:
            self._let_others_ask()

    def _let_others_ask(self) -> None:
        self._asking = None
        self._answered.set()
        self._answered = anyio.Event()

    def _note_listed(self, cache: PrefixCache) -> None:
        self._listed.add(cache.prefix)
        if len(self._listed) == len(self._caches) and not self._initialized.is_set():
            self._view.mark_initialized()
            self._initialized.set()

    def _take_in(self, cache: PrefixCache, changed: Sequence[WatchedEntry]) -> None:
        self._apply(changed)
        if changed:
            for listener in self._taken_listeners:
                listener(cache.prefix, changed)

    def _apply(self, entries: Iterable[WatchedEntry]) -> None:
        for entry in entries:
            change = self._codec.decode(entry)
            if change is not None:
                self._view.apply(change)

    def _release_held(self) -> None:
        for cache in self._caches.values():
            self._take_in(cache, cache.release_held(self._timers.now_s()))


def create_fleet_feed(
    store: WatchableStore,
    view: FleetView,
    codec: FleetCodec,
    timers: TimerService,
    prefixes: Sequence[FleetPrefix],
    rng: random.Random | None = None,
) -> FleetFeed:
    """Make a feed of the prefixes, the first of which is read first."""
    return FleetFeed(store, view, codec, timers, prefixes, rng or random.Random())
