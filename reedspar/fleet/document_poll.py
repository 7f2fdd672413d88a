"""Reads a document from entry daemons of the same region instead of the store.

A document is a prefix with a single key, such as the configuration.
"""

import random
from collections.abc import Sequence

import anyio

from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService
from reedspar.utils import sample_up_to

from .feed import FleetFeed
from .messages import DocumentNews, DocumentRequest
from .prefix_cache import PrefixCache
from .reader_selection import READERS_KEY, ReaderSelection
from .records import DaemonRecord
from .start_delay import StartDelay, create_agent_delay, create_entry_delay
from .store import WatchedEntry
from .view import FleetView

__all__ = ["DocumentPoll"]

ANSWER_TIMEOUT_S = 0.6
INITIAL_ANSWER_TIMEOUT_S = 0.3
"""Interval between two requests of a starting daemon."""
PEERS_ASKED_MAX = 2


class DocumentPoll:
    """Requests a document from entry daemons of the region."""

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
        is_relayed: bool,
    ) -> None:
        self._name = name
        self._region = region
        self._cache = cache
        self._view = view
        self._network = network
        self._timers = timers
        self._rng = rng
        self._is_relayed = is_relayed
        self._answered = anyio.Event()
        self._selection = ReaderSelection(READERS_KEY, timers.now_s())
        self._start_delay: StartDelay | None = None
        feed.on_entries_changed(self._handle_changes)
        network.subscribe(DocumentNews, self._handle_answer)

    async def poll(self) -> bool:
        """Request changes; return whether a peer that has the document answered."""
        if self._cache.newest_revision == 0:
            return await self._poll_initially()
        for peer in sample_up_to(self._rng, self._local_entry_names(), PEERS_ASKED_MAX):
            if await self._ask([peer], ANSWER_TIMEOUT_S):
                return True
        return False

    async def _poll_initially(self) -> bool:
        """Ask peers for the document; return False if the store has to be read."""
        local_entry_names = self._local_entry_names()
        self._update_selection(local_entry_names)
        is_view_populated = (
            bool(local_entry_names) or self._view.daemon(self._name) is not None
        )
        if self._is_relayed and is_view_populated and self._selection.is_small_region:
            return False
        if self._start_delay is None:
            self._start_delay = self._create_start_delay(not local_entry_names)
        while not await self._ask(
            self._choose_initial_peers(), INITIAL_ANSWER_TIMEOUT_S
        ):
            if self._start_delay.is_over(self._timers.now_s()):
                return False
        return True

    def _create_start_delay(self, is_without_peers: bool) -> StartDelay:
        now_s = self._timers.now_s()
        if not self._is_relayed:
            return create_agent_delay(is_without_peers, now_s, self._rng)
        return create_entry_delay(
            self._selection.group, is_without_peers, now_s, self._rng
        )

    def _choose_initial_peers(self) -> list[str]:
        local_entry_names = self._local_entry_names()
        self._update_selection(local_entry_names)
        if not local_entry_names:
            # Other regions are asked before the store, as peers compress the document
            # to a tenth of the size that the store sends.
            remote_entry_names = [daemon.name for daemon in self._other_entry_daemons()]
            return sample_up_to(self._rng, remote_entry_names, 1)
        random_entry_name = self._rng.choice(local_entry_names)
        if not self._is_relayed:
            return [
                self._rng.choice([*self._selection.default_readers, random_entry_name])
            ]
        return sorted(
            {*self._selection.default_readers, random_entry_name} - {self._name}
        )

    def _update_selection(self, local_entry_names: list[str]) -> None:
        if self._is_relayed:
            self._selection.update_members(self._name, [self._name, *local_entry_names])
        elif local_entry_names:
            self._selection.update_members(local_entry_names[0], local_entry_names)

    async def _ask(self, peers: list[str], timeout_s: float) -> bool:
        self._answered = anyio.Event()
        request = DocumentRequest(self._cache.prefix, self._cache.newest_revision)
        for peer in peers:
            self._network.send(peer, request)
        with anyio.move_on_after(timeout_s):
            await self._answered.wait()
        return self._answered.is_set()

    def _local_entry_names(self) -> list[str]:
        return self._view.peer_names(Role.ENTRY.value, self._region, self._name)

    def _other_entry_daemons(self) -> list[DaemonRecord]:
        entry_daemons = self._view.daemons(Role.ENTRY.value)
        return [daemon for daemon in entry_daemons if daemon.name != self._name]

    def _handle_answer(self, sender: Sender, answer: DocumentNews) -> None:
        if answer.prefix != self._cache.prefix:
            return
        if 0 < answer.newest_revision <= self._cache.newest_revision:
            self._answered.set()
        elif (
            answer.newest_revision == 0
            and self._start_delay is not None
            and self._is_in_earlier_group(sender.name)
        ):
            self._start_delay.record_peer_starting(self._timers.now_s())

    def _is_in_earlier_group(self, name: str) -> bool:
        """Return whether a daemon of this region reads the store before this one."""
        if not self._is_relayed:
            return True
        is_local_entry = name in self._local_entry_names()
        return is_local_entry and self._selection.group_of(name) < self._selection.group

    def _handle_changes(self, prefix: str, changed: Sequence[WatchedEntry]) -> None:
        if prefix == self._cache.prefix:
            self._answered.set()
