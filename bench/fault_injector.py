"""Inject random faults into a running deployment, and end each of them again."""

import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import httpx

from reedspar.platform import InstanceState
from reedspar.settings import TargetKind
from stand_ins.launcher import Daemon, Launcher
from stand_ins.operations import Operator, OperatorError
from stand_ins.processes import StartError
from stand_ins.promises import StalledPath, ZoneOutage

__all__ = ["FaultInjector", "FaultTimeline", "PlannedStop"]

FAULT_FREE_TIME_BEFORE_STOP_S = 4.0
"""Time without faults before a planned stop, so that only the stop can cut requests."""
STOP_TIMEOUT_S = 45.0
READY_TIMEOUT_S = 20.0
ZONE_RETURN_ATTEMPTS = 60
PLANNED_STOP_PROBABILITY = 0.04
FAULT_INTERVAL_S = (0.3, 2.0)
"""Shortest and longest time between the starts of two faults."""


@dataclass
class FaultTimeline:
    """Injected faults and operations on the deployment, with their times."""

    lines: list[tuple[float, str]] = field(default_factory=list)

    def record(self, text: str) -> None:
        """Record and print a line with the current time."""
        self.lines.append((time.time(), text))
        print(f"{time.time():.3f} {text}", flush=True)

    def list_lines_between(self, from_at: float, until_at: float) -> list[str]:
        """Return the lines of a period."""
        return [f"{at:.3f} {t}" for at, t in self.lines if from_at <= at <= until_at]


@dataclass
class PlannedStop:
    """A graceful stop in a period without faults."""

    daemon: Daemon
    started_at: float
    ended_at: float
    exit_code: int | None


