"""Asking peers for what the store does not tell this daemon.

The store may turn single machines away while it serves the others.  A route or
key that operators remove would stay in force on such a machine for as long; a
peer that the store serves tells it instead.
"""

import logging
import random

from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .feed import FleetFeed
from .messages import FleetEntries, FleetEntry, FleetRequest
from .store import WatchedEntry
from .view import FleetView

__all__ = ["FleetExchange", "create_fleet_exchange"]

ASK_S = 0.4
"""Between two questions while the store is away.

A change is in force a second after the store has taken it, of two that operators
are promised; a question without news is 100 bytes."""
PEERS_ASKED = 2
"""Peers asked each time, drawn anew: the store may turn one of them away, too."""
ENTRIES_MAX = 400
"""Entries in one answer; the rest comes with the next one."""

_logger = logging.getLogger(__name__)


class FleetExchange:
    """Asks peers while the store is away, and answers theirs."""

    def __init__(
        self,
        name: str,
        feed: FleetFeed,
        view: FleetView,
        network: Network,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._feed = feed
        self._view = view
        self._network = network
        self._rng = rng
        network.subscribe(FleetRequest, self._answer)
        network.subscribe(FleetEntries, self._take)
        timers.call_every(ASK_S, self.ask)

    def ask(self) -> None:
        """Ask peers for the prefixes that the store does not tell of now."""
        away = [book for book in self._feed.books.values() if book.is_away]
        if not away:
            return
        peers = [name for name in self._view.daemon_names() if name != self._name]
        for peer in self._rng.sample(peers, min(PEERS_ASKED, len(peers))):
            for book in away:
                self._network.send(peer, FleetRequest(book.prefix, book.seen_revision))

    def _answer(self, sender: Sender, request: FleetRequest) -> None:
        book = self._feed.books.get(request.prefix)
        if book is None:
            return
        newer = [e for e in book.entries() if e.revision > request.after_revision]
        if not newer:
            return
        newer.sort(key=lambda entry: entry.revision)
        entries = tuple(_encode(entry) for entry in newer[:ENTRIES_MAX])
        message = FleetEntries(request.prefix, book.revision, entries)
        self._network.send(sender.name, message)

    def _take(self, sender: Sender, message: FleetEntries) -> None:
        entries = [
            WatchedEntry(
                entry.key, None if entry.is_removed else entry.value, entry.revision
            )
            for entry in message.entries
        ]
        news = self._feed.take_from_peer(message.prefix, entries)
        if news:
            _logger.info(
                "heard from a peer while the store is away",
                extra={
                    "peer": sender.name,
                    "prefix": message.prefix,
                    "revision": message.revision,
                    "count": news,
                },
            )


def _encode(entry: WatchedEntry) -> FleetEntry:
    is_removed = entry.value is None
    return FleetEntry(entry.key, entry.value or b"", entry.revision, is_removed)


def create_fleet_exchange(
    name: str,
    feed: FleetFeed,
    view: FleetView,
    network: Network,
    timers: TimerService,
    rng: random.Random,
) -> FleetExchange:
    """Make the exchange of a daemon and subscribe it to its peers' messages."""
    return FleetExchange(name, feed, view, network, timers, rng)
