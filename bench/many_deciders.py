"""Many entries, each with its own beliefs, before model engines that batch.

The real choice of targets in virtual time, without a network.  Arrivals are random
(Poisson), prompts and answers of the usual sizes; an engine works in passes: five
steps for all that write, and between them prompts in the order of arrival.  A request
is in time if its first event comes within 0.5 s and no pause is over 0.4 s; late, it
counts a quarter, as to its caller.

Run ``python -m bench.many_deciders [--seconds 20]``; the last line is one JSON object.
"""

import argparse
import heapq
import itertools
import json
import math
import random
from collections.abc import Callable
from dataclasses import asdict, dataclass

from reedspar.direct.choice import DirectChooser
from reedspar.direct.cold import ColdLimits
from reedspar.direct.crashes import CrashDetector
from reedspar.direct.loads import LoadReport, TargetLoads
from reedspar.direct.replaced import ReplacedWeightsLog
from reedspar.direct.tests.fakes import ENGINE, make_engine_target, make_table
from reedspar.direct.versions import VersionRule
from reedspar.errors import Failure
from reedspar.fleet import FleetView, RoutesChange, TargetChange
from reedspar.requests.attempting import ChosenTarget
from reedspar.requests.request import Answer, Outcome, Request, Responder
from reedspar.timers import TimerService, VirtualClock

__all__ = ["Load", "Outcomes", "simulate"]

NETWORK_S = 0.004
AIM_S = 0.5
ROUTE_AIM_S = 0.43
"""What routes say: the aimed time less the callers' way here."""
GAP_S = 0.4
PATIENCE_S = 6.0
WARM_UP_S = 3.0
LATE_WORTH = 0.25
PROMPT_MEANS = (1290, 787, 607)
PROMPT_SPREAD = 0.8
PROMPT_LIMIT_FACTOR = 3.0
SHARED_TOKENS = 40
ANSWER_MEAN = 95
ANSWER_SPREAD = 0.77
ANSWER_MAX = 250
CONTEXT_S = 0.0000322
"""What each 1,000 tokens of a request's context add to a step."""


@dataclass(frozen=True)
class Load:
    """How many requests a second come to how many entries and engines."""

    name: str
    entries: int
    engines: int
    rate_per_s: float


LOADS = (
    Load("borne, nine entries", 9, 10, 80.0),
    Load("at the limit, nine entries", 9, 10, 100.0),
    Load("a quarter over, five engines", 9, 5, 63.0),
    Load("at the limit, 46 entries", 46, 18, 180.0),
    Load("heavy, six entries", 6, 15, 145.0),
    Load("a quarter over, six entries", 6, 8, 100.0),
    Load("heavy, 38 entries", 38, 29, 290.0),
)


@dataclass(frozen=True)
class Outcomes:
    """Shares of the requests that arrived after the warm-up."""

    load: str
    in_time: float
    late: float
    refused: float

    @property
    def worth(self) -> float:
        """Return what was served, late answers for a quarter."""
        return self.in_time + LATE_WORTH * self.late


@dataclass(slots=True, eq=False)
class _Job:
    request: Request
    entry: "_Entry"
    chosen: ChosenTarget | Failure
    answer_tokens: int
    left_tokens: int = 0
    first_s: float | None = None
    last_s: float = 0.0
    gap_s: float = 0.0

    def is_in_time(self) -> bool:
        """Tell whether the caller got it as it hoped to."""
        if self.first_s is None:
            return False
        waited_s = self.first_s - self.request.arrived_s
        return waited_s <= AIM_S and self.gap_s <= GAP_S


