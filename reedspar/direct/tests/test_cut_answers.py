"""Tests of answers whose targets fall silent, over ASGI."""

import random
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio

from reedspar.direct import DirectService
from reedspar.direct.tests.cases import (
    EVENT_STREAM_TYPE,
    Call,
    make_event,
    make_order_target,
)
from reedspar.direct.tests.fakes import (
    FakeDialer,
    FakeResponse,
    broken,
    make_direct_service,
    make_engine_target,
    make_table,
    not_run,
    unreachable,
)
from reedspar.fleet import FleetView, RoutesChange, TargetChange
from reedspar.requests.tests.virtual_time import create_loop_timers, run_virtual
from reedspar.routes import RouteTable, index_routes

SILENT_S = 1.8
"""Longer than the silence after which another target is tried."""
SEEDS = 300
EVENT_COUNT = 6
PAUSE_MAX_S = 2.4
PAUSES_MAX = 2
HANG_S = 60.0
TIMEOUT_S = 20.0
"""Longer than all pauses of three targets."""


class VirtualTestCase(unittest.TestCase):
    """Runs scripts with an entry and its fake targets in virtual time."""

    targets = [make_engine_target("q1"), make_engine_target("q2")]

    def run_with(self, script: Callable[..., Awaitable[None]]) -> None:
        async def run() -> None:
            timers = create_loop_timers()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(timers.run)
                made = make_direct_service(timers, tasks, self.targets)
                await script(*made)
                tasks.cancel_scope.cancel()

        run_virtual(run)


def pause_stream(pause_s: float) -> FakeResponse:
    """Return a stream of four events that pauses after the first."""
    first, *rest = [make_event(number) for number in range(1, 5)]
    return FakeResponse([first, pause_s, *rest], content_type=EVENT_STREAM_TYPE)


