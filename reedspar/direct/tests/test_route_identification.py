"""Tests of finding a request's route and workspace."""

import random
import unittest
from typing import Any

import anyio

from reedspar.direct.filters import RouteIdentificationFilter
from reedspar.direct.tests.fakes import make_table
from reedspar.errors import Reason
from reedspar.fleet import FleetView, RoutesChange
from reedspar.requests.request import Answer, Request
from reedspar.timers import TimerService, VirtualClock


class RouteIdentificationFilterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = FleetView(TimerService(VirtualClock()))
        self.view.apply(RoutesChange(make_table()))
        self.is_store_slow = False
        self.filter = RouteIdentificationFilter(
            self.view, lambda: self.is_store_slow, random.Random(1)
        )

    def send(self, host: str) -> Answer:
        responder: Any = None
        request = Request("", "", "GET", "", "/", (), b"", responder, 0.0)
        request.host = host

        async def proceed(request: Request) -> Answer:
            raise AssertionError("a request without a route was passed on")

        async def run() -> Answer:
            return await self.filter.apply(request, proceed)

        return anyio.run(run)

    def test_unknown_route_is_refused_permanently(self) -> None:
        failure = self.send("nobody.example").failure
        assert failure is not None
        self.assertIs(failure.reason, Reason.NOT_FOUND)

    def test_unknown_route_is_refused_temporarily_while_the_store_is_slow(self) -> None:
        # Guards against a permanent refusal of a new route that a slow store has not
        # delivered to this entry yet.
        self.is_store_slow = True
        failure = self.send("nobody.example").failure
        assert failure is not None
        self.assertIs(failure.reason, Reason.STALE)
        self.assertIsNotNone(failure.retry_after_s)


if __name__ == "__main__":
    unittest.main()
