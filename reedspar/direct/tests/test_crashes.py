"""Tests of requests that crash their targets, over ASGI."""

import unittest
from typing import Any

from reedspar.direct import DirectService
from reedspar.direct.tests.cases import (
    Call,
    DirectTestCase,
    make_order_target,
)
from reedspar.direct.tests.fakes import (
    FakeDialer,
    FakeResponse,
    broken,
)
from reedspar.fleet import (
    FleetView,
    TargetChange,
    TargetRecord,
    TargetState,
)


class CrashTest(DirectTestCase):
    def test_request_that_crashes_its_targets_is_refused(self) -> None:
        # Guards against a request that crashes each target that runs it and that its
        # caller repeats: without quarantine all targets would crash in turn.
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

    def test_announced_shutdown_is_not_counted_as_a_crash(self) -> None:
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


if __name__ == "__main__":
    unittest.main()
