"""Reading a document from the daemons of this region that follow it."""

import random

import anyio

from reedspar.links import Network, Role
from reedspar.messages import Sender

from .entries import EntryBook
from .feed import FleetFeed
from .messages import DocumentNews, DocumentRequest
from .view import FleetView

__all__ = ["DocumentPoll"]

ANSWER_S = 0.6
"""How long each of them has, one after the other."""
FIRST_ANSWER_S = 0.3
"""How long they have together while nothing is known here."""
PEERS_ASKED = 2


class DocumentPoll:
    """Asks entries of the region for a document."""

    def __init__(
        self,
        region: str,
        book: EntryBook,
        feed: FleetFeed,
        view: FleetView,
        network: Network,
        rng: random.Random,
    ) -> None:
        self._region = region
        self._book = book
        self._view = view
        self._network = network
        self._rng = rng
        self._answered = anyio.Event()
        feed.on_taken(self._note_taken)
        network.subscribe(DocumentNews, self._hear)

    async def poll(self) -> bool:
        """Tell whether a peer has answered, and what is known is what it knows."""
        for peer in self._choose_peers():
            if await self._ask([peer], ANSWER_S):
                return True
        return False

    async def poll_first(self) -> bool:
        """Do the same at a start, which may not wait for peers that are gone."""
        return await self._ask(self._choose_peers(), FIRST_ANSWER_S)

    async def _ask(self, peers: list[str], timeout_s: float) -> bool:
        self._answered = anyio.Event()
        request = DocumentRequest(self._book.prefix, self._book.newest_revision)
        for peer in peers:
            self._network.send(peer, request)
        if peers:
            with anyio.move_on_after(timeout_s):
                await self._answered.wait()
        # A peer that knows nothing yet is no reason to wait for it.
        return self._answered.is_set() and self._book.newest_revision > 0

    def _choose_peers(self) -> list[str]:
        entries = self._view.daemons(Role.ENTRY.value)
        near = [entry.name for entry in entries if entry.region == self._region]
        return self._rng.sample(near, min(PEERS_ASKED, len(near)))

    def _hear(self, sender: Sender, news: DocumentNews) -> None:
        if news.prefix == self._book.prefix:
            self._answered.set()

    def _note_taken(self, prefix: str) -> None:
        if prefix == self._book.prefix:
            self._answered.set()
