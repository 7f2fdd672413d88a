"""Reading the entries below a prefix from the readers of this region."""

import random

import anyio

from reedspar.links import Network, Role
from reedspar.messages import Sender

from .entries import PrefixCache
from .messages import DocumentNews, DocumentRequest, FleetEntries
from .reader_selection import READERS_KEY, ReaderSelection
from .view import FleetView

__all__ = ["PrefixPoll"]

ANSWER_S = 0.3
TRIES = 2


class PrefixPoll:
    """Requests all entries below a prefix from readers of the region at startup."""

    def __init__(
        self,
        name: str,
        region: str,
        cache: PrefixCache,
        view: FleetView,
        network: Network,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._region = region
        self._book = cache
        self._view = view
        self._network = network
        self._rng = rng
        self._order = ReaderSelection(READERS_KEY, 0.0)
        self._answered = anyio.Event()
        network.subscribe(FleetEntries, self._hear_entries)
        network.subscribe(DocumentNews, self._hear_news)

    async def poll(self) -> bool:
        """Request the entries; tell whether a peer has answered."""
        for _ in range(TRIES):
            near = self._near()
            if not near:
                return False
            self._order.place(near[0], near)
            self._answered = anyio.Event()
            request = DocumentRequest(self._book.prefix, 0)
            self._network.send(self._rng.choice(self._order.first), request)
            with anyio.move_on_after(ANSWER_S):
                await self._answered.wait()
            if self._answered.is_set():
                return True
        return False

    def _near(self) -> list[str]:
        return self._view.peer_names(Role.ENTRY.value, self._region, self._name)

    def _hear_entries(self, sender: Sender, message: FleetEntries) -> None:
        if message.prefix == self._book.prefix and message.is_whole:
            self._answered.set()

    def _hear_news(self, sender: Sender, news: DocumentNews) -> None:
        """Accept the answer of a peer that there is no entry below the prefix."""
        if news.prefix == self._book.prefix and news.covered_revision:
            self._book.note_covered(news.newest_revision, news.covered_revision)
            self._answered.set()
