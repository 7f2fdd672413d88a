"""Reading a document from the daemons of this region that follow it."""

import random
from collections.abc import Sequence

import anyio

from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .entries import PrefixCache
from .feed import FleetFeed
from .messages import DocumentNews, DocumentRequest
from .reader_selection import READERS_KEY, ReaderSelection
from .records import DaemonRecord
from .start_delay import StartDelay, create_agent_delay, create_entry_delay
from .store import WatchedEntry
from .view import FleetView

__all__ = ["DocumentPoll"]

ANSWER_S = 0.6
FIRST_ANSWER_S = 0.3
"""Between two questions of a daemon that starts."""
PEERS_ASKED = 2


class DocumentPoll:
    """Asks entries of the region for a document."""

    def __init__(
        self,
        name: str,
        region: str,
        cache: PrefixCache,
        feed: FleetFeed,
        view: FleetView,
        network: Network,
        timers: TimerService,
        rng: random.Random,
        is_reader: bool,
    ) -> None:
        self._name = name
        self._region = region
        self._book = cache
        self._view = view
        self._network = network
        self._timers = timers
        self._rng = rng
        self._is_reader = is_reader
        self._answered = anyio.Event()
        self._order = ReaderSelection(READERS_KEY, timers.now_s())
        self._start: StartDelay | None = None
        feed.on_taken(self._note_taken)
        network.subscribe(DocumentNews, self._hear)

    async def poll(self) -> bool:
        """Tell whether a peer has answered, and what is known is what it knows."""
        if self._book.newest_revision == 0:
            return await self._poll_first()
        near = self._near()
        for peer in self._rng.sample(near, min(PEERS_ASKED, len(near))):
            if await self._ask([peer], ANSWER_S):
                return True
        return False

    async def _poll_first(self) -> bool:
        """Ask until a peer knows the document, or this daemon has to read it."""
        near = self._near()
        self._place(near)
        is_known = bool(near) or self._view.daemon(self._name) is not None
        if self._is_reader and is_known and self._order.is_small:
            return False
        if self._start is None:
            self._start = self._create_start(not near)
        while not await self._ask(self._choose_first(), FIRST_ANSWER_S):
            if self._start.is_over(self._timers.now_s()):
                return False
        return True

    def _create_start(self, is_alone: bool) -> StartDelay:
        now_s = self._timers.now_s()
        if not self._is_reader:
            return create_agent_delay(is_alone, now_s, self._rng)
        return create_entry_delay(self._order.group, is_alone, now_s, self._rng)

    def _choose_first(self) -> list[str]:
        near = self._near()
        self._place(near)
        if not near:
            # A compressed document of another region is a tenth of the store's.
            far = [entry.name for entry in self._entries()]
            return self._rng.sample(far, min(1, len(far)))
        other = self._rng.choice(near)
        if not self._is_reader:
            return [self._rng.choice([*self._order.first, other])]
        return sorted({*self._order.first, other} - {self._name})

    def _place(self, near: list[str]) -> None:
        if self._is_reader:
            self._order.place(self._name, [self._name, *near])
        elif near:
            self._order.place(near[0], near)

    async def _ask(self, peers: list[str], timeout_s: float) -> bool:
        self._answered = anyio.Event()
        request = DocumentRequest(self._book.prefix, self._book.newest_revision)
        for peer in peers:
            self._network.send(peer, request)
        with anyio.move_on_after(timeout_s):
            await self._answered.wait()
        return self._answered.is_set()

    def _near(self) -> list[str]:
        return self._view.peer_names(Role.ENTRY.value, self._region, self._name)

    def _entries(self) -> list[DaemonRecord]:
        entries = self._view.daemons(Role.ENTRY.value)
        return [entry for entry in entries if entry.name != self._name]

    def _hear(self, sender: Sender, news: DocumentNews) -> None:
        if news.prefix != self._book.prefix:
            return
        if 0 < news.newest_revision <= self._book.newest_revision:
            self._answered.set()
        elif (
            news.newest_revision == 0
            and self._start is not None
            and self._is_before(sender.name)
        ):
            self._start.note_starting(self._timers.now_s())

    def _is_before(self, name: str) -> bool:
        """Tell whether a daemon of this region reads before this one."""
        if not self._is_reader:
            return True
        is_known = name in self._near()
        return is_known and self._order.group_of(name) < self._order.group

    def _note_taken(self, prefix: str, changed: Sequence[WatchedEntry]) -> None:
        if prefix == self._book.prefix:
            self._answered.set()
