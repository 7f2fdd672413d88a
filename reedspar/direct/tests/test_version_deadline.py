"""Tests of requests near an older version's deadline, over ASGI in virtual time."""

import functools
import unittest
from collections.abc import Awaitable, Callable

import anyio

from reedspar.direct import DirectService, LoadReport
from reedspar.direct.tests.cases import EVENT_STREAM_TYPE, Call, make_event
from reedspar.direct.tests.fakes import (
    FakeDialer,
    FakeResponse,
    broken,
    make_direct_service,
    make_engine_target,
)
from reedspar.fleet import FleetView, TargetChange, WeightsChange
from reedspar.requests.tests.virtual_time import LoopClock, run_virtual
from reedspar.timers import TimerService

BOUND_S = 10.0
SHORT_DELAY_S = 0.05
BUSY = LoadReport(6, 2, 16)
IDLE = LoadReport(0, 0, 16)
Script = Callable[[DirectService, FakeDialer, float], Awaitable[None]]


class VersionDeadlineTest(unittest.TestCase):
    """One idle target has the older version and a busy one the newer version."""

    targets = [
        make_engine_target("older"),
        make_engine_target("newer", weights={"m": 2}),
    ]

    view: FleetView

    def run_with(self, script: Script) -> None:
        """Run `script` with the time at which the newer version was named."""

        async def run() -> None:
            timers = TimerService(LoopClock())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(timers.run)
                made = make_direct_service(timers, tasks, self.targets)
                service, dialer, self.view = made
                service.versions.set_bound(BOUND_S)
                service.versions.record_store_listing()
                await anyio.sleep(1.0)
                self.view.apply(WeightsChange("m", 2))
                await script(service, dialer, anyio.current_time())
                tasks.cancel_scope.cancel()

        run_virtual(run)

    async def call_at(
        self, service: DirectService, at_s: float, path: str = "/q/1", **headers: str
    ) -> Call:
        """Send a request at `at_s`, when `newer` is busy and `older` idle."""
        await anyio.sleep_until(at_s)
        service.chooser.record_report("older", IDLE)
        service.chooser.record_report("newer", BUSY)
        call = Call(path, x_model="m", **headers)
        await service.application(call.scope, call.receive, call.send)
        return call

    def test_request_whose_connection_takes_long_begins_on_the_newer_version(
        self,
    ) -> None:
        # Guards against beginning a request on the older version after its bound: the
        # target was chosen in time, but then connecting took 0.39 s and the link 0.2 s.
        async def script(
            service: DirectService, dialer: FakeDialer, named_s: float
        ) -> None:
            dialer.connect_s = 0.39
            dialer.script = lambda target_id, request: (
                0.2 if target_id == "older" else SHORT_DELAY_S
            )
            call = await self.call_at(service, named_s + 9.42)
            self.assertEqual(call.status, 200)
            self.assertEqual([name for name, _ in dialer.begun], ["newer"])

        self.run_with(script)

    def test_request_that_was_not_sent_was_not_run(self) -> None:
        # No target has the newer version.  The request must count as not run, and the
        # target, which was only connected too late, must not be put into backoff.
        async def script(
            service: DirectService, dialer: FakeDialer, named_s: float
        ) -> None:
            self.view.apply(TargetChange("newer", None))
            dialer.connect_s = 0.39
            call = await self.call_at(service, named_s + 9.42, "/once/1")
            self.assertEqual(call.outcome, "not-run")
            self.assertIn("retry-after", call.headers)
            self.assertEqual(dialer.sent, [])
            load = service.loads.for_target("older")
            self.assertEqual((load.failures, len(load.own_attempts)), (0, 0))

        self.run_with(script)

    def test_request_that_waits_at_the_bound_begins_on_the_newer_version(self) -> None:
        # Guards against beginning a request on the older version after its bound when
        # it was sent in time but waited longer than expected in the target's queue.
        async def script(
            service: DirectService, dialer: FakeDialer, named_s: float
        ) -> None:
            dialer.script = lambda target_id, request: (
                1.2 if target_id == "older" else SHORT_DELAY_S
            )
            call = await self.call_at(service, named_s + 9.0)
            self.assertEqual(call.status, 200)
            self.assertEqual([name for name, _ in dialer.begun], ["newer"])
            self.assertEqual(dialer.closed, ["older", "newer"])
            self.assertEqual(service.loads.for_target("older").failures, 0)

        self.run_with(script)

    def test_withdrawn_order_is_not_sent_again_and_its_outcome_is_unknown(self) -> None:
        # A non-idempotent request still waits at the bound.  It may have begun just
        # before its withdrawal, so its outcome is unknown.
        async def script(
            service: DirectService, dialer: FakeDialer, named_s: float
        ) -> None:
            dialer.script = lambda target_id, request: 1.2
            call = await self.call_at(service, named_s + 9.0, "/once/1")
            self.assertEqual(call.outcome, "unknown")
            self.assertEqual(len(dialer.sent), 1)
            self.assertEqual(dialer.begun, [])
            self.assertLess(anyio.current_time() - named_s, BOUND_S)

        self.run_with(script)

    def test_withdrawal_is_earlier_where_connecting_took_long(self) -> None:
        # A withdrawal takes as long to reach the target as connecting, here 0.3 s.
        async def script(
            service: DirectService, dialer: FakeDialer, named_s: float
        ) -> None:
            dialer.connect_s = 0.3
            dialer.script = lambda target_id, request: 1.2
            await self.call_at(service, named_s + 8.5, "/once/1")
            self.assertEqual(dialer.closed, ["older"])
            self.assertLess(anyio.current_time() - named_s, BOUND_S - 0.6)

        self.run_with(script)

    def test_request_that_begins_as_expected_is_not_withdrawn(self) -> None:
        # Guards against withdrawing a non-idempotent request, sent in time for its
        # version, at the next check although its answer is not yet due: the caller
        # would be told that it failed.
        for late_ms in range(0, 600, 20):
            self.run_with(functools.partial(self.check_not_withdrawn, late_ms / 1000))

    async def check_not_withdrawn(
        self,
        late_s: float,
        service: DirectService,
        dialer: FakeDialer,
        named_s: float,
    ) -> None:
        self.view.apply(TargetChange("newer", None))
        dialer.connect_s = 0.2
        dialer.script = lambda target_id, request: SHORT_DELAY_S
        call = await self.call_at(service, named_s + 9.0 + late_s, "/once/1")
        self.assertIn(call.outcome, ("answered", "not-run"), late_s)

    def test_request_that_begins_in_time_is_not_withdrawn(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, named_s: float
        ) -> None:
            dialer.script = lambda target_id, request: FakeResponse([1.5, b"late"])
            call = await self.call_at(service, named_s + 9.0)
            self.assertEqual(call.body, b"late")
            self.assertEqual([name for name, _ in dialer.begun], ["older"])

        self.run_with(script)

    def test_stream_that_resumes_on_its_older_version_keeps_the_bound(self) -> None:
        # A broken stream waits at another target of its version until the bound.  No
        # version may resume it then, so the caller must see that it is incomplete.
        async def script(
            service: DirectService, dialer: FakeDialer, named_s: float
        ) -> None:
            self.view.apply(TargetChange("also", make_engine_target("also")))

            def answer(target_id: str, request: object) -> object:
                if len(dialer.sent) > 1:
                    return 1.2
                pieces = [make_event(1), SHORT_DELAY_S, broken(target_id)]
                return FakeResponse(pieces, content_type=EVENT_STREAM_TYPE)

            dialer.script = answer
            call = await self.call_at(service, named_s + 9.0)
            self.assertEqual(call.body, make_event(1))
            self.assertFalse(call.is_whole)
            self.assertEqual(len(dialer.sent), 2)
            self.assertEqual(len(dialer.begun), 1)

        self.run_with(script)

    def test_attempt_at_a_target_that_switched_meanwhile_continues(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, named_s: float
        ) -> None:
            dialer.script = lambda target_id, request: 1.2

            async def switch() -> None:
                await anyio.sleep(0.1)
                switched = make_engine_target("older", weights={"m": 2})
                self.view.apply(TargetChange("older", switched))

            async with anyio.create_task_group() as tasks:
                await anyio.sleep_until(named_s + 9.0)
                tasks.start_soon(switch)
                call = await self.call_at(service, named_s + 9.0)
            self.assertEqual(call.status, 200)
            self.assertEqual([name for name, _ in dialer.begun], ["older"])

        self.run_with(script)


if __name__ == "__main__":
    unittest.main()
