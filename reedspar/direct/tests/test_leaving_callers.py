"""Tests of requests whose callers leave, in virtual time."""

import unittest

import anyio

from reedspar.direct.tests.cases import (
    Call,
    make_engine_target,
    make_event,
    make_order_target,
)
from reedspar.direct.tests.fakes import (
    FakeDialer,
    FakeResponse,
    LoopClock,
    Script,
    make_direct_service,
    not_run,
)
from reedspar.errors import Failure
from reedspar.requests.tests.virtual_time import run_virtual
from reedspar.timers import TimerService

ANSWER_S = 1.5
FREED_WITHIN_S = 0.5
CONNECT_S = 0.3


class LeavingCallerTest(unittest.TestCase):
    def leave(
        self, path: str, leave_s: float, script: Script | None = None
    ) -> FakeDialer:
        """Let a caller leave; return the dialer at the time when all must be freed."""
        self.open_count = -1
        self.ended = False
        return run_virtual(self._leave, path, leave_s, script)

    async def _leave(
        self, path: str, leave_s: float, script: Script | None
    ) -> FakeDialer:
        timers = TimerService(LoopClock())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timers.run)
            targets = [make_engine_target(f"q{n}") for n in (1, 2)]
            targets += [make_order_target(f"o{n}") for n in (1, 2)]
            service, dialer, _ = make_direct_service(timers, tasks, targets)
            dialer.connect_s = CONNECT_S
            dialer.script = script or (lambda target_id, request: self.make_answer())
            call = Call(path, x_model="" if path.startswith(("/o/", "/s/")) else "m")

            async def serve() -> None:
                await service.application(call.scope, call.receive, call.send)
                self.ended = True

            tasks.start_soon(serve)
            await anyio.sleep(leave_s)
            call.disconnected.set()
            await anyio.sleep(FREED_WITHIN_S)
            self.open_count = service.client.open_count
            self.sent_when_freed = len(dialer.sent)
            await anyio.sleep(3.0)
            self.ended_at_last = self.ended
            self.messages = call.messages
            tasks.cancel_scope.cancel()
        return dialer

    def make_answer(self) -> FakeResponse:
        events = [make_event(number) for number in range(1, 7)]
        pieces = [part for event in events for part in (ANSWER_S / 6, event)]
        self.finished = [0]

        async def iterate():
            async for piece in plain():
                yield piece
            self.finished.append(1)

        response = FakeResponse(pieces, content_type="text/event-stream")
        plain = response.iterate
        response.iterate = iterate  # type: ignore[method-assign]
        return response

    def test_streams_and_reads_are_ended_whenever_their_callers_leave(self) -> None:
        # Guards against targets that work on for callers that have left, whether the
        # request may be repeated or not.
        for path in ("/once/1", "/q/1", "/s/1"):
            for leave_s in (0.1, CONNECT_S + 0.1, CONNECT_S + 0.6, CONNECT_S + 1.3):
                with self.subTest(path=path, leave_s=leave_s):
                    self.finished = [0]
                    dialer = self.leave(path, leave_s)
                    self.assertEqual(self.open_count, 0)
                    self.assertEqual(self.finished, [0])
                    self.assertEqual(len(dialer.sent), int(leave_s > CONNECT_S))

    def test_order_whose_caller_left_is_run_to_its_end_once(self) -> None:
        # Guards against an order that is broken off after it may have taken effect.
        for leave_s in (CONNECT_S + 0.1, CONNECT_S + 1.0):
            with self.subTest(leave_s=leave_s):
                dialer = self.leave("/o/1", leave_s)
                self.assertEqual(self.finished, [0, 1])
                self.assertEqual(len(dialer.sent), 1)
                self.assertTrue(self.ended_at_last)

    def test_order_whose_caller_left_before_it_was_sent_is_not_run(self) -> None:
        # Guards against an order that begins after its caller has left.
        dialer = self.leave("/o/1", 0.1)
        self.assertEqual(dialer.sent, [])
        self.assertTrue(self.ended_at_last)

    def test_order_that_a_target_refuses_after_its_caller_left_goes_nowhere(
        self,
    ) -> None:
        # Guards against a second attempt of an order that nobody waits for.
        def refuse_late(target_id: str, request: object) -> tuple[float, Failure]:
            return 0.6, not_run(target_id)

        dialer = self.leave("/o/1", CONNECT_S + 0.1, refuse_late)
        self.assertEqual(len(dialer.sent), 1)
        self.assertTrue(self.ended_at_last)

    def test_callers_that_stay_get_whole_answers(self) -> None:
        for path in ("/once/1", "/q/1", "/o/1"):
            with self.subTest(path=path):
                dialer = self.leave(path, 30.0)
                self.assertEqual(len(dialer.sent), 1)
                self.assertFalse(self.messages[-1]["more_body"])


if __name__ == "__main__":
    unittest.main()
