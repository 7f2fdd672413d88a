"""Measure the service under overload, with a target ten times slower and a cold one.

The product's entries and agents run in one process, in virtual time.  The service
time of a target grows if it has more requests in flight than its limit; a cold target
also fails those that are in flight.  The three ways handle the same arrivals: "round
robin" without limits; "routing alone" with the agents' limits but without admission
control, an earlier design; "admission", which adds admission control at the entries.
The default loads are half of the capacity and twice the capacity.

Run ``python -m bench.overload [--seconds 20]``; the last line is one JSON object.
"""

import argparse
import json
import random
import statistics
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, field
from typing import Any

import anyio

from reedspar.errors import Failure, Reason, Step
from reedspar.platform import EngineState, TargetRequest
from reedspar.requests import RequestService
from reedspar.requests.admission import AdmissionControl, WorkspaceLimits
from reedspar.requests.tests.fakes import make_service
from reedspar.requests.tests.mesh import Mesh, PlainOffers, make_agent_settings
from reedspar.requests.tests.virtual_time import create_loop_timers, run_virtual
from reedspar.settings import RequestSettings
from reedspar.targets import create_target_controller

TARGET_NAMES = tuple(f"t{number}" for number in range(8))
ENTRY_NAMES = tuple(f"entry-{number}" for number in range(9))
SLOW_TARGET, COLD_TARGET = "t6", "t7"
CONCURRENCY_LIMIT = 8
COLD_LIMIT = 1
SERVICE_TIME_S = 0.1
SLOW_FACTOR = 10
DEADLINE_S = 2.0
WARM_UP_S = 5.0
WORKSPACES = ("big", "small", "tiny")
DEMAND_SHARES = (0.8, 0.15, 0.05)
STRATEGIES = ("round robin", "routing alone", "admission")


@dataclass
class OverloadResult:
    """Results of one way at one offered load."""

    way: str
    offered_per_s: float
    capacity_per_s: float
    goodput_per_s: float = 0.0
    goodput_share: float = 0.0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    refused_share: float = 0.0
    refusal_p99_ms: float = 0.0
    failed_share: float = 0.0
    most_over_limit: int = 0
    answered_share_by_workspace: dict[str, float] = field(default_factory=dict)


