"""Tests of fleet changes while an attempt connects, over ASGI in virtual time."""

import unittest

import anyio

from reedspar.direct import DirectService
from reedspar.direct.tests.cases import Call, make_order_target
from reedspar.direct.tests.fakes import (
    FakeDialer,
    make_direct_service,
    make_engine_target,
)
from reedspar.fleet import FleetChange, TargetChange, TargetState, ZoneChange
from reedspar.requests.tests.virtual_time import LoopClock, run_virtual
from reedspar.timers import TimerService

CONNECT_TIME_S = 0.39
CHANGE_DELAY_S = 0.2


class HandOverTest(unittest.TestCase):
    """Applies fleet changes while an attempt connects to target `first`."""

    def send(
        self, path: str, *changes: FleetChange, caller_leaves: bool = False
    ) -> tuple[Call, FakeDialer]:
        """Return a call; while it connects, changes arrive or its caller leaves."""
        return run_virtual(self._send, path, changes, caller_leaves)

    async def _send(
        self, path: str, changes: tuple[FleetChange, ...], caller_leaves: bool
    ) -> tuple[Call, FakeDialer]:
        timers = TimerService(LoopClock())
        call = Call(path)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(timers.run)
            targets = [make_order_target("first"), make_engine_target("engine")]
            service, dialer, view = make_direct_service(timers, tasks, targets)
            dialer.connect_s = CONNECT_TIME_S
            tasks.start_soon(self._call, service, call)
            await anyio.sleep(CHANGE_DELAY_S)
            if caller_leaves:
                call.disconnected.set()
            for change in changes:
                view.apply(change)
            await anyio.sleep(2 * CONNECT_TIME_S)
            tasks.cancel_scope.cancel()
        return call, dialer

    async def _call(self, service: DirectService, call: Call) -> None:
        await service.application(call.scope, call.receive, call.send)

    def check_sent_to_second_target(self, *changes: FleetChange) -> None:
        second = make_order_target("second", zone="b")
        for path in ("/s/1", "/o/1"):
            call, dialer = self.send(path, TargetChange("second", second), *changes)
            self.assertEqual(call.status, 200)
            self.assertEqual([name for name, _ in dialer.sent], ["second"])

    def test_target_that_announces_its_shutdown_meanwhile_gets_nothing(self) -> None:
        # Guards against sending a request to a target that announced its shutdown while
        # the connection was being made, which takes up to 0.4 s.
        leaving = make_order_target("first", state=TargetState.LEAVING)
        self.check_sent_to_second_target(TargetChange("first", leaving))

    def test_target_that_is_removed_meanwhile_gets_nothing(self) -> None:
        # Guards against sending to a target that was removed, without announcing it,
        # while the connection was being made.
        self.check_sent_to_second_target(TargetChange("first", None))

    def test_zone_that_is_taken_out_meanwhile_gets_nothing(self) -> None:
        # Guards against sending to a zone that operators took out while the connection
        # was being made.
        self.check_sent_to_second_target(ZoneChange("a", True))

    def test_caller_that_disconnects_meanwhile_sends_nothing_to_a_target(
        self,
    ) -> None:
        # Guards against sending a request whose caller disconnected before the target
        # was connected: the target would work for nobody.
        _, dialer = self.send("/q/1")
        self.assertEqual(len(dialer.sent), 1)
        call, dialer = self.send("/q/1", caller_leaves=True)
        self.assertEqual(dialer.sent, [])
        self.assertEqual(call.messages, [])

    def test_order_that_was_not_sent_is_reported_as_not_run(self) -> None:
        # The only target was removed before the order was sent, so the caller may
        # safely send it again.
        call, dialer = self.send("/o/1", TargetChange("first", None))
        self.assertEqual(call.outcome, "not-run")
        self.assertEqual(dialer.sent, [])


if __name__ == "__main__":
    unittest.main()
