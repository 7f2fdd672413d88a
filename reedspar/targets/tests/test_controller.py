"""Tests that an agent runs each attempt at most once and keeps its answer."""

import hashlib
import itertools
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
    CrashSuspect,
    EndKind,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.platform import EngineState
from reedspar.targets.tests.cases import ControllerTestCase
from reedspar.targets.tests.fakes import make_start

ANSWER_BODY = b"begin end"


class TargetControllerTest(ControllerTestCase):
    async def warm_up(self) -> None:
        """Complete requests until the limit is at its maximum."""
        self.target.release.set()
        for i in range(10):
            await self.deliver(make_start(f"warm{i}"))
        self.assertEqual(self.controller.gate.limit, 4)

    def body(self) -> bytes:
        return b"".join(m.data for m in self.network.sent_of(AttemptData))

    def test_complete_answer_has_length_and_digest(self) -> None:
        async def scenario() -> None:
            await self.deliver(make_start("r1"))
            await self.release()
            (end,) = self.network.sent_of(AttemptEnd)
            self.assertEqual(self.body(), ANSWER_BODY)
            self.assertIs(end.kind, EndKind.COMPLETE)
            self.assertEqual(end.length_bytes, len(ANSWER_BODY))
            self.assertEqual(end.digest, hashlib.sha256(ANSWER_BODY).hexdigest())

        self.run_scenario(scenario)

    def test_stream_without_end_is_broken(self) -> None:
        # Guards against an agent that reads and keeps what brings no event.
        async def scenario() -> None:
            self.target.content_type = "text/event-stream"
            self.target.pieces = itertools.repeat(b": none\n" * 1000)
            await self.deliver(make_start("r1"))
            await self.release()
            (end,) = self.network.sent_of(AttemptEnd)
            self.assertIs(end.kind, EndKind.BROKEN)
            self.assertIs(end.reason, Reason.CORRUPT)
            self.assertLess(len(self.body()), 1_000_000)

        self.run_scenario(scenario)

    def test_duplicate_start_runs_once(self) -> None:
        # Guards against a start that runs twice because it arrived on both the old
        # and the new connection of a link; the caller would be charged twice.
        async def scenario() -> None:
            await self.deliver(make_start("r1", is_idempotent=False))
            await self.deliver(make_start("r1", is_idempotent=False))
            await self.release()
            await self.deliver(make_start("r1", is_idempotent=False))
            self.assertEqual(self.target.runs, ["r1.1"])
            phases = [m.phase for m in self.network.sent_of(AttemptStatus)]
            self.assertEqual(phases, [AttemptPhase.RUNNING, AttemptPhase.FINISHED])

        self.run_scenario(scenario)

    def test_cancel_ends_a_run_unless_that_may_do_harm(self) -> None:
        # Guards against a target that works on though nobody waits, and against an
        # order that is broken off.
        async def scenario() -> None:
            for name, is_cancellable in (("text", True), ("order", False)):
                fields = {"is_idempotent": False, "is_cancellable": is_cancellable}
                await self.deliver(make_start(name, **fields))
                await self.deliver(AttemptCancel(name, 1, agent_incarnation=1))
            await self.release()
            text, order = self.network.sent_of(AttemptEnd)
            self.assertEqual((text.request_id, text.kind), ("text", EndKind.BROKEN))
            self.assertIs(text.reason, Reason.CANCELLED)
            self.assertEqual(
                (order.request_id, order.kind), ("order", EndKind.COMPLETE)
            )

        self.run_scenario(scenario)

    def test_cancel_before_its_start_revokes_the_attempt(self) -> None:
        # Guards against running a start that a stalled connection delivers after its
        # cancel: the caller has been told "not run".
        async def scenario() -> None:
            await self.deliver(AttemptCancel("r1", 1, agent_incarnation=1))
            (refusal,) = self.network.sent_of(AttemptRefused)
            self.assertIs(refusal.reason, Reason.CANCELLED)
            await self.deliver(make_start("r1"))
            self.assertEqual(self.target.runs, [])

        self.run_scenario(scenario)

    def test_restarted_agent_reports_unknown_for_earlier_attempts(self) -> None:
        # Guards against a restarted agent answering "not run" for an attempt that the
        # previous process ran: the caller would send the order a second time.
        async def scenario() -> None:
            await self.deliver(AttemptCancel("r1", 1, agent_incarnation=7))
            await self.deliver(AttemptResume("r1", 1, 0, agent_incarnation=7))
            phases = [m.phase for m in self.network.sent_of(AttemptStatus)]
            self.assertEqual(phases, [AttemptPhase.UNKNOWN] * 2)
            self.assertEqual(self.network.sent_of(AttemptRefused), [])

        self.run_scenario(scenario)

    def test_resume_sends_missing_bytes_and_runs_nothing(self) -> None:
        # Guards against sending bytes again, or running the attempt again, after a
        # link broke during the answer.  The entry has the first six bytes.
        async def scenario() -> None:
            await self.deliver(make_start("r1"))
            await self.release()
            self.network.sent.clear()
            await self.deliver(AttemptResume("r1", 1, 6, agent_incarnation=1))
            self.assertEqual(self.body(), ANSWER_BODY[6:])
            self.assertEqual(len(self.network.sent_of(AttemptEnd)), 1)
            self.assertEqual(self.target.runs, ["r1.1"])

        self.run_scenario(scenario)

    def test_cold_target_gets_one_at_a_time_from_all_entries(self) -> None:
        # Guards against overloading a cold target when each of nine entries sends one
        # request; only the agent sees all nine.
        async def scenario() -> None:
            for i in range(9):
                await self.deliver(make_start(f"r{i}"))
            self.assertEqual(self.target.max_in_flight, 1)
            refused = self.network.sent_of(AttemptRefused)
            self.assertEqual(len(refused), 4)
            self.assertTrue(all(m.retry_after_s > 0 for m in refused))

        self.run_scenario(scenario)

    def test_limit_grows_by_completions_and_drops_at_a_crash(self) -> None:
        # Guards against keeping the warm limit after a warm target crashed under full
        # load, and against not reporting the suspect requests to the entries.
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
            names = [suspect.fingerprint for suspect in notice.suspects]
            self.assertEqual(names, ["f-r0", "f-r1", "f-r2", "f-r3"])

        self.run_scenario(scenario)

    def test_crash_is_reported_before_the_target_is_back(self) -> None:
        # Guards against a request that ends target after target until the first one
        # has started again.
        async def scenario() -> None:
            await self.warm_up()
            self.target.release = anyio.Event()
            await self.deliver(make_start("r1"))
            self.target.breaks = True
            self.target.state = Failure(Reason.UNAVAILABLE, Step.TARGET_CALL)
            await self.release()
            (notice,) = self.network.sent_of(CrashNotice)
            self.assertEqual(notice.boot_id, "boot-1")
            self.assertEqual(notice.suspects, (CrashSuspect("f-r1", (), "r1"),))
            self.target.state = EngineState("boot-2", is_cold=True)
            await self.advance(3.0)
            self.assertEqual(len(self.network.sent_of(CrashNotice)), 1)

        self.run_scenario(scenario)

    def test_stream_that_has_run_for_a_while_is_no_suspect_of_a_crash(self) -> None:
        # Guards against refusing sound streams that were under way at the crashes of
        # two targets.
        async def scenario() -> None:
            await self.warm_up()
            self.target.release = anyio.Event()
            await self.deliver(make_start("long"))
            await self.advance(1.0)
            await self.deliver(make_start("new"))
            self.target.breaks = True
            self.target.state = Failure(Reason.UNAVAILABLE, Step.TARGET_CALL)
            await self.release()
            (notice,) = self.network.sent_of(CrashNotice)
            self.assertEqual(notice.suspects, (CrashSuspect("f-new", (), "new"),))

        self.run_scenario(scenario)

    def test_target_restarted_while_idle_gets_no_burst(self) -> None:
        # Guards against sending a burst at the warm limit to a target that restarted
        # while idle: no stream broke, and the next poll is still due.
        async def scenario() -> None:
            await self.warm_up()
            self.target.release = anyio.Event()
            self.target.max_in_flight = 0
            self.target.state = EngineState("boot-2", is_cold=True)
            for i in range(4):
                self.network.deliver(make_start(f"burst{i}"))
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.target.max_in_flight, 1)

        self.run_scenario(scenario)

    def test_unresponsive_target_accumulates_no_requests(self) -> None:
        # Guards against overloading a target when a stalled network path holds back
        # requests and the target turns cold meanwhile: sent at the warm limit, they
        # would all arrive at once (found by bench/random_run, seed 31).
        async def scenario() -> None:
            await self.warm_up()
            self.target.release = anyio.Event()
            await self.deliver(make_start("held"))
            self.target.max_in_flight = 1
            self.target.may_answer_polls = anyio.Event()
            for _ in range(6):
                await self.advance(0.25)
            await self.deliver(make_start("waits"))
            self.assertEqual(self.target.max_in_flight, 1)
            for _ in range(10):
                await self.advance(0.25)
            await self.deliver(make_start("late"))
            refused = [m.request_id for m in self.network.sent_of(AttemptRefused)]
            self.assertIn("late", refused)
            self.target.may_answer_polls.set()
            await anyio.wait_all_tasks_blocked()
            self.network.sent.clear()
            await self.release()
            await self.deliver(make_start("after"))
            self.assertEqual(len(self.network.sent_of(AttemptRefused)), 0)

        self.run_scenario(scenario)

    def test_single_requests_cause_no_poll_but_a_queue_causes_one(self) -> None:
        # Guards against a poll before each single request, which would double the
        # target's calls, and against a queue after an idle period that is processed
        # one by one because no poll confirms the boot id.
        async def scenario() -> None:
            await self.warm_up()
            polls = self.target.polls
            for i in range(10):
                await self.deliver(make_start(f"single{i}"))
            self.assertEqual(self.target.polls, polls)
            self.target.release = anyio.Event()
            self.target.max_in_flight = 0
            for i in range(4):
                self.network.deliver(make_start(f"burst{i}"))
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(self.target.polls, polls + 1)
            self.assertEqual(self.target.max_in_flight, 4)

        self.run_scenario(scenario)

    def test_answer_of_unconfirmed_weights_is_not_passed_on(self) -> None:
        # Guards against passing on an answer when something other than the agent
        # switched the engine's weights.
        async def scenario() -> None:
            self.target.digest = "e" * 64
            await self.deliver(make_start("r1"))
            await self.release()
            (end,) = self.network.sent_of(AttemptEnd)
            self.assertIs(end.kind, EndKind.BROKEN)
            self.assertEqual(self.body(), b"")

        self.run_scenario(scenario)

    def test_zone_taken_out_refuses_queued_attempts(self) -> None:
        # Guards against running queued requests after operators took the zone out.
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

    def test_drain_waits_until_the_answer_is_delivered(self) -> None:
        # Guards against cutting an answer off at a planned stop of the agent.
        async def scenario() -> None:
            await self.deliver(make_start("r1"))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.controller.drain, 30.0)
                await anyio.wait_all_tasks_blocked()
                await self.deliver(make_start("r2"))
                (refusal,) = self.network.sent_of(AttemptRefused)
                self.assertIs(refusal.reason, Reason.DRAINING)
                await self.release()
                await self.deliver(AttemptAck("r1", 1, len(ANSWER_BODY), True))
            self.assertEqual(self.body(), ANSWER_BODY)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
