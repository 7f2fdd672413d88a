"""Relaying the store's entries within a region, so that few daemons read it."""

import random
from collections.abc import Sequence

from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .changes import DaemonChange, FleetChange
from .entries import PrefixCache
from .feed import FleetFeed
from .messages import FleetEntries, FleetNews, FleetRequest, PrefixState
from .packing import EntryPacker
from .reader_selection import NEWS_S, READERS_KEY, ReaderSelection
from .store import WatchedEntry
from .view import FleetView

__all__ = ["RegionRelay"]

CHECK_S = 0.1
FAR_ASK_S = 0.8
"""Between two questions to another region of a reader, or of one of the next in rank.

The store may have forgotten the watches of all readers of this one, or their links may
be slow."""
ANSWER_S = 0.6
"""After an unanswered question the next news of a reader is reason for another."""
FULL_REQUEST_S = 1.5
"""Between two requests for all entries of a prefix.

The digest of a reader that holds back removals differs for two seconds."""
STANDBY_BATCH_INTERVAL_S = 0.8
"""Minimum pause between two watches of a reader that is not its group's primary.

Shorter than the time in which a change has to be known, in case the primary fails."""
PUSH_ENTRIES_MAX = 100
"""Entries in one message of pushed changes."""


class _RequestLimiter:
    """Limits how often news of a prefix causes the same request."""

    def __init__(self) -> None:
        self._asked_s = float("-inf")
        self._revision = 0
        self._full_request_s = float("-inf")

    def allow_request(self, newest_revision: int, now_s: float) -> bool:
        """Tell whether to request entries up to a revision, and record the request.

        A request is not repeated before its answer is due.
        """
        is_requested = newest_revision <= self._revision
        if is_requested and now_s - self._asked_s < ANSWER_S:
            return False
        self._asked_s = now_s
        self._revision = newest_revision
        return True

    def allow_full_request(self, now_s: float) -> bool:
        """Tell whether to request all entries, and record the request."""
        if now_s - self._full_request_s < FULL_REQUEST_S:
            return False
        self._full_request_s = now_s
        return True


