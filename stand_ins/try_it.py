"""Demonstrate a small deployment in less than a minute.

Starts nine entries and nine agents in three zones.  Exits with 1 if a promise was
broken.  Stops all processes and deletes their files at the end.
"""

import argparse
import logging
import random
import sys
import time

import anyio
import httpx

from reedspar.settings import TargetKind

from .caller import Call, CallKind, Ending
from .deployments import MARCOS_CENTRAL
from .launcher import Launcher, LauncherOptions, launch
from .load import LoadGenerator, LoadPlan
from .operations import Operator, OperatorError
from .processes import StartError, exit_on_signals
from .promises import TrialRecords, ZoneOutage, compute_percentile
from .reasons import describe_reasons

__all__ = ["main"]

VERSION_BYTES = 2 * 1024 * 1024
CHUNK_BYTES = 256 * 1024
ORIGIN_BYTES_PER_S = 8_000_000
STEP_TIMEOUT_S = 15.0
LOAD_BEFORE_OUTAGE_S = 2.0
ZONE_OUTAGE_S = 6.0
LOAD_AFTER_PUBLICATION_S = 3.0
LAST_CALLS_TIMEOUT_S = 12.0
SEED = 1


class Demonstration:
    """One run of the demonstration and its records."""

    def __init__(self, launcher: Launcher) -> None:
        self._launcher = launcher
        self._operator = Operator(launcher)
        self._records = TrialRecords()
        self._start_s = time.monotonic()
        pools = launcher.deployment.pools
        self._pool = next(p for p in pools if p.kind is TargetKind.MODEL_ENGINE)
        self._model = self._pool.models[0]
        self._is_complete = True

    async def run(self) -> int:
        """Run all steps and return the exit code."""
        try:
            with anyio.fail_after(STEP_TIMEOUT_S):
                accepted = await self._operator.configure()
            self._print(f"configuration {accepted.version} accepted")
            await self._publish("v1", 1)
            await self._run_load()
        finally:
            await self._operator.aclose()
        await self._records.read_targets(self._launcher)
        return self._conclude()

    async def _run_load(self) -> None:
        """Run a load while a zone leaves and returns and a version is published."""
        load = LoadGenerator(self._launcher, self._records, LoadPlan(), SEED)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load.run)
            try:
                await anyio.sleep(LOAD_BEFORE_OUTAGE_S)
                await self._take_zone_out_and_in()
                await self._publish("v2", 2)
                await anyio.sleep(LOAD_AFTER_PUBLICATION_S)
            finally:
                load.stop()
                tasks.cancel_scope.deadline = (
                    anyio.current_time() + LAST_CALLS_TIMEOUT_S
                )
        await load.aclose()

    async def _take_zone_out_and_in(self) -> None:
        zone = self._launcher.deployment.zones[1].name
        accepted = await self._operator.set_zone(zone, "out")
        outage = ZoneOutage(zone, accepted.at)
        self._records.outages.append(outage)
        self._print(f"zone {zone} taken out by configuration {accepted.version}")
        await anyio.sleep(ZONE_OUTAGE_S)
        outage.ended_at = time.time()
        accepted = await self._operator.set_zone(zone, "in")
        self._print(f"zone {zone} back in by configuration {accepted.version}")

    async def _publish(self, label: str, sequence: int) -> None:
        weights = random.Random(f"{SEED}/{label}").randbytes(VERSION_BYTES)
        before = await self._read_origin_bytes()
        publication = await self._operator.publish(
            self._model, label, sequence, weights, CHUNK_BYTES
        )
        agents = self._launcher.agents_of(self._pool.name)
        loaded = await self._operator.wait_for_replicas(
            agents, self._model, publication.version.root_digest, STEP_TIMEOUT_S
        )
        origin_bytes = await self._read_origin_bytes() - before
        times = sorted(loaded.values())
        shown = ", ".join(f"{t:.2f}" for t in times)
        self._print(
            f"version {label} ({VERSION_BYTES} bytes) loaded by {len(times)} of "
            f"{len(agents)} targets after [{shown}] s; origin bytes {origin_bytes} "
            f"({origin_bytes / VERSION_BYTES:.2f} copies)"
        )
        if len(times) < len(agents):
            self._print(
                f"LATE {label} did not reach every target in {STEP_TIMEOUT_S} s"
            )
            self._is_complete = False

    async def _read_origin_bytes(self) -> int:
        url = f"{self._launcher.origin_url}/control/counts"
        async with httpx.AsyncClient(trust_env=False, verify=False) as client:
            return int((await client.get(url)).json()["bytes_served"])

    def _conclude(self) -> int:
        calls = self._records.calls
        for kind in CallKind:
            self._print(describe_calls(kind, [c for c in calls if c.kind is kind]))
        for line in describe_reasons(calls):
            self._print(f"  {line}")
        violations = self._records.check()
        rerun_orders = sum("at most once" in v.promise for v in violations)
        self._print(f"orders that ran twice: {rerun_orders}")
        for violation in violations[:10]:
            self._print(f"BROKEN {violation.promise}: {violation.detail}")
        for process in self._launcher.processes.find_unexpected_exits():
            self._print(f"DIED {process.name}:\n{process.read_log_tail()}")
            self._is_complete = False
        is_successful = not violations and self._is_complete and bool(calls)
        self._print("all promises were kept" if is_successful else "FAILED, see above")
        return 0 if is_successful else 1

    def _print(self, text: str) -> None:
        print(f"{time.monotonic() - self._start_s:6.2f} s  {text}", flush=True)


def describe_calls(kind: CallKind, calls: list[Call]) -> str:
    """Return counts by ending, and latency percentiles of answered calls."""
    answered = [call for call in calls if call.ending is Ending.ANSWERED]
    endings = ", ".join(
        f"{ending.value} {sum(call.ending is ending for call in calls)}"
        for ending in Ending
    )
    latencies_ms = [1000 * call.latency_s for call in answered]
    p50_ms = compute_percentile(latencies_ms, 0.5)
    p99_ms = compute_percentile(latencies_ms, 0.99)
    return f"{kind.value}: {endings}; p50 {p50_ms:.1f} ms, p99 {p99_ms:.1f} ms"


def main() -> int:
    """Run the demonstration and return the exit code."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    exit_on_signals()
    logging.basicConfig(level=logging.WARNING)
    options = LauncherOptions(
        targets_per_process=5,
        origin_arguments=("--bytes-per-s", str(ORIGIN_BYTES_PER_S)),
        engine_arguments=("--cold-s", "2.0"),
    )
    start_s = time.monotonic()
    print(f"starting {MARCOS_CENTRAL.name}", flush=True)
    try:
        with launch(MARCOS_CENTRAL, options) as launcher:
            count = len(launcher.processes.names)
            took_s = time.monotonic() - start_s
            print(f"{count} processes ready after {took_s:.2f} s", flush=True)
            code = anyio.run(Demonstration(launcher).run)
            killed = launcher.close()
            print(
                f"processes killed because they did not stop: {killed or 'none'}",
                flush=True,
            )
    except (StartError, OperatorError, TimeoutError) as error:
        print(f"failed: {error}", flush=True)
        code = 1
    print(f"all stopped after {time.monotonic() - start_s:.2f} s", flush=True)
    return code


if __name__ == "__main__":
    sys.exit(main())
