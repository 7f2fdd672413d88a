"""Tests of how direct requests end, over ASGI."""

import unittest
from collections.abc import Callable
from typing import Any

import anyio

from reedspar.direct import DirectService
from reedspar.direct.tests.cases import (
    Call,
    DirectTestCase,
)
from reedspar.direct.tests.fakes import (
    FakeDialer,
    FakeResponse,
    broken,
    not_run,
    unreachable,
)
from reedspar.fleet import (
    FleetView,
)
from reedspar.requests.request import Outcome


class EndingTest(DirectTestCase):
    def test_complete_answer_reaches_the_caller(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            call = Call("/s/1")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual((call.status, call.body), (200, b"ok"))
            (sent,) = dialer.sent
            self.assertEqual(sent[1].workspace, "shop")
            self.assertEqual(service.client.open_count, 0)

        self.run_with(script)

    def test_invalid_request_is_refused_without_calling_a_target(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            cases = [
                (Call("/x/1"), "not_found"),
                (Call("/s/1", authorization="Bearer other"), "unauthenticated"),
                (Call("/s/1", x_allowed_s="0"), "expired"),
            ]
            for call, reason in cases:
                await service.application(call.scope, call.receive, call.send)
                self.assertEqual(call.outcome, "not-run")
                self.assertIn(reason.encode(), call.body)
            public = Call("/p/1", authorization="")
            await service.application(public.scope, public.receive, public.send)
            self.assertEqual(public.status, 200)
            self.assertEqual(len(dialer.sent), 1)

        self.run_with(script)

    def test_order_is_sent_elsewhere_only_after_a_target_declined_it(self) -> None:
        # A full target declines the order, so another one may run it.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            def answer(target_id: str, request: Any) -> Any:
                first = len(dialer.sent) == 1
                return not_run(target_id) if first else FakeResponse([b"placed"])

            dialer.script = answer
            call = Call("/o/1")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual((call.status, call.body), (200, b"placed"))

        self.run_with(script)

    def test_order_whose_target_breaks_is_not_sent_again(self) -> None:
        # Guards against running an order twice after its target crashed: whether it
        # took effect is unknown, and the caller must be told so.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: broken(target_id)
            call = Call("/o/1")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.outcome, Outcome.UNKNOWN.value)
            self.assertEqual(len(dialer.sent), 1)

        self.run_with(script)

    def test_order_without_a_reachable_target_was_not_run(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: unreachable(target_id)
            call = Call("/o/1")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.outcome, Outcome.NOT_RUN.value)

        self.run_with(script)

    def test_status_request_is_retried_at_another_target(self) -> None:
        for failure in (broken, unreachable, not_run):
            with self.subTest(failure=failure.__name__):
                self._check_second_try(failure)

    def _check_second_try(self, failure: Callable[[str], Any]) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            def answer(target_id: str, request: Any) -> Any:
                first = len(dialer.sent) == 1
                return failure(target_id) if first else FakeResponse([b"found"])

            dialer.script = answer
            call = Call("/s/1", "GET")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual((call.status, call.body), (200, b"found"))
            self.assertEqual({name for name, _ in dialer.sent}, {"o1", "o2"})

        self.run_with(script)

    def test_truncated_answer_is_never_passed_on_as_complete(self) -> None:
        # Guards against passing on the first part of a truncated answer as complete.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: FakeResponse(
                [b"half", broken(target_id)]
            )
            call = Call("/o/1")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.outcome, Outcome.UNKNOWN.value)
            self.assertNotIn(b"half", call.body)

        self.run_with(script)

    def test_route_timeout_ends_a_request_at_once(self) -> None:
        # Guards against answering later than the timeout when a target hangs.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: 9.0
            call = Call("/o/1", x_allowed_s="0.3")
            started_s = anyio.current_time()
            await service.application(call.scope, call.receive, call.send)
            self.assertLess(anyio.current_time() - started_s, 0.6)
            self.assertEqual(call.outcome, Outcome.UNKNOWN.value)
            self.assertAlmostEqual(dialer.sent[0][1].timeout_s, 0.3, delta=0.1)

        self.run_with(script)

    def test_request_at_a_silent_target_is_retried_elsewhere(self) -> None:
        # Guards against waiting for a stalled connection that is never reset: the
        # caller would give up although another target is free.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: (
                9.0 if len(dialer.sent) == 1 else FakeResponse([b"found"])
            )
            call = Call("/s/1", "GET")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual((call.status, call.body), (200, b"found"))

        self.run_with(script)

    def test_disconnected_caller_frees_its_target(self) -> None:
        # Guards against a target that keeps working for a caller that disconnected.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: 9.0
            call = Call("/q/1", x_model="m")
            call.disconnected.set()
            await service.application(call.scope, call.receive, call.send)
            await anyio.sleep(0.05)
            self.assertEqual(len(dialer.closed), 1)
            self.assertEqual(service.client.open_count, 0)

        self.run_with(script)


if __name__ == "__main__":
    unittest.main()
