"""Measure the service per second while an availability zone is taken out and returned.

``python -m bench.zone_outage [--seconds 36] [--plot FILE]``.  Runs the processes of
the smaller deployment under a constant load.  The zone is taken out after a third of
the time and returned after two thirds; the first third is the baseline.
"""

import argparse
import math
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import anyio

from stand_ins.caller import Call, Ending
from stand_ins.deployments import MARCOS_CENTRAL
from stand_ins.launcher import Launcher, launch
from stand_ins.load import LoadGenerator, LoadPlan
from stand_ins.operations import Operator
from stand_ins.processes import exit_on_signals
from stand_ins.promises import TrialRecords, ZoneOutage, compute_percentile

from .measuring import print_result
from .zone_outage_plot import TimeMarker, render_plot

__all__ = ["main"]

WARM_UP_S = 8.0
VERSION_BYTES = 512 * 1024
LOAD_TIMEOUT_S = 40.0
ZONE_OUT_LIMIT_S = 3.0
"""Time after the zone is taken out from which new work in it counts as late."""
PLAN = LoadPlan(quotes_per_s=20.0, streams_per_s=6.0, orders_per_s=10.0)


@dataclass(frozen=True)
class SecondCounts:
    """Calls that ended within one second."""

    at_s: int
    goodput: int
    refused: int
    unknown: int
    cut: int
    p99_ms: float
    zone_starts: int
    """Number of runs that started at targets of the zone."""


class ZoneOutageRun:
    """A run in which one zone is taken out and returned."""

    def __init__(self, launcher: Launcher, seconds: float) -> None:
        self._launcher = launcher
        self._seconds = seconds
        self._zone = launcher.deployment.zones[1].name
        self._operator = Operator(launcher)
        self._records = TrialRecords()
        self._started_at = 0.0

    async def run(self) -> dict[str, Any]:
        """Run the load and the outage, and return the result."""
        await self._prepare()
        load = LoadGenerator(self._launcher, self._records, PLAN, seed=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load.run)
            outage = await self._run_outage()
            load.stop()
        await load.aclose()
        await self._records.read_targets(self._launcher)
        await self._operator.aclose()
        return self._summarize(outage)

    async def _prepare(self) -> None:
        await self._operator.configure()
        pool = self._launcher.deployment.pools[0]
        model = pool.models[0]
        publication = await self._operator.publish(
            model, "v1", 1, bytes(VERSION_BYTES), VERSION_BYTES // 8
        )
        agents = self._launcher.agents_of(pool.name)
        loaded = await self._operator.wait_for_replicas(
            agents, model, publication.version.root_digest, LOAD_TIMEOUT_S
        )
        if len(loaded) < len(agents):
            raise TimeoutError(f"only {sorted(loaded)} loaded the version")

    async def _run_outage(self) -> ZoneOutage:
        await anyio.sleep(WARM_UP_S + self._seconds / 3)
        accepted = await self._operator.set_zone(self._zone, "out")
        outage = ZoneOutage(self._zone, accepted.at)
        self._started_at = accepted.at - self._seconds / 3
        await anyio.sleep(self._seconds / 3)
        accepted = await self._operator.set_zone(self._zone, "in")
        outage.ended_at = accepted.at
        await anyio.sleep(self._seconds / 3)
        return outage

    def _summarize(self, outage: ZoneOutage) -> dict[str, Any]:
        seconds = [self._count_second(i) for i in range(math.floor(self._seconds))]
        third = len(seconds) // 3
        late_starts = sum(
            1
            for run in self._records.runs
            if run.zone == self._zone
            and outage.accepted_at + ZONE_OUT_LIMIT_S < run.started_at < outage.ended_at
        )
        return {
            "bench": "zone_outage",
            "zone": self._zone,
            "before": _summarize_seconds(seconds[:third]),
            "out": _summarize_seconds(seconds[third : 2 * third]),
            "back": _summarize_seconds(seconds[2 * third :]),
            "new_work_after_3_s": late_starts,
            "cut": sum(1 for c in self._records.calls if c.ending is Ending.CUT),
            "problems": sum(1 for c in self._records.calls if c.problem),
            "seconds": [asdict(second) for second in seconds],
        }

    def _count_second(self, i: int) -> SecondCounts:
        begins_at = self._started_at + i
        calls = [
            c for c in self._records.calls if begins_at <= c.ended_at < begins_at + 1
        ]
        answered = [c for c in calls if c.ending is Ending.ANSWERED]
        starts = [
            run
            for run in self._records.runs
            if run.zone == self._zone and begins_at <= run.started_at < begins_at + 1
        ]
        return SecondCounts(
            i,
            len(answered),
            _count_endings(calls, Ending.NOT_RUN),
            _count_endings(calls, Ending.UNKNOWN),
            _count_endings(calls, Ending.CUT),
            _compute_p99_ms(answered),
            len(starts),
        )


def _count_endings(calls: list[Call], ending: Ending) -> int:
    return sum(1 for call in calls if call.ending is ending)


def _compute_p99_ms(calls: list[Call]) -> float:
    if not calls:
        return 0.0
    return round(1000 * compute_percentile([c.latency_s for c in calls], 0.99), 1)


def _summarize_seconds(seconds: list[SecondCounts]) -> dict[str, float]:
    return {
        "goodput_per_s": round(sum(s.goodput for s in seconds) / len(seconds), 1),
        "refused": sum(s.refused for s in seconds),
        "unknown": sum(s.unknown for s in seconds),
        "worst_p99_ms": max(s.p99_ms for s in seconds),
    }


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=36.0)
    parser.add_argument("--plot", type=Path, default=Path("out/zone_outage.svg"))
    arguments = parser.parse_args()
    exit_on_signals()
    with launch(MARCOS_CENTRAL) as launcher:
        result = anyio.run(ZoneOutageRun(launcher, arguments.seconds).run)
    for second in result["seconds"]:
        print(second)
    third = arguments.seconds / 3
    markers = [TimeMarker(third, "zone out"), TimeMarker(2 * third, "zone back")]
    arguments.plot.parent.mkdir(parents=True, exist_ok=True)
    arguments.plot.write_text(render_plot(result["seconds"], markers))
    print(f"plot: {arguments.plot}")
    print_result(result)


if __name__ == "__main__":
    main()
