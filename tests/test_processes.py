"""Tests with real processes: faults of daemons and the store while an order runs."""

import signal
import unittest
from contextlib import ExitStack

import anyio
import httpx

from reedspar.settings import TargetKind
from stand_ins.caller import Call, Caller, Ending
from stand_ins.deployments import Deployment, Pool, Zone
from stand_ins.launcher import Daemon, Launcher, launch
from stand_ins.operations import Operator

DEPLOYMENT = Deployment(
    "processes",
    (Zone("zone-a", "region-a"), Zone("zone-b", "region-b")),
    (Pool("deposits", TargetKind.PLAIN_SERVICE, 2),),
    entry_count=2,
)
ORDER_DURATION_S = 1.5
"""Long enough to inject a fault while the order runs."""
DEADLINE_S = 20.0
STEP_TIMEOUT_S = 30.0
BODY = b'{"deposit": 5}'


class ProcessesTest(unittest.TestCase):
    launcher: Launcher

    @classmethod
    def setUpClass(cls) -> None:
        stack = ExitStack()
        cls.addClassCleanup(stack.close)
        cls.launcher = stack.enter_context(launch(DEPLOYMENT))
        anyio.run(cls.prepare)

    @classmethod
    async def prepare(cls) -> None:
        operator = Operator(cls.launcher)
        await operator.configure()
        await operator.aclose()
        for agent in cls.launcher.agents:
            settings = {"latency_s": ORDER_DURATION_S}
            url = f"{agent.target_url}/control/settings"
            httpx.put(url, json=settings).raise_for_status()
        # A probe order is answered once the entry may start work and knows a target.
        for entry in cls.launcher.entries:
            await cls.wait_answered(entry)

    @classmethod
    async def wait_answered(cls, entry: Daemon) -> None:
        with anyio.fail_after(STEP_TIMEOUT_S):
            while (await cls.order(entry, "probe")).ending is not Ending.ANSWERED:
                await anyio.sleep(0.2)

    @classmethod
    async def order(
        cls, entry: Daemon, key: str, deadline_s: float = DEADLINE_S
    ) -> Call:
        caller = Caller([entry.http_url], "workspace-0", 1, deadline_s)
        try:
            return await caller.order("deposits", key, BODY, has_key=True)
        finally:
            await caller.aclose()

    def count_runs(self, key: str) -> int:
        counts = []
        for agent in self.launcher.agents:
            runs = httpx.get(f"{agent.target_url}/control/runs").json()
            counts.append(runs.get(key, {}).get("count", 0))
        return sum(counts)

    async def wait_running(self, key: str) -> Daemon:
        """Wait until a target runs the order and return its agent."""
        with anyio.fail_after(STEP_TIMEOUT_S):
            while True:
                for agent in self.launcher.agents:
                    runs = httpx.get(f"{agent.target_url}/control/runs").json()
                    if key in runs:
                        return agent
                await anyio.sleep(0.05)

    async def place(self, key: str, fault) -> Call:
        """Place an order at the first entry and inject a fault while it runs."""
        calls: list[Call] = []

        async def place_order() -> None:
            calls.append(await self.order(self.launcher.entries[0], key))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(place_order)
            agent = await self.wait_running(key)
            await fault(agent)
        return calls[0]

    def test_retry_after_kill_of_entry_does_not_run_again(self) -> None:
        # The entry is killed while the order runs, which breaks the caller's
        # connection.  The caller retries twice with the same key at another entry.
        # It may get "unknown", but the order must run only once.
        entry, other = self.launcher.entries

        async def kill_entry(agent: Daemon) -> None:
            self.launcher.processes.kill(entry.name)

        async def scenario() -> None:
            first = await self.place("kill-entry", kill_entry)
            self.assertIsNot(first.ending, Ending.ANSWERED)
            for _ in range(2):
                call = await self.order(other, "kill-entry", deadline_s=2.0)
                self.assertEqual(call.problem, "")
                self.assertIsNot(call.ending, Ending.NOT_RUN)
            self.launcher.processes.restart(entry.name)
            await self.wait_answered(entry)

        anyio.run(scenario)
        self.assertEqual(self.count_runs("kill-entry"), 1)

    def test_frozen_agent_delivers_the_answer_after_it_resumes(self) -> None:
        # SIGSTOP pauses the agent while its target works, as a pause of its machine
        # does.  After SIGCONT the caller gets the answer of the only run.
        async def pause(agent: Daemon) -> None:
            self.launcher.processes.kill(agent.name, signal.SIGSTOP)
            await anyio.sleep(4.0)
            self.launcher.processes.kill(agent.name, signal.SIGCONT)

        async def scenario() -> None:
            call = await self.place("freeze-agent", pause)
            self.assertIs(call.ending, Ending.ANSWERED, call.describe())
            self.assertEqual(call.problem, "")

        anyio.run(scenario)
        self.assertEqual(self.count_runs("freeze-agent"), 1)

    def test_kill_of_the_agent_never_runs_the_order_again(self) -> None:
        # The agent is killed while its target works, so the outcome of the order is
        # unknown.  It must neither run elsewhere nor be reported as "not run".
        async def kill_agent(agent: Daemon) -> None:
            self.launcher.processes.kill(agent.name)
            await anyio.sleep(0.5)
            self.launcher.processes.restart(agent.name)

        async def scenario() -> None:
            call = await self.place("kill-agent", kill_agent)
            self.assertIs(call.ending, Ending.UNKNOWN, call.describe())
            again = await self.order(
                self.launcher.entries[1], "kill-agent", deadline_s=2.0
            )
            self.assertIs(again.ending, Ending.UNKNOWN, again.describe())

        anyio.run(scenario)
        self.assertEqual(self.count_runs("kill-agent"), 1)

    def test_planned_stop_of_agent_completes_its_order(self) -> None:
        # The agent gets SIGTERM while its target works, and again 0.3 s later, as
        # some supervisors do.  It must not exit before the caller has its answer.
        async def stop(agent: Daemon) -> None:
            processes = self.launcher.processes
            processes.kill(agent.name, signal.SIGTERM)
            await anyio.sleep(0.3)
            code = await anyio.to_thread.run_sync(
                processes.stop, agent.name, STEP_TIMEOUT_S
            )
            self.assertEqual(code, 0)
            processes.restart(agent.name)

        async def scenario() -> None:
            call = await self.place("stop-agent", stop)
            self.assertIs(call.ending, Ending.ANSWERED, call.describe())

        anyio.run(scenario)
        self.assertEqual(self.count_runs("stop-agent"), 1)

    def test_outage_of_the_key_value_service_refuses_new_orders_only(self) -> None:
        # Without the service no claim can be written: the order must not run, and
        # the caller must be told so.  Requests that need no claim are still served.
        entry = self.launcher.entries[1]
        faults = f"{self.launcher.key_value_url}/control/faults"

        async def scenario() -> None:
            httpx.put(faults, json={"outage": True}).raise_for_status()
            call = await self.order(entry, "outage")
            self.assertIs(call.ending, Ending.NOT_RUN, call.describe())
            caller = Caller([entry.http_url], "workspace-0", 1, DEADLINE_S)
            status = await caller.read_status("deposits", "probe")
            self.assertIs(status.ending, Ending.ANSWERED, status.describe())
            await caller.aclose()
            httpx.put(faults, json={}).raise_for_status()

        anyio.run(scenario)
        self.assertEqual(self.count_runs("outage"), 0)


if __name__ == "__main__":
    unittest.main()
