"""Passing a large document on within a region, so that few daemons read it."""

import random

from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .entries import EntryBook
from .feed import FleetFeed
from .messages import DocumentNews, FleetRequest
from .reader_selection import NEWS_S, ReaderSelection
from .records import DaemonRecord
from .view import FleetView

__all__ = ["DocumentRelay"]

CHECK_S = 0.1
FAR_ASK_S = 0.8
"""Between two questions to another region of a reader, or of one of the next in rank.

The store may have forgotten the watches of all readers of this one, or their links may
be slow."""
ANSWER_S = 0.6
"""After an unanswered question the next news of a reader is reason for another."""


class DocumentRelay:
    """Reads a document while it is selected, and tells the region of it."""

    def __init__(
        self,
        name: str,
        region: str,
        book: EntryBook,
        feed: FleetFeed,
        view: FleetView,
        network: Network,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._region = region
        self._book = book
        self._feed = feed
        self._view = view
        self._network = network
        self._timers = timers
        self._rng = rng
        self._asked_s = float("-inf")
        self._asked_revision = 0
        self._selection = ReaderSelection(book.prefix, timers.now_s())
        network.subscribe(DocumentNews, self._hear)
        feed.on_taken(self._note_taken)
        timers.on_pause(lambda gap_s: self._selection.lapse(timers.now_s()))
        timers.call_every(CHECK_S, self._check)
        timers.call_every(NEWS_S, self._tell)
        timers.call_every(FAR_ASK_S, self._ask_far)

    @property
    def is_asking(self) -> bool:
        """Tell whether this daemon asks peers for the document unprompted."""
        return self._selection.is_asking(self._timers.now_s())

    def _check(self) -> None:
        now_s = self._timers.now_s()
        others = self._others()
        near = [record.name for record in others if self._is_near(record)]
        # Without another region to ask, each reads by itself.
        has_far = len(near) < len(others)
        self._selection.place(
            self._name, [self._name, *near] if has_far else [self._name]
        )
        if self._feed.is_store_away:
            self._selection.note_away(now_s)
        is_reading = self._selection.is_reading(now_s)
        if self._feed.set_watched(self._book.prefix, is_reading) and is_reading:
            # Before the next in rank time out, too.
            self._tell()

    def _note_taken(self, prefix: str) -> None:
        if prefix == self._book.prefix:
            self._tell()

    def _tell(self) -> None:
        """Tell the daemons of this region that don't read what is known here."""
        is_reading = self._selection.is_reading(self._timers.now_s())
        if not is_reading and not self._selection.is_next:
            return
        book = self._book
        is_served = is_reading and not self._feed.is_store_away
        news = DocumentNews(book.prefix, book.newest_revision, book.revision, is_served)
        for name in self._selection.listeners:
            if name != self._name:
                self._network.send(name, news)

    def _hear(self, sender: Sender, news: DocumentNews) -> None:
        if news.prefix != self._book.prefix:
            return
        now_s = self._timers.now_s()
        self._selection.note_news(now_s, sender.name, news.is_served)
        self._book.note_covered(news.newest_revision, news.covered_revision)
        newest = self._book.newest_revision
        is_asked = news.newest_revision <= self._asked_revision
        is_awaited = is_asked and now_s - self._asked_s < ANSWER_S
        if news.newest_revision > newest and not is_awaited:
            self._asked_s = now_s
            self._asked_revision = news.newest_revision
            self._network.send(sender.name, FleetRequest(self._book.prefix, newest))

    def _ask_far(self) -> None:
        far = [record for record in self._others() if not self._is_near(record)]
        if far and (self.is_asking or self._selection.is_next):
            request = FleetRequest(self._book.prefix, self._book.seen_revision)
            self._network.send(self._rng.choice(far).name, request)

    def _others(self) -> list[DaemonRecord]:
        entries = self._view.daemons(Role.ENTRY.value)
        return [record for record in entries if record.name != self._name]

    def _is_near(self, record: DaemonRecord) -> bool:
        return record.region == self._region
