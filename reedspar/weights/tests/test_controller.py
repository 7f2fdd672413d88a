"""Tests of the way from the origin to an offer, with fakes at every interface."""

import random
import unittest

from reedspar.errors import Failure, Reason, Step
from reedspar.weights import WeightPeer

from .fakes import AgentPool, run_pool

REGIONS = ("centro", "centro", "centro", "oriente", "oriente")
WEIGHTS = random.Random(1).randbytes(40_000)
OTHER_WEIGHTS = WEIGHTS[:20_000] + random.Random(2).randbytes(20_000)


def make_pool(size: int = 5, checks_fencing: bool = True) -> AgentPool:
    peers = [
        WeightPeer(f"agent-{i}", region, f"{region}-a")
        for i, region in enumerate(REGIONS[:size])
    ]
    return AgentPool(peers, checks_fencing)


class ControllerTest(unittest.TestCase):
    def test_every_target_offers_the_version_drawn_once(self) -> None:
        async def history(pool: AgentPool) -> None:
            version = await pool.publish(WEIGHTS)
            await pool.step(3)
            for agent in pool.agents:
                self.assertEqual(agent.offered_root, version.root_digest)
            self.assertEqual(set(pool.origin.reads.values()), {1})

        run_pool(make_pool(), history)

    def test_next_version_replaces_the_first_after_a_drain(self) -> None:
        async def history(pool: AgentPool) -> None:
            await pool.publish(WEIGHTS, 1)
            await pool.step(3)
            version = await pool.publish(OTHER_WEIGHTS, 2)
            await pool.step(6)
            for agent in pool.agents:
                self.assertEqual(agent.offered_root, version.root_digest)
                self.assertEqual(agent.gate.events, ["begin", "end"] * 2)

        run_pool(make_pool(), history)

    def test_restart_of_the_engine_withdraws_the_offer_at_once(self) -> None:
        # The target's process dies and starts again without warning.  Callers
        # would be sent to an engine that holds no weights.
        async def history(pool: AgentPool) -> None:
            version = await pool.publish(WEIGHTS)
            await pool.step(3)
            agent = pool.agents[0]
            changes: list[str] = []
            agent.controller.on_offer_change(lambda: changes.append(agent.offered_root))
            agent.engine.restart()
            await agent.poll()
            self.assertEqual(agent.offered_root, "")
            await pool.step(3)
            self.assertEqual(changes, ["", version.root_digest])

        run_pool(make_pool(), history)

    def test_other_digest_of_the_engine_withdraws_the_offer(self) -> None:
        # Something else loaded weights into the engine behind the agent's
        # back.  Answers would come from weights that nobody published.
        async def history(pool: AgentPool) -> None:
            version = await pool.publish(WEIGHTS)
            await pool.step(3)
            agent = pool.agents[0]
            agent.engine.loaded["quotes"] = "f" * 64
            await agent.poll()
            self.assertEqual(agent.offered_root, "")
            await pool.step(5)
            self.assertEqual(agent.offered_root, version.root_digest)

        run_pool(make_pool(), history)

    def test_corrupt_chunks_of_the_origin_are_not_staged(self) -> None:
        # The origin sends damaged bytes for a while.  A target that loaded
        # them would answer from weights that nobody trained.
        async def history(pool: AgentPool) -> None:
            pool.origin.corrupt_next = 5
            version = await pool.publish(WEIGHTS)
            await pool.step(20)
            for agent in pool.agents:
                self.assertEqual(agent.offered_root, version.root_digest)

        run_pool(make_pool(), history)

    def test_refused_load_is_tried_again_with_a_higher_number(self) -> None:
        # The engine lost what was staged, and says so when ordered to load.
        async def history(pool: AgentPool) -> None:
            agent = pool.agents[0]
            refusal = Failure(Reason.INVALID, Step.LOAD, "engine", "missing")
            agent.engine.load_failures.append(refusal)
            version = await pool.publish(WEIGHTS)
            await pool.step(5)
            self.assertEqual(agent.offered_root, version.root_digest)
            self.assertEqual(agent.engine.fencing_number, 2)

        run_pool(make_pool(1), history)

    def test_older_sequence_is_never_ordered_after_a_newer(self) -> None:
        # An operator's patch names a sequence that is lower than the one in
        # service.  Callers would be taken back to weights that were replaced.
        async def history(pool: AgentPool) -> None:
            newer = await pool.publish(WEIGHTS, 2)
            await pool.step(3)
            await pool.publish(OTHER_WEIGHTS, 1)
            await pool.step(3)
            agent = pool.agents[0]
            self.assertEqual(len(agent.engine.orders), 1)
            self.assertEqual(agent.engine.loaded["quotes"], newer.root_digest)

        run_pool(make_pool(1), history)

    def test_roll_out_over_the_pool_never_withdraws_every_offer(self) -> None:
        # All targets have the next version staged at about the same time.
        # Callers would find no target while every engine loads.
        async def history(pool: AgentPool) -> None:
            await pool.publish(WEIGHTS, 1)
            await pool.step(4)
            for agent in pool.agents:
                agent.engine.load_steps = 10
            version = await pool.publish(OTHER_WEIGHTS, 2)
            least = len(pool.agents)
            for _ in range(400):
                await pool.step(0.05)
                least = min(least, sum(bool(a.offered_root) for a in pool.agents))
            for agent in pool.agents:
                self.assertEqual(agent.offered_root, version.root_digest)
            self.assertEqual(least, len(pool.agents) - 1)

        run_pool(make_pool(), history)

    def test_agent_that_restarts_offers_what_the_engine_serves_without_a_load(
        self,
    ) -> None:
        # Only the agent dies; its engine goes on.  A second load would take
        # the target from service for nothing, and draw every chunk again.
        async def history(pool: AgentPool) -> None:
            version = await pool.publish(WEIGHTS)
            await pool.step(3)
            reads = sum(pool.origin.reads.values())
            await pool.replace(pool.agents[0])
            await pool.step(3)
            agent = pool.agents[0]
            self.assertEqual(agent.offered_root, version.root_digest)
            self.assertEqual(len(agent.engine.orders), 1)
            self.assertEqual(sum(pool.origin.reads.values()), reads)

        run_pool(make_pool(), history)

    def test_predecessors_order_is_waited_out_where_fencing_is_ignored(self) -> None:
        # The agent dies with an order in flight to an engine that ignores
        # fencing numbers.  The order takes effect after the successor started:
        # callers let in before would see the weights change under them.
        async def history(pool: AgentPool) -> None:
            older = await pool.publish(WEIGHTS, 1)
            await pool.wait_settled()
            await pool.step(3)
            agent = pool.agents[0]
            self.assertEqual(agent.offered_root, older.root_digest)
            newer = await pool.publish(OTHER_WEIGHTS, 2)
            await pool.replace(agent)
            successor = pool.agents[0]
            self.assertEqual(successor.offered_root, "")
            await pool.step(0.05)
            await successor.poll()
            self.assertEqual(successor.offered_root, "")
            agent.engine.loaded["quotes"] = newer.root_digest
            await pool.wait_settled()
            self.assertEqual(successor.offered_root, newer.root_digest)
            self.assertEqual(len(agent.engine.orders), 1)

        run_pool(make_pool(1, checks_fencing=False), history)
