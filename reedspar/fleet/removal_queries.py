"""Asks peers whether deferred removals are due to an outage of the store.

The store may refuse single daemons while it serves the others.  Then no lease has
expired, and a removal means that the target or daemon has left.  Peers that the store
has served have applied that removal; peers that were refused as well defer it, too.
"""

import random

from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService
from reedspar.utils import sample_up_to

from .feed import FleetFeed
from .messages import FleetEntries, RemovalQuery
from .packing import EntryPacker
from .view import FleetView

__all__ = ["RemovalQueries"]

QUERY_INTERVAL_S = 0.25
"""Interval between two queries while removals are deferred.

A target that has left must get no requests two seconds later, and the daemon may take
0.6 s of these to notice that the store answers it again."""
PEERS_QUERIED = 2
"""Peers asked each time, chosen at random: the store may have refused one of them."""
KEYS_PER_QUERY_MAX = 50
"""Maximum number of keys in a query, which are drawn at random if there are more.

After an outage of the whole store hundreds of removals may be deferred, and no peer
confirms any."""


class RemovalQueries:
    """Queries peers about deferred removals, and answers the queries of peers."""

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
        self._packer = EntryPacker()
        network.subscribe(RemovalQuery, self._handle_query)
        timers.call_every(QUERY_INTERVAL_S, self._query_peers)

    def _query_peers(self) -> None:
        for cache in self._feed.caches.values():
            deferred_keys = cache.deferred_keys
            if not deferred_keys:
                continue
            names = self._view.peer_names(Role.ENTRY.value, None, self._name)
            for peer in sample_up_to(self._rng, names, PEERS_QUERIED):
                keys = sample_up_to(self._rng, deferred_keys, KEYS_PER_QUERY_MAX)
                self._network.send(peer, RemovalQuery(cache.prefix, tuple(keys)))

    def _handle_query(self, sender: Sender, query: RemovalQuery) -> None:
        """Send the removals that this daemon has applied; send nothing if none."""
        cache = self._feed.caches.get(query.prefix)
        if cache is None:
            return
        removals = cache.list_removals(query.keys)
        if removals:
            entries = tuple(self._packer.pack(entry) for entry in removals)
            answer = FleetEntries(query.prefix, cache.revision, entries)
            self._network.send(sender.name, answer)