class FaultInjector:
    """Injects faults that a seeded random generator chooses."""

    def __init__(self, launcher: Launcher, operator: Operator, seed: int) -> None:
        self._launcher = launcher
        self._operator = operator
        self._rng = random.Random(seed)
        self._client = httpx.AsyncClient(trust_env=False, verify=False, timeout=5.0)
        self._disturbed: set[str] = set()
        self._active_faults = 0
        self._last_fault_end_s = 0.0
        self._is_closing = False
        self.timeline = FaultTimeline()
        self.stalled_paths: list[StalledPath] = []
        self.outages: list[ZoneOutage] = []
        self.stops: list[PlannedStop] = []
        self.disturbed_at: dict[str, float] = {}
        """When each daemon was last killed, paused or started, by name."""
        pools = {p.name: p.kind for p in launcher.deployment.pools}
        self._engines = [
            a
            for a in launcher.agents
            if pools[a.record.pool] is TargetKind.MODEL_ENGINE
        ]
        self._services = [
            a
            for a in launcher.agents
            if pools[a.record.pool] is TargetKind.PLAIN_SERVICE
        ]

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def run(self, seconds: float) -> None:
        """Start faults at random intervals; return once all have ended."""
        faults: list[tuple[int, Callable[[], Awaitable[None]]]] = [
            (3, self._kill_entry),
            (3, self._kill_agent),
            (3, self._pause_entry),
            (3, self._pause_agent),
            (3, self._crash_engine),
            (3, self._turn_engine_cold),
            (2, self._freeze_engine),
            (2, self._crash_service),
            (3, self._disturb_key_value),
            (1, self._disturb_origin),
            (3, self._take_zone_out),
            (4, self._disturb_path),
        ]
        weights = [weight for weight, _ in faults]
        until_s = anyio.current_time() + seconds
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < until_s:
                if self._rng.random() < PLANNED_STOP_PROBABILITY:
                    await self._stop_gracefully()
                else:
                    fault = self._rng.choices(faults, weights)[0][1]
                    tasks.start_soon(self._inject, fault)
                await anyio.sleep(self._rng.uniform(*FAULT_INTERVAL_S))
            self._is_closing = True

    async def _inject(self, fault: Callable[[], Awaitable[None]]) -> None:
        self._active_faults += 1
        try:
            await fault()
        except (httpx.HTTPError, OperatorError, StartError) as error:
            self.timeline.record(f"{fault.__name__}: {error!r}")
        finally:
            self._active_faults -= 1
            self._last_fault_end_s = anyio.current_time()

    def _reserve_daemon(self, daemons: list[Daemon]) -> Daemon | None:
        """Reserve and return a daemon without a fault, or None if there is none."""
        free = [daemon for daemon in daemons if daemon.name not in self._disturbed]
        if not free:
            return None
        daemon = self._rng.choice(free)
        self._disturbed.add(daemon.name)
        return daemon

    def _release_daemon(self, daemon: Daemon) -> None:
        self.disturbed_at[daemon.name] = time.time()
        self._disturbed.discard(daemon.name)

    async def _kill_entry(self) -> None:
        await self._kill(self._reserve_daemon(self._launcher.entries))

    async def _kill_agent(self) -> None:
        await self._kill(self._reserve_daemon(self._launcher.agents))

    async def _kill(self, daemon: Daemon | None) -> None:
        if daemon is None:
            return
        self.disturbed_at[daemon.name] = time.time()
        self.timeline.record(f"SIGKILL {daemon.name}")
        self._launcher.processes[daemon.name].should_run = False
        self._launcher.processes.kill(daemon.name)
        await anyio.sleep(self._rng.uniform(0.2, 3.0))
        await self._restart(daemon)

    async def _restart(self, daemon: Daemon) -> None:
        self.timeline.record(f"start {daemon.name}")
        self._launcher.processes.restart(daemon.name)
        self._release_daemon(daemon)

    async def _pause_entry(self) -> None:
        await self._pause(self._reserve_daemon(self._launcher.entries))

    async def _pause_agent(self) -> None:
        await self._pause(self._reserve_daemon(self._launcher.agents))

    async def _pause(self, daemon: Daemon | None) -> None:
        if daemon is None:
            return
        self.disturbed_at[daemon.name] = time.time()
        pause_s = self._rng.uniform(0.5, 8.0)
        self.timeline.record(f"SIGSTOP {daemon.name} for {pause_s:.2f} s")
        self._launcher.processes.kill(daemon.name, signal.SIGSTOP)
        await anyio.sleep(pause_s)
        self._launcher.processes.kill(daemon.name, signal.SIGCONT)
        self.timeline.record(f"SIGCONT {daemon.name}")
        self._release_daemon(daemon)

    async def _crash_engine(self) -> None:
        agent = self._rng.choice(self._engines)
        self.timeline.record(f"crash the engine of {agent.name}")
        await self._client.post(f"{agent.target_url}/control/crash")

    async def _turn_engine_cold(self) -> None:
        agent = self._rng.choice(self._engines)
        self.timeline.record(f"the engine of {agent.name} turns cold")
        await self._client.post(f"{agent.target_url}/control/cold")

    async def _freeze_engine(self) -> None:
        agent = self._rng.choice(self._engines)
        url = f"{agent.target_url}/control/settings"
        kind = self._rng.choice(["frozen", "silent"])
        self.timeline.record(f"the engine of {agent.name} is {kind}")
        await self._client.put(url, json={kind: True})
        await anyio.sleep(self._rng.uniform(0.5, 5.0))
        await self._client.put(url, json={})
        self.timeline.record(f"the engine of {agent.name} resumes")

    async def _crash_service(self) -> None:
        agent = self._rng.choice(self._services)
        self.timeline.record(f"the service of {agent.name} crashes after its next run")
        url = f"{agent.target_url}/control/settings"
        await self._client.put(url, json={"crash_next": 1})

    async def _disturb_key_value(self) -> None:
        kinds: list[dict[str, object]] = [
            {"outage": True},
            {"slow_s": 0.5},
            {"slow_s": 3.0},
            {"lost_answer_share": 0.5},
            {"stale_read_share": 0.5},
        ]
        await self._disturb_service("key-value", self._launcher.key_value_url, kinds)

    async def _disturb_origin(self) -> None:
        kinds: list[dict[str, object]] = [
            {"outage": True},
            {"slow_s": 1.0},
            {"corrupt_share": 0.5},
        ]
        await self._disturb_service("origin", self._launcher.origin_url, kinds)

    async def _disturb_service(
        self, name: str, url: str, kinds: list[dict[str, object]]
    ) -> None:
        if name in self._disturbed:
            return
        self._disturbed.add(name)
        faults = self._rng.choice(kinds)
        self.timeline.record(f"{name}: {faults}")
        await self._client.put(f"{url}/control/faults", json=faults)
        await anyio.sleep(self._rng.uniform(1.0, 8.0))
        await self._client.put(f"{url}/control/faults", json={})
        self.timeline.record(f"{name}: no faults")
        self._disturbed.discard(name)

    async def _disturb_path(self) -> None:
        """Cut, delay or silence the path to a target or to the key-value service."""
        name, url = self._rng.choice(self._list_paths())
        if f"path {name}" in self._disturbed:
            return
        self._disturbed.add(f"path {name}")
        control_url = self._launcher.relay_urls[url]
        kind = self._rng.choice(["cut", "slow", "silent", "silent for open ones"])
        self.timeline.record(f"path to {name}: {kind}")
        if kind == "cut":
            await self._client.post(f"{control_url}/control/cut")
        else:
            rule = {"delay_s": 0.2} if kind == "slow" else {"silent": True}
            rules = {"to_server": rule, "to_client": rule}
            only_open = kind == "silent for open ones"
            started_at = time.time()
            body = {**rules, "only_open": only_open}
            await self._client.put(f"{control_url}/control/rules", json=body)
            await anyio.sleep(self._rng.uniform(1.0, 6.0))
            await self._client.put(f"{control_url}/control/rules", json={})
            self.stalled_paths.append(StalledPath(name, started_at, time.time()))
            self.timeline.record(f"path to {name}: clear")
        self._disturbed.discard(f"path {name}")

    def _list_paths(self) -> list[tuple[str, str]]:
        launcher = self._launcher
        paths = [(agent.name, agent.target_url) for agent in launcher.agents]
        return [*paths, ("key-value", launcher.key_value_url)]

    async def _take_zone_out(self) -> None:
        if "zone" in self._disturbed:
            return
        self._disturbed.add("zone")
        zone = self._rng.choice(self._launcher.deployment.zones).name
        try:
            accepted = await self._operator.set_zone(zone, "out")
            outage = ZoneOutage(zone, accepted.at)
            self.outages.append(outage)
            self.timeline.record(f"zone {zone} taken out by version {accepted.version}")
            await anyio.sleep(self._rng.uniform(4.0, 9.0))
            outage.ended_at = time.time()
        finally:
            await self._return_zone(zone)
            self._disturbed.discard("zone")

    async def _return_zone(self, zone: str) -> None:
        for _ in range(ZONE_RETURN_ATTEMPTS):
            try:
                accepted = await self._operator.set_zone(zone, "in")
            except OperatorError:
                await anyio.sleep(0.5)
                continue
            self.timeline.record(f"zone {zone} returned by version {accepted.version}")
            return
        self.timeline.record(f"zone {zone} could not be returned")

    async def _stop_gracefully(self) -> None:
        """Stop a daemon gracefully after a period without faults."""
        while (
            self._active_faults
            or anyio.current_time() - self._last_fault_end_s
            < FAULT_FREE_TIME_BEFORE_STOP_S
        ):
            await anyio.sleep(0.1)
        daemon = self._reserve_daemon(self._launcher.daemons)
        if daemon is None:
            return
        self.disturbed_at[daemon.name] = time.time()
        self.timeline.record(f"SIGTERM {daemon.name}")
        started_at = time.time()
        process = self._launcher.processes[daemon.name]
        process.should_run = False
        self._launcher.set_instance(daemon, InstanceState.LEAVING)
        self._launcher.processes.kill(daemon.name, signal.SIGTERM)
        with anyio.move_on_after(STOP_TIMEOUT_S):
            while process.is_running:
                await anyio.sleep(0.02)
        code = process.popen.poll()
        self.stops.append(PlannedStop(daemon, started_at, time.time(), code))
        took_s = time.time() - started_at
        self.timeline.record(f"{daemon.name} exited with {code} after {took_s:.2f} s")
        await anyio.sleep(1.0)
        await self._restart(daemon)
        self._launcher.set_instance(daemon, InstanceState.LIVE)
        self._last_fault_end_s = anyio.current_time()
