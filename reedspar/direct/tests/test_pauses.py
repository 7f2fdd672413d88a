"""Tests of requests to targets that ask for a pause when they refuse a request."""

import unittest

import anyio

from reedspar.direct import DirectService
from reedspar.direct.tests.cases import Call, make_order_target
from reedspar.direct.tests.fakes import FakeDialer, make_direct_service, not_run
from reedspar.requests.tests.virtual_time import LoopClock, run_virtual
from reedspar.timers import TimerService

PAUSE_S = 3.0
CALL_INTERVAL_S = 0.05
TARGETS = ("o1", "o2", "o3")
ARRIVALS_MAX = 2
"""Requests that may reach a target during its pause: those that were being sent."""


class PauseTest(unittest.TestCase):
    """Two of three targets refuse each request and ask for a pause."""

    def run_calls(self, path: str, refusing: set[str]) -> tuple[list[Call], FakeDialer]:
        return run_virtual(self._run_calls, path, refusing)

    async def _run_calls(
        self, path: str, refusing: set[str]
    ) -> tuple[list[Call], FakeDialer]:
        """Call at intervals until shortly before the first pause ends."""
        timers = TimerService(LoopClock())
        calls: list[Call] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timers.run)
            targets = [
                make_order_target(name, port=i) for i, name in enumerate(TARGETS)
            ]
            service, dialer, _ = make_direct_service(timers, tasks, targets)
            dialer.pauses_s = dict.fromkeys(refusing, PAUSE_S)
            dialer.script = lambda target_id, request: (
                not_run(target_id) if target_id in refusing else 0.01
            )
            while anyio.current_time() < PAUSE_S - CALL_INTERVAL_S:
                calls.append(Call(path))
                tasks.start_soon(self._call, service, calls[-1])
                await anyio.sleep(CALL_INTERVAL_S)
            await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()
        return calls, dialer

    async def _call(self, service: DirectService, call: Call) -> None:
        await service.application(call.scope, call.receive, call.send)

    def test_target_that_asked_for_a_pause_gets_no_requests_during_it(self) -> None:
        # Guards against requests to a target within the time that it wants none.
        for path in ("/s/1", "/o/1"):
            calls, dialer = self.run_calls(path, {"o1", "o2"})
            names = [name for name, _ in dialer.sent]
            for target_id in ("o1", "o2"):
                self.assertLessEqual(names.count(target_id), ARRIVALS_MAX, path)
            self.assertGreater(sum(call.status == 200 for call in calls), 50)


if __name__ == "__main__":
    unittest.main()
