"""Tests of requests to targets that announce their shutdown in their answers."""

import unittest

from reedspar.direct import DirectService
from reedspar.direct.tests.cases import Call, DirectTestCase
from reedspar.direct.tests.fakes import FakeDialer
from reedspar.fleet import FleetView

CALLS = 20
PATHS = ("/s/1", "/o/1", "/q/1")


class AnnouncedShutdownTest(DirectTestCase):
    async def send(self, service: DirectService, path: str) -> Call:
        call = Call(path, x_model="m" if path == "/q/1" else "")
        await service.application(call.scope, call.receive, call.send)
        return call

    async def send_many(self, service: DirectService, path: str) -> None:
        for _ in range(CALLS):
            call = await self.send(service, path)
            self.assertEqual(call.status, 200)

    def test_target_that_announced_its_shutdown_gets_no_more_requests(self) -> None:
        # Guards against requests to a leaving target while the store does not answer.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.leaving = {"q1", "o1"}
            for path in PATHS:
                await self.send_many(service, path)
            names = [name for name, _ in dialer.sent]
            self.assertEqual(names.count("q1"), 1)
            self.assertEqual(names.count("o1"), 1)

        self.run_with(script)


if __name__ == "__main__":
    unittest.main()
