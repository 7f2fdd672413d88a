"""Anti-entropy exchange of the store's entries between peers.

The store may refuse or ignore the calls of single machines while it serves the others.
Such a machine would continue to use routes and keys that operators have removed; it
gets the changes from peers that the store serves.
"""

import logging
import random

from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService
from reedspar.utils import sample_up_to

from .document_poll import DocumentPoll
from .feed import FleetFeed
from .messages import DocumentNews, DocumentRequest, FleetEntries, FleetRequest
from .packing import EntryPacker, unpack_entry
from .prefix_cache import PrefixCache
from .prefix_poll import PrefixPoll
from .relay import RegionRelay
from .removal_queries import RemovalQueries
from .revisions import describe_revision
from .store import Listing
from .version_ages import VersionAges
from .view import FleetView

__all__ = ["FleetExchange", "create_fleet_exchange"]

PEER_POLL_INTERVAL_S = 0.4
"""Interval between two requests for changes.

With it, a change takes effect within one second of the write to the store; operators
are promised two.  A request without an answer takes 100 bytes."""
PEERS_POLLED_DURING_OUTAGE = 2
"""Peers asked each time while the store is unavailable.

They are chosen at random each time, as the store may refuse one of them, too."""
PEERS_POLLED = 1
"""Peers asked each time while the store seems to be available.

For up to 25 s, a watch without changes looks the same as one that the store has
dropped.  Without these requests, a machine with a dropped watch refused requests for
a new route 2.1 s after it was written to the store."""
ENTRIES_PER_MESSAGE_MAX = 400
"""Maximum number of entries in one answer; the rest is sent with the next one."""

_logger = logging.getLogger(__name__)


class FleetExchange:
    """Requests changes from peers, and answers their requests."""

    def __init__(
        self,
        name: str,
        feed: FleetFeed,
        view: FleetView,
        network: Network,
        timers: TimerService,
        rng: random.Random,
        region: str,
        role: Role,
    ) -> None:
        self._name = name
        self._feed = feed
        self._view = view
        self._network = network
        self._timers = timers
        self._rng = rng
        network.subscribe(FleetRequest, self._handle_request)
        network.subscribe(FleetEntries, self._handle_entries)
        timers.call_every(PEER_POLL_INTERVAL_S, self.poll_peers)
        self._ages = VersionAges(name, view, network, timers, rng)
        self._packer = EntryPacker()
        self._relay = RegionRelay(name, region, role, feed, view, network, timers, rng)
        self._removal_queries = RemovalQueries(name, feed, view, network, timers, rng)
        network.subscribe(DocumentRequest, self._handle_document_request)
        pushed = [cache.prefix for cache in feed.pushed_caches]
        for cache in [*feed.relayed_caches, *feed.polled_caches]:
            if cache.prefix in pushed:
                prefix_poll = PrefixPoll(
                    name, region, cache, view, network, timers, rng
                )
                feed.set_peer_poll(cache.prefix, prefix_poll.poll)
                continue
            is_relayed = self._relay.is_relayed(cache.prefix)
            poll = DocumentPoll(
                name, region, cache, feed, view, network, timers, rng, is_relayed
            )
            feed.set_peer_poll(cache.prefix, poll.poll)

    def poll_peers(self) -> None:
        """Ask peers for entries that are newer than this daemon's."""
        peers = self._choose_peers()
        caches = [
            cache for cache in self._feed.shared_caches if self._needs_peer_poll(cache)
        ]
        for peer in peers:
            for cache in caches:
                self._network.send(
                    peer, FleetRequest(cache.prefix, cache.max_known_revision)
                )
        self._ages.request_ages(peers)

    def _needs_peer_poll(self, cache: PrefixCache) -> bool:
        return not self._relay.is_relayed(cache.prefix) or self._relay.is_polling_peers

    def _choose_peers(self) -> list[str]:
        # Agents are not asked, as they follow fewer prefixes than entry daemons.
        names = self._view.peer_names(Role.ENTRY.value, None, self._name)
        if self._feed.is_store_unavailable:
            return sample_up_to(self._rng, names, PEERS_POLLED_DURING_OUTAGE)
        local_names = [name for name in names if self._is_same_region(name)] or names
        return sample_up_to(self._rng, local_names, PEERS_POLLED)

    def _is_same_region(self, name: str) -> bool:
        """Return whether a peer is in the same region as this daemon."""
        own = self._view.daemon(self._name)
        peer = self._view.daemon(name)
        return own is not None and peer is not None and peer.region == own.region

    def _handle_document_request(
        self, sender: Sender, request: DocumentRequest
    ) -> None:
        """Answer even if nothing is newer: the sender asks rarely, and waits for it."""
        cache = self._feed.caches.get(request.prefix)
        if cache is None:
            return
        if cache.entries_after(request.after_revision):
            self._handle_request(
                sender, FleetRequest(cache.prefix, request.after_revision)
            )
        else:
            newest, covered = cache.newest_revision, cache.revision
            answer = DocumentNews(cache.prefix, newest, covered, True)
            self._network.send(sender.name, answer)

    def _handle_request(self, sender: Sender, request: FleetRequest) -> None:
        """Send newer entries; the peer's prefix may be narrower than the cached one."""
        cache = next(
            (
                cache
                for cache in self._feed.shared_caches
                if request.prefix.startswith(cache.prefix)
            ),
            None,
        )
        if cache is None:
            return
        newer = [
            entry
            for entry in cache.entries_after(request.after_revision)
            if entry.key.startswith(request.prefix)
        ]
        if not newer:
            return
        entries = tuple(
            self._packer.pack(entry) for entry in newer[:ENTRIES_PER_MESSAGE_MAX]
        )
        is_complete = len(newer) <= ENTRIES_PER_MESSAGE_MAX
        revision = cache.revision if is_complete else entries[-1].revision
        is_whole = is_complete and request.after_revision == 0 and cache.revision > 0
        message = FleetEntries(request.prefix, revision, entries, is_whole)
        self._network.send(sender.name, message)

    def _handle_entries(self, sender: Sender, message: FleetEntries) -> None:
        entries = [e for e in map(unpack_entry, message.entries) if e is not None]
        if message.is_whole and message.prefix in self._feed.caches:
            listing = Listing(tuple(entries), message.revision)
            change_count = self._feed.apply_listing_from_peer(message.prefix, listing)
        else:
            change_count = self._feed.apply_from_peer(message.prefix, entries)
        if entries and self._relay.is_relayed(message.prefix):
            self._advance_document_revision(message)
        if change_count:
            _logger.info(
                "heard from a peer",
                extra={
                    "peer": sender.name,
                    "prefix": message.prefix,
                    **describe_revision(message.revision),
                    "count": change_count,
                },
            )

    def _advance_document_revision(self, message: FleetEntries) -> None:
        """Advance a document's revision to the one up to which the peer is complete."""
        cache = self._feed.caches[message.prefix]
        if cache not in self._feed.pushed_caches:
            newest = max(entry.revision for entry in message.entries)
            cache.advance_revision(newest, message.revision, self._timers.now_s())


def create_fleet_exchange(
    name: str,
    feed: FleetFeed,
    view: FleetView,
    network: Network,
    timers: TimerService,
    rng: random.Random,
    region: str = "",
    role: Role = Role.ENTRY,
) -> FleetExchange:
    """Create the exchange of a daemon and subscribe it to its peers' messages."""
    return FleetExchange(name, feed, view, network, timers, rng, region, role)
