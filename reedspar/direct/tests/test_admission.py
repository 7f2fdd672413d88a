"""Tests of admission on the way of a direct request, over ASGI."""

import json
import unittest
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace
from typing import Any

import anyio

from reedspar.admission import (
    Demand,
    DemandBoard,
    DemandKey,
    PoolCapacity,
    PoolDemand,
    Refused,
)
from reedspar.direct.candidates import CandidateEstimator
from reedspar.direct.loads import (
    AverageLoad,
    LoadReport,
    OwnAttempt,
    TargetLoad,
    TargetLoads,
)
from reedspar.direct.notices import TargetNotices
from reedspar.direct.pool_capacity import CAPACITY_TTL_S, FleetCapacity
from reedspar.direct.request_log import RequestLog
from reedspar.direct.tests.cases import Call
from reedspar.direct.tests.fakes import (
    make_direct_service,
    make_engine_target,
    make_table,
)
from reedspar.direct.versions import VersionRule
from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import FleetView, RoutesChange, TargetChange, TargetState
from reedspar.requests.outcome_encoding import make_not_run
from reedspar.requests.request import Request
from reedspar.routes import RequestKind, Route, WeightedService, index_routes
from reedspar.telemetry import create_metrics
from reedspar.timers import create_timer_service

REQUESTS_MAX = 40


class FixedBoard(DemandBoard):
    """Board with a fixed demand of all entries."""

    def __init__(self, offered: Mapping[int, float]) -> None:
        self._demands = {
            DemandKey(rank, "shop"): Demand(work, work)
            for rank, work in offered.items()
        }

    def total_demand(self, pool: str, now_s: float) -> PoolDemand:
        return PoolDemand(self._demands, 1)


def make_ranked_table(version: int, **priorities: int) -> Any:
    """Return a table with a route for each name, of that priority."""
    routes = [
        Route(
            name=name,
            host="shop.example",
            prefix=f"/{name}/",
            kind=RequestKind.STREAM,
            services=(WeightedService("quotes"),),
            timeout_s=2.0,
            latency_goal_s=0.5,
            priority=priority,
            attempts_max=2,
            can_resume=True,
        )
        for name, priority in priorities.items()
    ]
    return make_table(version, routes=index_routes(routes))


class AdmissionTest(unittest.TestCase):
    def run_with(
        self, offered: Mapping[int, float], script: Callable[..., Awaitable[None]]
    ) -> None:
        async def run() -> None:
            timers = create_timer_service()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(timers.run)
                targets = [make_engine_target(f"q{i}") for i in range(4)]
                service, _, view = make_direct_service(
                    timers, tasks, targets, demand_board=FixedBoard(offered)
                )
                with anyio.fail_after(5):
                    await script(service, view)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    async def send(self, service: Any, path: str, **headers: str) -> Call:
        call = Call(path, x_model="m", **headers)
        await service.application(call.scope, call.receive, call.send)
        return call

    async def find_refused(self, service: Any, prefix: str) -> Call:
        for number in range(REQUESTS_MAX):
            call = await self.send(service, f"{prefix}{number}")
            if call.status != 200:
                return call
        raise AssertionError("nothing was refused")

    def test_less_urgent_rank_is_refused_and_the_urgent_is_not(self) -> None:
        # Guards against overload by a kind with a loose goal, for which the most
        # urgent kind was refused.
        async def script(service: Any, view: FleetView) -> None:
            view.apply(RoutesChange(make_ranked_table(2, urgent=0, bulk=2)))
            call = await self.find_refused(service, "/bulk/")
            self.assertEqual(call.outcome, "not-run")
            refusal = json.loads(call.body)
            self.assertEqual(refusal["reason"], "overloaded")
            self.assertEqual(refusal["step"], "admit")
            self.assertTrue(refusal["detail"].startswith("rank 2: 0."))
            self.assertIn("retry-after", call.headers)
            for number in range(REQUESTS_MAX):
                urgent = await self.send(service, f"/urgent/{number}")
                self.assertEqual(urgent.status, 200)
            path = call.scope["path"]
            resumed = await self.send(service, path, last_event_id="7")
            self.assertEqual(resumed.status, 200)

        self.run_with({0: 1.0, 2: 20.0}, script)

    def test_without_competing_ranks_nothing_is_refused(self) -> None:
        # Guards against admission at sites whose configuration doesn't ask for it.
        async def script(service: Any, view: FleetView) -> None:
            view.apply(RoutesChange(make_ranked_table(2, first=1, second=1)))
            for number in range(REQUESTS_MAX):
                call = await self.send(service, f"/first/{number}")
                self.assertEqual(call.status, 200)

        self.run_with({1: 20.0}, script)

    def test_without_usable_target_the_choice_of_a_target_refuses(self) -> None:
        # Guards against an admission that hides why no target serves.
        async def script(service: Any, view: FleetView) -> None:
            view.apply(RoutesChange(make_ranked_table(2, urgent=0, bulk=2)))
            for i in range(4):
                leaving = make_engine_target(f"q{i}", state=TargetState.LEAVING)
                view.apply(TargetChange(f"q{i}", leaving))
            call = await self.send(service, "/bulk/1")
            self.assertEqual(json.loads(call.body)["reason"], "no_target")

        self.run_with({0: 1.0, 2: 20.0}, script)

    def test_log_line_of_a_refusal_names_what_decided(self) -> None:
        async def script(service: Any, view: FleetView) -> None:
            timers = create_timer_service()
            log = RequestLog(view, timers, create_metrics())

            async def proceed(request: Request) -> Any:
                request.refusal = Refused(DemandKey(2, "shop"), 0.25, 4.0, 0.5)
                return make_not_run(Failure(Reason.OVERLOADED, Step.ADMIT))

            with self.assertLogs("reedspar.direct.request_log") as logs:
                await log.apply(_make_request(2), proceed)
            fields = logs.records[0].__dict__
            named = [fields[name] for name in ("rank", "threshold", "share_used")]
            self.assertEqual(named, [2, 0.25, 4.0])

        self.run_with({}, script)

    def test_capacity_counts_usable_targets_by_their_slowdown(self) -> None:
        # Guards against a capacity that stays as it was when half of the targets go.
        async def script(service: Any, view: FleetView) -> None:
            timers = create_timer_service()
            loads, notices = service.loads, service.notices
            capacities = FleetCapacity(view, loads, notices, service.versions)
            now_s = timers.now_s()
            self.assertEqual(capacities.read_capacity("quotes", now_s).work, 4.0)
            self.assertIsNone(capacities.read_capacity("quotes", now_s).occupancy)
            leaving = make_engine_target("q0", state=TargetState.LEAVING)
            view.apply(TargetChange("q0", leaving))
            view.apply(TargetChange("q1", make_engine_target("q1", weights={})))
            slow = LoadReport(16, 4, 16, slowdown_factor=2.0)
            loads.for_target("q2").record_report(slow, now_s)
            now_s += CAPACITY_TTL_S
            capacity = capacities.read_capacity("quotes", now_s)
            self.assertEqual(capacity.work, 1.5)
            assert capacity.occupancy is not None
            self.assertGreater(capacity.occupancy, 0.6)
            self.assertEqual(capacities.read_capacity("orders", now_s).work, 0.0)

        self.run_with({}, script)


