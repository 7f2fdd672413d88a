"""Decision: which entries read a large document, and whom the others ask for it.

Read by every entry, a document of many routes fills the links between regions for
seconds at each change, and whatever else goes there waits as long.
"""

import random
from collections.abc import Iterable

from reedspar.links import Role
from reedspar.timers import TimerService
from reedspar.utils import rank_by_rendezvous

from .records import DaemonRecord
from .view import FleetView

__all__ = ["DocumentReaders"]

READERS_PER_REGION = 3
"""Entries of a region that read a document; one may stop and one hear nothing."""
FAR_PART = 0.1
"""How often a reader of any region is asked: the store may have forgotten the watches
of all readers of a region.  More often, a document that is on its way would cross the
link between the regions once more."""
FIRST_SPREAD_S = 1.0
"""Time over which daemons that start together and know of no other read a document."""
HEAR_MIN_S = 1.0
HEAR_SPREAD_S = 1.5
"""How long a daemon waits for a reader's answer, drawn anew: readers that have started
with it read the document meanwhile."""
SILENT_S = 1.0
"""Time without a reader's word after which an entry reads by itself: two questions."""


class DocumentReaders:
    """Tells whether this daemon reads a document, or hears of it from its readers."""

    def __init__(
        self,
        me: DaemonRecord,
        view: FleetView,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._me = me
        self._view = view
        self._timers = timers
        self._rng = rng
        self._heard_s: dict[str, float] = {}

    def has_heard(self, prefix: str, since_s: float) -> bool:
        """Tell whether a reader that the store serves has answered since a time."""
        return self._heard_s.get(prefix, float("-inf")) >= since_s

    def learn_wait_s(self, prefix: str, draw: float) -> float:
        """Return how long to wait for a reader's answer before a document is listed.

        `draw` is a number from 0 to 1 that spreads daemons that begin together.
        """
        if self._is_reader(prefix):
            is_alone = self._names(self._me.region) == {self._me.name}
            return draw * FIRST_SPREAD_S if is_alone else 0.0
        return HEAR_MIN_S + draw * HEAR_SPREAD_S

    def must_read(self, prefix: str) -> bool:
        """Tell whether this daemon is a reader, or hears of none."""
        if self._is_reader(prefix):
            return True
        heard_s = self._heard_s.get(prefix, float("-inf"))
        return self._timers.now_s() - heard_s > SILENT_S

    def note_heard(self, prefix: str) -> None:
        """Note the word of a peer that the store serves."""
        self._heard_s[prefix] = self._timers.now_s()

    def choose_peers(self, prefix: str) -> list[str]:
        """Return whom to ask next: a reader, and of another region at times."""
        is_far = self._rng.random() < FAR_PART
        regions = {e.region for e in self._entries()} if is_far else {self._me.region}
        names = [n for r in sorted(regions) for n in self._list_readers(prefix, r)]
        names = [name for name in names if name != self._me.name]
        return [self._rng.choice(names)] if names else []

    def _is_reader(self, prefix: str) -> bool:
        return self._me.name in self._list_readers(prefix, self._me.region)

    def _list_readers(self, prefix: str, region: str) -> list[str]:
        return rank_by_rendezvous(prefix, self._names(region))[:READERS_PER_REGION]

    def _names(self, region: str) -> set[str]:
        """Return the entries of a region; this one counts before it is registered."""
        names = {entry.name for entry in self._entries() if entry.region == region}
        if self._me.role == Role.ENTRY.value and region == self._me.region:
            names.add(self._me.name)
        return names

    def _entries(self) -> Iterable[DaemonRecord]:
        return self._view.daemons(Role.ENTRY.value)
