"""Tests of requests that go straight to targets, over ASGI."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from reedspar.direct import DirectService, LoadReport
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
from reedspar.fleet import (
    FleetView,
    RoutesChange,
    TargetChange,
    TargetRecord,
    TargetState,
    ZoneChange,
)
from reedspar.requests.request import Outcome
from reedspar.routes import WorkspaceAccess
from reedspar.timers import create_timer_service

EVENTS = "text/event-stream"
PAUSE_S = 0.02
KEY = {"authorization": "Bearer key", "host": "shop.example"}


def make_order_target(target_id: str, **changes: Any) -> TargetRecord:
    return make_engine_target(target_id, pool="orders", weights={}, **changes)


def event(number: int) -> bytes:
    return b"id: %d\ndata: x%d\n\n" % (number, number)


class Call:
    """One caller's request, and what it got."""

    def __init__(self, path: str, method: str = "POST", **headers: str) -> None:
        self.messages: list[dict] = []
        self.gone = anyio.Event()
        all_headers = {**KEY, **{k.replace("_", "-"): v for k, v in headers.items()}}
        self.scope = {
            "type": "http",
            "http_version": "1.1",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": [(k.encode(), v.encode()) for k, v in all_headers.items()],
        }
        self._is_read = False

    async def receive(self) -> dict:
        if not self._is_read:
            self._is_read = True
            return {"type": "http.request", "body": b"", "more_body": False}
        await self.gone.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: Any) -> None:
        self.messages.append(message)

    @property
    def status(self) -> int:
        return self.messages[0]["status"]

    @property
    def headers(self) -> dict[str, str]:
        pairs = self.messages[0]["headers"]
        return {name.decode(): value.decode() for name, value in pairs}

    @property
    def outcome(self) -> str:
        return self.headers["x-reedspar-outcome"]

    @property
    def body(self) -> bytes:
        return b"".join(message.get("body", b"") for message in self.messages)

    @property
    def is_whole(self) -> bool:
        return self.messages[-1].get("more_body") is False


class DirectTestCase(unittest.TestCase):
    targets = [
        make_engine_target("q1"),
        make_engine_target("q2"),
        make_order_target("o1"),
        make_order_target("o2"),
    ]

    def run_with(self, script: Callable[..., Awaitable[None]]) -> None:
        async def run() -> None:
            timers = create_timer_service()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(timers.run)
                made = make_direct_service(timers, tasks, self.targets)
                with anyio.fail_after(5):
                    await script(*made)
                tasks.cancel_scope.cancel()

        anyio.run(run)


class EndingTest(DirectTestCase):
    def test_whole_answer(self) -> None:
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

    def test_refusals_before_any_target(self) -> None:
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

    def test_order_goes_on_only_after_word_that_it_did_not_run(self) -> None:
        # A target is full and says so; another one takes the order.
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
        # The target dies with the order.  Nobody knows whether the deposit was
        # booked, and the shop is told just that.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: broken(target_id)
            call = Call("/o/1")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.outcome, Outcome.UNKNOWN.value)
            self.assertEqual(len(dialer.sent), 1)

        self.run_with(script)

    def test_order_that_no_target_took_was_not_run(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: unreachable(target_id)
            call = Call("/o/1")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.outcome, Outcome.NOT_RUN.value)

        self.run_with(script)

    def test_status_request_is_made_again_elsewhere(self) -> None:
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

    def test_answer_that_breaks_off_is_never_passed_on_as_whole(self) -> None:
        # A target's answer is cut.  An order's caller must not take half for whole.
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
        # A target hangs.  The caller is told at the route's timeout, not later.
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

    def test_request_at_a_silent_target_is_made_elsewhere(self) -> None:
        # A connection goes silent for good, without a reset.  Waiting for it, the
        # caller would give up though another target is free.
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

    def test_caller_that_leaves_frees_its_target(self) -> None:
        # A shop hangs up.  A target that works on for nobody is lost to others.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: 9.0
            call = Call("/q/1", x_model="m")
            call.gone.set()
            await service.application(call.scope, call.receive, call.send)
            await anyio.sleep(0.05)
            self.assertEqual(len(dialer.closed), 1)
            self.assertEqual(service.client.open_count, 0)

        self.run_with(script)