class _Entry:
    """One decider, with a clock of its own that the model moves."""

    def __init__(self, name: str, targets: list[str], seed: int) -> None:
        self._clock = VirtualClock()
        timers = TimerService(self._clock)
        view = FleetView(timers)
        view.apply(RoutesChange(make_table()))
        for target in targets:
            view.apply(TargetChange(target, make_engine_target(target)))
        view.mark_initialized()
        versions = VersionRule(view, timers, 8.0)
        self.chooser = DirectChooser(
            view,
            TargetLoads(),
            ColdLimits(name),
            versions,
            timers,
            {"a": "ra"},
            "ra",
            CrashDetector(name, timers, lambda *crash: None),
            ReplacedWeightsLog(versions, timers),
            random.Random(seed),
        )

    def at(self, now_s: float) -> DirectChooser:
        """Return the decider at a time."""
        self._clock.advance(now_s - self._clock.now_s())
        return self.chooser


class _Engine:
    """A batch that reads prompts between the passes of those that write."""

    def __init__(self, model: "_Model") -> None:
        self._model = model
        self._queue: list[_Job] = []
        self._reading: list[tuple[_Job, int]] = []
        self._writing: list[_Job] = []
        self._is_busy = False

    @property
    def report(self) -> LoadReport:
        """Return what the engine tells with an answer."""
        running = len(self._reading) + len(self._writing)
        return LoadReport(running, len(self._queue), ENGINE.slots)

    def take(self, job: _Job) -> None:
        """Queue a request."""
        self._queue.append(job)
        if not self._is_busy:
            self._is_busy = True
            self._begin_pass()

    def _begin_pass(self) -> None:
        while self._queue and self.report.running < ENGINE.slots:
            job = self._queue.pop(0)
            self._reading.append((job, job.request.prompt_tokens))
        if not self.report.running:
            self._is_busy = False
            return
        read, reading_s = self._read()
        pass_s = reading_s + self._write_time_s()
        self._model.after(pass_s, lambda: self._end_pass(read))

    def _write_time_s(self) -> float:
        writing = len(self._writing)
        if not writing:
            return 0.0
        step_s = ENGINE.step_s + writing * (ENGINE.step_per_request_s + CONTEXT_S)
        return ENGINE.steps_per_pass * step_s

    def _read(self) -> tuple[list[_Job], float]:
        """Return the prompts that are read by the end of this pass, and the time."""
        steps = ENGINE.steps_per_pass if self._writing else 1
        budget = steps * ENGINE.prefill_tokens_per_pass
        read: list[_Job] = []
        time_s = 0.0
        while budget > 0 and self._reading:
            job, left = self._reading.pop(0)
            tokens = min(left, budget)
            budget -= tokens
            pairs = job.request.prompt_tokens * tokens / 2
            time_s += (
                tokens / ENGINE.prefill_tokens_per_s
                + pairs * ENGINE.attention_s_per_pair
            )
            if tokens == left:
                read.append(job)
            else:
                self._reading.insert(0, (job, left - tokens))
        return read, time_s

    def _end_pass(self, read: list[_Job]) -> None:
        for job in list(self._writing):
            job.left_tokens -= ENGINE.steps_per_pass
            self._model.note_event(job, self)
            if job.left_tokens <= 0:
                self._writing.remove(job)
                self._model.note_end(job)
        for job in read:
            job.left_tokens = job.answer_tokens
            self._writing.append(job)
            self._model.note_event(job, self)
        self._begin_pass()


