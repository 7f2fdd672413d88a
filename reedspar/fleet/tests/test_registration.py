"""Tests of a daemon's own entry in the store."""

import unittest
from collections.abc import Awaitable, Callable

import anyio

from reedspar.fleet import Registration, create_registration
from reedspar.fleet.tests.fakes import FakeStore
from reedspar.timers import TimerService, VirtualClock

KEY = "daemons/e1"


class RegistrationTest(unittest.TestCase):
    served = 0

    def record_store_success(self) -> None:
        self.served += 1

    def run_with(
        self, script: Callable[[FakeStore, Registration], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            store = FakeStore()
            timers = TimerService(VirtualClock())
            registration = create_registration(
                KEY, b"me", store, timers, self.record_store_success
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(registration.run)
                with anyio.fail_after(5):
                    await anyio.sleep(0.05)
                    await script(store, registration)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_entry_stands_under_a_lease(self) -> None:
        async def script(store: FakeStore, registration: Registration) -> None:
            self.assertEqual(store.current[KEY].value, b"me")
            self.assertTrue(registration.is_registered)
            self.assertEqual(len(store.leases), 1)

        self.run_with(script)

    def test_entry_is_written_again_once_its_lease_has_ended(self) -> None:
        # The process was stopped for longer than its lease lasts.  Without the
        # entry no caller is told of it any more.
        async def script(store: FakeStore, registration: Registration) -> None:
            store.lapse(next(iter(store.leases)))
            self.assertNotIn(KEY, store.current)
            await anyio.sleep(1.5)
            self.assertIn(KEY, store.current)

        self.run_with(script)

    def test_entry_of_a_predecessor_is_taken_over(self) -> None:
        # A daemon was killed and comes back within the old lease.  When that ends,
        # the new entry must stay.
        async def script(store: FakeStore, registration: Registration) -> None:
            other = create_registration(
                KEY, b"new", store, TimerService(VirtualClock())
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(other.run)
                await anyio.sleep(0.1)
                self.assertEqual(store.current[KEY].value, b"new")
                tasks.cancel_scope.cancel()

        self.run_with(script)

    def test_registration_does_not_read_a_known_revision(self) -> None:
        # Guards against an unneeded call to the store at each start of a daemon.
        async def script(store: FakeStore, registration: Registration) -> None:
            self.assertNotIn("get", store.calls)
            known_revision = store.current[KEY].revision
            other = create_registration(
                KEY,
                b"new",
                store,
                TimerService(VirtualClock()),
                expected_revision=lambda: known_revision,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(other.run)
                await anyio.sleep(0.1)
                self.assertEqual(store.current[KEY].value, b"new")
                tasks.cancel_scope.cancel()
            self.assertNotIn("get", store.calls)

        self.run_with(script)

    def test_withdrawn_entry_is_gone_and_stays_gone(self) -> None:
        async def script(store: FakeStore, registration: Registration) -> None:
            await registration.withdraw()
            self.assertNotIn(KEY, store.current)
            await anyio.sleep(1.2)
            self.assertNotIn(KEY, store.current)

        self.run_with(script)

    def test_answers_of_the_store_are_told(self) -> None:
        # What else this daemon knows of outages is a watch that may wait for 25 s.
        async def script(store: FakeStore, registration: Registration) -> None:
            self.assertEqual(self.served, 1)
            store.is_away = True
            await anyio.sleep(1.2)
            self.assertEqual(self.served, 1)
            store.is_away = False
            await anyio.sleep(0.6)
            self.assertEqual(self.served, 2)

        self.run_with(script)

    def test_outage_delays_the_entry(self) -> None:
        async def script(store: FakeStore, registration: Registration) -> None:
            store.is_away = True
            store.lapse(next(iter(store.leases)))
            await anyio.sleep(1.1)
            store.is_away = False
            await anyio.sleep(1.5)
            self.assertIn(KEY, store.current)

        self.run_with(script)


if __name__ == "__main__":
    unittest.main()
