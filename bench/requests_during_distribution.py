"""Measure the latency of requests while a version is distributed and loaded.

``python -m bench.requests_during_distribution``.  Runs the processes of the smaller
deployment under a constant load.  The window "before" is the baseline, without a
distribution; "transfer" lasts from the publication until the first engine has loaded
the version, and "switch" until 3 s after the last engine has.
"""

import random
import time
from dataclasses import dataclass
from typing import Any

import anyio

from stand_ins.caller import CallKind, Ending
from stand_ins.deployments import MARCOS_CENTRAL
from stand_ins.launcher import Launcher, launch
from stand_ins.load import LoadGenerator, LoadPlan
from stand_ins.operations import Operator
from stand_ins.processes import exit_on_signals
from stand_ins.promises import TrialRecords, compute_percentile

from .measuring import print_result

__all__ = ["main"]

WARM_UP_S = 10.0
BASELINE_S = 15.0
AFTER_SWITCH_S = 3.0
VERSION_BYTES = 24 * 1024 * 1024
CHUNK_BYTES = 256 * 1024
REPLICATION_TIMEOUT_S = 90.0
PLAN = LoadPlan(quotes_per_s=16.0, streams_per_s=8.0, orders_per_s=8.0)


@dataclass(frozen=True)
class Window:
    """A period of the run, in wall-clock seconds."""

    name: str
    started_at: float
    ended_at: float


class DistributionRun:
    """A run with two versions, the second of which is distributed under load."""

    def __init__(self, launcher: Launcher) -> None:
        self._launcher = launcher
        self._operator = Operator(launcher)
        self._records = TrialRecords()
        self._pool = launcher.deployment.pools[0]
        self._rng = random.Random(1)

    async def run(self) -> dict[str, Any]:
        """Run the load and the distributions, and return the result."""
        await self._operator.configure()
        await self._distribute(1)
        load = LoadGenerator(self._launcher, self._records, PLAN, seed=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load.run)
            await anyio.sleep(WARM_UP_S)
            started_at = time.time()
            await anyio.sleep(BASELINE_S)
            published_at = time.time()
            times_s = await self._distribute(2)
            wait_started_at = time.time() - max(times_s)
            await anyio.sleep(AFTER_SWITCH_S)
            load.stop()
        await load.aclose()
        await self._operator.aclose()
        first_at = wait_started_at + min(times_s)
        last_at = wait_started_at + max(times_s)
        windows = [
            Window("before", started_at, published_at),
            Window("transfer", published_at, first_at),
            Window("switch", first_at, last_at + AFTER_SWITCH_S),
        ]
        return {
            "bench": "requests_during_distribution",
            "version_bytes": VERSION_BYTES,
            "all_loaded_after_s": round(last_at - published_at, 2),
            "windows": {window.name: self._summarize(window) for window in windows},
        }

    async def _distribute(self, sequence: int) -> list[float]:
        model = self._pool.models[0]
        weights = self._rng.randbytes(VERSION_BYTES)
        publication = await self._operator.publish(
            model, f"v{sequence}", sequence, weights, CHUNK_BYTES
        )
        agents = self._launcher.agents_of(self._pool.name)
        loaded = await self._operator.wait_for_replicas(
            agents, model, publication.version.root_digest, REPLICATION_TIMEOUT_S
        )
        if len(loaded) < len(agents):
            raise TimeoutError(f"only {sorted(loaded)} loaded version {sequence}")
        return sorted(loaded.values())

    def _summarize(self, window: Window) -> dict[str, Any]:
        calls = [
            call
            for call in self._records.calls
            if window.started_at <= call.started_at < window.ended_at
        ]
        latencies_s = [
            call.latency_s
            for call in calls
            if call.ending is Ending.ANSWERED and call.kind is not CallKind.ORDER
        ]
        return {
            "seconds": round(window.ended_at - window.started_at, 2),
            "calls": len(calls),
            "p50_ms": round(1000 * compute_percentile(latencies_s, 0.5), 1),
            "p99_ms": round(1000 * compute_percentile(latencies_s, 0.99), 1),
            "not_answered": sum(1 for c in calls if c.ending is not Ending.ANSWERED),
            "problems": sum(1 for call in calls if call.problem),
        }


def main() -> None:
    """Run the measurement."""
    exit_on_signals()
    with launch(MARCOS_CENTRAL) as launcher:
        result = anyio.run(DistributionRun(launcher).run)
    print_result(result)


if __name__ == "__main__":
    main()
