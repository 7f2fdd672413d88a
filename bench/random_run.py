"""Inject random faults into a deployment of real processes, and check all promises.

``python -m bench.random_run --seed 1 --seconds 120``.  Prints the faults, the first
violation with its timeline, and one JSON object last; exits with 1 if a promise was
broken.  The same seed gives the same faults, but their timing relative to the
requests depends on the machine.
"""

import argparse
import random
import shutil
import sys
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import anyio

from reedspar.settings import TargetKind
from stand_ins.caller import Call, CallKind, Ending
from stand_ins.deployments import MARCOS_CENTRAL
from stand_ins.launcher import Launcher, LauncherOptions, launch
from stand_ins.load import LoadGenerator, LoadPlan
from stand_ins.operations import Operator, OperatorError
from stand_ins.processes import exit_on_signals
from stand_ins.promises import TrialRecords, Violation, compute_percentile
from stand_ins.reasons import describe_reasons

from .configuration_monitor import ConfigurationMonitor
from .fault_injector import FaultInjector
from .measuring import print_result

__all__ = ["main"]

VERSION_BYTES = 512 * 1024
CHUNK_BYTES = 64 * 1024
FIRST_LOAD_TIMEOUT_S = 40.0
PUBLISH_INTERVAL_S = 20.0
LAST_CALLS_TIMEOUT_S = 30.0
LEAVING_GRACE_S = 3.0
TIMELINE_BEFORE_S = 15.0
UNKNOWN_OUTCOME_STATUS = 504
ENGINE_ARGUMENTS = ("--cold-s", "3", "--cold-completions", "6", "--crash-limit", "6")


