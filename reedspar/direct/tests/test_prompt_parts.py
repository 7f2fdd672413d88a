"""Tests of requests whose prompts share a part that crashes targets, over ASGI."""

import unittest
from typing import Any

import anyio

from reedspar.direct import DirectService
from reedspar.direct.tests.cases import Call, DirectTestCase
from reedspar.direct.tests.fakes import (
    FakeDialer,
    FakeResponse,
    broken,
    make_engine_target,
)
from reedspar.fleet import FleetView

CRASHES_MAX = 8
"""Five crashes, and three requests that may reach targets after them."""


class PromptPartTest(DirectTestCase):
    targets = [make_engine_target(f"q{number}") for number in range(40)]

    async def call(self, service: DirectService, path: str, parts: str) -> Call:
        call = Call(path, x_model="m", x_parts=parts)
        await service.application(call.scope, call.receive, call.send)
        return call

    def crash_by_part(self, dialer: FakeDialer, part: str) -> None:
        """Let each request with a part in its prompt crash its target."""

        def answer(target_id: str, request: Any) -> Any:
            headers = dict(request.headers)
            if part in headers["x-parts"].split(","):
                dialer.crashed.add(target_id)
                return broken(target_id)
            return FakeResponse([b"id: 1\n\n"], content_type="text/event-stream")

        dialer.script = answer

    def test_requests_with_a_part_that_crashes_targets_are_refused(self) -> None:
        # Guards against requests of which no two are alike, but with one part in all
        # their prompts, which end target after target.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            self.crash_by_part(dialer, "bad")
            for number in range(12):
                sound = await self.call(service, f"/q/s{number}", f"first,x{number}")
                self.assertEqual(sound.status, 200)
                last = await self.call(service, f"/q/b{number}", "first,bad")
                await anyio.sleep(0.1)
            self.assertIn(b"quarantined", last.body)
            self.assertLessEqual(len(dialer.crashed), CRASHES_MAX)
            for parts in ("first", "first,x1", "first,other", ""):
                sound = await self.call(service, f"/q/{parts}", parts)
                self.assertEqual(sound.status, 200, parts)

        self.run_with(script)


if __name__ == "__main__":
    unittest.main()
