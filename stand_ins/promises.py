"""Check the system's promises against the records of callers and targets.

A promise is a guarantee that the system gives to callers or operators.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import httpx

from reedspar.settings import TargetKind

from .caller import Call, CallKind, Ending
from .launcher import Daemon, Launcher

__all__ = [
    "StalledPath",
    "TargetRun",
    "TrialRecords",
    "Violation",
    "ZoneOutage",
    "compute_percentile",
]

ZONE_OUT_DEADLINE_S = 3.0
"""Time after a zone's removal is accepted from which it may get no new work."""
STALL_RELEASE_MARGIN_S = 0.5
"""Time for a path to deliver its delayed bytes once it is no longer silent."""


@dataclass(frozen=True)
class Violation:
    """A broken promise, with its time and details."""

    at: float
    promise: str
    detail: str


@dataclass
class ZoneOutage:
    """A period in which a zone was out; ends when its return is requested."""

    zone: str
    accepted_at: float
    ended_at: float = math.inf


@dataclass(frozen=True)
class StalledPath:
    """A period in which a relay forwarded nothing to a target."""

    target: str
    started_at: float
    ended_at: float


@dataclass(frozen=True)
class TargetRun:
    """One run, as recorded by the target itself."""

    target: str
    zone: str
    kind: TargetKind
    key: str
    started_at: float
    method: str = ""


@dataclass
class TrialRecords:
    """Records of calls and target runs, and checks that they agree."""

    calls: list[Call] = field(default_factory=list)
    outages: list[ZoneOutage] = field(default_factory=list)
    stalled_paths: list[StalledPath] = field(default_factory=list)
    runs: list[TargetRun] = field(default_factory=list)
    engine_counts: Counter[str] = field(default_factory=Counter)

    def add(self, call: Call) -> None:
        """Add a call that has ended."""
        self.calls.append(call)

    def count_endings(self) -> dict[str, int]:
        """Return the number of calls by ending."""
        return dict(Counter(call.ending.value for call in self.calls))

    async def read_targets(self, launcher: Launcher) -> None:
        """Read the runs and counts that every target recorded."""
        self.runs.clear()
        self.engine_counts.clear()
        kinds = {pool.name: pool.kind for pool in launcher.deployment.pools}
        async with httpx.AsyncClient(
            trust_env=False, verify=False, timeout=20.0
        ) as client:
            for agent in launcher.agents:
                if kinds[agent.record.pool] is TargetKind.MODEL_ENGINE:
                    await self._read_engine(client, agent)
                else:
                    await self._read_plain_service(client, agent)

    def check(self) -> list[Violation]:
        """Return all violations, earliest first."""
        found = [
            *self._check_answers(),
            *self._check_orders(),
            *self._check_zones(),
            *self._check_engines(),
        ]
        return sorted(found, key=lambda violation: violation.at)

    async def _read_engine(self, client: httpx.AsyncClient, agent: Daemon) -> None:
        trace = (await client.get(f"{agent.target_url}/control/trace")).json()
        for job in trace:
            self._add_run(
                agent, TargetKind.MODEL_ENGINE, job["prompt"], job["started_at"]
            )
        answer = (await client.get(f"{agent.target_url}/control/counts")).json()
        self.engine_counts.update(answer["counts"])

    async def _read_plain_service(
        self, client: httpx.AsyncClient, agent: Daemon
    ) -> None:
        answer: dict[str, Any] = (
            await client.get(f"{agent.target_url}/control/runs")
        ).json()
        for key, run in answer.items():
            for at in run["started_at"]:
                kind = TargetKind.PLAIN_SERVICE
                self._add_run(agent, kind, key, at, run["method"])

    def _add_run(
        self, agent: Daemon, kind: TargetKind, key: str, at: float, method: str = ""
    ) -> None:
        zone = agent.record.zone
        self.runs.append(TargetRun(agent.name, zone, kind, key, at, method))

    def _check_answers(self) -> Iterable[Violation]:
        for call in self.calls:
            if call.problem:
                promise = "every caller receives the whole answer to its own request"
                yield Violation(call.ended_at, promise, call.describe())

    def _check_orders(self) -> Iterable[Violation]:
        runs: dict[str, list[TargetRun]] = defaultdict(list)
        for run in self.runs:
            if run.method == "POST":
                runs[run.key].append(run)
        for key, order_runs in runs.items():
            if len(order_runs) > 1:
                text = ", ".join(
                    f"{r.target} at {r.started_at:.3f}" for r in order_runs
                )
                promise = "a non-idempotent order runs at most once"
                at = order_runs[1].started_at
                yield Violation(
                    at, promise, f"{key} ran {len(order_runs)} times: {text}"
                )
        yield from self._check_endings(runs)

    def _check_endings(self, runs: dict[str, list[TargetRun]]) -> Iterable[Violation]:
        calls: dict[str, list[Call]] = defaultdict(list)
        for call in self.calls:
            if call.kind is CallKind.ORDER:
                calls[call.key].append(call)
        for key, sends in calls.items():
            endings = {call.ending for call in sends}
            is_refused = endings <= {Ending.NOT_RUN, Ending.NO_ENTRY}
            last = sends[-1]
            if is_refused and runs.get(key):
                promise = "an order reported as not run was not run"
                detail = f"{runs[key]}; {last.describe()}"
                yield Violation(last.ended_at, promise, detail)
            is_confirmed = any(
                call.ending is Ending.ANSWERED and call.status == httpx.codes.OK
                for call in sends
            )
            if is_confirmed and not runs.get(key):
                promise = "an answered order has run"
                yield Violation(last.ended_at, promise, last.describe())

    def _check_zones(self) -> Iterable[Violation]:
        for outage in self.outages:
            limit = outage.accepted_at + ZONE_OUT_DEADLINE_S
            for run in self.runs:
                is_inside = limit < run.started_at < outage.ended_at
                if run.zone != outage.zone or not is_inside:
                    continue
                if not self._was_delayed_by_relay(run, outage):
                    late_s = run.started_at - outage.accepted_at
                    promise = "a zone that was taken out gets no new work"
                    detail = f"{run.target} ran {run.key} {late_s:.3f} s after"
                    yield Violation(run.started_at, promise, detail)

    def _was_delayed_by_relay(self, run: TargetRun, outage: ZoneOutage) -> bool:
        """Return whether a run was sent in time but delayed by a silent relay.

        The target counts a run when its bytes arrive.  The bytes of a call from
        before the outage may be stuck in a silent relay until it forwards again;
        the agent has then sent the target no new work.
        """
        started_before_outage = any(
            call.key == run.key and call.started_at < outage.accepted_at
            for call in self.calls
        )
        return started_before_outage and any(
            path.target == run.target
            and path.started_at < outage.accepted_at + ZONE_OUT_DEADLINE_S
            and path.ended_at - STALL_RELEASE_MARGIN_S < run.started_at
            and run.started_at < path.ended_at + STALL_RELEASE_MARGIN_S
            for path in self.stalled_paths
        )

    def _check_engines(self) -> Iterable[Violation]:
        if self.engine_counts["cold_excess"]:
            promise = "a target in cold start never receives more than it can handle"
            detail = f"{self.engine_counts['cold_excess']} requests over the limit"
            yield Violation(math.inf, promise, detail)


def compute_percentile(values: list[float], share: float) -> float:
    """Return the value at `share` (0 to 1) of the sorted values; 0 if empty."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
