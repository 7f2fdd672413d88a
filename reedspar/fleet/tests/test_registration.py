"""Tests of a daemon's registration in the store."""

import unittest
from collections.abc import Awaitable, Callable

import anyio

from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import Registration, create_registration
from reedspar.fleet.tests.fakes import FakeStore
from reedspar.timers import TimerService, VirtualClock

KEY = "daemons/e1"
WRITE_S = 0.1


class SlowStore(FakeStore):
    """A store whose writes and answers take a while; the answers may be lost."""

    def __init__(self, is_answer_lost: bool) -> None:
        super().__init__()
        self.is_answer_lost = is_answer_lost

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str = ""
    ) -> int | Failure:
        await anyio.sleep(WRITE_S)
        result = await super().compare_and_swap(key, value, expected_revision, lease_id)
        await anyio.sleep(WRITE_S)
        if self.is_answer_lost:
            return Failure(Reason.OUTCOME_UNKNOWN, Step.KEY_VALUE)
        return result


class RegistrationTest(unittest.TestCase):
    success_count = 0

    def record_store_success(self) -> None:
        self.success_count += 1

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

    def test_entry_is_written_under_lease(self) -> None:
        async def script(store: FakeStore, registration: Registration) -> None:
            self.assertEqual(store.current[KEY].value, b"me")
            self.assertTrue(registration.is_registered)
            self.assertEqual(len(store.leases), 1)

        self.run_with(script)

    def test_entry_is_rewritten_after_lease_expiry(self) -> None:
        # A process is paused for longer than its lease lasts.  Without the entry,
        # callers are no longer given its address.
        async def script(store: FakeStore, registration: Registration) -> None:
            store.expire_lease(next(iter(store.leases)))
            self.assertNotIn(KEY, store.current)
            await anyio.sleep(1.5)
            self.assertIn(KEY, store.current)

        self.run_with(script)

    def test_entry_that_a_restore_has_lost_is_rewritten(self) -> None:
        # Guards against a daemon that renews its lease and is never listed again: the
        # copy from which the store was restored has its lease and not yet its entry.
        async def script(store: FakeStore, registration: Registration) -> None:
            store.epoch += 1
            store.put(KEY, None)
            await anyio.sleep(2.0)
            self.assertEqual(store.current[KEY].value, b"me")
            self.assertTrue(registration.is_registered)

        self.run_with(script)

    def test_entry_is_read_once_after_a_restore(self) -> None:
        # Guards against a call for each renewal after a restore.
        async def script(store: FakeStore, registration: Registration) -> None:
            store.epoch += 1
            await anyio.sleep(2.5)
            self.assertEqual(store.calls.count("get"), 1)
            self.assertEqual(len(store.leases), 1)

        self.run_with(script)

    def test_entry_of_previous_daemon_is_replaced(self) -> None:
        # A daemon is killed and restarts before its old lease ends.  The new entry must
        # remain when it does.
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

    def test_known_revision_is_not_read(self) -> None:
        # Guards against an unnecessary call to the store at each start of a daemon.
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

    def test_withdrawn_entry_is_not_rewritten(self) -> None:
        async def script(store: FakeStore, registration: Registration) -> None:
            await registration.withdraw()
            self.assertNotIn(KEY, store.current)
            await anyio.sleep(1.2)
            self.assertNotIn(KEY, store.current)

        self.run_with(script)

    def check_withdrawal(self, at_s: float, is_answer_lost: bool = False) -> None:
        """Withdraw the entry `at_s` after its write was begun."""

        async def run() -> None:
            store = SlowStore(is_answer_lost)
            registration = create_registration(
                KEY, b"me", store, TimerService(VirtualClock())
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(registration.run)
                await anyio.sleep(at_s)
                await registration.withdraw()
                await anyio.sleep(2 * WRITE_S)
                tasks.cancel_scope.cancel()
            self.assertNotIn(KEY, store.current)
            self.assertFalse(registration.is_registered)

        anyio.run(run)

    def test_entry_that_is_being_written_is_withdrawn(self) -> None:
        # Guards against callers that are sent to an ended daemon until its lease
        # expires: it was stopped while its entry was on its way to the store.
        self.check_withdrawal(0.5 * WRITE_S)
        self.check_withdrawal(1.5 * WRITE_S)

    def test_entry_whose_write_got_no_answer_is_withdrawn(self) -> None:
        # Guards against the same, where the store has the entry and nobody knows.
        self.check_withdrawal(2.5 * WRITE_S, is_answer_lost=True)

    def test_successful_calls_are_recorded(self) -> None:
        # Without these records, only a watch would reveal an outage, up to 25 s later.
        async def script(store: FakeStore, registration: Registration) -> None:
            self.assertEqual(self.success_count, 1)
            store.is_unavailable = True
            await anyio.sleep(1.2)
            self.assertEqual(self.success_count, 1)
            store.is_unavailable = False
            await anyio.sleep(0.6)
            self.assertEqual(self.success_count, 2)

        self.run_with(script)

    def test_entry_is_rewritten_after_outage(self) -> None:
        async def script(store: FakeStore, registration: Registration) -> None:
            store.is_unavailable = True
            store.expire_lease(next(iter(store.leases)))
            await anyio.sleep(1.1)
            store.is_unavailable = False
            await anyio.sleep(1.5)
            self.assertIn(KEY, store.current)

        self.run_with(script)


if __name__ == "__main__":
    unittest.main()
