"""Relays the store's entries within a region, so that only a few daemons read it."""

import random
from collections.abc import Sequence

from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .changes import DaemonChange, FleetChange
from .feed import FleetFeed
from .messages import FleetEntries, FleetNews, FleetRequest, PrefixState
from .packing import EntryPacker
from .prefix_cache import PrefixCache
from .reader_selection import READERS_KEY, REPORT_INTERVAL_S, ReaderSelection
from .store import WatchedEntry
from .view import FleetView

__all__ = ["RegionRelay"]

CHECK_INTERVAL_S = 0.1
REMOTE_POLL_INTERVAL_S = 0.8
"""Interval between two requests of a reader or first standby to another region.

The store may have dropped the watches of all readers of this region, or their links may
be slow."""
ANSWER_TIMEOUT_S = 0.6
"""Time without an answer after which a reader's report may cause another request."""
FULL_REQUEST_INTERVAL_S = 1.5
"""Minimum interval between two requests for all entries of a prefix.

The digest of a reader that defers removals differs for two seconds, though no
message was lost."""
SECONDARY_BATCH_INTERVAL_S = 0.8
"""Minimum pause between two watches of a reader that is not its group's primary.

It is shorter than the time allowed for a change to spread, as the primary may fail."""
PUSHED_ENTRIES_PER_MESSAGE_MAX = 100
"""Maximum number of entries in one message of pushed changes."""


