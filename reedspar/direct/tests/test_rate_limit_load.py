"""Tests of the load that several entries put on targets that name rate limits.

Pattern: some targets of a pool are in need and name a limit of a few requests a
second, while traffic goes on at the rate that the whole pool bears.
"""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

from reedspar.direct import DirectService, TargetNotice
from reedspar.direct.tests.cases import Call, make_order_target
from reedspar.direct.tests.fakes import FakeDialer, make_direct_service
from reedspar.fleet import DaemonChange, DaemonRecord, TargetRecord
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.requests.tests.virtual_time import LoopClock, run_virtual
from reedspar.timers import TimerService

TARGET_COUNT = 6
REQUESTS_PER_S = 60.0
ANSWER_S = 0.2
MESSAGE_DELAY_S = 0.003
NAMED_S = 2.0
"""Time at which targets begin to name their limits."""
WINDOW_S = 4.0
ENFORCED_AFTER_S = 3.0
"""Time from a target's first limit until windows count."""
TOLD_AFTER_S = 0.5
"""Time from an entry's first answer with a limit until its requests count."""
LIMITED_S = 12.0
"""How long targets name their limits."""
RECOVERY_S = 3.0
"""Time after the end of a limit in which the target gets its usual load again."""
REFUSAL_MAX_S = 0.1

Script = Callable[["Fleet"], Awaitable[None]]


class MeshNetwork(FakeNetwork):
    """Delivers messages between the entries of a fleet."""

    def __init__(self, name: str, networks: dict[str, "MeshNetwork"]) -> None:
        super().__init__()
        self._name = name
        self._networks = networks
        networks[name] = self

    def send(self, peer: str, message: Any, priority: int = 0) -> None:
        loop = asyncio.get_running_loop()
        deliver = self._networks[peer].deliver
        loop.call_later(MESSAGE_DELAY_S, deliver, self._name, message)
        self.sent.append((peer, message))


@dataclass
class Entry:
    """An entry and what it has sent and been told."""

    service: DirectService
    dialer: FakeDialer
    sent: list[tuple[float, str]] = field(default_factory=list)
    told_s: dict[str, float] = field(default_factory=dict)

    def watch(self) -> None:
        self.dialer.script = self._answer
        self.dialer.on_notice(self._record_notice)

    def _answer(self, target_id: str, request: object) -> float:
        self.sent.append((anyio.current_time(), target_id))
        return ANSWER_S

    def _record_notice(self, notice: TargetNotice) -> None:
        if notice.rate_per_s is not None:
            self.told_s.setdefault(notice.target_id, anyio.current_time())


class Fleet:
    """Entries that get requests at random and share the targets of a pool."""

    def __init__(self, tasks: TaskGroup, entry_count: int) -> None:
        self._tasks = tasks
        self._rng = random.Random(entry_count)
        networks: dict[str, MeshNetwork] = {}
        names = [f"entry-{i}" for i in range(entry_count)]
        targets = [make_order_target(f"o{i}", port=i) for i in range(TARGET_COUNT)]
        self.entries = [self._create(name, names, targets, networks) for name in names]
        self.calls: list[tuple[float, Call]] = []
        self.elapsed_s: dict[int, float] = {}

    def _create(
        self,
        name: str,
        names: list[str],
        targets: list[TargetRecord],
        networks: dict[str, MeshNetwork],
    ) -> Entry:
        timers = TimerService(LoopClock())
        self._tasks.start_soon(timers.run)
        network = MeshNetwork(name, networks)
        made = make_direct_service(timers, self._tasks, targets, name, network, name)
        service, dialer, view = made
        for other in names:
            record = DaemonRecord(other, "entry", "a", "ra", "10.0.0.1", 1, 2)
            view.apply(DaemonChange(other, record))
        entry = Entry(service, dialer)
        entry.watch()
        return entry

    async def send_requests(self, until_s: float) -> None:
        """Send requests to random entries until a time."""
        while anyio.current_time() < until_s:
            await anyio.sleep(self._rng.expovariate(REQUESTS_PER_S))
            self._tasks.start_soon(self._send, self._rng.choice(self.entries))

    async def _send(self, entry: Entry) -> None:
        call = Call("/s/1", "GET", x_allowed_s="2")
        number = len(self.calls)
        begin_s = anyio.current_time()
        self.calls.append((begin_s, call))
        await entry.service.application(call.scope, call.receive, call.send)
        self.elapsed_s[number] = anyio.current_time() - begin_s

    def set_limits(self, limits: dict[str, float]) -> None:
        """Let targets name limits from now on, or none."""
        for entry in self.entries:
            entry.dialer.rate_limits = limits

    def arrivals(self, target_id: str, *, only_told: bool = False) -> list[float]:
        """Return when requests reached a target."""
        return sorted(
            at_s
            for entry in self.entries
            for at_s, sent_to in entry.sent
            if sent_to == target_id
            and (
                not only_told
                or at_s >= entry.told_s.get(target_id, at_s + 1) + TOLD_AFTER_S
            )
        )

    def peak(self, target_id: str) -> int:
        """Return the most requests of told entries in a window that counts."""
        arrivals = self.arrivals(target_id, only_told=True)
        return max(
            (
                sum(end_s - WINDOW_S < at_s <= end_s for at_s in arrivals)
                for end_s in arrivals
                if end_s >= NAMED_S + ENFORCED_AFTER_S
            ),
            default=0,
        )


