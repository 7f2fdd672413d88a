"""Peer-to-peer distribution of chunks by rarest-first selection, as in BitTorrent.

See Cohen, "Incentives build robustness in BitTorrent", 2003.  Each agent requests the
chunks that are rarest among a bounded set of neighbours in its region.  `Placement`
assigns fetches from the origin and across regions by the set of live agents; other
agents fetch remotely only if no neighbour obtains new chunks.
"""

import random
from collections.abc import Iterable

from reedspar.errors import Failure

from .announcing import Announcer, EarlyMaps
from .distribution import Action, ObjectReady, WeightPeer
from .drawing import Drawing
from .fetches import Fetch, FetchBook, PeerBook, Request
from .inbound import InboundCredit
from .limits import SwarmLimits
from .manifest import Manifest
from .memory import ChunkMemory
from .messages import (
    ChunkCancel,
    ChunkGrant,
    ChunkPiece,
    ChunkRefused,
    ChunkRequest,
    HaveMap,
    HaveUpdate,
    WeightMessage,
)
from .placement import Placement
from .pulling import Pulling
from .reachability import Reachability
from .receiving import ChunkReceiver
from .serving import ChunkServer
from .transfers import Transfer

__all__ = ["SwarmDistribution"]

TICK_S = 0.05


class SwarmDistribution:
    """One agent's part in the swarms of all its versions."""

    def __init__(self, me: WeightPeer, limits: SwarmLimits, rng: random.Random) -> None:
        self._me = me
        self._limits = limits
        self._rng = rng
        self._actions: list[Action] = []
        self._memory = ChunkMemory(
            limits.memory_bytes, self._rank_victim, self._note_evicted
        )
        self._peers = PeerBook()
        self._fetches = FetchBook(
            self._memory, self._peers, self._actions, limits.piece_bytes
        )
        self._credit = InboundCredit(limits, self._fetches, self._actions)
        self._server = ChunkServer(me.region, self._memory, limits, self._actions)
        self._pulling = Pulling(limits, self._fetches, self._peers, rng)
        self._placements: dict[str, Placement] = {}
        self._transfers: dict[str, Transfer] = {}
        self._announcers: dict[str, Announcer] = {}
        self._objects: dict[str, str] = {}
        self._ready: set[str] = set()
        self._early_maps = EarlyMaps()
        self._live: dict[str, tuple[WeightPeer, ...]] = {}
        self._reachable = Reachability()
        self._drawing = Drawing(limits, self._fetches, self._peers, self._memory)
        self._receiver = ChunkReceiver(
            limits, self._fetches, self._peers, self._credit, self._take_received
        )
        self._now_s = 0.0

    @property
    def memory(self) -> ChunkMemory:
        """Return the memory of objects."""
        return self._memory

    @property
    def sent_bytes(self) -> int:
        """Return the bytes of objects that were sent to peers."""
        return self._server.sent_bytes

    def set_peers(self, model: str, peers: Iterable[WeightPeer], now_s: float) -> None:
        """Replace the live agents that need or hold a model."""
        self._live[model] = tuple(peers)
        self._place(model, now_s)

    def _place(self, model: str, now_s: float) -> None:
        """Take the live agents that can be reached, and their duties."""
        placement = self._placement_of(model)
        before = set(placement.names)
        reached = [p for p in self._live[model] if p.name in self._reachable]
        if not placement.set_peers(reached):
            return
        gone = before - set(placement.names)
        for transfer in self._transfers.values():
            if transfer.model == model:
                self._join(transfer, now_s)
        for name in gone:
            self._drop_peer(name, now_s)
        self._settle(now_s)

    def fetch_object(self, model: str, digest: str, now_s: float) -> None:
        """Get one object, a manifest."""
        if digest in self._memory:
            self._report(digest)
            return
        for other in [d for d, m in self._objects.items() if m == model]:
            # The manifest of a version that was replaced is not needed any more.
            del self._objects[other]
            self._fetches.finish(other)
        self._objects[digest] = model
        self._settle(now_s)

    def add_object(self, digest: str, data: bytes, now_s: float) -> None:
        """Take a checked object that was found beside the engine."""
        self._fetches.finish(digest)
        self._take_object(digest, data, now_s)
        self._settle(now_s)

    def register_version(self, manifest: Manifest, now_s: float) -> None:
        """Take a version whose chunks peers may ask for."""
        self._transfer_of(manifest, now_s)

    def fetch_chunks(self, manifest: Manifest, now_s: float) -> None:
        """Get every chunk of a version, also those that were got before."""
        self._want(self._transfer_of(manifest, now_s), now_s)
        self._settle(now_s)

    def _want(self, transfer: Transfer, now_s: float) -> None:
        transfer.want(now_s)
        for index, digest in enumerate(transfer.digests):
            if digest in self._memory:
                transfer.mark_ready(index, True, now_s)
                self._report(digest)
        self._join(transfer, now_s)
        announcer = self._announcers[transfer.root_digest]
        for neighbour in transfer.table.neighbours.values():
            announcer.send_map(neighbour, now_s, is_reply_wanted=True)

    def left_s(self, root_digest: str) -> float:
        """Return how long the missing chunks take over this machine's link."""
        transfer = self._transfers.get(root_digest)
        missing_bytes = transfer.missing_bytes if transfer is not None else 0
        return missing_bytes / self._limits.machine_bytes_per_s

    def remove_version(self, root_digest: str, now_s: float) -> None:
        """Stop getting chunks that only this version needs."""
        transfer = self._transfers.pop(root_digest, None)
        if transfer is None:
            return
        announcer = self._announcers.pop(root_digest)
        if not transfer.is_complete:
            announcer.tell_dropped()
        for index in transfer.missing:
            digest = transfer.digests[index]
            if not any(t.needs(digest) for t in self._transfers.values()):
                self._fetches.finish(digest)
        self._drawing.requested.forget(transfer)
        self._settle(now_s)

    def receive(self, peer: str, message: WeightMessage, now_s: float) -> None:
        """Take a message of a peer."""
        if self._reachable.note_heard(peer):
            self._place_all(now_s)
        if isinstance(message, ChunkPiece):
            self._receiver.take_piece(peer, message, now_s)
        elif isinstance(message, ChunkRequest):
            self._serve(peer, message, now_s)
        elif isinstance(message, ChunkGrant):
            self._server.grant(peer, message)
        elif isinstance(message, ChunkRefused):
            self._receiver.take_refusal(peer, message, now_s)
        elif isinstance(message, ChunkCancel):
            self._server.cancel(peer, message.request_id)
        elif isinstance(message, HaveMap | HaveUpdate):
            self._take_announcement(peer, message, now_s)
        self._settle(now_s)

    def _take_announcement(
        self, peer: str, message: HaveMap | HaveUpdate, now_s: float
    ) -> None:
        announcer = self._announcers.get(message.root_digest)
        if announcer is None:
            self._early_maps.keep(peer, message)
            return
        announcer.take(peer, message, now_s)
        transfer = self._transfers[message.root_digest]
        if self._me.is_cache and not transfer.is_wanted and announcer.is_lacking(peer):
            self._want(transfer, now_s)

    def complete_read(self, digest: str, result: bytes | Failure, now_s: float) -> None:
        """Take the outcome of a read from the origin."""
        self._receiver.complete_read(digest, result, now_s)
        self._settle(now_s)

    def object_bytes(self, digest: str) -> bytes | None:
        """Return an object that is in memory."""
        return self._memory.get(digest)

    def release(self, digest: str, now_s: float) -> None:
        """Let an object that was ready be evicted."""
        if digest in self._ready:
            self._ready.discard(digest)
            self._memory.unpin(digest)
            self._settle(now_s)

    def handle_link_lost(self, peer: str, now_s: float) -> None:
        """Take a peer for gone until it is heard of, or for as long as a lease."""
        self._reachable.note_lost(peer, now_s)
        self._place_all(now_s)

    def _place_all(self, now_s: float) -> None:
        for model in self._live:
            self._place(model, now_s)

    def handle_pause(self, now_s: float) -> None:
        """Start every deadline again, and ask for all maps, after a pause."""
        for _, request in self._fetches.iterate():
            request.progress_s = now_s
        for transfer in self._transfers.values():
            transfer.note_progress(now_s)
            announcer = self._announcers[transfer.root_digest]
            for neighbour in transfer.table.neighbours.values():
                announcer.send_map(neighbour, now_s, is_reply_wanted=True)

    def handle_send_failure(
        self, peer: str, message: WeightMessage, now_s: float
    ) -> None:
        """Take back a message for which no link is open yet."""
        if isinstance(message, ChunkRequest):
            fetch = self._fetches.get(message.digest)
            request = self._fetches.find(peer, message.digest, message.request_id)
            if fetch is not None and request is not None:
                self._fetches.close(fetch, request, is_cancelled=False)
                fetch.not_before_s = now_s + TICK_S
                self._peers.note_busy(peer, now_s + self._limits.link_wait_s)
        elif isinstance(message, ChunkPiece):
            self._server.break_off(peer, message)
        elif isinstance(message, HaveMap):
            announcer = self._announcers.get(message.root_digest)
            if announcer is not None:
                announcer.handle_send_failure(peer)

    def tick(self, now_s: float) -> None:
        """Act on whatever has become due."""
        self._server.expire(now_s)
        if self._reachable.expire(now_s):
            self._place_all(now_s)
        for fetch, request in self._receiver.expire(now_s):
            self._overtake(fetch, request, now_s)
        for transfer in self._transfers.values():
            if not transfer.is_complete:
                self._announcers[transfer.root_digest].ask_again(now_s)
        self._settle(now_s)

    def _overtake(self, fetch: Fetch, request: Request, now_s: float) -> None:
        for transfer in self._transfers.values():
            placement = self._placements[transfer.model]
            self._pulling.overtake(fetch, request, transfer, placement, now_s)

    def due_s(self, now_s: float) -> float:
        """Return when `tick` should be called next."""
        times = [now_s + TICK_S]
        dues = [self._server.due_s(now_s), self._credit.due_s(now_s)]
        dues += [announcer.due_s() for announcer in self._announcers.values()]
        times += [due_s for due_s in dues if due_s is not None]
        return max(min(times), now_s)

    def take_actions(self) -> list[Action]:
        """Return and forget the actions decided since the last call."""
        actions = list(self._actions)
        self._actions.clear()
        return actions

    def _settle(self, now_s: float) -> None:
        """Ask for what may be asked for, and send what may be sent."""
        self._now_s = now_s
        self._drawing.get_objects(self._objects, self._placements, now_s)
        transfers = [t for t in self._transfers.values() if not t.is_complete]
        for transfer in sorted(transfers, key=self._count_left):
            placement = self._placements[transfer.model]
            self._drawing.draw(transfer, placement, now_s)
            self._pulling.pull(transfer, placement, now_s)
            self._drawing.seek(transfer, placement, now_s)
        self._drawing.requested.run(self._placements, now_s)
        self._credit.grant(now_s)
        self._server.send_pieces(now_s)
        for announcer in self._announcers.values():
            announcer.flush(now_s)

    def _count_left(self, transfer: Transfer) -> int:
        """Return how many chunks are to be got: what is nearly whole goes first."""
        return len(transfer.draws if self._me.is_cache else transfer.missing)

    def _take_received(
        self, digest: str, data: bytes, request: Request, now_s: float
    ) -> None:
        if request.region:
            self._pulling.note_drawn(now_s)
        self._take_object(digest, data, now_s)

    def _take_object(self, digest: str, data: bytes, now_s: float) -> None:
        if not self._memory.put(digest, data):
            return
        is_wanted = self._objects.pop(digest, None) is not None
        for transfer in self._transfers.values():
            index = transfer.index_of.get(digest)
            if index is not None:
                is_wanted = is_wanted or transfer.needs(digest)
                transfer.mark_ready(index, True, now_s)
        self._drawing.requested.end(digest)
        if is_wanted:
            self._report(digest)
        self._server.note_held(digest, self._region_of)

    def _report(self, digest: str) -> None:
        if digest not in self._ready:
            self._ready.add(digest)
            self._memory.pin(digest)
        self._actions.append(ObjectReady(digest))

    def _serve(self, peer: str, request: ChunkRequest, now_s: float) -> None:
        region = self._region_of(peer)
        is_near = region == self._me.region
        patience_s = max(
            (
                self._limits.patience_s(placement, is_near=is_near)
                for placement in self._placements.values()
            ),
            default=0.0,
        )
        if not self._server.serve(peer, request, region, now_s + patience_s):
            return
        for transfer in self._transfers.values():
            self._drawing.requested.note_asked(
                transfer,
                self._placements[transfer.model],
                request.digest,
                now_s,
                is_near=is_near,
            )

    def _region_of(self, peer: str) -> str:
        for placement in self._placements.values():
            if region := placement.region_of(peer):
                return region
        return ""

    def _placement_of(self, model: str) -> Placement:
        if model not in self._placements:
            self._placements[model] = self._limits.place(self._me)
        return self._placements[model]

    def _transfer_of(self, manifest: Manifest, now_s: float) -> Transfer:
        root_digest = manifest.root_digest
        if root_digest not in self._transfers:
            transfer = Transfer(manifest, self._limits.slowest_bytes_per_s, self._rng)
            self._transfers[root_digest] = transfer
            placement = self._placement_of(manifest.model)
            self._announcers[root_digest] = Announcer(
                transfer, placement, self._actions
            )
            for index, digest in enumerate(transfer.digests):
                if digest in self._memory:
                    transfer.mark_ready(index, True, now_s)
            for peer, message in self._early_maps.take(root_digest):
                self._take_announcement(peer, message, now_s)
        return self._transfers[root_digest]

    def _join(self, transfer: Transfer, now_s: float) -> None:
        """Take the live agents into a transfer."""
        announcer = self._announcers[transfer.root_digest]
        announcer.join(now_s, is_asking=not transfer.is_complete)
        transfer.assign(self._placements[transfer.model])

    def _drop_peer(self, name: str, now_s: float) -> None:
        self._server.drop_peer(name)
        for fetch, request in self._fetches.iterate():
            if request.peer == name:
                self._fetches.close(fetch, request, is_cancelled=False)
                fetch.attempts += 1
        self._peers.forget(name)

    def _rank_victim(self, digest: str) -> tuple[bool, bool, bool, int]:
        """Return an object's place in the order of eviction, the lowest first."""
        for transfer in self._transfers.values():
            index = transfer.index_of.get(digest)
            if index is not None:
                keepers = self._placements[transfer.model].keepers(digest)
                is_kept = self._me.name in keepers[: self._limits.copies_per_region]
                is_needed = transfer.table.is_needed(index, self._now_s)
                return True, is_needed, is_kept, -transfer.table.count(index)
        return digest in self._objects, False, False, 0

    def _note_evicted(self, digest: str) -> None:
        for transfer in self._transfers.values():
            transfer.mark_evicted(digest)
