"""Simulate the seconds in which all targets of a pool switch to another version.

The entries and engines are those of `bench.target_choice`.  A version is named under
load near capacity.  Each engine has it staged some seconds later, and switches in its
turn: it accepts nothing new, finishes its answers, loads, and serves again.  The turns
are the product's `SwitchDecision`, with notices that arrive without delay.

Ways of estimating the load of targets without a recent report are compared (`--way`):
the average of the pool's reports is kept; it decays while no report arrives; or it is
replaced by what this entry has sent, as if every other entry had sent as much.

Run ``python -m bench.version_switch [--seeds 3] [--way kept]``; the last line
is one JSON array.
"""

import argparse
import json
import math
from collections.abc import Callable, Collection
from dataclasses import asdict, dataclass

from reedspar.direct.loads import (
    AVERAGE_DECAY_S,
    AVERAGE_TTL_S,
    NO_REPORT_WEIGHT,
    AverageLoad,
    AverageRule,
    TargetLoad,
    compute_average_load,
)
from reedspar.direct.tests.fakes import make_engine_target
from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import TargetChange, WeightsChange
from reedspar.requests.request import Answer, Outcome
from reedspar.weights.activation import SwitchDecision
from reedspar.weights.messages import VersionNotice, VersionPhase

from .batching_engine import Engine
from .target_choice import (
    LATE_ANSWER_VALUE,
    NETWORK_S,
    VERSION_BOUND_S,
    Job,
    Scenario,
    Simulation,
)

__all__ = [
    "SCENARIOS",
    "SwitchOutcome",
    "SwitchScenario",
    "compute_kept_average",
    "simulate",
]

MODEL = "m"
NAMED_AT_S = 4.0
OLDER_VERSION_MARGIN_S = 0.4
SWITCH_SHARE = 0.25
LOAD_S = 0.33
QUEUE_MAX = 24
DECISION_INTERVAL_S = 0.05
REGISTRATION_DELAY_S = 0.05
END_S = 22.0
MEASURED_S = 10.0
"""Time from the first staged version in which the requests are counted."""
WINDOW_S = 2.0
AFTER_S = 3.0
RECOVERY_S = 1.0
"""Time from the last switch until `AFTER_S` begins."""


@dataclass(frozen=True)
class SwitchScenario:
    """A load, and the time from naming a version until the engines have it staged."""

    name: str
    load: Scenario
    staged_after_s: float
    staging_spread_s: float = 0.3


def _make_load(entries: int, engines: int, per_engine_s: float) -> Scenario:
    return Scenario("", entries, engines, engines * per_engine_s)


SCENARIOS = (
    SwitchScenario("staged after 4.6 s", _make_load(42, 24, 8.4), 4.6),
    SwitchScenario("staged after 5.2 s", _make_load(42, 24, 8.4), 5.2),
    SwitchScenario("staged after 6.6 s", _make_load(42, 24, 8.4), 6.6),
    SwitchScenario("nine entries, ten engines", _make_load(9, 10, 8.4), 5.2),
)


@dataclass(frozen=True)
class SwitchOutcome:
    """Worth of the seconds from the naming to the last switch."""

    name: str
    worth: float
    worst_windows: float
    """Mean worth of the two worst windows of two seconds."""
    worth_after: float
    """Worth of the requests that arrive in `AFTER_S` after the last switch."""
    mean_switch_s: float
    last_switch_s: float
    """Time from the naming until the last engine serves the version."""
    late: float
    refused: float