class RateLimitLoadTest(unittest.TestCase):
    def run_fleet(self, entry_count: int, script: Script) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                await script(Fleet(tasks, entry_count))
                tasks.cancel_scope.cancel()

        run_virtual(run)

    def check_peaks(self, entry_count: int, limits: dict[str, float]) -> None:
        async def script(fleet: Fleet) -> None:
            await fleet.send_requests(NAMED_S)
            fleet.set_limits(limits)
            await fleet.send_requests(NAMED_S + LIMITED_S)
            for target_id, rate_per_s in limits.items():
                allowed = 1.5 * rate_per_s * WINDOW_S + 5
                self.assertLessEqual(fleet.peak(target_id), allowed, target_id)

        self.run_fleet(entry_count, script)

    def test_entries_together_keep_to_the_limit_of_a_target(self) -> None:
        # Guards against a target in need that is sent as much as the others.
        for entry_count in (2, 9, 46):
            self.check_peaks(entry_count, {"o0": 1.0, "o1": 1.4, "o2": 4.0})

    def test_entries_together_keep_to_low_limits(self) -> None:
        # Guards against one request of each entry adding up to more than is allowed.
        self.check_peaks(9, {"o0": 0.0, "o1": 0.1, "o2": 0.5})

    def test_entries_together_keep_to_the_limits_of_all_targets(self) -> None:
        self.check_peaks(9, {f"o{i}": 2.0 for i in range(TARGET_COUNT)})

    def test_limited_target_gets_most_of_what_it_takes(self) -> None:
        # Guards against a pool that is refused though its targets would take requests.
        async def script(fleet: Fleet) -> None:
            await fleet.send_requests(NAMED_S)
            fleet.set_limits({f"o{i}": 4.0 for i in range(TARGET_COUNT)})
            await fleet.send_requests(NAMED_S + LIMITED_S)
            for i in range(TARGET_COUNT):
                late = [at for at in fleet.arrivals(f"o{i}") if at >= NAMED_S + 4.0]
                self.assertGreaterEqual(len(late), 0.7 * 4.0 * (LIMITED_S - 4.0))

        self.run_fleet(9, script)

    def test_request_beyond_the_limits_of_all_targets_is_refused_at_once(self) -> None:
        async def script(fleet: Fleet) -> None:
            await fleet.send_requests(NAMED_S)
            fleet.set_limits({f"o{i}": 2.0 for i in range(TARGET_COUNT)})
            await fleet.send_requests(NAMED_S + LIMITED_S)
            await anyio.sleep(1.0)
            refused = [
                number
                for number, (begin_s, call) in enumerate(fleet.calls)
                if begin_s > NAMED_S + 1.0 and call.status == 503
            ]
            self.assertGreater(len(refused), 100)
            for number in refused:
                self.assertLessEqual(fleet.elapsed_s[number], REFUSAL_MAX_S)
                self.assertIn("retry-after", fleet.calls[number][1].headers)

        self.run_fleet(9, script)

    def test_target_gets_its_load_again_after_the_limit(self) -> None:
        # Guards against entries that may send nothing to a limited target and so never
        # learn from its answers that the limit has ended.
        async def script(fleet: Fleet) -> None:
            await fleet.send_requests(NAMED_S)
            fleet.set_limits({"o0": 1.0})
            await fleet.send_requests(NAMED_S + LIMITED_S)
            fleet.set_limits({})
            end_s = NAMED_S + LIMITED_S + RECOVERY_S
            await fleet.send_requests(end_s + 3.0)
            for entry in fleet.entries:
                self.assertIsNone(entry.service.rate_limits.rate_per_s("o0:0"))
            late = [at for at in fleet.arrivals("o0") if at >= end_s]
            usual = 3.0 * REQUESTS_PER_S / TARGET_COUNT
            self.assertGreaterEqual(len(late), 0.5 * usual)

        self.run_fleet(9, script)


if __name__ == "__main__":
    unittest.main()