class RegionRelay:
    """Reads the store while selected, and relays its entries within the region."""

    def __init__(
        self,
        name: str,
        region: str,
        role: Role,
        feed: FleetFeed,
        view: FleetView,
        network: Network,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._region = region
        self._role = role
        self._feed = feed
        self._view = view
        self._network = network
        self._timers = timers
        self._rng = rng
        self._caches = {cache.prefix: cache for cache in feed.relayed_caches}
        self._pushed = {cache.prefix for cache in feed.pushed_caches}
        self._limiters = {prefix: _RequestLimiter() for prefix in self._caches}
        self._packer = EntryPacker()
        self._selection = ReaderSelection(READERS_KEY, timers.now_s())
        self._is_placed = False
        self._is_reading = False
        network.subscribe(FleetNews, self._hear)
        feed.on_taken(self._note_taken)
        view.on_change(self._note_change)
        timers.on_pause(lambda gap_s: self._selection.lapse(timers.now_s()))
        timers.call_every(CHECK_S, self._check)
        timers.call_every(NEWS_S, self._tell)
        timers.call_every(FAR_ASK_S, self._ask_far)

    @property
    def is_asking(self) -> bool:
        """Tell whether this daemon polls peers for relayed prefixes."""
        return self._selection.is_asking(self._timers.now_s())

    def is_relayed(self, prefix: str) -> bool:
        """Tell whether a prefix is relayed."""
        return prefix in self._caches

    def _note_change(self, change: FleetChange) -> None:
        if isinstance(change, DaemonChange):
            self._is_placed = False

    def _check(self) -> None:
        is_listed = any(cache.revision for cache in self._caches.values())
        if not is_listed and not self._view.daemon_names():
            # Without known peers this daemon would select itself as a reader and start
            # watches that are cancelled after the first listing.
            return
        now_s = self._timers.now_s()
        if not self._is_placed:
            self._place()
        if self._feed.is_store_away:
            self._selection.note_away(now_s)
        is_reading = self._selection.is_reading(now_s)
        has_begun = is_reading and not self._is_reading
        self._is_reading = is_reading
        is_standby = not self._selection.is_primary
        self._feed.set_gather_min(STANDBY_BATCH_INTERVAL_S if is_standby else 0.0)
        for prefix in self._caches:
            self._feed.set_watched(prefix, is_reading)
        if has_begun:
            # Before the next in rank time out, too.
            self._tell()

    def _place(self) -> None:
        self._is_placed = True
        entries = self._view.daemons(Role.ENTRY.value)
        near = self._view.peer_names(Role.ENTRY.value, self._region, self._name)
        agents = self._view.peer_names(Role.AGENT.value, self._region, self._name)
        own = near if self._role is Role.ENTRY else agents
        own.append(self._name)
        if all(entry.region == self._region for entry in entries):
            # Without another region to ask, each daemon reads the store itself.
            self._selection.place(self._name, [self._name])
        else:
            self._selection.place(self._name, sorted(near), sorted(agents))

    def _note_taken(self, prefix: str, changed: Sequence[WatchedEntry]) -> None:
        if prefix in self._pushed:
            self._push(prefix, changed)
        elif prefix in self._caches:
            self._tell()

    def _push(self, prefix: str, changed: Sequence[WatchedEntry]) -> None:
        """Send changes to the daemons of this region that don't read."""
        if not self._selection.is_reading(self._timers.now_s()):
            return
        entries = [self._packer.pack(entry) for entry in changed]
        revision = self._caches[prefix].revision
        for start in range(0, len(entries), PUSH_ENTRIES_MAX):
            part = tuple(entries[start : start + PUSH_ENTRIES_MAX])
            self._send_to_listeners(FleetEntries(prefix, revision, part))

    def _tell(self) -> None:
        """Tell the daemons of this region that don't read what is known here."""
        is_reading = self._selection.is_reading(self._timers.now_s())
        if not is_reading and not self._selection.is_next:
            return
        is_served = is_reading and not self._feed.is_store_away
        states = tuple(_create_state(cache) for cache in self._caches.values())
        self._send_to_listeners(FleetNews(states, is_served))

    def _send_to_listeners(self, message: FleetNews | FleetEntries) -> None:
        for name in self._selection.listeners:
            if name != self._name:
                self._network.send(name, message)

    def _hear(self, sender: Sender, news: FleetNews) -> None:
        self._selection.note_news(self._timers.now_s(), sender.name, news.is_served)
        for state in news.states:
            if state.prefix in self._pushed:
                self._compare_entries(sender.name, state)
            elif state.prefix in self._caches:
                self._compare_document(sender.name, state)

    def _compare_document(self, peer: str, state: PrefixState) -> None:
        cache = self._caches[state.prefix]
        cache.note_covered(state.newest_revision, state.covered_revision)
        if state.newest_revision > cache.newest_revision:
            self._ask_newer(peer, state)

    def _compare_entries(self, peer: str, state: PrefixState) -> None:
        """Request entries from a reader that this daemon lacks after a lost message."""
        cache = self._caches[state.prefix]
        if state.covered_revision < cache.newest_revision:
            return
        if state.digest == cache.digest:
            cache.note_covered(cache.newest_revision, state.covered_revision)
        elif state.newest_revision > cache.newest_revision:
            self._ask_newer(peer, state)
        elif self._limiters[state.prefix].allow_full_request(self._timers.now_s()):
            self._network.send(peer, FleetRequest(state.prefix, 0))

    def _ask_newer(self, peer: str, state: PrefixState) -> None:
        limiter = self._limiters[state.prefix]
        if limiter.allow_request(state.newest_revision, self._timers.now_s()):
            after = self._caches[state.prefix].newest_revision
            self._network.send(peer, FleetRequest(state.prefix, after))

    def _ask_far(self) -> None:
        """Ask an entry of another region for changes that readers here may miss."""
        if not self.is_asking and not self._selection.is_next:
            return
        far = [
            entry
            for entry in self._view.daemons(Role.ENTRY.value)
            if entry.region != self._region
        ]
        if not far:
            return
        peer = self._rng.choice(far).name
        for prefix, cache in self._caches.items():
            if prefix not in self._pushed or self.is_asking:
                self._network.send(peer, FleetRequest(prefix, cache.seen_revision))


def _create_state(cache: PrefixCache) -> PrefixState:
    return PrefixState(
        cache.prefix, cache.newest_revision, cache.revision, cache.digest
    )
