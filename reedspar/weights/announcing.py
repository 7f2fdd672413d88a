"""Announcement of held chunks to a bounded set of neighbours, in batches."""

from collections import OrderedDict

from .distribution import Action, SendMessage
from .messages import HaveMap, HaveUpdate
from .neighbours import Neighbour, choose_neighbours, decode_map, encode_map
from .placement import Placement
from .transfers import Transfer

__all__ = ["Announcer", "EarlyMaps"]

MAP_REQUEST_INTERVAL_S = 1.0
LINK_RETRY_DELAY_S = 0.2
EARLY_MAPS_MAX = 64


class EarlyMaps:
    """Stores maps of versions whose manifest this agent has not read yet.

    All agents learn of a version at the same time, but some read its manifest sooner.
    If their maps were discarded, they would be sent again only after 1 s, which is a
    fifth of the duration of a transfer.
    """

    def __init__(self) -> None:
        self._maps: OrderedDict[tuple[str, str], HaveMap] = OrderedDict()

    def store(self, peer: str, message: HaveMap | HaveUpdate) -> None:
        """Store a peer's map until the manifest of its version is read."""
        if isinstance(message, HaveMap):
            self._maps[message.root_digest, peer] = message
            while len(self._maps) > EARLY_MAPS_MAX:
                self._maps.popitem(last=False)

    def pop(self, root_digest: str) -> list[tuple[str, HaveMap]]:
        """Remove and return the maps of a version, with the peer of each."""
        found = [key for key in self._maps if key[0] == root_digest]
        return [(peer, self._maps.pop((root, peer))) for root, peer in found]


class Announcer:
    """Exchanges the maps of one version with neighbours."""

    def __init__(
        self, transfer: Transfer, placement: Placement, actions: list[Action]
    ) -> None:
        self._transfer = transfer
        self._placement = placement
        self._actions = actions

    def update_neighbours(self, now_s: float, *, is_requesting: bool) -> None:
        """Update the neighbours to the live agents, and request maps from new ones."""
        table = self._transfer.table
        placement = self._placement
        live = set(placement.region_names)
        for name in list(table.neighbours):
            if name not in live:
                table.remove(name)
        if not is_requesting:
            return
        names = [
            name
            for name in placement.region_names
            if name == placement.me or placement.is_source(name)
        ]
        for name in choose_neighbours(
            placement.me,
            self._transfer.root_digest,
            names,
            [name for name in names if placement.is_cache(name)],
        ):
            neighbour = table.add(name)
            if neighbour is not None and not neighbour.map_requested_s:
                self.send_map(neighbour, now_s, is_reply_wanted=True)

    def send_map(
        self, neighbour: Neighbour, now_s: float, *, is_reply_wanted: bool
    ) -> None:
        """Send this agent's complete maps to a neighbour."""
        transfer = self._transfer
        chunk_count = len(transfer.digests)
        neighbour.sent_sequence += 1
        if is_reply_wanted:
            neighbour.map_requested_s = now_s
        message = HaveMap(
            transfer.root_digest,
            neighbour.sent_sequence,
            encode_map(transfer.held, chunk_count),
            encode_map(transfer.obtained, chunk_count),
            is_reply_wanted,
        )
        self._actions.append(SendMessage(neighbour.name, message))

    def announce_no_chunks_needed(self) -> None:
        """Announce to the neighbours that this agent needs no more chunks."""
        transfer = self._transfer
        chunk_count = len(transfer.digests)
        for neighbour in transfer.table.neighbours.values():
            neighbour.sent_sequence += 1
            message = HaveMap(
                transfer.root_digest,
                neighbour.sent_sequence,
                encode_map(transfer.held, chunk_count),
                encode_map(transfer.table.full_map, chunk_count),
                is_reply_wanted=False,
            )
            self._actions.append(SendMessage(neighbour.name, message))

    def handle_send_failure(self, peer: str) -> None:
        """Schedule another map request to a neighbour whose link is not open yet."""
        neighbour = self._transfer.table.neighbours.get(peer)
        if neighbour is not None:
            neighbour.map_requested_s -= MAP_REQUEST_INTERVAL_S - LINK_RETRY_DELAY_S

    def repeat_requests(self, now_s: float) -> None:
        """Repeat the requests to neighbours that have not answered."""
        for neighbour in self._transfer.table.neighbours.values():
            is_due = now_s - neighbour.map_requested_s >= MAP_REQUEST_INTERVAL_S
            if not neighbour.has_answered and is_due:
                self.send_map(neighbour, now_s, is_reply_wanted=True)

    def handle(self, peer: str, message: HaveMap | HaveUpdate, now_s: float) -> None:
        """Handle an announcement of a peer."""
        if isinstance(message, HaveMap):
            self.handle_map(peer, message, now_s)
        else:
            self.handle_update(peer, message, now_s)

    def handle_map(self, peer: str, message: HaveMap, now_s: float) -> None:
        """Store a peer's complete maps, and reply with the local maps if requested."""
        table = self._transfer.table
        neighbour = table.add(peer, is_source=self._placement.is_source(peer))
        if neighbour is None:
            return
        neighbour.received_sequence = message.sequence
        held = decode_map(message.held)
        seen_before = table.seen_map
        table.set_maps(neighbour, held, decode_map(message.obtained), now_s)
        if table.seen_map != seen_before:
            self._transfer.record_progress(now_s)
        if message.is_reply_wanted:
            self.send_map(neighbour, now_s, is_reply_wanted=False)

    def handle_update(self, peer: str, message: HaveUpdate, now_s: float) -> None:
        """Apply a peer's changes; request its complete maps if an update was lost."""
        table = self._transfer.table
        neighbour = table.neighbours.get(peer)
        if neighbour is None:
            return
        if message.sequence != neighbour.received_sequence + 1:
            # An update was lost with a broken link.  The chunks in it would never be
            # requested from this peer, so its complete maps are requested.
            self.send_map(neighbour, now_s, is_reply_wanted=True)
        neighbour.received_sequence = message.sequence
        if table.update(neighbour, message.gained, message.dropped, now_s):
            self._transfer.record_progress(now_s)

    def needs_more(self, peer: str) -> bool:
        """Return whether a neighbour still needs a chunk."""
        table = self._transfer.table
        neighbour = table.neighbours.get(peer)
        return neighbour is not None and neighbour.obtained != table.full_map

    def flush(self, now_s: float) -> None:
        """Send pending changes to the neighbours that still lack chunks."""
        transfer = self._transfer
        if now_s < transfer.flush_at_s or not (transfer.gained or transfer.dropped):
            return
        transfer.flush_at_s = now_s + transfer.announce_interval_s
        gained = tuple(sorted(transfer.gained))
        dropped = tuple(sorted(transfer.dropped))
        transfer.gained.clear()
        transfer.dropped.clear()
        full_map = transfer.table.full_map
        for neighbour in transfer.table.neighbours.values():
            if neighbour.obtained == full_map or not neighbour.has_answered:
                continue
            neighbour.sent_sequence += 1
            message = HaveUpdate(
                transfer.root_digest, neighbour.sent_sequence, gained, dropped
            )
            self._actions.append(SendMessage(neighbour.name, message))

    def due_s(self) -> float | None:
        """Return the time of the next batch, or None if there are no changes."""
        transfer = self._transfer
        has_changes = transfer.gained or transfer.dropped
        return transfer.flush_at_s if has_changes else None
