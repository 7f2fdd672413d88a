"""Tests of requests that crash their targets, over ASGI."""

import unittest
from typing import Any

import anyio

from reedspar.attempts import CrashSuspect
from reedspar.direct import DirectService
from reedspar.direct.crashes import CrashDetector
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
    KnownTarget,
    TargetChange,
    TargetRecord,
    TargetState,
)
from reedspar.requests.quarantine import Quarantine, Standing
from reedspar.timers import TimerService, VirtualClock


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

    def test_crash_that_several_entries_report_counts_once(self) -> None:
        # Guards against refusing a request that many callers send alike: it was in
        # flight from several entries when one target crashed.
        quarantine = Quarantine()
        self.report_crash(quarantine, boot=1)
        self.report_crash(quarantine, boot=1)
        self.assertIs(quarantine.standing("alike", 1.0)[0], Standing.CLEAR)
        self.report_crash(quarantine, boot=2)
        self.assertIs(quarantine.standing("alike", 1.0)[0], Standing.BLAMED)

    def report_crash(self, quarantine: Quarantine, boot: int) -> None:
        """Let an entry see a run of a target break off and disappear."""
        detector = CrashDetector(
            TimerService(VirtualClock()),
            lambda crash_id, scope, suspects, age_s: quarantine.on_crash(
                crash_id, suspects, 0.5, 1.0
            ),
        )
        record = make_order_target("t1", started_ms=boot)
        detector.on_target_change(
            TargetChange("t1", record), KnownTarget(record, 0.0, 0.0)
        )
        suspect = CrashSuspect("alike")
        detector.record_broken("t1", record.boot_id, suspect, is_timeout=False)
        detector.on_target_change(TargetChange("t1", None), None)


class EarlyCrashTest(DirectTestCase):
    targets = [make_order_target(f"o{number}") for number in range(8)]

    def test_request_is_refused_while_registrations_of_its_targets_last(self) -> None:
        # Guards against a request that ends target after target before the first
        # registration has lapsed.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            def crash(target_id: str, request: Any) -> Any:
                if request.path != "/s/deadly":
                    return FakeResponse([b"fine"])
                dialer.crashed.add(target_id)
                return broken(target_id)

            dialer.script = crash
            for _ in range(5):
                call = Call("/s/deadly", "GET")
                await service.application(call.scope, call.receive, call.send)
                await anyio.sleep(0.3)
            self.assertIn(b"quarantined", call.body)
            self.assertLessEqual(len(dialer.crashed), 3)
            other = Call("/s/harmless", "GET")
            await service.application(other.scope, other.receive, other.send)
            self.assertEqual(other.status, 200)

        self.run_with(script)

    def test_request_whose_targets_break_off_and_live_is_not_refused(self) -> None:
        # Guards against refusing a request whose answers are cut by targets that
        # have not crashed.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: broken(target_id)
            for _ in range(4):
                call = Call("/s/unlucky", "GET")
                await service.application(call.scope, call.receive, call.send)
                await anyio.sleep(0.3)
                self.assertNotIn(b"quarantined", call.body)
            dialer.script = lambda target_id, request: FakeResponse([b"fine"])
            await anyio.sleep(0.5)
            call = Call("/s/unlucky", "GET")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.status, 200)

        self.run_with(script)

    def test_stream_that_has_run_for_a_while_is_no_suspect_of_a_crash(self) -> None:
        # Guards against refusing sound streams that were under way at the crashes of
        # two targets.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            def crash(target_id: str, request: Any) -> Any:
                if request.path != "/s/long":
                    return FakeResponse([b"fine"])
                dialer.crashed.add(target_id)
                return FakeResponse([b"a", 0.6, broken(target_id)])

            dialer.script = crash
            for _ in range(2):
                call = Call("/s/long", "GET")
                await service.application(call.scope, call.receive, call.send)
                await anyio.sleep(0.1)
                self.assertNotIn(b"quarantined", call.body)
            dialer.script = lambda target_id, request: FakeResponse([b"fine"])
            call = Call("/s/long", "GET")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.status, 200)

        self.run_with(script)

    def test_target_that_is_silent_until_the_deadline_is_not_probed(self) -> None:
        # Guards against connections to targets that are only slow.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: 1.0
            call = Call("/s/slow", "GET", x_allowed_s="0.2")
            await service.application(call.scope, call.receive, call.send)
            await anyio.sleep(0.7)
            self.assertEqual(dialer.probed, [])

        self.run_with(script)


if __name__ == "__main__":
    unittest.main()