class _Model:
    """Arrivals, entries and engines in one order of events."""

    def __init__(self, load: Load, seconds: float, seed: int) -> None:
        self.jobs: list[_Job] = []
        self._now_s = 0.0
        self._until_s = seconds
        self._rate_per_s = load.rate_per_s
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._engines = {f"q{i}": _Engine(self) for i in range(load.engines)}
        names = list(self._engines)
        self._entries = [
            _Entry(f"entry-{i}", names, seed * 1000 + i) for i in range(load.entries)
        ]

    def run(self) -> None:
        """Play until every request has ended."""
        self._arrive()
        while self._events:
            self._now_s, _, call = heapq.heappop(self._events)
            call()

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call after a while."""
        item = (self._now_s + delay_s, next(self._order), call)
        heapq.heappush(self._events, item)

    def note_event(self, job: _Job, engine: _Engine) -> None:
        """Note that an event of an answer was made."""
        now_s = self._now_s + NETWORK_S
        if job.first_s is None:
            job.first_s = now_s
            report = engine.report
            self.after(NETWORK_S, lambda: self._tell_first(job, report))
        else:
            job.gap_s = max(job.gap_s, now_s - job.last_s)
        job.last_s = now_s

    def note_end(self, job: _Job) -> None:
        """Note that an answer is whole."""
        self.after(NETWORK_S, lambda: self._tell_end(job))

    def _arrive(self) -> None:
        if self._now_s > self._until_s:
            return
        self.after(self._rng.expovariate(self._rate_per_s), self._arrive)
        entry = self._rng.choice(self._entries)
        request = self._make_request()
        chooser = entry.at(self._now_s)
        chosen = chooser.choose(request, ())
        job = _Job(request, entry, chosen, self._draw_answer_tokens())
        self.jobs.append(job)
        if isinstance(chosen, Failure):
            return
        chooser.on_started(request, chosen)
        engine = self._engines[chosen.name]
        self.after(NETWORK_S, lambda: engine.take(job))

    def _make_request(self) -> Request:
        mean = self._rng.choice(PROMPT_MEANS)
        drawn = self._rng.lognormvariate(math.log(mean) - 0.35, PROMPT_SPREAD)
        tokens = min(drawn, PROMPT_LIMIT_FACTOR * mean) + SHARED_TOKENS
        request = Request(
            str(next(self._order)),
            "",
            "POST",
            "quotes",
            "/q/1",
            (),
            b"",
            _NoResponder(),
            self._now_s,
        )
        request.model = "m"
        request.prompt_tokens = int(tokens)
        request.latency_goal_s = ROUTE_AIM_S
        request.gap_s = GAP_S
        request.deadline_s = self._now_s + PATIENCE_S
        return request

    def _draw_answer_tokens(self) -> int:
        drawn = self._rng.lognormvariate(math.log(ANSWER_MEAN) - 0.3, ANSWER_SPREAD)
        return int(min(max(drawn, ENGINE.steps_per_pass), ANSWER_MAX))

    def _tell_first(self, job: _Job, report: LoadReport) -> None:
        assert not isinstance(job.chosen, Failure)
        chooser = job.entry.at(self._now_s)
        chooser.on_first_byte(job.request, job.chosen)
        chooser.note_report(job.chosen.name, report)

    def _tell_end(self, job: _Job) -> None:
        assert not isinstance(job.chosen, Failure)
        chooser = job.entry.at(self._now_s)
        chooser.on_ended(job.request, job.chosen, Answer(Outcome.ANSWERED))


class _NoResponder(Responder):
    """Takes no answer: the model counts events itself."""

    async def start(self, status: int, headers: object) -> None:
        """Do nothing."""

    async def send(self, data: bytes, *, is_last: bool = False) -> None:
        """Do nothing."""


def simulate(load: Load, seconds: float, seed: int = 1) -> Outcomes:
    """Play a load, and return what became of the requests."""
    model = _Model(load, seconds, seed)
    model.run()
    jobs = [job for job in model.jobs if job.request.arrived_s > WARM_UP_S]
    refused = sum(isinstance(job.chosen, Failure) for job in jobs)
    in_time = sum(job.is_in_time() for job in jobs)
    late = len(jobs) - refused - in_time
    count = len(jobs)
    return Outcomes(load.name, in_time / count, late / count, refused / count)


def main() -> None:
    """Play every load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rows = [simulate(load, options.seconds, options.seed) for load in LOADS]
    for row in rows:
        print(
            f"{row.load:32} in time {row.in_time:.3f}  late {row.late:.3f}  "
            f"refused {row.refused:.3f}  worth {row.worth:.3f}"
        )
    print(json.dumps([{**asdict(row), "worth": row.worth} for row in rows]))


if __name__ == "__main__":
    main()
