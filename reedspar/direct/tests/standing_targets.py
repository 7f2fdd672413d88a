"""Entries in virtual time before targets that stand still, and what arrives there.

The kernel of a target that stands still takes connections and what is written on them.
The process reads all of it when it goes on, also what its sender has long given up.
"""

import random
from bisect import bisect_left
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import anyio
from anyio.abc import TaskGroup

from reedspar.direct import DirectResponse, DirectService
from reedspar.direct.tests.cases import EVENT_STREAM_TYPE, Call, make_event
from reedspar.direct.tests.fakes import (
    SETTINGS,
    FakeDialer,
    FakeResponse,
    broken,
    make_direct_service,
    make_engine_target,
    make_table,
)
from reedspar.errors import Failure
from reedspar.fleet import FleetView, RoutesChange
from reedspar.platform import TargetRequest
from reedspar.requests.tests.virtual_time import create_loop_timers, run_virtual
from reedspar.routes import RouteTable
from reedspar.settings import BoundSettings

__all__ = ["Arrivals", "StandstillLoad"]

BOUNDS = BoundSettings(retry_share=0.2, retry_slack=106)
WINDOW_S = 10.0
TARGET_COUNT = 5
SETTLED_S = 40.0
"""Time until the load begins; budgets have their whole parts by then."""
CALLER_LEAVES_S = 2.3
ANSWER_S = 0.3
RUN_ON_S = 14.0


@dataclass
class Arrivals:
    """The requests that were sent, and what was read by the targets."""

    sent_s: list[float] = field(default_factory=list)
    known: set[str] = field(default_factory=set)
    again_s: list[float] = field(default_factory=list)

    def record(self, request_id: str, now_s: float) -> None:
        """Record that a target has read a request."""
        if request_id in self.known:
            self.again_s.append(now_s)
        self.known.add(request_id)

    def largest_use(self) -> float:
        """Return the most arrivals again in a window, as a share of what is allowed.

        Requests count in the window, the one before it, or the one half a window
        before, whichever has most.
        """
        return max((self._use(from_s) for from_s in self.again_s), default=0.0)

    def _use(self, from_s: float) -> float:
        most = max(
            _count(self.sent_s, from_s - shift_s)
            for shift_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        allowed = BOUNDS.retry_slack + BOUNDS.retry_share * most
        return _count(self.again_s, from_s) / allowed


def _count(times_s: list[float], from_s: float) -> int:
    ordered = sorted(times_s)
    return bisect_left(ordered, from_s + WINDOW_S) - bisect_left(ordered, from_s)


class Targets:
    """Targets that all stand still for a while, and reset all connections later."""

    def __init__(self, arrivals: Arrivals) -> None:
        self.arrivals = arrivals
        self.is_resetting = False
        self._goes_on: anyio.Event | None = None
        self._waiting: list[str] = []

    def stand_still(self) -> None:
        """Read nothing from now on."""
        self._goes_on = anyio.Event()

    def go_on(self) -> None:
        """Read all that has come meanwhile."""
        for request_id in self._waiting:
            self.arrivals.record(request_id, anyio.current_time())
        self._waiting.clear()
        if self._goes_on is not None:
            self._goes_on.set()
        self._goes_on = None

    async def take(self, request_id: str) -> None:
        """Take a request, and return once it was read."""
        if self._goes_on is None:
            self.arrivals.record(request_id, anyio.current_time())
            return
        self._waiting.append(request_id)
        await self._goes_on.wait()


class StandingDialer(FakeDialer):
    """Sends to targets that may stand still."""

    def __init__(self, view: FleetView, targets: Targets) -> None:
        super().__init__(view)
        self._targets = targets

    @asynccontextmanager
    async def send(
        self,
        target_id: str,
        request: TargetRequest,
        check_before_write: Callable[[], Failure | None],
    ) -> AsyncIterator[DirectResponse | Failure]:
        failure = check_before_write()
        if failure is not None:
            yield failure
            return
        await self._targets.take(dict(request.headers)["x-id"])
        if self._targets.is_resetting:
            yield broken(target_id)
            return
        await anyio.sleep(ANSWER_S)
        yield FakeResponse([make_event(1)], content_type=EVENT_STREAM_TYPE)


@dataclass
class StandstillLoad:
    """A burst to targets that stand still; later they reset all connections."""

    entries: int = 9
    still_s: float = 6.0
    calm_s: float = 8.3
    """Time from when the targets go on until they reset connections."""
    resetting_s: float = 3.0
    burst: int = 160
    """Requests while the targets stand still, and again while they reset."""
    burst_s: float = 1.0
    per_s: float = 1.0
    """Requests a second, but while the targets stand still."""
    attempts_max: int = 2
    restarts_s: tuple[float, ...] = ()
    """When all entries start again, after the targets have come to a standstill."""
    seed: int = 1
    _rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)

    def __str__(self) -> str:
        return (
            f"{self.entries} entries, still {self.still_s} s, resets {self.calm_s} s "
            f"later, {self.burst} requests in {self.burst_s} s, restarts "
            f"{self.restarts_s}, {self.attempts_max} attempts"
        )

    def run(self) -> Arrivals:
        """Run the load, and return what arrived."""
        arrivals = Arrivals()
        run_virtual(self._run, arrivals)
        return arrivals

    async def _run(self, arrivals: Arrivals) -> None:
        targets = Targets(arrivals)
        processes = [Process(i, self, targets) for i in range(self.entries)]
        async with anyio.create_task_group() as tasks:
            for process in processes:
                tasks.start_soon(process.run)
            await anyio.sleep(SETTLED_S)
            await self._send(processes, arrivals, "a", WINDOW_S)
            targets.stand_still()
            tasks.start_soon(self._burst, processes, arrivals, "b")
            tasks.start_soon(self._restart, processes)
            await anyio.sleep(self.still_s)
            targets.go_on()
            await self._send(processes, arrivals, "c", self.calm_s)
            targets.is_resetting = True
            tasks.start_soon(self._burst, processes, arrivals, "d")
            await self._send(processes, arrivals, "e", self.resetting_s)
            targets.is_resetting = False
            await anyio.sleep(RUN_ON_S - self.resetting_s)
            tasks.cancel_scope.cancel()

    async def _send(
        self,
        processes: Sequence["Process"],
        arrivals: Arrivals,
        name: str,
        duration_s: float,
    ) -> None:
        """Send the usual requests for some time."""
        count = round(duration_s * self.per_s)
        for number in range(count):
            self._send_one(processes, arrivals, f"{name}{number}")
            await anyio.sleep(1 / self.per_s)
        await anyio.sleep(max(0.0, duration_s - count / self.per_s))

    async def _burst(
        self, processes: Sequence["Process"], arrivals: Arrivals, name: str
    ) -> None:
        for number in range(self.burst):
            self._send_one(processes, arrivals, f"{name}{number}")
            await anyio.sleep(self.burst_s / self.burst)

    def _send_one(
        self, processes: Sequence["Process"], arrivals: Arrivals, request_id: str
    ) -> None:
        arrivals.sent_s.append(anyio.current_time())
        self._rng.choice(processes).take(request_id)

    async def _restart(self, processes: Sequence["Process"]) -> None:
        began_s = anyio.current_time()
        for at_s in self.restarts_s:
            await anyio.sleep(began_s + at_s - anyio.current_time())
            for process in processes:
                process.kill()


