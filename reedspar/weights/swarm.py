"""Peer-to-peer distribution by rarest-first selection, as in BitTorrent (Cohen 2003).

Each agent requests the chunks that are rarest among some neighbours in its region.
`Placement` assigns fetches from the origin and other regions to agents.  Agents without
such an assignment fetch from there only if no neighbour obtains new chunks.
"""

import random
from collections.abc import Iterable

from reedspar.errors import Failure

from .announcing import Announcer, EarlyMaps
from .distribution import Action, ObjectReady, VersionStatus, WeightPeer
from .fetches import Fetch, FetchTable, PeerBackoff, Request
from .inbound_credit import InboundCredit
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
from .needed_chunks import DrawOrder, describe_transfer
from .neighbour_fetching import NeighbourFetcher
from .placement import Placement
from .reachability import Reachability
from .receiving import ChunkReceiver
from .remote_fetching import RemoteFetcher
from .serving import ChunkServer
from .transfers import Transfer, rank_chunk, rank_of_object

__all__ = ["SwarmDistribution"]

TICK_INTERVAL_S = 0.05


class SwarmDistribution:
    """Implements `Distribution` by peer-to-peer exchange of chunks."""

    def __init__(self, me: WeightPeer, limits: SwarmLimits, rng: random.Random) -> None:
        self._me = me
        self._limits = limits
        self._rng = rng
        self._actions: list[Action] = []
        self._memory = ChunkMemory(
            limits.memory_bytes, self._rank_victim, self._handle_evicted
        )
        self._peers = PeerBackoff()
        self._fetches = FetchTable(
            self._memory, self._peers, self._actions, limits.piece_bytes
        )
        self._credit = InboundCredit(limits, self._fetches, self._actions)
        self._server = ChunkServer(me.region, self._memory, limits, self._actions)
        self._region_fetcher = NeighbourFetcher(limits, self._fetches, self._peers, rng)
        self._placements: dict[str, Placement] = {}
        self._transfers: dict[str, Transfer] = {}
        self._announcers: dict[str, Announcer] = {}
        self._objects: dict[str, str] = {}
        self._ready: set[str] = set()
        self._early_maps = EarlyMaps()
        self._live: dict[str, tuple[WeightPeer, ...]] = {}
        self._draws = DrawOrder(is_cache=me.is_cache)
        self._reachable = Reachability()
        self._remote = RemoteFetcher(limits, self._fetches, self._peers, self._memory)
        self._receiver = ChunkReceiver(
            limits, self._fetches, self._peers, self._credit, self._handle_received
        )
        self._now_s = 0.0

    @property
    def memory(self) -> ChunkMemory:
        """Return the store of objects."""
        return self._memory

    @property
    def sent_bytes(self) -> int:
        """Return the number of object bytes sent to peers."""
        return self._server.sent_bytes

    def set_peers(self, model: str, peers: Iterable[WeightPeer], now_s: float) -> None:
        """Set the other live agents and caches of a model."""
        self._live[model] = tuple(peers)
        self._update_placement(model, now_s)

    def _update_placement(self, model: str, now_s: float) -> None:
        """Update the placement and transfers to the reachable live agents."""
        placement = self._placement_of(model)
        before = set(placement.names)
        reached = [p for p in self._live[model] if p.name in self._reachable]
        if not placement.set_peers(reached):
            return
        gone = before - set(placement.names)
        for transfer in self._transfers.values():
            if transfer.model == model:
                self._update_transfer(transfer, now_s)
        for name in gone:
            self._drop_peer(name, now_s)
        self._schedule(now_s)

    def fetch_object(self, model: str, digest: str, now_s: float) -> None:
        """Fetch a single object, such as a manifest."""
        if digest in self._memory:
            self._report_ready(digest)
            return
        # The manifest of a replaced version is no longer needed.
        for other in [d for d, m in self._objects.items() if m == model]:
            del self._objects[other]
            self._fetches.finish(other)
        self._objects[digest] = model
        self._schedule(now_s)

    def add_object(self, digest: str, data: bytes, now_s: float) -> None:
        """Add a verified object from another source than a peer or the origin."""
        self._fetches.finish(digest)
        self._store_object(digest, data, now_s)
        self._schedule(now_s)

    def register_version(self, manifest: Manifest, now_s: float) -> None:
        """Register a version whose chunks peers may request."""
        self._transfer_of(manifest, now_s)

    def fetch_chunks(self, manifest: Manifest, now_s: float) -> None:
        """Fetch every chunk of a version, including those obtained before."""
        self._start_transfer(self._transfer_of(manifest, now_s), now_s)
        self._schedule(now_s)

    def _start_transfer(self, transfer: Transfer, now_s: float) -> None:
        transfer.start(now_s)
        for index, digest in enumerate(transfer.digests):
            if digest in self._memory:
                transfer.mark_obtained(index, True, now_s)
                self._report_ready(digest)
        self._update_transfer(transfer, now_s)
        announcer = self._announcers[transfer.root_digest]
        for neighbour in transfer.table.neighbours.values():
            announcer.send_map(neighbour, now_s, is_reply_wanted=True)

    def left_s(self, root_digest: str) -> float:
        """Return the transfer time of the missing chunks over this machine's link."""
        transfer = self._transfers.get(root_digest)
        missing_bytes = transfer.missing_bytes if transfer is not None else 0
        return missing_bytes / self._limits.machine_bytes_per_s

    def remove_version(self, root_digest: str, now_s: float) -> None:
        """Stop fetching the chunks that only this version needs."""
        transfer = self._transfers.pop(root_digest, None)
        if transfer is None:
            return
        announcer = self._announcers.pop(root_digest)
        if not transfer.is_complete:
            announcer.announce_no_chunks_needed()
        for index in transfer.missing:
            digest = transfer.digests[index]
            if not any(t.needs(digest) for t in self._transfers.values()):
                self._fetches.finish(digest)
        self._remote.requested.remove_version(transfer)
        self._schedule(now_s)

    def set_drawn_version(self, model: str, root_digest: str, now_s: float) -> None:
        """Set the only version of a model that is to be read from the origin."""
        if self._draws.set_drawn(model, root_digest):
            self._schedule(now_s)

    def status(self, root_digest: str, now_s: float) -> VersionStatus:
        """Return how the transfer of a version stands."""
        stall_s = self._limits.no_progress_timeout_s
        return describe_transfer(self._transfers.get(root_digest), now_s, stall_s)

    def receive(self, peer: str, message: WeightMessage, now_s: float) -> None:
        """Handle a message of a peer."""
        if self._reachable.record_message(peer):
            self._update_placements(now_s)
        if isinstance(message, ChunkPiece):
            self._receiver.handle_piece(peer, message, now_s)
        elif isinstance(message, ChunkRequest):
            self._serve(peer, message, now_s)
        elif isinstance(message, ChunkGrant):
            self._server.grant(peer, message)
        elif isinstance(message, ChunkRefused):
            self._receiver.handle_refusal(peer, message, now_s)
        elif isinstance(message, ChunkCancel):
            self._server.cancel(peer, message.request_id)
        elif isinstance(message, HaveMap | HaveUpdate):
            self._handle_announcement(peer, message, now_s)
        self._schedule(now_s)

    def _handle_announcement(
        self, peer: str, message: HaveMap | HaveUpdate, now_s: float
    ) -> None:
        announcer = self._announcers.get(message.root_digest)
        if announcer is None:
            self._early_maps.store(peer, message)
            return
        announcer.handle(peer, message, now_s)
        transfer = self._transfers[message.root_digest]
        if self._me.is_cache and not transfer.is_wanted and announcer.needs_more(peer):
            self._start_transfer(transfer, now_s)

    def complete_read(self, digest: str, result: bytes | Failure, now_s: float) -> None:
        """Handle the result of a read from the origin."""
        self._receiver.complete_read(digest, result, now_s)
        self._schedule(now_s)

    def object_bytes(self, digest: str) -> bytes | None:
        """Return an object, or None if it is not in memory."""
        return self._memory.get(digest)

    def release(self, digest: str, now_s: float) -> None:
        """Allow an object to be evicted."""
        if digest in self._ready:
            self._ready.discard(digest)
            self._memory.unpin(digest)
            self._schedule(now_s)

    def handle_link_lost(self, peer: str, now_s: float) -> None:
        """Consider a peer unreachable until it sends a message or a timeout passes."""
        self._reachable.record_lost(peer, now_s)
        self._update_placements(now_s)

    def _update_placements(self, now_s: float) -> None:
        for model in self._live:
            self._update_placement(model, now_s)

    def handle_pause(self, now_s: float) -> None:
        """Restart all timeouts and request all maps after a pause."""
        for _, request in self._fetches.iterate_requests():
            request.progress_s = now_s
        for transfer in self._transfers.values():
            transfer.record_progress(now_s)
            announcer = self._announcers[transfer.root_digest]
            for neighbour in transfer.table.neighbours.values():
                announcer.send_map(neighbour, now_s, is_reply_wanted=True)

    def handle_send_failure(
        self, peer: str, message: WeightMessage, now_s: float
    ) -> None:
        """Handle a message that was not sent because no link is open."""
        if isinstance(message, ChunkRequest):
            fetch = self._fetches.get(message.digest)
            request = self._fetches.find(peer, message.digest, message.request_id)
            if fetch is not None and request is not None:
                self._fetches.close(fetch, request, is_cancelled=False)
                fetch.not_before_s = now_s + TICK_INTERVAL_S
                self._peers.record_busy(peer, now_s + self._limits.link_retry_delay_s)
        elif isinstance(message, ChunkPiece):
            self._server.abort(peer, message)
        elif isinstance(message, HaveMap):
            announcer = self._announcers.get(message.root_digest)
            if announcer is not None:
                announcer.handle_send_failure(peer)

    def tick(self, now_s: float) -> None:
        """Handle expired timeouts, and start the requests and uploads that are due."""
        self._server.expire(now_s)
        if self._reachable.expire(now_s):
            self._update_placements(now_s)
        for fetch, request in self._receiver.expire(now_s):
            self._hedge(fetch, request, now_s)
        for transfer in self._transfers.values():
            if not transfer.is_complete:
                self._announcers[transfer.root_digest].repeat_requests(now_s)
        self._schedule(now_s)

    def _hedge(self, fetch: Fetch, request: Request, now_s: float) -> None:
        for transfer in self._transfers.values():
            placement = self._placements[transfer.model]
            self._region_fetcher.hedge(fetch, request, transfer, placement, now_s)

    def due_s(self, now_s: float) -> float:
        """Return the time at which `tick` should be called next."""
        dues = [self._server.due_s(now_s), self._credit.due_s(now_s)]
        dues += [announcer.due_s() for announcer in self._announcers.values()]
        times = [due_s for due_s in dues if due_s is not None]
        return max(min([*times, now_s + TICK_INTERVAL_S]), now_s)

    def take_actions(self) -> list[Action]:
        """Return and clear the pending actions."""
        actions = list(self._actions)
        self._actions.clear()
        return actions

    def _schedule(self, now_s: float) -> None:
        """Start the requests and send the pieces that the limits allow."""
        self._now_s = now_s
        self._remote.fetch_objects(self._objects, self._placements, now_s)
        transfers = self._draws.sort(self._transfers.values())
        for transfer in transfers:
            placement = self._placements[transfer.model]
            if self._draws.may_draw(transfer, placement):
                self._remote.fetch_assigned(transfer, placement, now_s)
            self._region_fetcher.fetch(transfer, placement, now_s)
            self._remote.fetch_from_replicas(transfer, placement, now_s)
        self._remote.requested.run(self._placements, now_s)
        self._credit.grant(now_s, lambda digest: rank_of_object(digest, transfers))
        self._server.send_pieces(now_s)
        for announcer in self._announcers.values():
            announcer.flush(now_s)

    def _handle_received(
        self, digest: str, data: bytes, request: Request, now_s: float
    ) -> None:
        if request.region:
            self._region_fetcher.record_remote_chunk(now_s)
        self._store_object(digest, data, now_s)

    def _store_object(self, digest: str, data: bytes, now_s: float) -> None:
        if not self._memory.put(digest, data):
            return
        is_wanted = self._objects.pop(digest, None) is not None
        for transfer in self._transfers.values():
            index = transfer.index_of.get(digest)
            if index is not None:
                is_wanted = is_wanted or transfer.needs(digest)
                transfer.mark_obtained(index, True, now_s)
        self._remote.requested.remove(digest)
        if is_wanted:
            self._report_ready(digest)
        self._server.handle_object(digest, self._region_of)

    def _report_ready(self, digest: str) -> None:
        if digest not in self._ready:
            self._ready.add(digest)
            self._memory.pin(digest)
        self._actions.append(ObjectReady(digest))

    def _serve(self, peer: str, request: ChunkRequest, now_s: float) -> None:
        region = self._region_of(peer)
        is_local = region == self._me.region
        waits_s = self._limits.list_wait_limits_s(self._placements.values(), is_local)
        until_s = now_s + max(waits_s, default=0.0)
        is_waiting = self._server.serve(peer, request, region, until_s)
        for transfer in self._transfers.values():
            if not is_local:
                transfer.record_request_from_afar(request.digest, now_s)
            placement = self._placements[transfer.model]
            if is_waiting and self._draws.may_draw(transfer, placement):
                self._remote.requested.add(
                    transfer, placement, request.digest, now_s, is_same_region=is_local
                )

    def _region_of(self, peer: str) -> str:
        for placement in self._placements.values():
            if region := placement.region_of(peer):
                return region
        return ""

    def _placement_of(self, model: str) -> Placement:
        if model not in self._placements:
            self._placements[model] = self._limits.create_placement(self._me)
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
                    transfer.mark_obtained(index, True, now_s)
            for peer, message in self._early_maps.pop(root_digest):
                self._handle_announcement(peer, message, now_s)
        return self._transfers[root_digest]

    def _update_transfer(self, transfer: Transfer, now_s: float) -> None:
        """Update a transfer to the live agents."""
        announcer = self._announcers[transfer.root_digest]
        announcer.update_neighbours(now_s, is_requesting=not transfer.is_complete)
        transfer.update_assignment(self._placements[transfer.model])

    def _drop_peer(self, name: str, now_s: float) -> None:
        self._server.drop_peer(name)
        for fetch, request in self._fetches.iterate_requests():
            if request.peer == name:
                self._fetches.close(fetch, request, is_cancelled=False)
                fetch.attempts += 1
        self._peers.remove(name)

    def _rank_victim(self, digest: str) -> tuple[bool, bool, bool, int]:
        """Return the eviction rank of an object; the lowest is evicted first."""
        for transfer in self._transfers.values():
            if digest in transfer.index_of:
                copies = self._limits.copies_per_region
                placement = self._placements[transfer.model]
                return rank_chunk(transfer, digest, placement, copies, self._now_s)
        return digest in self._objects, False, False, 0

    def _handle_evicted(self, digest: str) -> None:
        for transfer in self._transfers.values():
            transfer.mark_evicted(digest)