class _RequestLimiter:
    """Limits how often reports about a prefix cause the same request."""

    def __init__(self) -> None:
        self._requested_s = float("-inf")
        self._revision = 0
        self._full_request_s = float("-inf")

    def allow_request(self, newest_revision: int, now_s: float) -> bool:
        """Return whether to request entries up to a revision, and record the request.

        A request is not repeated until its answer is overdue.
        """
        is_requested = newest_revision <= self._revision
        if is_requested and now_s - self._requested_s < ANSWER_TIMEOUT_S:
            return False
        self._requested_s = now_s
        self._revision = newest_revision
        return True

    def allow_full_request(self, now_s: float) -> bool:
        """Return whether to request all entries, and record the request."""
        if now_s - self._full_request_s < FULL_REQUEST_INTERVAL_S:
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
        self._is_selection_current = False
        self._is_reading = False
        network.subscribe(FleetNews, self._handle_report)
        feed.on_entries_changed(self._handle_changes)
        view.on_change(self._handle_fleet_change)
        timers.on_pause(lambda gap_s: self._selection.reset_timeouts(timers.now_s()))
        timers.call_every(CHECK_INTERVAL_S, self._update_reading)
        timers.call_every(REPORT_INTERVAL_S, self._send_states)
        timers.call_every(REMOTE_POLL_INTERVAL_S, self._poll_remote_entry_daemon)

    @property
    def is_polling_peers(self) -> bool:
        """Return whether this daemon polls peers for relayed prefixes."""
        return self._selection.is_polling_peers(self._timers.now_s())

    def is_relayed(self, prefix: str) -> bool:
        """Return whether a prefix is relayed."""
        return prefix in self._caches

    def _handle_fleet_change(self, change: FleetChange) -> None:
        if isinstance(change, DaemonChange):
            self._is_selection_current = False

    def _update_reading(self) -> None:
        """Start or stop watching the relayed prefixes, as selected."""
        is_listed = any(cache.revision for cache in self._caches.values())
        if not is_listed and not self._view.daemon_names():
            # Without known peers this daemon would select itself as a reader and start
            # watches that are cancelled after the first listing.
            return
        now_s = self._timers.now_s()
        if not self._is_selection_current:
            self._update_selection()
        if self._feed.is_store_unavailable:
            self._selection.record_store_unavailable(now_s)
        is_reading = self._selection.is_reading(now_s)
        has_started_reading = is_reading and not self._is_reading
        self._is_reading = is_reading
        is_secondary = not self._selection.is_primary
        self._feed.set_min_batch_interval(
            SECONDARY_BATCH_INTERVAL_S if is_secondary else 0.0
        )
        for prefix in self._caches:
            self._feed.set_watched(prefix, is_reading)
        if has_started_reading:
            # Report before the next group also reaches its timeout.
            self._send_states()

    def _update_selection(self) -> None:
        self._is_selection_current = True
        entry_daemons = self._view.daemons(Role.ENTRY.value)
        local_entry_names = self._view.peer_names(
            Role.ENTRY.value, self._region, self._name
        )
        agent_names = self._view.peer_names(Role.AGENT.value, self._region, self._name)
        same_role_names = local_entry_names if self._role is Role.ENTRY else agent_names
        same_role_names.append(self._name)
        if all(daemon.region == self._region for daemon in entry_daemons):
            # There is no other region to poll, so each daemon reads the store itself.
            self._selection.update_members(self._name, [self._name])
        else:
            self._selection.update_members(
                self._name, sorted(local_entry_names), sorted(agent_names)
            )

    def _handle_changes(self, prefix: str, changed: Sequence[WatchedEntry]) -> None:
        if prefix in self._pushed:
            self._push(prefix, changed)
        elif prefix in self._caches:
            self._send_states()

    def _push(self, prefix: str, changed: Sequence[WatchedEntry]) -> None:
        """Send changes to the daemons of this region that don't read the store."""
        if not self._selection.is_reading(self._timers.now_s()):
            return
        entries = [self._packer.pack(entry) for entry in changed]
        revision = self._caches[prefix].revision
        for start in range(0, len(entries), PUSHED_ENTRIES_PER_MESSAGE_MAX):
            part = tuple(entries[start : start + PUSHED_ENTRIES_PER_MESSAGE_MAX])
            self._send_to_standbys(FleetEntries(prefix, revision, part))

    def _send_states(self) -> None:
        """Report this daemon's state to the daemons that don't read the store."""
        is_reading = self._selection.is_reading(self._timers.now_s())
        if not is_reading and not self._selection.is_first_standby:
            return
        is_served = is_reading and not self._feed.is_store_unavailable
        states = tuple(_create_state(cache) for cache in self._caches.values())
        self._send_to_standbys(FleetNews(states, is_served))

    def _send_to_standbys(self, message: FleetNews | FleetEntries) -> None:
        for name in self._selection.standbys:
            if name != self._name:
                self._network.send(name, message)

    def _handle_report(self, sender: Sender, report: FleetNews) -> None:
        self._selection.record_report(
            self._timers.now_s(), sender.name, report.is_served
        )
        for state in report.states:
            if state.prefix in self._pushed:
                self._sync_entries(sender.name, state)
            elif state.prefix in self._caches:
                self._sync_document(sender.name, state)

    def _sync_document(self, peer: str, state: PrefixState) -> None:
        """Request a document of which a reader has a newer revision."""
        cache = self._caches[state.prefix]
        newest, covered = state.newest_revision, state.covered_revision
        cache.advance_revision(newest, covered, self._timers.now_s())
        if state.newest_revision > cache.newest_revision:
            self._request_newer(peer, state)

    def _sync_entries(self, peer: str, state: PrefixState) -> None:
        """Request entries that this daemon lacks after a lost message from a reader."""
        cache = self._caches[state.prefix]
        if state.covered_revision < cache.newest_revision:
            return
        if state.digest == cache.digest:
            newest, covered = cache.newest_revision, state.covered_revision
            cache.advance_revision(newest, covered, self._timers.now_s())
        elif state.newest_revision > cache.newest_revision:
            self._request_newer(peer, state)
        elif self._limiters[state.prefix].allow_full_request(self._timers.now_s()):
            self._network.send(peer, FleetRequest(state.prefix, 0))

    def _request_newer(self, peer: str, state: PrefixState) -> None:
        limiter = self._limiters[state.prefix]
        if limiter.allow_request(state.newest_revision, self._timers.now_s()):
            after = self._caches[state.prefix].newest_revision
            self._network.send(peer, FleetRequest(state.prefix, after))

    def _poll_remote_entry_daemon(self) -> None:
        """Ask another region's entry daemon for changes that local readers may miss."""
        if not self.is_polling_peers and not self._selection.is_first_standby:
            return
        remote_entry_daemons = [
            daemon
            for daemon in self._view.daemons(Role.ENTRY.value)
            if daemon.region != self._region
        ]
        if not remote_entry_daemons:
            return
        peer = self._rng.choice(remote_entry_daemons).name
        for prefix, cache in self._caches.items():
            if prefix not in self._pushed or self.is_polling_peers:
                self._network.send(peer, FleetRequest(prefix, cache.max_known_revision))


def _create_state(cache: PrefixCache) -> PrefixState:
    return PrefixState(
        cache.prefix, cache.newest_revision, cache.revision, cache.digest
    )