class _SwitchingEngine(Engine):
    """An engine that holds a version, and loads the next one in its turn."""

    def __init__(self, simulation: "_SwitchSimulation", name: str) -> None:
        super().__init__(simulation)
        self.name = name
        self.fleet = simulation
        self.decision = SwitchDecision(name, SWITCH_SHARE)
        self.phase = VersionPhase.FETCHING
        self.switched_s: float | None = None
        self.switch_started_s = 0.0

    def enqueue(self, job: Job) -> None:
        is_full = len(self.queue) >= QUEUE_MAX
        if is_full or self.phase is VersionPhase.SWITCHING:
            self.fleet.reject(job, self.name)
            return
        super().enqueue(job)

    def begin_switch(self) -> None:
        """Accept nothing new from now on, and load once no answer runs."""
        self.switch_started_s = self.fleet.now_s
        self.fleet.announce(self, VersionPhase.SWITCHING)
        self._poll_drained()

    def _poll_drained(self) -> None:
        if self.queue or self.report.running:
            self.fleet.call_after(0.01, self._poll_drained)
        else:
            self.fleet.call_after(LOAD_S, self._end_switch)

    def _end_switch(self) -> None:
        self.switched_s = self.fleet.now_s
        self.fleet.announce(self, VersionPhase.SERVING)
        self.fleet.register(self.name)


class _SwitchSimulation(Simulation):
    """A simulation in which a version is named and loaded."""

    def __init__(
        self, scenario: SwitchScenario, seed: int, average_rule: AverageRule
    ) -> None:
        super().__init__(scenario.load, END_S, seed, average_rule)
        self.engines = {name: _SwitchingEngine(self, name) for name in self.engines}
        self._tried: dict[str, list[str]] = {}
        for engine in self.engines.values():
            engine.decision.set_peers(n for n in self.engines if n != engine.name)
            staged_s = NAMED_AT_S + scenario.staged_after_s
            staged_s += self.rng.uniform(0, scenario.staging_spread_s)
            self._call_at(staged_s, lambda engine=engine: self._stage(engine))
        self._call_at(NAMED_AT_S, self._name_version)

    def _call_at(self, time_s: float, call: Callable[[], None]) -> None:
        self.call_after(time_s - self.now_s, call)

    def _name_version(self) -> None:
        for entry in self.entries:
            entry.advance_to(self.now_s)
            entry.view.apply(WeightsChange(MODEL, 2))

    def _stage(self, engine: _SwitchingEngine) -> None:
        deadline_s = NAMED_AT_S + VERSION_BOUND_S - OLDER_VERSION_MARGIN_S
        engine.decision.set_deadline(deadline_s)
        engine.decision.begin_waiting("root", self.now_s)
        for peer in self.engines.values():
            if peer is not engine:
                self._notify(engine, peer)
        self.announce(engine, VersionPhase.WAITING)
        self._decide(engine)

    def _decide(self, engine: _SwitchingEngine) -> None:
        if engine.decision.may_switch(self.now_s):
            engine.begin_switch()
        else:
            self.call_after(DECISION_INTERVAL_S, lambda: self._decide(engine))

    def announce(self, engine: _SwitchingEngine, phase: VersionPhase) -> None:
        """Set an engine's phase and send it to all others."""
        engine.phase = phase
        for peer in self.engines.values():
            if peer is not engine:
                self._notify(peer, engine)

    def _notify(self, engine: _SwitchingEngine, sender: _SwitchingEngine) -> None:
        notice = VersionNotice(MODEL, "root", 2, sender.phase)
        engine.decision.record_notice(sender.name, notice, self.now_s)

    def register(self, name: str) -> None:
        """Tell all entries that an engine holds the new version."""

        def apply() -> None:
            record = make_engine_target(name, weights={MODEL: 2})
            for entry in self.entries:
                entry.advance_to(self.now_s)
                entry.view.apply(TargetChange(name, record))

        self.call_after(REGISTRATION_DELAY_S, apply)

    def reject(self, job: Job, name: str) -> None:
        """Return a request that the engine did not run; it is sent once more."""
        chosen = job.chosen
        assert not isinstance(chosen, Failure)

        def arrive() -> None:
            chooser = job.entry.advance_to(self.now_s)
            failure = Failure(Reason.OVERLOADED, Step.TARGET_CALL, name)
            chooser.on_ended(
                job.request, chosen, Answer(Outcome.NOT_RUN, failure=failure)
            )
            tried = self._tried.setdefault(job.request.request_id, [])
            tried.append(name)
            if len(tried) < 2:
                self.send(job, tried)
            else:
                job.chosen = failure

        self.call_after(NETWORK_S, arrive)