class StreamTest(DirectTestCase):
    def test_stream_goes_on_at_another_target(self) -> None:
        # A target dies in the middle of an event.  The caller gets every event
        # once, under the first target's headers.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            def answer(target_id: str, request: Any) -> Any:
                if len(dialer.sent) == 1:
                    pieces = [
                        event(1),
                        event(2) + b"id: 3\nda",
                        PAUSE_S,
                        broken(target_id),
                    ]
                    return FakeResponse(pieces, content_type=EVENTS)
                return FakeResponse([event(3), event(4)], content_type=EVENTS)

            dialer.script = answer
            call = Call("/q/1", x_model="m")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.body, b"".join(map(event, (1, 2, 3, 4))))
            self.assertTrue(call.is_whole)
            second = dict(dialer.sent[1][1].headers)
            self.assertEqual(second["last-event-id"], "2")
            self.assertNotEqual(dialer.sent[0][0], dialer.sent[1][0])

        self.run_with(script)

    def test_stream_never_goes_on_with_other_weights(self) -> None:
        # The only other target holds a newer version.  An answer joined from two
        # versions would be from neither; the caller sees that it was cut.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            newer = make_engine_target("q2", weights={"m": 2})
            older = make_engine_target("q1", weights={"m": 1})
            view.apply(TargetChange("q2", newer))

            def answer(target_id: str, request: Any) -> Any:
                version = {"q1": "1", "q2": "2"}[target_id]
                pieces = [event(1), PAUSE_S, broken(target_id)]
                return FakeResponse(pieces, content_type=EVENTS, weights=version)

            dialer.script = answer
            self.assertEqual(older.weights, {"m": 1})
            call = Call("/q/1", x_model="m")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.body, event(1))
            self.assertFalse(call.is_whole)
            self.assertEqual(len(dialer.sent), 1)

        self.run_with(script)

    def test_stream_that_may_not_resume_is_cut(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: FakeResponse(
                [event(1), PAUSE_S, broken(target_id)], content_type=EVENTS
            )
            call = Call("/once/1", x_model="m")
            await service.application(call.scope, call.receive, call.send)
            self.assertFalse(call.is_whole)
            self.assertEqual(len(dialer.sent), 1)

        self.run_with(script)

    def test_stream_that_breaks_before_its_first_event_starts_anew(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            def answer(target_id: str, request: Any) -> Any:
                if len(dialer.sent) == 1:
                    return FakeResponse(
                        [b"id: 1\n", broken(target_id)], content_type=EVENTS
                    )
                return FakeResponse([event(1)], content_type=EVENTS)

            dialer.script = answer
            call = Call("/q/1", x_model="m")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual((call.body, call.is_whole), (event(1), True))

        self.run_with(script)


class CrashTest(DirectTestCase):
    def test_request_that_crashes_its_targets_is_refused(self) -> None:
        # A caller sends a request that crashes each target that runs it, and sends
        # it again.  Without an end all targets would go down in turn.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            starts = iter(range(1, 99))

            def crash(target_id: str, request: Any) -> Any:
                changed = make_order_target(target_id, started_ms=next(starts))
                restarts.append(changed)
                return broken(target_id)

            restarts: list[TargetRecord] = []
            dialer.script = crash
            for _ in range(4):
                call = Call("/s/deadly", "GET")
                await service.application(call.scope, call.receive, call.send)
                for record in restarts:
                    view.apply(TargetChange(record.id, record))
                restarts.clear()
            self.assertIn(b"quarantined", call.body)
            self.assertLessEqual(len(dialer.sent), 4)
            dialer.script = lambda target_id, request: FakeResponse([b"fine"])
            other = Call("/s/harmless", "GET")
            await service.application(other.scope, other.receive, other.send)
            self.assertEqual(other.status, 200)

        self.run_with(script)

    def test_target_that_leaves_as_it_should_has_not_crashed(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: broken(target_id)
            for _ in range(3):
                call = Call("/o/1")
                await service.application(call.scope, call.receive, call.send)
                (target_id, _), *_ = reversed(dialer.sent)
                leaving = make_order_target(target_id, state=TargetState.LEAVING)
                view.apply(TargetChange(target_id, leaving))
                view.apply(TargetChange(target_id, None))
                view.apply(TargetChange(target_id, make_order_target(target_id)))
            self.assertNotIn(b"quarantined", call.body)

        self.run_with(script)


class ChoiceTest(DirectTestCase):
    async def send(self, service: DirectService, call: Call) -> Call:
        await service.application(call.scope, call.receive, call.send)
        return call

    def test_leaving_targets_and_zones_that_are_out_get_nothing(self) -> None:
        # A target leaves and a zone is taken out; both must get no new work.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            leaving = make_order_target("o1", state=TargetState.LEAVING)
            view.apply(TargetChange("o1", leaving))
            for _ in range(10):
                await self.send(service, Call("/s/1"))
            self.assertEqual({name for name, _ in dialer.sent}, {"o2"})
            view.apply(ZoneChange("a", True))
            call = await self.send(service, Call("/s/1"))
            self.assertEqual(call.outcome, "not-run")
            self.assertEqual(len(dialer.sent), 10)

        self.run_with(script)

    def test_workspace_stays_in_its_regions(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            homes = {"key": WorkspaceAccess("shop", regions=frozenset({"rb"}))}
            view.apply(RoutesChange(make_table(2, workspaces=homes)))
            call = await self.send(service, Call("/s/1"))
            self.assertEqual(call.outcome, "not-run")
            view.apply(TargetChange("o2", make_order_target("o2", zone="b")))
            for _ in range(5):
                await self.send(service, Call("/s/1"))
            self.assertEqual({name for name, _ in dialer.sent}, {"o2"})

        self.run_with(script)

    def test_target_without_the_model_gets_no_request_for_it(self) -> None:
        # A target that was added is empty until its weights have come.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            view.apply(TargetChange("q1", make_engine_target("q1", weights={})))
            for _ in range(5):
                await self.send(service, Call("/q/1", x_model="m"))
            self.assertEqual({name for name, _ in dialer.sent}, {"q2"})

        self.run_with(script)

    def test_full_engines_are_not_sent_more(self) -> None:
        # Every engine has long prompts before it.  The caller is refused at once,
        # and told when the first event could come in time.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            for target_id in ("q1", "q2"):
                service.chooser.note_report(target_id, LoadReport(16, 20, 16))
            call = await self.send(service, Call("/q/1", x_model="m", x_tokens="900"))
            self.assertEqual(call.outcome, "not-run")
            self.assertEqual(call.status, 503)
            self.assertIn("retry-after", call.headers)
            self.assertEqual(dialer.sent, [])

        self.run_with(script)

    def test_less_busy_engine_is_chosen(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            service.chooser.note_report("q1", LoadReport(10, 5, 16))
            service.chooser.note_report("q2", LoadReport(2, 0, 16))
            for _ in range(5):
                await self.send(service, Call("/q/1", x_model="m", x_tokens="900"))
            self.assertEqual({name for name, _ in dialer.sent}, {"q2"})

        self.run_with(script)

    def test_cold_target_gets_its_part_alone(self) -> None:
        # A target has just started and falls over under full load.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            view.apply(TargetChange("q2", None))
            cold = make_engine_target("q1", cold_left_s=3.0)
            view.apply(TargetChange("q1", cold))
            for _ in range(30):
                await self.send(service, Call("/q/1", x_model="m"))
            self.assertLessEqual(len(dialer.sent), 4)

        self.run_with(script)


if __name__ == "__main__":
    unittest.main()
