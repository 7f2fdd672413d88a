"""Tests that an agent runs each attempt at most once and keeps its answer."""

import hashlib
import unittest

import anyio

from reedspar.attempts import (
    AttemptAck,
    AttemptCancel,
    AttemptData,
    AttemptEnd,
    AttemptPhase,
    AttemptRefused,
    AttemptResume,
    AttemptStatus,
    CrashNotice,
    EndKind,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.platform import EngineState
from reedspar.targets import create_target_controller
from reedspar.targets.tests.fakes import (
    FakeNetwork,
    FakeOffers,
    FakeTarget,
    make_settings,
    make_start,
)
from reedspar.timers import TimerService, VirtualClock

WHOLE = b"begin end"


class TargetControllerTest(unittest.TestCase):
    def run_scenario(self, scenario, **target) -> None:
        async def main() -> None:
            self.clock = VirtualClock()
            self.timers = TimerService(self.clock, pause_threshold_s=60.0)
            self.network = FakeNetwork()
            self.target = FakeTarget()
            self.admission: Failure | None = None
            async with anyio.create_task_group() as tasks:
                self.controller = create_target_controller(
                    make_settings(**target),
                    1,
                    self.network,
                    self.timers,
                    self.target,
                    FakeOffers(),
                    lambda: self.admission,
                    tasks.start_soon,
                )
                await self.advance(0.3)
                # By now the report can't be from before the boot.
                await self.advance(4.0)
                await scenario()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def advance(self, by_s: float) -> None:
        self.clock.advance(by_s)
        self.timers.run_due()
        await anyio.wait_all_tasks_blocked()

    async def deliver(self, message) -> None:
        self.network.deliver(message)
        await anyio.wait_all_tasks_blocked()

    async def release(self) -> None:
        self.target.release.set()
        await anyio.wait_all_tasks_blocked()

    async def warm_up(self) -> None:
        """Have the target answer until it may be given all that it bears."""
        self.target.release.set()
        for i in range(10):
            await self.deliver(make_start(f"warm{i}"))
        self.assertEqual(self.controller.gate.limit, 4)

    def body(self) -> bytes:
        return b"".join(m.data for m in self.network.sent_of(AttemptData))

    def test_whole_answer_carries_length_and_digest(self) -> None:
        async def scenario() -> None:
            await self.deliver(make_start("r1"))
            await self.release()
            (end,) = self.network.sent_of(AttemptEnd)
            self.assertEqual(self.body(), WHOLE)
            self.assertIs(end.kind, EndKind.COMPLETE)
            self.assertEqual(end.length_bytes, len(WHOLE))
            self.assertEqual(end.digest, hashlib.sha256(WHOLE).hexdigest())

        self.run_scenario(scenario)

    def test_start_that_comes_twice_runs_once(self) -> None:
        # The link was replaced and the hand-over came on both connections.
        # A shop must not be charged twice for it.
        async def scenario() -> None:
            await self.deliver(make_start("r1", is_idempotent=False))
            await self.deliver(make_start("r1", is_idempotent=False))
            await self.release()
            await self.deliver(make_start("r1", is_idempotent=False))
            self.assertEqual(self.target.runs, ["r1.1"])
            phases = [m.phase for m in self.network.sent_of(AttemptStatus)]
            self.assertEqual(phases, [AttemptPhase.RUNNING, AttemptPhase.FINISHED])

        self.run_scenario(scenario)

    def test_cancel_that_overtakes_its_start_revokes_it(self) -> None:
        # The start is stuck in a silent connection, the cancel takes a new
        # one.  The caller is told "not run", so the late start must not run.
        async def scenario() -> None:
            await self.deliver(AttemptCancel("r1", 1, agent_incarnation=1))
            (refusal,) = self.network.sent_of(AttemptRefused)
            self.assertIs(refusal.reason, Reason.CANCELLED)
            await self.deliver(make_start("r1"))
            self.assertEqual(self.target.runs, [])

        self.run_scenario(scenario)

    def test_restarted_agent_proves_nothing_for_its_predecessor(self) -> None:
        # The predecessor ran the order and was killed.  Were its successor to
        # answer "never ran", the shop would send the deposit a second time.
        async def scenario() -> None:
            await self.deliver(AttemptCancel("r1", 1, agent_incarnation=7))
            await self.deliver(AttemptResume("r1", 1, 0, agent_incarnation=7))
            phases = [m.phase for m in self.network.sent_of(AttemptStatus)]
            self.assertEqual(phases, [AttemptPhase.UNKNOWN] * 2)
            self.assertEqual(self.network.sent_of(AttemptRefused), [])

        self.run_scenario(scenario)

    def test_resume_sends_the_rest_and_runs_nothing(self) -> None:
        # The link died in mid-answer.  The entry has the first six bytes.
        async def scenario() -> None:
            await self.deliver(make_start("r1"))
            await self.release()
            self.network.sent.clear()
            await self.deliver(AttemptResume("r1", 1, 6, agent_incarnation=1))
            self.assertEqual(self.body(), WHOLE[6:])
            self.assertEqual(len(self.network.sent_of(AttemptEnd)), 1)
            self.assertEqual(self.target.runs, ["r1.1"])

        self.run_scenario(scenario)

    def test_cold_target_gets_one_at_a_time_from_all_entries(self) -> None:
        # Nine entries each send "just one" to a target in cold start.  Only
        # the agent sees all nine; the target would fall over under them.
        async def scenario() -> None:
            for i in range(9):
                await self.deliver(make_start(f"r{i}"))
            self.assertEqual(self.target.most_in_flight, 1)
            refused = self.network.sent_of(AttemptRefused)
            self.assertEqual(len(refused), 4)
            self.assertTrue(all(m.retry_after_s > 0 for m in refused))

        self.run_scenario(scenario)

    def test_limit_grows_by_completions_and_drops_at_a_crash(self) -> None:
        # A warm target crashes in full flight.  Its next requests must meet
        # the cold limit at once, and the suspects are told to the entries.
        async def scenario() -> None:
            await self.warm_up()
            self.target.release = anyio.Event()
            for i in range(4):
                await self.deliver(make_start(f"r{i}"))
            self.assertEqual(self.target.in_flight, 4)
            self.target.breaks = True
            self.target.state = EngineState("boot-2", is_cold=True)
            await self.release()
            self.assertEqual(self.controller.gate.limit, 1)
            (notice,) = self.network.sent_of(CrashNotice)
            self.assertEqual(notice.fingerprints, ("f-r0", "f-r1", "f-r2", "f-r3"))

        self.run_scenario(scenario)

    def test_target_that_restarts_while_idle_meets_no_burst(self) -> None:
        # No stream breaks when an idle target restarts.  The burst that comes
        # before the next poll must not go to it at the warm limit.
        async def scenario() -> None:
            await self.warm_up()
            self.target.release = anyio.Event()
            self.target.most_in_flight = 0
            self.target.state = EngineState("boot-2", is_cold=True)
            for i in range(4):
                self.network.deliver(make_start(f"burst{i}"))
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.target.most_in_flight, 1)

        self.run_scenario(scenario)

    def test_target_that_goes_silent_gets_no_pile_of_requests(self) -> None:
        # The path to the target goes silent and holds what is sent, and the
        # target turns cold meanwhile.  Handed over at the warm limit, all of
        # it would meet the cold target at once when the path clears
        # (bench/random_run, seed 31).
        async def scenario() -> None:
            await self.warm_up()
            self.target.release = anyio.Event()
            await self.deliver(make_start("held"))
            self.target.most_in_flight = 1
            self.target.answers_polls = anyio.Event()
            for _ in range(6):
                await self.advance(0.25)
            await self.deliver(make_start("waits"))
            self.assertEqual(self.target.most_in_flight, 1)
            for _ in range(10):
                await self.advance(0.25)
            await self.deliver(make_start("late"))
            refused = [m.request_id for m in self.network.sent_of(AttemptRefused)]
            self.assertIn("late", refused)
            self.target.answers_polls.set()
            await anyio.wait_all_tasks_blocked()
            self.network.sent.clear()
            await self.release()
            await self.deliver(make_start("after"))
            self.assertEqual(len(self.network.sent_of(AttemptRefused)), 0)

        self.run_scenario(scenario)

    def test_requests_one_by_one_cost_no_poll_and_a_queue_gets_one(self) -> None:
        # Polled before each lone request, the target would answer two calls
        # for every one that its callers make.  Never polled, a queue that
        # formed after a quiet moment would be let through one by one.
        async def scenario() -> None:
            await self.warm_up()
            polls = self.target.polls
            for i in range(10):
                await self.deliver(make_start(f"single{i}"))
            self.assertEqual(self.target.polls, polls)
            self.target.release = anyio.Event()
            self.target.most_in_flight = 0
            for i in range(4):
                self.network.deliver(make_start(f"burst{i}"))
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.target.polls, polls + 1)
            self.assertEqual(self.target.most_in_flight, 4)

        self.run_scenario(scenario)

    def test_answer_of_unconfirmed_weights_reaches_nobody(self) -> None:
        # The engine was switched behind the agent's back.
        async def scenario() -> None:
            self.target.digest = "e" * 64
            await self.deliver(make_start("r1"))
            await self.release()
            (end,) = self.network.sent_of(AttemptEnd)
            self.assertIs(end.kind, EndKind.BROKEN)
            self.assertEqual(self.body(), b"")

        self.run_scenario(scenario)

    def test_taken_out_zone_refuses_also_what_waits(self) -> None:
        # Operators take the zone out while requests wait in the queue.
        async def scenario() -> None:
            await self.deliver(make_start("r1"))
            await self.deliver(make_start("r2"))
            self.admission = Failure(Reason.ZONE_OUT, Step.AGENT_ADMIT)
            await self.release()
            (refusal,) = self.network.sent_of(AttemptRefused)
            self.assertEqual(refusal.request_id, "r2")
            self.assertIs(refusal.reason, Reason.ZONE_OUT)
            self.assertEqual(self.target.runs, ["r1.1"])

        self.run_scenario(scenario)

    def test_drain_waits_for_the_answer_and_its_delivery(self) -> None:
        # An agent is stopped by plan in mid-answer: the caller still gets all.
        async def scenario() -> None:
            await self.deliver(make_start("r1"))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.controller.drain, 30.0)
                await anyio.wait_all_tasks_blocked()
                await self.deliver(make_start("r2"))
                (refusal,) = self.network.sent_of(AttemptRefused)
                self.assertIs(refusal.reason, Reason.DRAINING)
                await self.release()
                await self.deliver(AttemptAck("r1", 1, len(WHOLE), True))
            self.assertEqual(self.body(), WHOLE)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