def _compute_worth(jobs: Collection[Job]) -> float:
    if not jobs:
        return 1.0
    earned = sum(
        1.0 if job.is_in_time() else LATE_ANSWER_VALUE * (job.first_s is not None)
        for job in jobs
    )
    return earned / len(jobs)


def compute_kept_average(
    loads: Collection[TargetLoad], now_s: float, entry_count: int
) -> AverageLoad:
    """Return the weighted average of the reports, however old they are."""
    others = waiting = 0.0
    weight = NO_REPORT_WEIGHT
    for load in loads:
        report_weight = load.report_weight(now_s)
        others += report_weight * load.others_at_report
        waiting += report_weight * load.waiting_at_report
        weight += report_weight
    return AverageLoad(others / weight, waiting / weight)


def compute_decaying_average(
    loads: Collection[TargetLoad], now_s: float, entry_count: int
) -> AverageLoad:
    """Return the weighted average of the reports, reduced while none arrives."""
    kept = compute_kept_average(loads, now_s, entry_count)
    newest_s = max((load.reported_s for load in loads), default=float("-inf"))
    silent_s = max(0.0, now_s - newest_s - AVERAGE_TTL_S)
    scale = math.exp(-silent_s / AVERAGE_DECAY_S)
    return AverageLoad(kept.others * scale, kept.waiting * scale)


WAYS: dict[str, AverageRule] = {
    "kept": compute_kept_average,
    "decaying": compute_decaying_average,
    "extrapolated": compute_average_load,
}


def simulate(
    scenario: SwitchScenario,
    seed: int = 1,
    average_rule: AverageRule = compute_average_load,
) -> SwitchOutcome:
    """Simulate a switch and return its outcome."""
    simulation = _SwitchSimulation(scenario, seed, average_rule)
    simulation.run()
    from_s = NAMED_AT_S + scenario.staged_after_s
    windows = []
    end_s = from_s + MEASURED_S
    during = [j for j in simulation.jobs if from_s <= j.request.arrived_s < end_s]
    start_s = from_s
    while start_s <= end_s - WINDOW_S:
        window = [
            j for j in during if start_s <= j.request.arrived_s < start_s + WINDOW_S
        ]
        windows.append(_compute_worth(window))
        start_s += WINDOW_S
    engines = list(simulation.engines.values())
    switches = [(e.switched_s or END_S) - e.switch_started_s for e in engines]
    last_s = max(engine.switched_s or END_S for engine in engines)
    after_s = last_s + RECOVERY_S
    after = [
        job
        for job in simulation.jobs
        if after_s <= job.request.arrived_s < after_s + AFTER_S
    ]
    refused = sum(isinstance(job.chosen, Failure) for job in during)
    in_time = sum(job.is_in_time() for job in during)
    return SwitchOutcome(
        scenario.name,
        _compute_worth(during),
        sum(sorted(windows)[:2]) / 2,
        _compute_worth(after),
        sum(switches) / len(switches),
        last_s - NAMED_AT_S,
        (len(during) - refused - in_time) / len(during),
        refused / len(during),
    )


def main() -> None:
    """Simulate every scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--way", choices=WAYS, default="extrapolated")
    options = parser.parse_args()
    rows = []
    for scenario in SCENARIOS:
        for seed in range(1, options.seeds + 1):
            row = simulate(scenario, seed, WAYS[options.way])
            rows.append(asdict(row))
            print(
                f"{row.name:26} seed {seed}  worth {row.worth:.3f}  worst windows "
                f"{row.worst_windows:.3f}  after {row.worth_after:.3f}  "
                f"switch {row.mean_switch_s:.2f} s  "
                f"last {row.last_switch_s:.2f} s  late {row.late:.3f}  "
                f"refused {row.refused:.3f}"
            )
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
