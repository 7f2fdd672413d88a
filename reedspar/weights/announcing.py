"""Keeping few neighbours told of what an agent holds, in batches."""

from collections import OrderedDict

from .distribution import Action, SendMessage
from .messages import HaveMap, HaveUpdate
from .neighbours import Neighbour, choose_neighbours, decode_map, encode_map
from .placement import Placement
from .transfers import Transfer

__all__ = ["Announcer", "EarlyMaps"]

ASK_AGAIN_S = 1.0
LINK_WAIT_S = 0.2
EARLY_MAX = 64
"""Maps kept of versions that this agent does not know yet."""


class EarlyMaps:
    """Maps of versions that this agent does not know yet.

    A version is named to all at once, and some read its manifest sooner.  Dropped, the
    map of one that asks would be sent again after a second, a fifth of a transfer.
    """

    def __init__(self) -> None:
        self._maps: OrderedDict[tuple[str, str], HaveMap] = OrderedDict()

    def keep(self, peer: str, message: HaveMap | HaveUpdate) -> None:
        """Keep a peer's map until its version is known."""
        if isinstance(message, HaveMap):
            self._maps[message.root_digest, peer] = message
            while len(self._maps) > EARLY_MAX:
                self._maps.popitem(last=False)

    def take(self, root_digest: str) -> list[tuple[str, HaveMap]]:
        """Return and forget the maps of a version, by peer."""
        found = [key for key in self._maps if key[0] == root_digest]
        return [(peer, self._maps.pop((root, peer))) for root, peer in found]


class Announcer:
    """Exchange maps of one version with its neighbours."""

    def __init__(
        self, transfer: Transfer, placement: Placement, actions: list[Action]
    ) -> None:
        self._transfer = transfer
        self._placement = placement
        self._actions = actions

    def join(self, now_s: float, *, is_asking: bool) -> None:
        """Take the live agents of the region, and ask the chosen ones for maps."""
        table = self._transfer.table
        placement = self._placement
        live = set(placement.region_names)
        for name in list(table.neighbours):
            if name not in live:
                table.remove(name)
        if not is_asking:
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
            if neighbour is not None and not neighbour.asked_s:
                self.send_map(neighbour, now_s, is_reply_wanted=True)

    def send_map(
        self, neighbour: Neighbour, now_s: float, *, is_reply_wanted: bool
    ) -> None:
        """Tell a neighbour everything."""
        transfer = self._transfer
        chunk_count = len(transfer.digests)
        neighbour.sent_sequence += 1
        if is_reply_wanted:
            neighbour.asked_s = now_s
        message = HaveMap(
            transfer.root_digest,
            neighbour.sent_sequence,
            encode_map(transfer.held, chunk_count),
            encode_map(transfer.obtained, chunk_count),
            is_reply_wanted,
        )
        self._actions.append(SendMessage(neighbour.name, message))

    def tell_dropped(self) -> None:
        """Tell the neighbours that nothing more of this version is needed here."""
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
        """Ask a neighbour again soon, as no link to it is open yet."""
        neighbour = self._transfer.table.neighbours.get(peer)
        if neighbour is not None:
            neighbour.asked_s -= ASK_AGAIN_S - LINK_WAIT_S

    def ask_again(self, now_s: float) -> None:
        """Ask the neighbours that have not answered yet."""
        for neighbour in self._transfer.table.neighbours.values():
            is_due = now_s - neighbour.asked_s >= ASK_AGAIN_S
            if not neighbour.has_answered and is_due:
                self.send_map(neighbour, now_s, is_reply_wanted=True)

    def take(self, peer: str, message: HaveMap | HaveUpdate, now_s: float) -> None:
        """Take what a peer tells of itself."""
        if isinstance(message, HaveMap):
            self.take_map(peer, message, now_s)
        else:
            self.take_update(peer, message, now_s)

    def take_map(self, peer: str, message: HaveMap, now_s: float) -> None:
        """Take a peer's maps, and answer with the own ones if it asks."""
        table = self._transfer.table
        neighbour = table.add(peer, is_source=self._placement.is_source(peer))
        if neighbour is None:
            return
        neighbour.seen_sequence = message.sequence
        held = decode_map(message.held)
        seen_before = table.seen_map
        table.set_maps(neighbour, held, decode_map(message.obtained), now_s)
        if table.seen_map != seen_before:
            self._transfer.note_progress(now_s)
        if message.is_reply_wanted:
            self.send_map(neighbour, now_s, is_reply_wanted=False)

    def take_update(self, peer: str, message: HaveUpdate, now_s: float) -> None:
        """Take a peer's changes; ask for its whole maps if some were missed."""
        table = self._transfer.table
        neighbour = table.neighbours.get(peer)
        if neighbour is None:
            return
        if message.sequence != neighbour.seen_sequence + 1:
            # A link died with an update in it.  Chunks that the peer gained
            # would never be asked of it again, so its maps are read anew.
            self.send_map(neighbour, now_s, is_reply_wanted=True)
        neighbour.seen_sequence = message.sequence
        if table.update(neighbour, message.gained, message.dropped, now_s):
            self._transfer.note_progress(now_s)

    def is_lacking(self, peer: str) -> bool:
        """Tell whether a neighbour still needs a chunk."""
        table = self._transfer.table
        neighbour = table.neighbours.get(peer)
        return neighbour is not None and neighbour.obtained != table.full_map

    def flush(self, now_s: float) -> None:
        """Tell the neighbours that still lack chunks what has changed."""
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
        """Return when the next batch is due, or None if there is none."""
        transfer = self._transfer
        has_news = transfer.gained or transfer.dropped
        return transfer.flush_at_s if has_news else None
