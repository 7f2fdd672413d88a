"""Tests of the log lines of cut answers and of ended requests, over ASGI."""

import logging
import unittest

import anyio

from reedspar.direct import DirectService
from reedspar.direct.request_log import RequestLog
from reedspar.direct.tests.cases import (
    EVENT_STREAM_TYPE,
    STREAM_PAUSE_S,
    Call,
    DirectTestCase,
    make_event,
)
from reedspar.direct.tests.fakes import FakeDialer, FakeResponse, broken
from reedspar.fleet import FleetView
from reedspar.requests.draining import DrainOptions, run_drain
from reedspar.requests.request import Answer, Request
from reedspar.requests.tests.test_draining import NoConnections
from reedspar.telemetry import create_metrics

CUT_LOGGER = "reedspar.requests.cut_log"
ENDING_LOGGER = "reedspar.direct.request_log"


def log_endings(service: DirectService, view: FleetView) -> None:
    """Put the log of requests before the other filters of a service."""
    application = service.application
    log = RequestLog(view, service.drain_filter._timers, create_metrics("e"))
    run_filters = application._run_filters

    async def run_logged(request: Request) -> Answer:
        return await log.apply(request, run_filters)

    application._run_filters = run_logged


class CutLogTest(DirectTestCase):
    def test_line_tells_who_cut_an_answer(self) -> None:
        # Guards against cut answers whose cause no log line tells.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: FakeResponse(
                [make_event(1), STREAM_PAUSE_S, broken(target_id)],
                content_type=EVENT_STREAM_TYPE,
            )
            call = Call("/once/1", x_model="m")
            with self.assertLogs(CUT_LOGGER, logging.WARNING) as logs:
                await service.application(call.scope, call.receive, call.send)
            fields = vars(logs.records[0])
            self.assertEqual(fields["targets"], [dialer.sent[0][0]])
            self.assertEqual(fields["sent_bytes"], len(make_event(1)))
            self.assertIn("target_call failed", fields["ended_by"])
            self.assertEqual((fields["drain_spare_s"], fields["drain"]), (None, {}))
            self.assertGreaterEqual(fields["read_ms"], fields["passed_on_ms"][0])
            counts = service.cut_log.read_counts()
            self.assertEqual(counts, [(1, {"reason": "outcome_unknown"})])

        self.run_with(script)

    def test_line_tells_a_forced_end_from_a_caller_that_left(self) -> None:
        # Guards against answers that the end of a drain cuts and that are logged as if
        # their callers had left.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            log_endings(service, view)
            dialer.script = lambda target_id, request: FakeResponse(
                [make_event(1), 5.0], content_type=EVENT_STREAM_TYPE
            )
            cut, left = (Call("/q/1", x_model="m") for _ in range(2))
            with (
                self.assertLogs(CUT_LOGGER, logging.WARNING) as cuts,
                self.assertLogs(ENDING_LOGGER, logging.INFO) as endings,
            ):
                async with anyio.create_task_group() as tasks:
                    for call in (cut, left):
                        parts = call.scope, call.receive, call.send
                        tasks.start_soon(service.application, *parts)
                    await anyio.sleep(0.1)
                    left.disconnected.set()
                    await run_drain(
                        service.application,
                        NoConnections(),
                        service.drain_filter,
                        DrainOptions(0.0, 0.3, 0.1),
                        anyio.current_time,
                    )
            (fields,) = [vars(record) for record in cuts.records]
            self.assertIn("drain failed (draining)", fields["ended_by"])
            self.assertEqual(fields["drain"]["phase"], "abort")
            self.assertLessEqual(fields["drain"]["left_ms"], 0)
            messages = [record.getMessage() for record in endings.records]
            self.assertEqual(messages, ["request abandoned", "request aborted"])

        self.run_with(script)

    def test_request_without_a_deadline_has_no_allowed_time(self) -> None:
        # Guards against limits in the log that are the time since the machine's start.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            log_endings(service, view)
            with self.assertLogs(ENDING_LOGGER, logging.INFO) as endings:
                for path in ("/none/1", "/s/1"):
                    call = Call(path, x_allowed_s="1.5")
                    await service.application(call.scope, call.receive, call.send)
            allowed = [vars(record)["allowed_ms"] for record in endings.records]
            self.assertEqual(allowed, [None, 1500])

        self.run_with(script)


if __name__ == "__main__":
    unittest.main()