class SilenceTest(VirtualTestCase):
    whole = b"".join(map(make_event, range(1, 5)))

    async def call(self, service: DirectService) -> Call:
        call = Call("/q/1", x_model="m")
        await service.application(call.scope, call.receive, call.send)
        return call

    def test_answer_goes_on_if_its_target_is_the_only_one(self) -> None:
        # Guards against streams that are cut while their target is silent, though no
        # other target can go on with them.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            view.apply(TargetChange("q2", None))
            dialer.script = lambda target_id, request: pause_stream(SILENT_S)
            call = await self.call(service)
            self.assertEqual((call.body, call.is_whole), (self.whole, True))
            self.assertEqual(len(dialer.sent), 1)

        self.run_with(script)

    def test_answer_goes_on_if_no_retry_is_left(self) -> None:
        # Guards against streams that a process which has just started, and has no
        # retries yet, cuts while their target is silent.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            budget = service.retry_shares.budgets.for_pool("quotes")
            while budget.try_spend():
                pass
            dialer.script = lambda target_id, request: pause_stream(SILENT_S)
            call = await self.call(service)
            self.assertEqual((call.body, call.is_whole), (self.whole, True))
            self.assertEqual(len(dialer.sent), 1)

        self.run_with(script)

    def test_answer_goes_on_if_no_attempt_is_left(self) -> None:
        # Guards against streams that are cut while their last allowed target is silent.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            view.apply(TargetChange("q3", make_engine_target("q3")))

            def answer(target_id: str, request: Any) -> Any:
                if len(dialer.sent) == 1:
                    return not_run(target_id)
                return pause_stream(SILENT_S)

            dialer.script = answer
            call = await self.call(service)
            self.assertEqual((call.body, call.is_whole), (self.whole, True))
            self.assertEqual(len(dialer.sent), 2)

        self.run_with(script)

    def test_answer_goes_on_if_the_next_target_refuses_it(self) -> None:
        # Guards against streams that are given up for a target that does not take them.
        for refuse in (not_run, unreachable, broken):

            async def script(
                service: DirectService,
                dialer: FakeDialer,
                view: FleetView,
                refuse: Callable[[str], Any] = refuse,
            ) -> None:
                def answer(target_id: str, request: Any) -> Any:
                    first = len(dialer.sent) == 1
                    return pause_stream(SILENT_S) if first else refuse(target_id)

                dialer.script = answer
                call = await self.call(service)
                self.assertEqual((call.body, call.is_whole), (self.whole, True))

            with self.subTest(refuse=refuse.__name__):
                self.run_with(script)

    def test_answer_that_goes_on_first_is_passed_on(self) -> None:
        # Guards against pieces of two answers in one stream, and against a wait for a
        # target that is slower than the silent one.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            def answer(target_id: str, request: Any) -> Any:
                if len(dialer.sent) == 1:
                    return pause_stream(SILENT_S)
                events = [make_event(number) for number in range(2, 5)]
                return FakeResponse([1.0, *events], content_type=EVENT_STREAM_TYPE)

            dialer.script = answer
            call = await self.call(service)
            self.assertEqual((call.body, call.is_whole), (self.whole, True))
            self.assertEqual(len(dialer.sent), 2)
            await anyio.sleep(0.1)
            self.assertEqual(len(dialer.closed), 2)
            self.assertEqual(service.client.open_count, 0)

        self.run_with(script)

    def test_silent_answer_is_continued_elsewhere(self) -> None:
        # Guards against streams that wait for a target that hangs, while another one
        # could go on with them.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            def answer(target_id: str, request: Any) -> Any:
                if len(dialer.sent) == 1:
                    return pause_stream(30.0)
                headers = dict(request.headers)
                self.assertEqual(headers["last-event-id"], "1")
                events = [make_event(number) for number in range(2, 5)]
                return FakeResponse(events, content_type=EVENT_STREAM_TYPE)

            dialer.script = answer
            began_s = anyio.current_time()
            call = await self.call(service)
            self.assertEqual((call.body, call.is_whole), (self.whole, True))
            self.assertLess(anyio.current_time() - began_s, 1.8)
            await anyio.sleep(0.1)
            self.assertEqual(len(dialer.closed), 2)
            hung = dialer.sent[0][0]
            self.assertGreater(service.loads.for_target(hung).failures, 0)

        self.run_with(script)

    def test_next_target_goes_on_if_the_silent_one_ends(self) -> None:
        # Guards against a second attempt that is closed with the first one.
        for end in (not_run, broken):

            async def script(
                service: DirectService,
                dialer: FakeDialer,
                view: FleetView,
                end: Callable[[str], Any] = end,
            ) -> None:
                for name in ("o1", "o2"):
                    view.apply(TargetChange(name, make_order_target(name)))

                def answer(target_id: str, request: Any) -> Any:
                    if len(dialer.sent) == 1:
                        return SILENT_S, end(target_id)
                    return 0.2, FakeResponse([b"second"])

                dialer.script = answer
                call = Call("/s/1")
                await service.application(call.scope, call.receive, call.send)
                self.assertEqual((call.status, call.body), (200, b"second"))
                self.assertEqual(len(dialer.sent), 2)

            with self.subTest(end=end.__name__):
                self.run_with(script)

    def test_refusal_after_a_second_attempt_is_no_proof(self) -> None:
        # Guards against "not run" of a request that the second target may have run.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            for name in ("o1", "o2"):
                view.apply(TargetChange(name, make_order_target(name)))

            def answer(target_id: str, request: Any) -> Any:
                if len(dialer.sent) == 1:
                    return SILENT_S, not_run(target_id)
                return broken(target_id)

            dialer.script = answer
            call = Call("/s/1")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.outcome, "unknown")

        self.run_with(script)

    def test_second_attempt_ends_with_its_caller(self) -> None:
        # Guards against targets that work on for a caller that has left.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: pause_stream(30.0)
            call = Call("/q/1", x_model="m")
            async with anyio.create_task_group() as tasks:
                parts = call.scope, call.receive, call.send
                tasks.start_soon(service.application, *parts)
                await anyio.sleep(1.9)
                self.assertEqual(len(dialer.sent), 2)
                call.disconnected.set()
            await anyio.sleep(0.1)
            self.assertEqual(len(dialer.closed), 2)
            self.assertEqual(service.client.open_count, 0)
            self.assertEqual(
                [len(service.loads.for_target(t).own_attempts) for t in ("q1", "q2")],
                [0, 0],
            )

        self.run_with(script)

    def test_silent_read_is_answered_by_whichever_target_does_first(self) -> None:
        # Guards against reads that end without an answer as one target is silent and
        # the other one refuses them.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            for name in ("o1", "o2"):
                view.apply(TargetChange(name, make_order_target(name)))

            def answer(target_id: str, request: Any) -> Any:
                if len(dialer.sent) == 1:
                    return SILENT_S, FakeResponse([b"late"])
                return not_run(target_id)

            dialer.script = answer
            call = Call("/s/1")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual((call.status, call.body), (200, b"late"))

        self.run_with(script)