class RankedEstimateTest(unittest.TestCase):
    def test_reported_slots_go_before_the_configured_ones(self) -> None:
        # Guards against refusing sound requests at idle targets, whose engines have
        # more slots than a configuration that is out of date says.
        table = make_table()
        service = table.services["quotes"]
        assert service.engine is not None
        engine = replace(service.engine, slots=4)
        outdated = replace(service, engine=engine)
        loads = TargetLoads()
        timers = create_timer_service()
        view = FleetView(timers)
        view.apply(TargetChange("q1", make_engine_target("q1", slots=24)))
        view.apply(RoutesChange(make_table(services={"quotes": outdated})))
        known = view.target("q1")
        assert known is not None
        load = loads.for_target("q1")
        load.record_report(LoadReport(8, 0, 24), 0.0)
        estimator = CandidateEstimator({"a": "ra"}, "ra")

        def expect_s() -> float:
            found = estimator.estimate(
                _make_request(1), outdated, known, load, AverageLoad(), 0.0
            )
            return found.expected_wait_s

        def read_capacity() -> PoolCapacity:
            versions = VersionRule(view, timers, 8.0)
            notices = TargetNotices(loads, timers)
            source = FleetCapacity(view, loads, notices, versions)
            return source.read_capacity("quotes", 0.0)

        told_s, told = expect_s(), read_capacity()
        load.record_report(LoadReport(8, 0, 4), 0.0)
        self.assertGreater(expect_s(), 2 * told_s)
        outdated_capacity = read_capacity()
        self.assertGreater(told.work, 3 * outdated_capacity.work)
        self.assertEqual(told.occupancy, 8 / 24)
        self.assertEqual(outdated_capacity.occupancy, 2.0)

    def test_less_urgent_waiting_requests_do_not_delay_an_urgent_one(self) -> None:
        # Guards against refusing the most urgent for requests that an engine would run
        # after them.
        table = make_table()
        view = FleetView(create_timer_service())
        view.apply(TargetChange("q1", make_engine_target("q1")))
        known = view.target("q1")
        assert known is not None
        load = TargetLoad()
        load.record_report(LoadReport(4, 10, 16), 0.0)
        for number in range(5):
            load.own_attempts[str(number)] = OwnAttempt(2000, 0.0, rank=2)
        estimator = CandidateEstimator({"a": "ra"}, "ra")

        def expect_s(rank: int, share_ahead: float | None) -> float:
            return estimator.estimate(
                _make_request(rank),
                table.services["quotes"],
                known,
                load,
                AverageLoad(),
                0.0,
                share_ahead,
            ).expected_wait_s

        urgent_s, other_s = expect_s(0, 0.0), expect_s(2, 1.0)
        self.assertLess(urgent_s, other_s / 3)
        self.assertEqual(other_s, expect_s(0, None))
        self.assertLess(urgent_s, expect_s(0, 0.5))


def _make_request(rank: int) -> Request:
    request = Request(
        "r",
        "c",
        "POST",
        "quotes",
        "/bulk/1",
        (),
        b"",
        None,
        0.0,  # type: ignore[arg-type]
    )
    request.priority = rank
    request.prompt_tokens = 500
    return request


if __name__ == "__main__":
    unittest.main()
