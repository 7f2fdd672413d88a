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
SILENT_S = 1.0
"""Time without a reader's word after which an entry reads by itself: two questions."""


class DocumentReaders:
    """Tells whether this daemon reads a document, or hears of it from its readers."""

    def __init__(
        self, name: str, view: FleetView, timers: TimerService, rng: random.Random
    ) -> None:
        self._name = name
        self._view = view
        self._timers = timers
        self._rng = rng
        self._heard_s: dict[str, float] = {}

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
        me = self._view.daemon(self._name)
        if me is None or self._rng.random() < FAR_PART:
            regions = {entry.region for entry in self._entries()}
        else:
            regions = {me.region}
        names = [n for r in sorted(regions) for n in self._readers(prefix, r)]
        names = [name for name in names if name != self._name]
        return [self._rng.choice(names)] if names else []

    def _is_reader(self, prefix: str) -> bool:
        me = self._view.daemon(self._name)
        return me is None or self._name in self._readers(prefix, me.region)

    def _readers(self, prefix: str, region: str) -> list[str]:
        names = (e.name for e in self._entries() if e.region == region)
        return rank_by_rendezvous(prefix, names)[:READERS_PER_REGION]

    def _entries(self) -> Iterable[DaemonRecord]:
        return self._view.daemons(Role.ENTRY.value)