class RandomSilenceTest(unittest.TestCase):
    """Random pauses at the first target, and random faults at the others."""

    def test_stream_whose_first_target_does_not_break_is_whole(self) -> None:
        # Guards against streams that are cut, or joined wrongly, by what the targets do
        # that are tried while the first one is silent.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run_virtual(self.run_seed, random.Random(seed))

    async def run_seed(self, rng: random.Random) -> None:
        names = ["q1", "q2", "q3"]
        timers = create_loop_timers()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timers.run)
            targets = [make_engine_target(name) for name in names]
            made = make_direct_service(timers, tasks, targets)
            service, dialer, view = made
            view.apply(RoutesChange(make_patient_table(rng.choice((2, 3)))))

            def answer(target_id: str, request: Any) -> Any:
                faults = (not_run, unreachable, broken, hang, None, None)
                fault = rng.choice(faults) if len(dialer.sent) > 1 else None
                if fault is not None:
                    return rng.uniform(0, 1), fault(target_id)
                return make_random_stream(rng, request)

            dialer.script = answer
            call = Call("/q/1", x_model="m")
            await service.application(call.scope, call.receive, call.send)
            whole = b"".join(map(make_event, range(1, EVENT_COUNT + 1)))
            self.assertEqual((call.body, call.is_whole), (whole, True))
            await anyio.sleep(0.1)
            self.assertEqual(len(dialer.closed), len(dialer.sent))
            self.assertEqual(service.client.open_count, 0)
            for name in names:
                self.assertEqual(service.loads.for_target(name).own_attempts, {})
            tasks.cancel_scope.cancel()


def make_patient_table(attempts_max: int) -> RouteTable:
    """Return routes that leave time for some silences."""
    table = make_table(2)
    routes = [route for routes in table.routes.values() for route in routes]
    return replace(
        table,
        routes=index_routes(
            replace(route, timeout_s=TIMEOUT_S, attempts_max=attempts_max)
            for route in routes
        ),
    )


def hang(target_id: str) -> FakeResponse:
    """Return a stream without an event."""
    return FakeResponse([HANG_S], content_type=EVENT_STREAM_TYPE)


def make_random_stream(rng: random.Random, request: Any) -> FakeResponse:
    """Return the events from where a stream resumes, with some pauses between them."""
    first = int(dict(request.headers).get("last-event-id", "0")) + 1
    pieces: list[Any] = [make_event(n) for n in range(first, EVENT_COUNT + 1)]
    for _ in range(rng.randint(0, PAUSES_MAX)):
        pieces.insert(rng.randint(0, len(pieces)), rng.uniform(0.1, PAUSE_MAX_S))
    return FakeResponse(pieces, content_type=EVENT_STREAM_TYPE)


if __name__ == "__main__":
    unittest.main()
