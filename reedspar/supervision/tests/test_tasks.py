"""Tests of tasks whose errors are contained, and of reports of such errors."""

import unittest

import anyio

from reedspar.requests.tests.virtual_time import run_virtual
from reedspar.supervision import (
    ContainedTasks,
    UnexpectedErrors,
    install_unexpected_errors,
    read_error_counts,
    report_unexpected_error,
    run_restarting,
)


async def fail(subject: str) -> None:
    raise OverflowError(subject)


async def fail_in_group(subject: str) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fail, subject)


class ContainmentTest(unittest.TestCase):
    def setUp(self) -> None:
        self.errors = UnexpectedErrors()
        before = install_unexpected_errors(self.errors)
        self.addCleanup(install_unexpected_errors, before)

    def test_task_that_raises_does_not_end_the_others(self) -> None:
        # Guards against an error about one peer or target that ends the daemon.
        done = []

        async def work() -> None:
            await anyio.sleep(1)
            done.append("work")

        async def run() -> None:
            async with anyio.create_task_group() as group:
                tasks = ContainedTasks(group)
                tasks.start_soon(work)
                tasks.start_soon(fail, "target-1")
                tasks.start_soon(fail_in_group, "target-1")

        with self.assertLogs("reedspar.supervision", "ERROR") as logs:
            run_virtual(run)
        self.assertEqual(done, ["work"])
        self.assertEqual(self.errors.counts, {"fail": 1, "fail_in_group": 1})
        self.assertEqual(logs.records[0].subject, "target-1")

    def test_cancellation_is_no_error(self) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as group:
                ContainedTasks(group).start_soon(anyio.sleep_forever)
                await anyio.sleep(1)
                group.cancel_scope.cancel()

        run_virtual(run)
        self.assertEqual(self.errors.counts, {})

    def test_service_is_run_again_after_an_error(self) -> None:
        # Guards against a daemon that stays without one of its services.
        runs = []

        async def serve() -> None:
            runs.append(len(runs))
            if len(runs) < 4:
                raise KeyError(len(runs))

        with self.assertLogs("reedspar.supervision", "ERROR") as logs:
            run_virtual(lambda: run_restarting(serve))
        self.assertEqual(len(runs), 4)
        self.assertEqual(list(self.errors.counts.values()), [3])
        self.assertEqual(len(logs.records), 1)

    def test_counts_are_readings_by_task(self) -> None:
        with self.assertLogs("reedspar.supervision", "ERROR"):
            for _ in range(2):
                report_unexpected_error("link", ValueError("frame"), "entry-2")
        self.assertEqual(read_error_counts(), [(2, {"task": "link"})])

    def test_fatal_reports_raise(self) -> None:
        install_unexpected_errors(UnexpectedErrors(is_fatal=True))
        with self.assertRaises(ValueError):
            report_unexpected_error("link", ValueError("frame"))


if __name__ == "__main__":
    unittest.main()
