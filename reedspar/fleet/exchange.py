"""Asking peers for what the store does not tell this daemon.

The store may turn single machines away while it serves the others, or leave them
without any answer.  A route or key that operators remove would stay in force on such
a machine for as long; a peer that the store serves tells it instead.
"""

import logging
import random

from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .ages import VersionAges
from .document_poll import DocumentPoll
from .entries import PrefixCache
from .feed import FleetFeed
from .messages import DocumentNews, DocumentRequest, FleetEntries, FleetRequest
from .packing import EntryPacker, unpack_entry
from .prefix_poll import PrefixPoll
from .relay import RegionRelay
from .store import Listing
from .view import FleetView

__all__ = ["FleetExchange", "create_fleet_exchange"]

ASK_S = 0.4
"""Between two questions.

A change is in force a second after the store has taken it, of two that operators
are promised; a question without news is 100 bytes."""
PEERS_ASKED = 2
"""Peers asked each time while the store is away, drawn anew: the store may turn one
of them away, too."""
PEERS_ASKED_ALWAYS = 1
"""Peers asked each time while nothing tells that the store is away.

A watch without news looks the same as one that the store has forgotten, for up to
25 s.  Without these questions such a machine refused a new route 2.1 s after the
store had taken it."""
ENTRIES_MAX = 400
"""Entries in one answer; the rest comes with the next one."""

_logger = logging.getLogger(__name__)


class FleetExchange:
    """Asks peers what the store has told them, and answers theirs."""

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
        self._rng = rng
        network.subscribe(FleetRequest, self._answer)
        network.subscribe(FleetEntries, self._take)
        timers.call_every(ASK_S, self.ask)
        self._ages = VersionAges(name, view, network, timers, rng)
        self._packer = EntryPacker()
        self._relay = RegionRelay(name, region, role, feed, view, network, timers, rng)
        network.subscribe(DocumentRequest, self._answer_document)
        pushed = [cache.prefix for cache in feed.pushed_caches]
        for cache in [*feed.relayed_caches, *feed.polled_caches]:
            if cache.prefix in pushed:
                prefix_poll = PrefixPoll(name, region, cache, view, network, rng)
                feed.set_poller(cache.prefix, prefix_poll.poll)
                continue
            is_reader = self._relay.is_relayed(cache.prefix)
            poll = DocumentPoll(
                name, region, cache, feed, view, network, timers, rng, is_reader
            )
            feed.set_poller(cache.prefix, poll.poll)

    def ask(self) -> None:
        """Ask peers for what they have heard of the store since this daemon has."""
        peers = self._choose_peers()
        caches = [cache for cache in self._feed.shared_caches if self._is_asked(cache)]
        for peer in peers:
            for cache in caches:
                self._network.send(
                    peer, FleetRequest(cache.prefix, cache.seen_revision)
                )
        self._ages.ask(peers)

    def _is_asked(self, cache: PrefixCache) -> bool:
        return not self._relay.is_relayed(cache.prefix) or self._relay.is_asking

    def _choose_peers(self) -> list[str]:
        # Agents follow fewer prefixes than entries.
        entries = self._view.daemons(Role.ENTRY.value)
        names = [e.name for e in entries if e.name != self._name]
        if self._feed.is_store_away:
            return self._rng.sample(names, min(PEERS_ASKED, len(names)))
        near = [name for name in names if self._is_near(name)] or names
        return self._rng.sample(near, min(PEERS_ASKED_ALWAYS, len(near)))

    def _is_near(self, name: str) -> bool:
        """Tell whether a question to a peer stays within this region."""
        me = self._view.daemon(self._name)
        peer = self._view.daemon(name)
        return me is not None and peer is not None and peer.region == me.region

    def _answer_document(self, sender: Sender, request: DocumentRequest) -> None:
        """Answer even if nothing is newer: the sender asks seldom, and waits for it."""
        cache = self._feed.caches.get(request.prefix)
        if cache is None:
            return
        if cache.entries_after(request.after_revision):
            self._answer(sender, FleetRequest(cache.prefix, request.after_revision))
        else:
            newest, covered = cache.newest_revision, cache.revision
            news = DocumentNews(cache.prefix, newest, covered, True)
            self._network.send(sender.name, news)

    def _answer(self, sender: Sender, request: FleetRequest) -> None:
        """Answer from entries that cover what a peer follows, which may be a part."""
        cache = next(
            (
                b
                for b in self._feed.shared_caches
                if request.prefix.startswith(b.prefix)
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
        entries = tuple(self._packer.pack(entry) for entry in newer[:ENTRIES_MAX])
        is_complete = len(newer) <= ENTRIES_MAX
        revision = cache.revision if is_complete else entries[-1].revision
        is_whole = is_complete and request.after_revision == 0 and cache.revision > 0
        message = FleetEntries(request.prefix, revision, entries, is_whole)
        self._network.send(sender.name, message)

    def _take(self, sender: Sender, message: FleetEntries) -> None:
        entries = [e for e in map(unpack_entry, message.entries) if e is not None]
        if message.is_whole and message.prefix in self._feed.caches:
            listing = Listing(tuple(entries), message.revision)
            news = self._feed.take_listing_from_peer(message.prefix, listing)
        else:
            news = self._feed.take_from_peer(message.prefix, entries)
        if entries and self._relay.is_relayed(message.prefix):
            self._note_covered(message)
        if news:
            _logger.info(
                "heard from a peer",
                extra={
                    "peer": sender.name,
                    "prefix": message.prefix,
                    "revision": message.revision,
                    "count": news,
                },
            )

    def _note_covered(self, message: FleetEntries) -> None:
        """Advance the watch of a document to the revision that the peer has covered."""
        cache = self._feed.caches[message.prefix]
        if cache not in self._feed.pushed_caches:
            newest = max(entry.revision for entry in message.entries)
            cache.note_covered(newest, message.revision)


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
    """Make the exchange of a daemon and subscribe it to its peers' messages."""
    return FleetExchange(name, feed, view, network, timers, rng, region, role)
