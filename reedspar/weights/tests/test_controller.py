"""Tests of the weight controller from publication to offer, with fakes."""

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
    def test_every_target_offers_a_version_read_once_from_the_origin(self) -> None:
        async def scenario(pool: AgentPool) -> None:
            version = await pool.publish(WEIGHTS)
            await pool.step(3)
            for agent in pool.agents:
                self.assertEqual(agent.offered_root, version.root_digest)
            self.assertEqual(set(pool.origin.reads.values()), {1})

        run_pool(make_pool(), scenario)

    def test_next_version_replaces_the_first_after_a_drain(self) -> None:
        async def scenario(pool: AgentPool) -> None:
            await pool.publish(WEIGHTS, 1)
            await pool.step(3)
            version = await pool.publish(OTHER_WEIGHTS, 2)
            await pool.step(6)
            for agent in pool.agents:
                self.assertEqual(agent.offered_root, version.root_digest)
                self.assertEqual(agent.gate.events, ["begin", "end"] * 2)

        run_pool(make_pool(), scenario)

    def test_restart_of_the_engine_withdraws_the_offer_at_once(self) -> None:
        # Guards against requests to an engine without weights after its process has
        # restarted.
        async def scenario(pool: AgentPool) -> None:
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

        run_pool(make_pool(), scenario)

    def test_unknown_digest_of_the_engine_withdraws_the_offer(self) -> None:
        # Guards against answers from unpublished weights after another client has
        # loaded weights into the engine.
        async def scenario(pool: AgentPool) -> None:
            version = await pool.publish(WEIGHTS)
            await pool.step(3)
            agent = pool.agents[0]
            agent.engine.loaded["quotes"] = "f" * 64
            await agent.poll()
            self.assertEqual(agent.offered_root, "")
            await pool.step(5)
            self.assertEqual(agent.offered_root, version.root_digest)

        run_pool(make_pool(), scenario)

    def test_corrupt_chunks_of_the_origin_are_not_staged(self) -> None:
        # Guards against loading corrupt chunks that the origin returned.
        async def scenario(pool: AgentPool) -> None:
            pool.origin.corrupt_next = 5
            version = await pool.publish(WEIGHTS)
            await pool.step(20)
            for agent in pool.agents:
                self.assertEqual(agent.offered_root, version.root_digest)

        run_pool(make_pool(), scenario)

    def test_refused_load_is_tried_again_with_a_higher_number(self) -> None:
        # Guards against giving up after an engine has lost its staged chunks and
        # refused the load.
        async def scenario(pool: AgentPool) -> None:
            agent = pool.agents[0]
            refusal = Failure(Reason.INVALID, Step.LOAD, "engine", "missing")
            agent.engine.load_failures.append(refusal)
            version = await pool.publish(WEIGHTS)
            await pool.step(5)
            self.assertEqual(agent.offered_root, version.root_digest)
            self.assertEqual(agent.engine.fencing_number, 2)

        run_pool(make_pool(1), scenario)

    def test_older_sequence_is_never_ordered_after_a_newer(self) -> None:
        # Guards against serving replaced weights after an operator has configured a
        # lower sequence than the one in service.
        async def scenario(pool: AgentPool) -> None:
            newer = await pool.publish(WEIGHTS, 2)
            await pool.step(3)
            await pool.publish(OTHER_WEIGHTS, 1)
            await pool.step(3)
            agent = pool.agents[0]
            self.assertEqual(len(agent.engine.orders), 1)
            self.assertEqual(agent.engine.loaded["quotes"], newer.root_digest)

        run_pool(make_pool(1), scenario)

    def test_roll_out_over_the_pool_never_withdraws_every_offer(self) -> None:
        # Guards against all targets loading at once when the next version is staged
        # everywhere at about the same time.
        async def scenario(pool: AgentPool) -> None:
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

        run_pool(make_pool(), scenario)

    def test_restarted_agent_offers_the_served_version_without_a_load(
        self,
    ) -> None:
        # Guards against a needless load, and repeated reads of all chunks, when only
        # the agent has restarted and not its engine.
        async def scenario(pool: AgentPool) -> None:
            version = await pool.publish(WEIGHTS)
            await pool.step(3)
            reads = sum(pool.origin.reads.values())
            await pool.replace_agent(pool.agents[0])
            await pool.step(3)
            agent = pool.agents[0]
            self.assertEqual(agent.offered_root, version.root_digest)
            self.assertEqual(len(agent.engine.orders), 1)
            self.assertEqual(sum(pool.origin.reads.values()), reads)

        run_pool(make_pool(), scenario)

    def test_order_of_earlier_agent_expires_before_offers_without_fencing(self) -> None:
        # Guards against weights that change during a request.  An agent dies with an
        # order in flight to an engine that ignores fencing numbers, and the order takes
        # effect after the next agent has started.
        async def scenario(pool: AgentPool) -> None:
            older = await pool.publish(WEIGHTS, 1)
            await pool.wait_for_order_expiry()
            await pool.step(3)
            agent = pool.agents[0]
            self.assertEqual(agent.offered_root, older.root_digest)
            newer = await pool.publish(OTHER_WEIGHTS, 2)
            await pool.replace_agent(agent)
            successor = pool.agents[0]
            self.assertEqual(successor.offered_root, "")
            await pool.step(0.05)
            await successor.poll()
            self.assertEqual(successor.offered_root, "")
            agent.engine.loaded["quotes"] = newer.root_digest
            await pool.wait_for_order_expiry()
            self.assertEqual(successor.offered_root, newer.root_digest)
            self.assertEqual(len(agent.engine.orders), 1)

        run_pool(make_pool(1, checks_fencing=False), scenario)
