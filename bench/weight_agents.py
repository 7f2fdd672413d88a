"""Agents as light objects over paced links: real decisions, engines that only take."""

import random
from collections import Counter
from collections.abc import Callable, Iterable

from reedspar.errors import Failure, Reason, Step
from reedspar.utils import digest_bytes
from reedspar.weights import Manifest, WeightPeer, build_manifest
from reedspar.weights.distribution import (
    Distribution,
    ObjectReady,
    ReadOrigin,
    SendMessage,
)
from reedspar.weights.messages import ChunkPiece, HaveMap, HaveUpdate, WeightMessage

from .paced_links import Events, FairLink, LinkRates, QueueLink

__all__ = ["Fleet", "FleetAgent", "make_weights"]

VIEW_LAG_S = 1.5
HEADER_BYTES = 120

DistributionFactory = Callable[[WeightPeer], Distribution]


class FleetAgent:
    """One agent: its decisions, its two links, and what its engine was given."""

    def __init__(
        self, fleet: "Fleet", peer: WeightPeer, distribution: Distribution
    ) -> None:
        self.fleet = fleet
        self.peer = peer
        self.distribution = distribution
        self.up = QueueLink(fleet.events, fleet.rates.machine)
        self.down = QueueLink(fleet.events, fleet.rates.machine)
        self.missing: set[str] = set()
        self.is_dead = False
        self.frozen_until_s = 0.0
        self.finished_s: float | None = None
        self.control_messages = 0
        self.control_bytes = 0
        self._next_tick_s = -1.0

    def set_link(self, bytes_per_s: float) -> None:
        """Give this agent's machine a link of its own rate."""
        self.up = QueueLink(self.fleet.events, bytes_per_s)
        self.down = QueueLink(self.fleet.events, bytes_per_s)

    def fetch_version(self, manifest: Manifest) -> None:
        """Start to get a version."""
        self.missing = set(manifest.chunk_digests)
        self.fleet.note_pending(self)
        self.finished_s = None
        self.distribution.fetch_chunks(manifest, self.fleet.events.now_s)
        self.run_actions()

    def receive(self, sender: str, message: WeightMessage) -> None:
        """Take a message, later if frozen, never if dead."""
        events = self.fleet.events
        if self.is_dead:
            return
        if events.now_s < self.frozen_until_s:
            events.at(self.frozen_until_s, lambda: self.receive(sender, message))
            return
        self.distribution.receive(sender, message, events.now_s)
        self.run_actions()

    def handle_link_lost(self, peer: str) -> None:
        """Learn that a peer's machine refuses connections, or has ended them."""
        if not self.is_dead:
            self.distribution.handle_link_lost(peer, self.fleet.events.now_s)
            self.run_actions()

    def complete_read(self, digest: str, result: bytes | Failure) -> None:
        """Take an object of the origin."""
        if not self.is_dead:
            self.distribution.complete_read(digest, result, self.fleet.events.now_s)
            self.run_actions()

    def run_actions(self) -> None:
        """Carry out what was decided."""
        now_s = self.fleet.events.now_s
        while actions := self.distribution.take_actions():
            for action in actions:
                if isinstance(action, SendMessage):
                    self.fleet.send(self, action.peer, action.message)
                elif isinstance(action, ReadOrigin):
                    self.fleet.read_origin(self, action.digest)
                elif isinstance(action, ObjectReady):
                    self._take(action.digest)
        due_s = self.distribution.due_s(now_s)
        if due_s < self._next_tick_s or self._next_tick_s <= now_s:
            self._next_tick_s = due_s
            self.fleet.events.at(due_s, self._tick)

    def _take(self, digest: str) -> None:
        now_s = self.fleet.events.now_s
        self.missing.discard(digest)
        if not self.missing and self.finished_s is None:
            self.finished_s = now_s
        self.distribution.release(digest, now_s)

    def _tick(self) -> None:
        events = self.fleet.events
        if self.is_dead or events.now_s < self._next_tick_s:
            return
        if events.now_s < self.frozen_until_s:
            self._next_tick_s = self.frozen_until_s
            events.at(self.frozen_until_s, self._tick)
            return
        self._next_tick_s = -1.0
        self.distribution.tick(events.now_s)
        self.run_actions()


