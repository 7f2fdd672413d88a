"""Simulated agents over rate-limited links.

Each agent runs a `Distribution` of the product; its engine only accepts the chunks.
"""

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

from .simulated_links import EventQueue, FairLink, LinkRates, QueueLink

__all__ = ["Fleet", "FleetAgent", "make_weights"]

VIEW_LAG_S = 1.5
HEADER_BYTES = 120

DistributionFactory = Callable[[WeightPeer], Distribution]


class FleetAgent:
    """One agent: its distribution, its links, and the chunks its engine lacks."""

    def __init__(
        self, fleet: "Fleet", peer: WeightPeer, distribution: Distribution
    ) -> None:
        self.fleet = fleet
        self.peer = peer
        self.distribution = distribution
        self.uplink = QueueLink(fleet.events, fleet.rates.machine_bytes_per_s)
        self.downlink = QueueLink(fleet.events, fleet.rates.machine_bytes_per_s)
        self.missing: set[str] = set()
        self.is_dead = False
        self.frozen_until_s = 0.0
        self.finished_s: float | None = None
        self.control_messages = 0
        self.control_bytes = 0
        self._next_tick_s = -1.0

    def set_link(self, bytes_per_s: float) -> None:
        """Replace the links of this agent's machine by links of the given rate."""
        self.uplink = QueueLink(self.fleet.events, bytes_per_s)
        self.downlink = QueueLink(self.fleet.events, bytes_per_s)

    def fetch_version(self, manifest: Manifest) -> None:
        """Start to fetch a version."""
        self.missing = set(manifest.chunk_digests)
        self.fleet.add_incomplete(self)
        self.finished_s = None
        self.distribution.fetch_chunks(manifest, self.fleet.events.now_s)
        self.run_actions()

    def receive(self, sender: str, message: WeightMessage) -> None:
        """Handle a message; delay it while frozen, drop it if dead."""
        events = self.fleet.events
        if self.is_dead:
            return
        if events.now_s < self.frozen_until_s:
            events.at(self.frozen_until_s, lambda: self.receive(sender, message))
            return
        self.distribution.receive(sender, message, events.now_s)
        self.run_actions()

    def handle_link_lost(self, peer: str) -> None:
        """Handle the loss of the link to a peer."""
        if not self.is_dead:
            self.distribution.handle_link_lost(peer, self.fleet.events.now_s)
            self.run_actions()

    def complete_read(self, digest: str, result: bytes | Failure) -> None:
        """Handle the outcome of a read from the origin."""
        if not self.is_dead:
            self.distribution.complete_read(digest, result, self.fleet.events.now_s)
            self.run_actions()

    def run_actions(self) -> None:
        """Run the actions of the distribution, and schedule its next tick."""
        now_s = self.fleet.events.now_s
        while actions := self.distribution.take_actions():
            for action in actions:
                if isinstance(action, SendMessage):
                    self.fleet.send(self, action.peer, action.message)
                elif isinstance(action, ReadOrigin):
                    self.fleet.read_origin(self, action.digest)
                elif isinstance(action, ObjectReady):
                    self._handle_object_ready(action.digest)
        due_s = self.distribution.due_s(now_s)
        if due_s < self._next_tick_s or self._next_tick_s <= now_s:
            self._next_tick_s = due_s
            self.fleet.events.at(due_s, self._tick)

    def _handle_object_ready(self, digest: str) -> None:
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
    """The agents of all regions, their links, and the origin."""

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
        self.events = EventQueue()
        self.rates = rates
        self.rng = random.Random(seed)
        self.create_distribution = create_distribution
        self.objects: dict[str, bytes] = {}
        self.origin = FairLink(self.events, rates.origin_bytes_per_s, piece_bytes)
        self.is_origin_unavailable = False
        self.origin_region = origin_region
        self.region_links: dict[tuple[str, str], QueueLink] = {}
        self.agents = {
            p.name: FleetAgent(self, p, create_distribution(p)) for p in peers
        }
        self._incomplete: list[FleetAgent] = []
        self.message_counts: Counter[str] = Counter()
        self._corrupt_share = corrupt_share

    @property
    def live(self) -> list[FleetAgent]:
        """Return the agents that are not dead."""
        return [agent for agent in self.agents.values() if not agent.is_dead]

    @property
    def origin_bytes(self) -> int:
        """Return the number of bytes read from the origin."""
        return self.origin.sent_bytes.total()

    def is_finished(self) -> bool:
        """Return whether the engines of all live agents have all chunks."""
        return not any(agent.missing for agent in self._find_incomplete())

    def _find_incomplete(self) -> Iterable[FleetAgent]:
        """Yield at most one live agent that lacks chunks, the last one added."""
        while self._incomplete:
            agent = self._incomplete[-1]
            if agent.is_dead or not agent.missing:
                self._incomplete.pop()
            else:
                yield agent
                return

    def add_incomplete(self, agent: FleetAgent) -> None:
        """Add an agent that lacks chunks."""
        self._incomplete.append(agent)

    def set_views(self, model: str) -> None:
        """Set the peers of every live agent to all other live agents."""
        now_s = self.events.now_s
        peers = [agent.peer for agent in self.live]
        for agent in self.live:
            others = [peer for peer in peers if peer != agent.peer]
            agent.distribution.set_peers(model, others, now_s)
            agent.run_actions()

    def kill(
        self, agents: Iterable[FleetAgent], model: str, lag_s: float = VIEW_LAG_S
    ) -> None:
        """Kill agents: their links close now; views drop them after `lag_s`."""
        for agent in agents:
            agent.is_dead = True
        for other in self.live:
            for agent in agents:
                other.handle_link_lost(agent.peer.name)
        self.events.at(self.events.now_s + lag_s, lambda: self.set_views(model))

    def send(self, sender: FleetAgent, name: str, message: WeightMessage) -> None:
        """Send a message over the links between two agents."""
        receiver = self.agents.get(name)
        if receiver is None or sender.is_dead:
            return
        self.message_counts[type(message).__name__] += 1
        is_same_region = sender.peer.region == receiver.peer.region
        delay_s = (
            self.rates.intra_region_delay_s
            if is_same_region
            else self.rates.inter_region_delay_s
        )

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

        def send_down() -> None:
            if not receiver.is_dead:
                receiver.downlink.send(size_bytes, 0.0, arrive)

        def send_across() -> None:
            link = self._region_link(sender.peer.region, receiver.peer.region)
            link.send(size_bytes, delay_s, send_down)

        if is_same_region:
            sender.uplink.send(size_bytes, delay_s, send_down)
        else:
            sender.uplink.send(size_bytes, 0.0, send_across)

    def _region_link(self, sender: str, receiver: str) -> QueueLink:
        key = (sender, receiver)
        if key not in self.region_links:
            self.region_links[key] = QueueLink(
                self.events, self.rates.region_bytes_per_s
            )
        return self.region_links[key]

    def read_origin(self, agent: FleetAgent, digest: str) -> None:
        """Read an object from the origin over the links to an agent."""
        if self.is_origin_unavailable:
            failure = Failure(Reason.UNAVAILABLE, Step.ORIGIN_DRAW, "origin")
            failed_at_s = self.events.now_s + self.rates.inter_region_delay_s
            self.events.at(failed_at_s, lambda: agent.complete_read(digest, failure))
            return
        data = self.objects[digest]
        if self.rng.random() < self._corrupt_share:
            data = bytes([data[0] ^ 1]) + data[1:]

        def on_piece(size_bytes: int, is_last: bool) -> None:
            def arrive() -> None:
                if is_last:
                    agent.complete_read(digest, data)

            def send_down() -> None:
                agent.downlink.send(size_bytes, self.rates.intra_region_delay_s, arrive)

            if self.origin_region in ("", agent.peer.region):
                send_down()
            else:
                link = self._region_link(self.origin_region, agent.peer.region)
                link.send(size_bytes, self.rates.inter_region_delay_s, send_down)

        self.origin.send(agent.peer.name, len(data), on_piece)

    def _corrupt(self, piece: ChunkPiece) -> ChunkPiece:
        data = bytes([piece.data[0] ^ 1]) + piece.data[1:]
        return ChunkPiece(
            piece.digest, piece.request_id, piece.offset, piece.total_bytes, data
        )


def estimate_control_bytes(message: WeightMessage) -> int:
    """Return the approximate size of a message on the wire (Cap'n Proto, unpacked)."""
    if isinstance(message, HaveMap):
        return HEADER_BYTES + 64 + len(message.held) + len(message.obtained)
    if isinstance(message, HaveUpdate):
        return HEADER_BYTES + 64 + 4 * (len(message.gained) + len(message.dropped))
    return HEADER_BYTES + 80


def make_weights(
    chunk_count: int, chunk_bytes: int, sequence: int = 1, shared: int = 0
) -> tuple[Manifest, dict[str, bytes]]:
    """Return a manifest and its chunks by digest.

    The first `shared` chunks are those of sequence 1.
    """
    rng = random.Random(sequence)
    first = random.Random(1)
    chunks = [first.randbytes(chunk_bytes) for _ in range(shared)]
    chunks += [rng.randbytes(chunk_bytes) for _ in range(chunk_count - shared)]
    weights = b"".join(chunks)
    manifest = build_manifest("quotes", f"v{sequence}", sequence, weights, chunk_bytes)
    if isinstance(manifest, Failure):
        raise ValueError(str(manifest))
    return manifest, {digest_bytes(chunk): chunk for chunk in chunks}