class RandomRun:
    """A run with faults under load."""

    def __init__(self, launcher: Launcher, arguments: argparse.Namespace) -> None:
        self._launcher = launcher
        self._arguments = arguments
        self._operator = Operator(launcher)
        self._records = TrialRecords()
        self._fault_injector = FaultInjector(launcher, self._operator, arguments.seed)
        self._monitor = ConfigurationMonitor(
            launcher, self._fault_injector.disturbed_at
        )
        pools = launcher.deployment.pools
        self._pool = next(p for p in pools if p.kind is TargetKind.MODEL_ENGINE)

    async def run(self) -> dict[str, Any]:
        """Run the load and the faults, and return the result."""
        await self._operator.configure()
        await self._publish(1)
        await self._operator.wait_for_replicas(
            self._launcher.agents_of(self._pool.name),
            self._pool.models[0],
            self._root_digest,
            FIRST_LOAD_TIMEOUT_S,
        )
        plan = LoadPlan()
        load = LoadGenerator(self._launcher, self._records, plan, self._arguments.seed)
        async with anyio.create_task_group() as background:
            background.start_soon(self._monitor.run)
            background.start_soon(self._publish_periodically)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(load.run)
                await self._fault_injector.run(self._arguments.seconds)
                load.stop()
                tasks.cancel_scope.deadline = (
                    anyio.current_time() + LAST_CALLS_TIMEOUT_S
                )
            background.cancel_scope.cancel()
        await load.aclose()
        await self._operator.aclose()
        await self._fault_injector.aclose()
        await self._records.read_targets(self._launcher)
        return self._evaluate()

    async def _publish(self, sequence: int) -> None:
        weights = random.Random(f"weights/{sequence}").randbytes(VERSION_BYTES)
        publication = await self._operator.publish(
            self._pool.models[0], f"v{sequence}", sequence, weights, CHUNK_BYTES
        )
        self._root_digest = publication.version.root_digest
        self._fault_injector.timeline.record(
            f"published v{sequence} {self._root_digest[:12]}"
        )

    async def _publish_periodically(self) -> None:
        sequence = 1
        while True:
            await anyio.sleep(PUBLISH_INTERVAL_S)
            try:
                await self._publish(sequence + 1)
                sequence += 1
            except OperatorError as error:
                self._fault_injector.timeline.record(f"publishing failed: {error}")

    def _evaluate(self) -> dict[str, Any]:
        for line in describe_reasons(self._records.calls):
            print(f"  {line}", flush=True)
        self._records.outages = self._fault_injector.outages
        self._records.stalled_paths = self._fault_injector.stalled_paths
        violations = [
            *self._records.check(),
            *self._check_stops(),
            *self._monitor.violations,
            *self._check_unexpected_exits(),
        ]
        violations.sort(key=lambda violation: violation.at)
        for violation in violations[:20]:
            print(
                f"BROKEN {violation.at:.3f} {violation.promise}: {violation.detail}",
                flush=True,
            )
        if violations:
            self._print_timeline(violations[0])
        return self._make_result(violations)

    def _check_stops(self) -> Iterable[Violation]:
        promise = "a planned stop cuts off no request in progress"
        for stop in self._fault_injector.stops:
            if stop.exit_code != 0:
                detail = f"{stop.daemon.name} exited with {stop.exit_code}"
                yield Violation(stop.ended_at, promise, detail)
            for call in self._records.calls:
                overlaps = (
                    call.started_at < stop.ended_at and call.ended_at > stop.started_at
                )
                is_cut = (
                    call.ending is Ending.CUT or call.status == UNKNOWN_OUTCOME_STATUS
                )
                if overlaps and is_cut:
                    detail = f"{stop.daemon.name}: {call.describe()}"
                    yield Violation(call.ended_at, promise, detail)
            yield from self._check_leaving(stop.daemon.name, stop.started_at)

    def _check_leaving(self, name: str, started_at: float) -> Iterable[Violation]:
        ended_at = next(
            s.ended_at for s in self._fault_injector.stops if s.started_at == started_at
        )
        for run in self._records.runs:
            late_s = run.started_at - started_at
            if run.target == name and late_s > LEAVING_GRACE_S:
                if run.started_at > ended_at:
                    continue
                promise = "a target that leaves gets no new work"
                detail = f"{name} ran {run.key} {late_s:.3f} s after SIGTERM"
                yield Violation(run.started_at, promise, detail)

    def _check_unexpected_exits(self) -> Iterable[Violation]:
        for process in self._launcher.processes.find_unexpected_exits():
            detail = f"{process.name}:\n{process.read_log_tail(3000)}"
            yield Violation(float("inf"), "no process dies by itself", detail)

    def _print_timeline(self, violation: Violation) -> None:
        until_at = min(violation.at, 1e12)
        print(
            f"time line of the {TIMELINE_BEFORE_S:g} s before the first violation:",
            flush=True,
        )
        for line in self._fault_injector.timeline.list_lines_between(
            until_at - TIMELINE_BEFORE_S, until_at
        ):
            print(f"  {line}", flush=True)
        for call in self._records.calls:
            if call.key and call.key in violation.detail:
                print(f"  {call.describe()}", flush=True)

    def _make_result(self, violations: list[Violation]) -> dict[str, Any]:
        calls = self._records.calls
        answered = [
            1000 * call.latency_s for call in calls if call.ending is Ending.ANSWERED
        ]
        return {
            "bench": "random_run",
            "seed": self._arguments.seed,
            "seconds": self._arguments.seconds,
            "requests": len(calls),
            "orders": len({c.key for c in calls if c.kind is CallKind.ORDER}),
            "endings": self._records.count_endings(),
            "endings_of_orders": count_endings(calls, CallKind.ORDER),
            "p50_ms": round(compute_percentile(answered, 0.5), 1),
            "p99_ms": round(compute_percentile(answered, 0.99), 1),
            "planned_stops": len(self._fault_injector.stops),
            "zone_outages": len(self._fault_injector.outages),
            "time_line_lines": len(self._fault_injector.timeline.lines),
            "engines": dict(self._records.engine_counts),
            "violations": len(violations),
            "violations_by_promise": dict(Counter(v.promise for v in violations)),
        }


def count_endings(calls: list[Call], kind: CallKind) -> dict[str, int]:
    """Return the number of calls of one kind by ending."""
    return dict(Counter(call.ending.value for call in calls if call.kind is kind))


def main() -> int:
    """Run with the given options and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--keep-logs", type=Path, help="Copy the logs to this folder.")
    arguments = parser.parse_args()
    exit_on_signals()
    options = LauncherOptions(
        targets_per_process=5,
        engine_arguments=ENGINE_ARGUMENTS,
        has_relays=True,
        key_value_arguments=("--reads-per-s", "2000", "--writes-per-s", "500"),
    )
    with launch(MARCOS_CENTRAL, options) as launcher:
        try:
            result = anyio.run(RandomRun(launcher, arguments).run)
        finally:
            if arguments.keep_logs is not None:
                shutil.copytree(
                    launcher.folder, arguments.keep_logs, dirs_exist_ok=True
                )
    print_result(result)
    return 1 if result["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