class Fleet:
    """Agents in regions, their links, and the origin."""

    def __init__(
        self,
        peers: Iterable[WeightPeer],
        rates: LinkRates,
        piece_bytes: int,
        create_distribution: DistributionFactory,
        *,
        corrupt_share: float = 0.0,
        seed: int = 1,
        origin_region: str = "",
    ) -> None:
        self.events = Events()
        self.rates = rates
        self.rng = random.Random(seed)
        self.create_distribution = create_distribution
        self.objects: dict[str, bytes] = {}
        self.origin = FairLink(self.events, rates.origin, piece_bytes)
        self.is_origin_unavailable = False
        self.origin_region = origin_region
        self.region_links: dict[tuple[str, str], QueueLink] = {}
        self.agents = {
            p.name: FleetAgent(self, p, create_distribution(p)) for p in peers
        }
        self._pending: list[FleetAgent] = []
        self.message_counts: Counter[str] = Counter()
        self._corrupt_share = corrupt_share

    @property
    def live(self) -> list[FleetAgent]:
        """Return the agents that are not dead."""
        return [agent for agent in self.agents.values() if not agent.is_dead]

    @property
    def origin_bytes(self) -> int:
        """Return what was drawn from the origin."""
        return self.origin.sent_bytes.total()

    def is_finished(self) -> bool:
        """Tell whether every live agent's engine has everything."""
        return not any(agent.missing for agent in self._unfinished())

    def _unfinished(self) -> Iterable[FleetAgent]:
        """Yield the live agents that lack something, the last one first."""
        while self._pending:
            agent = self._pending[-1]
            if agent.is_dead or not agent.missing:
                self._pending.pop()
            else:
                yield agent
                return

    def note_pending(self, agent: FleetAgent) -> None:
        """Note that an agent lacks something."""
        self._pending.append(agent)

    def set_views(self, model: str) -> None:
        """Tell every live agent of the live others."""
        now_s = self.events.now_s
        peers = [agent.peer for agent in self.live]
        for agent in self.live:
            others = [peer for peer in peers if peer != agent.peer]
            agent.distribution.set_peers(model, others, now_s)
            agent.run_actions()

    def kill(
        self, agents: Iterable[FleetAgent], model: str, lag_s: float = VIEW_LAG_S
    ) -> None:
        """Kill agents; links to them are lost, and the others' views learn later."""
        for agent in agents:
            agent.is_dead = True
        for other in self.live:
            for agent in agents:
                other.handle_link_lost(agent.peer.name)
        self.events.at(self.events.now_s + lag_s, lambda: self.set_views(model))

    def send(self, sender: FleetAgent, name: str, message: WeightMessage) -> None:
        """Bring a message over the links between two agents."""
        receiver = self.agents.get(name)
        if receiver is None or sender.is_dead:
            return
        self.message_counts[type(message).__name__] += 1
        is_near = sender.peer.region == receiver.peer.region
        delay_s = self.rates.near_delay_s if is_near else self.rates.far_delay_s

        def arrive() -> None:
            receiver.receive(sender.peer.name, message)

        if receiver.is_dead:
            self.events.at(
                self.events.now_s + 2 * delay_s,
                lambda: sender.handle_link_lost(receiver.peer.name),
            )
            return
        if not isinstance(message, ChunkPiece):
            sender.control_messages += 1
            sender.control_bytes += estimate_control_bytes(message)
            self.events.at(self.events.now_s + delay_s, arrive)
            return
        size_bytes = len(message.data)
        if self.rng.random() < self._corrupt_share * size_bytes / message.total_bytes:
            message = self._corrupt(message)

        def go_down() -> None:
            if not receiver.is_dead:
                receiver.down.send(size_bytes, 0.0, arrive)

        def go_across() -> None:
            link = self._region_link(sender.peer.region, receiver.peer.region)
            link.send(size_bytes, delay_s, go_down)

        if is_near:
            sender.up.send(size_bytes, delay_s, go_down)
        else:
            sender.up.send(size_bytes, 0.0, go_across)

    def _region_link(self, sender: str, receiver: str) -> QueueLink:
        key = (sender, receiver)
        if key not in self.region_links:
            self.region_links[key] = QueueLink(self.events, self.rates.region)
        return self.region_links[key]

    def read_origin(self, agent: FleetAgent, digest: str) -> None:
        """Bring an object from the origin."""
        if self.is_origin_unavailable:
            failure = Failure(Reason.UNAVAILABLE, Step.ORIGIN_DRAW, "origin")
            late_s = self.events.now_s + self.rates.far_delay_s
            self.events.at(late_s, lambda: agent.complete_read(digest, failure))
            return
        data = self.objects[digest]
        if self.rng.random() < self._corrupt_share:
            data = bytes([data[0] ^ 1]) + data[1:]

        def on_piece(size_bytes: int, is_last: bool) -> None:
            def arrive() -> None:
                if is_last:
                    agent.complete_read(digest, data)

            def go_down() -> None:
                agent.down.send(size_bytes, self.rates.near_delay_s, arrive)

            if self.origin_region in ("", agent.peer.region):
                go_down()
            else:
                link = self._region_link(self.origin_region, agent.peer.region)
                link.send(size_bytes, self.rates.far_delay_s, go_down)

        self.origin.send(agent.peer.name, len(data), on_piece)

    def _corrupt(self, piece: ChunkPiece) -> ChunkPiece:
        data = bytes([piece.data[0] ^ 1]) + piece.data[1:]
        return ChunkPiece(
            piece.digest, piece.request_id, piece.offset, piece.total_bytes, data
        )


def estimate_control_bytes(message: WeightMessage) -> int:
    """Return about what a message takes on the wire (Cap'n Proto, unpacked)."""
    if isinstance(message, HaveMap):
        return HEADER_BYTES + 64 + len(message.held) + len(message.obtained)
    if isinstance(message, HaveUpdate):
        return HEADER_BYTES + 64 + 4 * (len(message.gained) + len(message.dropped))
    return HEADER_BYTES + 80


def make_weights(
    chunk_count: int, chunk_bytes: int, sequence: int = 1, shared: int = 0
) -> tuple[Manifest, dict[str, bytes]]:
    """Return a manifest and its objects; `shared` chunks are those of sequence 1."""
    rng = random.Random(sequence)
    first = random.Random(1)
    chunks = [first.randbytes(chunk_bytes) for _ in range(shared)]
    chunks += [rng.randbytes(chunk_bytes) for _ in range(chunk_count - shared)]
    weights = b"".join(chunks)
    manifest = build_manifest("quotes", f"v{sequence}", sequence, weights, chunk_bytes)
    if isinstance(manifest, Failure):
        raise ValueError(str(manifest))
    return manifest, {digest_bytes(chunk): chunk for chunk in chunks}
