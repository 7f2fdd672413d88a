"""Tests of requests to targets that ask for a pause when they refuse a request.

Pattern: some targets of a pool turn away each request, or a part of them, and look
idle, while traffic goes on at the rate that the whole pool bears.
"""

import random
import unittest
from collections.abc import Callable
from typing import Any

import anyio

from reedspar.direct import DirectService
from reedspar.direct.tests.cases import Call, make_order_target
from reedspar.direct.tests.fakes import FakeDialer, make_direct_service, not_run
from reedspar.fleet import FleetView, TargetChange
from reedspar.requests.tests.virtual_time import LoopClock, run_virtual
from reedspar.timers import TimerService

PAUSE_S = 3.0
CALL_INTERVAL_S = 0.05
RUN_S = PAUSE_S - CALL_INTERVAL_S
"""Duration of the calls; the first pause has not ended then."""
ANSWER_S = 0.01
TARGETS = ("o1", "o2", "o3")
PATHS = ("/s/1", "/o/1")
ARRIVALS_MAX = 2
"""Requests that may reach a target during its pause: those that were being sent."""
TOLERANCE_S = 0.5
"""Time from the request for a pause until arrivals count."""
LONG_RUN_S = 20.0

Change = Callable[[DirectService, FakeDialer, FleetView], None]


class PauseTest(unittest.TestCase):
    """Some of three targets refuse requests and ask for a pause."""

    def setUp(self) -> None:
        self.calls: list[Call] = []
        self.sent: list[tuple[float, str]] = []
        self.asked: list[tuple[float, str]] = []
        self.refused_share = 1.0
        self.connect_s = 0.0
        self.changes: dict[float, Change] = {}

    def run_calls(
        self, path: str, refusing: set[str], seconds: float = RUN_S
    ) -> FakeDialer:
        """Call at intervals, apply the changes at their times; return the dialer."""
        self.calls.clear()
        self.sent.clear()
        self.asked.clear()
        return run_virtual(self._run_calls, path, refusing, seconds)

    async def _run_calls(
        self, path: str, refusing: set[str], seconds: float
    ) -> FakeDialer:
        timers = TimerService(LoopClock())
        rng = random.Random(1)
        began_s = anyio.current_time()
        changes = dict(self.changes)

        def answer(target_id: str, request: Any) -> Any:
            now_s = anyio.current_time() - began_s
            self.sent.append((now_s, target_id))
            if target_id in refusing and rng.random() < self.refused_share:
                self.asked.append((now_s, target_id))
                return not_run(target_id)
            return ANSWER_S

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timers.run)
            targets = [
                make_order_target(name, port=i) for i, name in enumerate(TARGETS)
            ]
            made = make_direct_service(timers, tasks, targets)
            service, dialer, _ = made
            dialer.pauses_s = dict.fromkeys(refusing, PAUSE_S)
            dialer.connect_s = self.connect_s
            dialer.script = answer
            while (now_s := anyio.current_time() - began_s) < seconds:
                for at_s in [at_s for at_s in changes if at_s <= now_s]:
                    changes.pop(at_s)(*made)
                self.calls.append(Call(path))
                tasks.start_soon(self._call, service, self.calls[-1])
                await anyio.sleep(CALL_INTERVAL_S)
            await anyio.sleep(ANSWER_S + 3 * self.connect_s)
            tasks.cancel_scope.cancel()
        return dialer

    async def _call(self, service: DirectService, call: Call) -> None:
        await service.application(call.scope, call.receive, call.send)

    def count_sent(self, target_id: str) -> int:
        return [name for _, name in self.sent].count(target_id)

    def check_pauses(self) -> None:
        """Check the arrivals during each pause."""
        for asked_s, target_id in self.asked:
            during = [
                at_s
                for at_s, name in self.sent
                if name == target_id
                and asked_s + TOLERANCE_S < at_s < asked_s + PAUSE_S
            ]
            self.assertLessEqual(len(during), ARRIVALS_MAX, (asked_s, target_id))

    def test_target_that_asked_for_a_pause_gets_no_requests_during_it(self) -> None:
        # Guards against requests to a target within the time that it wants none.
        for path in PATHS:
            self.run_calls(path, {"o1", "o2"})
            for target_id in ("o1", "o2"):
                self.assertLessEqual(self.count_sent(target_id), ARRIVALS_MAX, path)
            self.assertGreater(sum(call.status == 200 for call in self.calls), 50)

    def test_pauses_hold_while_targets_refuse_a_part(self) -> None:
        # Guards against arrivals during a pause that was asked for again and again, by
        # targets that serve in between.
        self.refused_share = 0.3
        self.connect_s = 0.12
        for path in PATHS:
            self.run_calls(path, set(TARGETS), LONG_RUN_S)
            self.check_pauses()
            self.assertGreater(len(self.asked), 10)

    def test_target_gets_requests_after_its_pause(self) -> None:
        # Guards against a target that gets nothing once its pause has ended.
        self.run_calls("/s/1", {"o1"}, 2 * PAUSE_S)
        self.check_pauses()
        self.assertGreaterEqual(len(self.asked), 2)

    def test_callers_are_refused_at_once_while_all_targets_pause(self) -> None:
        # Guards against callers that wait, or come back before any target takes them.
        for path in PATHS:
            self.run_calls(path, set(TARGETS))
            self.assertLessEqual(len(self.sent), len(TARGETS))
            last = self.calls[-1]
            self.assertEqual((last.status, last.outcome), (503, "not-run"))
            middle = self.calls[len(self.calls) // 2]
            self.assertGreaterEqual(float(middle.headers["retry-after"]), 1.0)

    def test_refusal_after_an_attempt_tells_when_the_first_pause_ends(self) -> None:
        # Guards against callers that come back at once, use up their retry and are
        # refused again.
        for path in PATHS:
            self.run_calls(path, set(TARGETS))
            self.assertEqual(len(self.sent), len(TARGETS))
            self.assertGreaterEqual(float(self.calls[1].headers["retry-after"]), 2.9)

    def test_pause_that_was_asked_for_while_connecting_is_respected(self) -> None:
        # Guards against requests that were chosen before the refusal and written after.
        self.connect_s = 0.3
        self.run_calls("/s/1", {"o1", "o2"})
        for target_id in ("o1", "o2"):
            self.assertEqual(self.count_sent(target_id), 1)

    def test_registration_that_lapses_and_returns_does_not_end_a_pause(self) -> None:
        # Guards against requests to a target whose registration expired in an outage
        # of the store during its pause.
        def lapse(service: DirectService, dialer: FakeDialer, view: FleetView) -> None:
            view.apply(TargetChange("o1", None))
            view.apply(TargetChange("o1", make_order_target("o1")))

        self.changes = {1.0: lapse}
        self.run_calls("/s/1", {"o1"})
        self.assertEqual(self.count_sent("o1"), 1)

    def test_restart_of_the_target_ends_its_pause(self) -> None:
        # Guards against a restarted target that gets nothing for what the previous
        # run of its process asked for.
        def restart(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.pauses_s.clear()
            view.apply(TargetChange("o1", make_order_target("o1", started_ms=7)))

        self.changes = {1.0: restart}
        self.run_calls("/s/1", {"o1"})
        self.assertGreater(self.count_sent("o1"), 2)


if __name__ == "__main__":
    unittest.main()
