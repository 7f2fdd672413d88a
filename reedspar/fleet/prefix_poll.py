"""Reads all entries below a prefix from the readers of this region."""

import random

import anyio

from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .messages import DocumentNews, DocumentRequest, FleetEntries
from .prefix_cache import PrefixCache
from .reader_selection import READERS_KEY, ReaderSelection
from .view import FleetView

__all__ = ["PrefixPoll"]

ANSWER_TIMEOUT_S = 0.3
ATTEMPTS_MAX = 2


class PrefixPoll:
    """Requests all entries below a prefix from readers of the region at startup."""

    def __init__(
        self,
        name: str,
        region: str,
        cache: PrefixCache,
        view: FleetView,
        network: Network,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._region = region
        self._cache = cache
        self._view = view
        self._network = network
        self._timers = timers
        self._rng = rng
        self._selection = ReaderSelection(READERS_KEY, 0.0)
        self._answered = anyio.Event()
        network.subscribe(FleetEntries, self._handle_entries)
        network.subscribe(DocumentNews, self._handle_answer)

    async def poll(self) -> bool:
        """Request the entries; return whether a peer has answered."""
        for _ in range(ATTEMPTS_MAX):
            local_entry_names = self._local_entry_names()
            if not local_entry_names:
                return False
            self._selection.update_members(local_entry_names[0], local_entry_names)
            self._answered = anyio.Event()
            request = DocumentRequest(self._cache.prefix, 0)
            self._network.send(
                self._rng.choice(self._selection.default_readers), request
            )
            with anyio.move_on_after(ANSWER_TIMEOUT_S):
                await self._answered.wait()
            if self._answered.is_set():
                return True
        return False

    def _local_entry_names(self) -> list[str]:
        return self._view.peer_names(Role.ENTRY.value, self._region, self._name)

    def _handle_entries(self, sender: Sender, message: FleetEntries) -> None:
        if message.prefix == self._cache.prefix and message.is_whole:
            self._answered.set()

    def _handle_answer(self, sender: Sender, answer: DocumentNews) -> None:
        """Handle the answer of a peer that has no entry below the prefix."""
        if answer.prefix == self._cache.prefix and answer.covered_revision:
            self._cache.advance_revision(
                answer.newest_revision,
                answer.covered_revision,
                self._timers.now_s(),
            )
            self._answered.set()