class LoadedTarget:
    """Target that slows down above its limit; a cold one then also fails requests."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self.is_cold = name == COLD_TARGET
        self.limit = COLD_LIMIT if self.is_cold else CONCURRENCY_LIMIT
        self.service_s = SERVICE_TIME_S * (SLOW_FACTOR if name == SLOW_TARGET else 1)
        self.rng = rng
        self.in_flight = 0
        self.max_in_flight = 0
        self.cold_overloads = 0
        """Number of overloads while cold; each fails the requests then in flight."""

    @property
    def capacity_per_s(self) -> float:
        """Return the number of answers per second at the limit."""
        return self.limit / self.service_s

    async def serve(self) -> bool:
        """Process a request and return whether it was answered."""
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            if self.is_cold and self.in_flight > self.limit:
                self.cold_overloads += 1
            before = self.cold_overloads
            slowdown = max(1.0, self.in_flight / self.limit)
            mean_s = self.service_s * slowdown
            await anyio.sleep(self.rng.uniform(0.5, 1.5) * mean_s)
            return self.cold_overloads == before
        finally:
            self.in_flight -= 1

    async def read_state(self) -> EngineState:
        """Return the state that the target reports."""
        return EngineState("boot-1", is_cold=self.is_cold, in_flight=self.in_flight)

    @asynccontextmanager
    async def send(self, request: TargetRequest) -> AsyncIterator[Any]:
        """Process a request of an agent."""
        yield _TargetResponse(await self.serve())

    async def cancel(self, request_id: str) -> None:
        """Ignore the cancellation."""


@dataclass
class _TargetResponse:
    is_complete: bool
    status: int = 200
    headers: tuple = ()
    weights_digest: str = ""

    async def iterate(self) -> AsyncIterator[bytes | Failure]:
        yield b"answer"
        if not self.is_complete:
            yield Failure(Reason.OUTCOME_UNKNOWN, Step.TARGET_CALL, detail="crashed")


class UnlimitedAdmission(AdmissionControl):
    """Admission control that admits every request."""

    def try_admit(
        self,
        workspace: str,
        limits: WorkspaceLimits,
        now_s: float,
        *,
        has_spare_capacity: bool = False,
    ) -> Failure | None:
        """Admit the request at any load."""
        return super().try_admit(workspace, limits, now_s, has_spare_capacity=True)


@dataclass
class Trial:
    """Run of one way under one load, which is a multiple of the capacity."""

    strategy: str
    load: float
    seconds: float
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    targets: dict[str, LoadedTarget] = field(default_factory=dict)
    services: list[RequestService] = field(default_factory=list)
    answered_s: list[float] = field(default_factory=list)
    refused_s: list[float] = field(default_factory=list)
    sent: dict[str, int] = field(default_factory=dict)
    answered: dict[str, int] = field(default_factory=dict)
    failed: int = 0

    async def run(self) -> None:
        """Offer the load; only requests after the warm-up count."""
        self.targets = {name: LoadedTarget(name, self.rng) for name in TARGET_NAMES}
        async with anyio.create_task_group() as tasks:
            if self.strategy != "round robin":
                await self._start_daemons(tasks)
            async with anyio.create_task_group() as calls:
                at_s = 0.0
                number = 0
                while at_s < WARM_UP_S + self.seconds:
                    at_s += self.rng.expovariate(self.load * self.capacity_per_s)
                    number += 1
                    calls.start_soon(self._call, number, at_s)
            tasks.cancel_scope.cancel()

    @property
    def capacity_per_s(self) -> float:
        """Return the number of answers per second of all targets at their limits."""
        return sum(target.capacity_per_s for target in self.targets.values())

    async def _start_daemons(self, tasks: Any) -> None:
        mesh = Mesh(ENTRY_NAMES, TARGET_NAMES, self.rng, delay_s=0.001)
        for name in ENTRY_NAMES:
            timers = create_loop_timers()
            settings = RequestSettings(deadline_s=DEADLINE_S)
            service = make_service(
                mesh.add(name),
                timers,
                name=name,
                settings=settings,
                rng=random.Random(name),
            )
            if self.strategy == "routing alone":
                service.admission.pools["orders"] = UnlimitedAdmission()
            self.services.append(service)
            tasks.start_soon(timers.run)
        for name in TARGET_NAMES:
            timers = create_loop_timers()
            create_target_controller(
                make_agent_settings(name, CONCURRENCY_LIMIT, COLD_LIMIT),
                1,
                mesh.add(name),
                timers,
                self.targets[name],
                PlainOffers(),
                lambda: None,
                tasks.start_soon,
            )
            tasks.start_soon(timers.run)
        await anyio.sleep(3)

    async def _call(self, number: int, at_s: float) -> None:
        workspace = self.rng.choices(WORKSPACES, DEMAND_SHARES)[0]
        await anyio.sleep(at_s)
        started_s = anyio.current_time()
        status = await self._send(number, workspace)
        if at_s < WARM_UP_S:
            return
        took_s = anyio.current_time() - started_s
        self.sent[workspace] = self.sent.get(workspace, 0) + 1
        if status == 200 and took_s <= DEADLINE_S:
            self.answered[workspace] = self.answered.get(workspace, 0) + 1
            self.answered_s.append(took_s)
        elif status in (429, 503):
            self.refused_s.append(took_s)
        else:
            self.failed += 1

    async def _send(self, number: int, workspace: str) -> int:
        if self.strategy == "round robin":
            target = self.targets[TARGET_NAMES[number % len(TARGET_NAMES)]]
            with anyio.move_on_after(DEADLINE_S):
                return 200 if await target.serve() else 502
            return 504
        service = self.services[self.rng.randrange(len(self.services))]
        return await call_application(service, workspace)


async def call_application(service: RequestService, workspace: str) -> int:
    """Send a GET request to the service over ASGI and return the status."""
    statuses: list[int] = []
    first = [{"type": "http.request", "body": b"", "more_body": False}]

    async def receive() -> Any:
        return first.pop() if first else await anyio.sleep_forever()

    async def send(message: Any) -> None:
        if message["type"] == "http.response.start":
            statuses.append(message["status"])

    scope = {
        "type": "http",
        "http_version": "1.1",
        "method": "GET",
        "path": "/v1/pools/orders/o",
        "raw_path": b"/v1/pools/orders/o",
        "query_string": b"",
        "headers": [(b"x-workspace", workspace.encode())],
    }
    await service.application(scope, receive, send)
    return statuses[0]


def measure(strategy: str, load: float, seconds: float) -> OverloadResult:
    """Run one way under one load and return its results."""
    trial = Trial(strategy, load, seconds)
    run_virtual(trial.run)
    sent = sum(trial.sent.values())
    capacity = trial.capacity_per_s
    result = OverloadResult(strategy, round(load * capacity, 1), round(capacity, 1))
    result.goodput_per_s = round(len(trial.answered_s) / seconds, 1)
    result.goodput_share = round(result.goodput_per_s / min(load, 1) / capacity, 4)
    result.p50_ms, result.p99_ms = compute_percentiles_ms(trial.answered_s)
    result.refused_share = round(len(trial.refused_s) / sent, 4)
    result.refusal_p99_ms = compute_percentiles_ms(trial.refused_s)[1]
    result.failed_share = round(trial.failed / sent, 4)
    result.most_over_limit = max(
        target.max_in_flight - target.limit for target in trial.targets.values()
    )
    result.answered_share_by_workspace = {
        name: round(trial.answered.get(name, 0) / trial.sent[name], 4)
        for name in WORKSPACES
    }
    return result


def compute_percentiles_ms(times_s: list[float]) -> tuple[float, float]:
    """Return the 50th and the 99th percentile in milliseconds."""
    if len(times_s) < 2:
        return 0.0, 0.0
    percentiles = statistics.quantiles(times_s, n=100)
    return round(percentiles[49] * 1000, 1), round(percentiles[98] * 1000, 1)


def main() -> None:
    """Measure each way at each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.5, 2.0])
    arguments = parser.parse_args()
    rows = []
    for load in arguments.loads:
        for strategy in STRATEGIES:
            row = measure(strategy, load, arguments.seconds)
            print(row, flush=True)
            rows.append({"load": load, **asdict(row)})
    print(json.dumps({"seconds": arguments.seconds, "rows": rows}))


if __name__ == "__main__":
    main()
