"""Shared parts of the tests of a target controller: its harness in virtual time."""

import unittest

import anyio

from reedspar.errors import Failure
from reedspar.targets import create_target_controller
from reedspar.targets.tests.fakes import (
    FakeNetwork,
    FakeOffers,
    FakeTarget,
    make_settings,
)
from reedspar.timers import TimerService, VirtualClock

__all__ = ["ControllerTestCase"]


class ControllerTestCase(unittest.TestCase):
    def run_scenario(self, scenario, **target) -> None:
        async def main() -> None:
            self.clock = VirtualClock()
            self.timers = TimerService(self.clock, pause_threshold_s=60.0)
            self.network = FakeNetwork()
            self.target = FakeTarget()
            self.admission: Failure | None = None
            async with anyio.create_task_group() as tasks:
                self.controller = create_target_controller(
                    make_settings(**target),
                    1,
                    self.network,
                    self.timers,
                    self.target,
                    FakeOffers(),
                    lambda: self.admission,
                    tasks.start_soon,
                )
                await self.advance(0.3)
                # Exceeds the report lag, so that no report can describe the time
                # before the boot.
                await self.advance(4.0)
                await scenario()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def advance(self, by_s: float) -> None:
        self.clock.advance(by_s)
        self.timers.run_due()
        await anyio.wait_all_tasks_blocked()

    async def deliver(self, message) -> None:
        self.network.deliver(message)
        await anyio.wait_all_tasks_blocked()

    async def release(self) -> None:
        self.target.release.set()
        await anyio.wait_all_tasks_blocked()
