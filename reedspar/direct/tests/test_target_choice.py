"""Tests of which target a direct request goes to, over ASGI."""

import unittest
from typing import Any

import anyio

from reedspar.direct import DirectService, LoadReport
from reedspar.direct.loads import FULL_BACKOFF_S
from reedspar.direct.tests.cases import (
    Call,
    DirectTestCase,
    make_order_target,
)
from reedspar.direct.tests.fakes import (
    FakeDialer,
    FakeResponse,
    make_engine_target,
    make_table,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import (
    FleetView,
    RoutesChange,
    TargetChange,
    TargetState,
    ZoneChange,
)
from reedspar.platform import TargetRequest
from reedspar.requests.request import Request
from reedspar.routes import WorkspaceAccess
from reedspar.timers import create_timer_service


class ChoiceTest(DirectTestCase):
    async def send(self, service: DirectService, call: Call) -> Call:
        await service.application(call.scope, call.receive, call.send)
        return call

    def test_leaving_targets_and_zones_taken_out_get_no_requests(self) -> None:
        # Guards against sending new work to a target that is shutting down, or into a
        # zone that operators took out.
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

    def test_registration_from_before_a_power_loss_gets_no_requests(self) -> None:
        # Guards against using both tries of a request on targets that no longer exist,
        # and against late answers once their successors serve.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            for target_id in ("o1", "o2"):
                view.apply(TargetChange(target_id, None))
            earlier = make_order_target("before", port=81)
            view.apply(TargetChange("before", earlier, revision=5))
            later = make_order_target("after", port=81)
            view.apply(TargetChange("after", later, revision=9))
            for _ in range(10):
                await self.send(service, Call("/s/1"))
            self.assertEqual({name for name, _ in dialer.sent}, {"after"})

        self.run_with(script)

    def test_workspace_stays_in_its_regions(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            workspaces = {"key": WorkspaceAccess("shop", regions=frozenset({"rb"}))}
            view.apply(RoutesChange(make_table(2, workspaces=workspaces)))
            call = await self.send(service, Call("/s/1"))
            self.assertEqual(call.outcome, "not-run")
            view.apply(TargetChange("o2", make_order_target("o2", zone="b")))
            for _ in range(5):
                await self.send(service, Call("/s/1"))
            self.assertEqual({name for name, _ in dialer.sent}, {"o2"})

        self.run_with(script)

    def test_target_without_the_model_gets_no_request_for_it(self) -> None:
        # Guards against sending to a new target before it has loaded weights.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            view.apply(TargetChange("q1", make_engine_target("q1", weights={})))
            for _ in range(5):
                await self.send(service, Call("/q/1", x_model="m"))
            self.assertEqual({name for name, _ in dialer.sent}, {"q2"})

        self.run_with(script)

    def test_replaced_target_gets_no_more_requests(self) -> None:
        # Guards against refusals after a power loss, when every target returns under
        # another id while the store lists the old ones for seconds: each request was
        # sent to two old targets, declined by both, and then refused.
        def answer(target_id: str, request: TargetRequest) -> Any:
            if target_id == "q2":
                return FakeResponse([b"ok"])
            detail = "421, it is 'q9'"
            return Failure(Reason.CONFLICT, Step.TARGET_CALL, target_id, detail)

        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = answer
            for _ in range(10):
                call = await self.send(service, Call("/q/1", x_model="m"))
                self.assertEqual(call.status, 200)
                await anyio.sleep(FULL_BACKOFF_S)
            self.assertEqual([name for name, _ in dialer.sent].count("q1"), 1)
            again = make_engine_target("q1", started_ms=7)
            view.apply(TargetChange("q1", again))
            dialer.script = lambda target_id, request: FakeResponse([b"ok"])
            for _ in range(20):
                await self.send(service, Call("/q/1", x_model="m"))
            self.assertGreater([name for name, _ in dialer.sent].count("q1"), 1)

        self.run_with(script)

    def test_request_is_refused_while_all_engines_are_full(self) -> None:
        # Guards against queueing a request behind long prompts at full engines: the
        # caller must be refused at once, with a retry delay.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            for target_id in ("q1", "q2"):
                service.chooser.record_report(target_id, LoadReport(16, 20, 16))
            call = await self.send(service, Call("/q/1", x_model="m", x_tokens="900"))
            self.assertEqual(call.outcome, "not-run")
            self.assertEqual(call.status, 503)
            self.assertIn("retry-after", call.headers)
            self.assertEqual(dialer.sent, [])

        self.run_with(script)

    def test_retry_delay_is_long_when_no_target_can_serve(self) -> None:
        # Guards against a short retry delay while no target has usable weights: callers
        # that retried after one second were refused again and gave up.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            for target_id in ("q1", "q2"):
                empty = make_engine_target(target_id, weights={})
                view.apply(TargetChange(target_id, empty))
            now_s = create_timer_service().now_s()
            request = Request("", "", "POST", "quotes", "/q/1", (), b"", None, now_s)
            request.model = "m"
            request.deadline_s = now_s + 6.0
            failure = service.chooser.choose(request, ())
            assert isinstance(failure, Failure)
            assert failure.retry_after_s is not None
            self.assertGreater(failure.retry_after_s, 1.5)
            self.assertLess(failure.retry_after_s, 2.0)

        self.run_with(script)

    def test_long_prompt_is_not_refused_at_an_idle_engine(self) -> None:
        # Guards against refusing a prompt so long that even an idle engine exceeds the
        # latency goal: it would never be served.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            call = await self.send(service, Call("/q/1", x_model="m", x_tokens="12000"))
            self.assertEqual(call.status, 200)

        self.run_with(script)

    def test_less_busy_engine_is_chosen(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            service.chooser.record_report("q1", LoadReport(10, 5, 16))
            service.chooser.record_report("q2", LoadReport(2, 0, 16))
            for _ in range(5):
                await self.send(service, Call("/q/1", x_model="m", x_tokens="900"))
            self.assertEqual({name for name, _ in dialer.sent}, {"q2"})

        self.run_with(script)

    def test_cold_target_gets_only_its_share(self) -> None:
        # Guards against full load on a target that has just started: it would crash.
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