class Process:
    """A process of an entry, which starts again at once when it is killed."""

    def __init__(self, number: int, load: StandstillLoad, targets: Targets) -> None:
        self._number = number
        self._load = load
        self._targets = targets
        self._service: DirectService | None = None
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Run one process after the other."""
        while True:
            async with anyio.create_task_group() as self._tasks:
                self._service = self._start(self._tasks)
                await anyio.sleep_forever()

    def kill(self) -> None:
        """End the process; what it has sent is still on its way."""
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()

    def take(self, request_id: str) -> None:
        """Take a request whose caller leaves after a while."""
        assert self._tasks is not None
        self._tasks.start_soon(self._call, request_id)

    async def _call(self, request_id: str) -> None:
        assert self._service is not None
        call = Call("/q/1", x_model="m", x_id=request_id)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._leave, call)
            await self._service.application(call.scope, call.receive, call.send)
            tasks.cancel_scope.cancel()

    @staticmethod
    async def _leave(call: Call) -> None:
        await anyio.sleep(CALLER_LEAVES_S)
        call.disconnected.set()

    def _start(self, tasks: TaskGroup) -> DirectService:
        """Start a process, which knows the other entries and has no retries yet."""
        timers = create_loop_timers()
        tasks.start_soon(timers.run)
        records = [
            make_engine_target(f"q{i}", host=f"10.0.1.{i}") for i in range(TARGET_COUNT)
        ]
        service, _, view = make_direct_service(
            timers,
            tasks,
            records,
            name=f"entry-{self._number}",
            seed=self._number,
            settings=SETTINGS.model_copy(update={"bounds": BOUNDS}),
            create_dialer=lambda view: StandingDialer(view, self._targets),
        )
        view.apply(RoutesChange(make_table_with_attempts(self._load.attempts_max)))
        shares = service.retry_shares
        shares.set_entry_count(self._load.entries)
        for budget in (shares.budgets.for_pool("quotes"),):
            while budget.try_spend():
                pass
        shares.budgets.start_empty(timers.now_s())
        return service


def make_table_with_attempts(attempts_max: int) -> RouteTable:
    """Return the table of routes with another limit on attempts."""
    table = make_table(version=2)
    routes = {
        host: tuple(replace(route, attempts_max=attempts_max) for route in items)
        for host, items in table.routes.items()
    }
    return replace(table, routes=routes)
