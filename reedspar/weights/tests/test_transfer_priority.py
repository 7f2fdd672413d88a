"""Tests of the order in which the chunks of two versions are transferred."""

import random
import unittest

from bench.weight_agents import make_weights
from reedspar.weights import WeightPeer
from reedspar.weights.distribution import Action, SendMessage
from reedspar.weights.fetches import FetchTable, PeerBackoff
from reedspar.weights.inbound_credit import InboundCredit
from reedspar.weights.limits import SwarmLimits
from reedspar.weights.memory import ChunkMemory
from reedspar.weights.messages import (
    ChunkCancel,
    ChunkGrant,
    ChunkPiece,
    ChunkRequest,
    HaveMap,
)
from reedspar.weights.neighbours import encode_map
from reedspar.weights.swarm import SwarmDistribution

MODEL = "quotes"
CHUNKS = 8
CHUNK_BYTES = 50_000
CACHES = [WeightPeer(f"entry-{i}", "ra", "a", is_cache=True) for i in range(2)]
AGENT = WeightPeer("agent", "ra", "a")
LIMITS = SwarmLimits(
    origin_region="rb",
    machine_bytes_per_s=1e6,
    region_bytes_per_s=1e6,
    memory_bytes=1_000_000,
    piece_bytes=4096,
)


class WaitingRequestTest(unittest.TestCase):
    def test_chunk_is_requested_from_the_first_peer_that_holds_it(self) -> None:
        # Guards against waiting for one entry after an outage of the origin although
        # another one already holds the chunk.
        agent = SwarmDistribution(AGENT, LIMITS, random.Random(1))
        agent.set_peers(MODEL, CACHES, 0.0)
        manifest, _ = make_weights(CHUNKS, CHUNK_BYTES)
        agent.register_version(manifest, 0.0)
        agent.fetch_chunks(manifest, 0.0)
        agent.tick(LIMITS.no_progress_timeout_s + 0.1)
        waiting = {
            action.message.digest: action.peer
            for action in agent.take_actions()
            if isinstance(action, SendMessage)
            and isinstance(action.message, ChunkRequest)
        }
        digest, peer = next(iter(waiting.items()))
        holder = next(cache.name for cache in CACHES if cache.name != peer)
        held = encode_map(1 << manifest.chunk_digests.index(digest), CHUNKS)
        announcement = HaveMap(
            manifest.root_digest, 1, held, held, is_reply_wanted=False
        )
        agent.receive(holder, announcement, 1.2)
        sent = [a for a in agent.take_actions() if isinstance(a, SendMessage)]
        cancelled = [
            (action.peer, action.message.digest)
            for action in sent
            if isinstance(action.message, ChunkCancel)
        ]
        requested = [
            (action.peer, action.message.digest)
            for action in sent
            if isinstance(action.message, ChunkRequest)
        ]
        self.assertEqual(cancelled, [(peer, digest)])
        self.assertIn((holder, digest), requested)


class CreditTest(unittest.TestCase):
    def test_credit_goes_to_the_version_that_is_nearly_complete(self) -> None:
        # Guards against a version that stays incomplete while the link carries chunks
        # of the next one, which were requested before.
        actions: list[Action] = []
        fetches = FetchTable(
            ChunkMemory(1_000_000, lambda digest: 0, lambda digest: None),
            PeerBackoff(),
            actions,
            LIMITS.piece_bytes,
        )
        credit = InboundCredit(LIMITS, fetches, actions)
        ranks = {"next": 1, "current": 0}
        for digest in ranks:
            fetch = fetches.get_or_create(digest, CHUNK_BYTES)
            fetches.start_request(fetch, "entry", 0.0, 1.0)
            request = fetch.requests[0]
            first = bytes(LIMITS.piece_bytes)
            piece = ChunkPiece(digest, request.request_id, 0, CHUNK_BYTES, first)
            request.assembly.add(piece, "entry")
        actions.clear()
        credit.grant(0.0, ranks.__getitem__)
        granted = [
            action.message.digest
            for action in actions
            if isinstance(action, SendMessage)
            and isinstance(action.message, ChunkGrant)
        ]
        self.assertEqual(granted[0], "current")


if __name__ == "__main__":
    unittest.main()
