"""Requests before a target in cold start: the agent's gate beside four others.

``python -m bench.cold_start [--seed N] [--seconds S]``

Decisions alone under virtual time, on the same arrivals at one and a half
times what the target bears.  A cold target is slow, and falls over once it had
more in flight than its cold limit for longer than it bears.  Five ways: the
product's gate, one for the target; a gate for the target at each entry; a ramp
of fixed length from each boot; the cold limit held as long, then all; no gate.
Time to the full limit counts from the moment at which the target turns cold or
restarts until the limit is full and the target warm; -1 stands for never.
"""

import argparse
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field

from bench.cold_start_model import (
    COLD_LIMIT,
    COLD_S,
    FULL_LIMIT,
    RAMP_S,
    SCENARIOS,
    WARM_S,
    WAYS,
    GateLimiter,
    Request,
    Scenario,
    Target,
)
from bench.measuring import print_result

__all__ = ["main"]

FIRST_BYTE_SHARE = 0.5
LONG_FACTOR = 6.0
OFFERED_PER_S = 1.5 * FULL_LIMIT / WARM_S
DEADLINE_S = 2.0
POLL_S = 0.25
POLL_RTT_S = 0.005
RESTART_S = 1.0
EVENT_S = 20.0
"""When the target turns cold, or restarts, in a scenario that has it so."""


@dataclass
class Outcome:
    """What one way did in one scenario."""

    scenario: str
    way: str
    entries: int
    full_after_s: float = -1.0
    excess_starts: int = 0
    crashes: int = 0
    goodput_per_s: float = 0.0


@dataclass(order=True)
class Event:
    """Something due."""

    at_s: float
    order: int
    act: Callable[[], None] = field(compare=False)


class Run:
    """One way in one scenario."""

    def __init__(
        self, scenario: Scenario, way: str, entries: int, seconds: float, seed: int
    ) -> None:
        self._seconds = seconds
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._lengths = random.Random(seed)
        places = entries if way == "gate at each entry" else 1
        self._limiters = [WAYS[way]() for _ in range(places)]
        self._queues: list[deque[Request]] = [deque() for _ in range(places)]
        self._entries = entries
        self._target = Target(scenario)
        self._events: list[Event] = []
        self._orders = itertools.count()
        self._now_s = 0.0
        self._is_known_up = False
        self._good = 0
        self._cold_mark_s: float | None = None
        self.outcome = Outcome(scenario.name, way, entries)

    def run(self) -> Outcome:
        """Run to the end and return what came of it."""
        self._at(0.0, self._boot)
        self._at(0.0, self._poll_often)
        self._at(0.0, self._arrive)
        if self._scenario.turns_cold:
            self._at(EVENT_S, self._turn_cold)
        if self._scenario.restarts:
            self._at(EVENT_S, self._restart)
        while self._events and self._events[0].at_s <= self._seconds:
            event = heapq.heappop(self._events)
            self._now_s = event.at_s
            event.act()
            self._watch()
        self.outcome.goodput_per_s = round(self._good / self._seconds, 1)
        return self.outcome

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, Event(at_s, next(self._orders), act))

    def _boot(self) -> None:
        self._target.start(self._now_s)
        if self._cold_mark_s is None:
            self._cold_mark_s = self._now_s

    def _turn_cold(self) -> None:
        self._target.turn_cold(self._now_s)
        self._mark_event()

    def _restart(self) -> None:
        self._mark_event()
        self._stop()

    def _mark_event(self) -> None:
        self._cold_mark_s = self._now_s
        self.outcome.full_after_s = -1.0

    def _stop(self) -> None:
        for request in self._target.stop():
            self._limiters[request.place].note("note_ended")
            self._limiters[request.place].note("note_broken")
        self._is_known_up = False
        self._at(self._now_s + RESTART_S, self._boot)

    def _watch(self) -> None:
        """Let the target fall over, and note when the limit is full again."""
        if self._target.falls_over(self._now_s):
            self.outcome.crashes += 1
            self._stop()
        mark_s = self._cold_mark_s
        if mark_s is None or not self._target.is_up:
            return
        limits = [limiter.limit(self._now_s) for limiter in self._limiters]
        is_full = min(limits) >= FULL_LIMIT
        if is_full and not self._target.is_cold(self._now_s):
            self.outcome.full_after_s = round(self._now_s - mark_s, 2)
            self._cold_mark_s = None

    def _poll_often(self) -> None:
        self._poll()
        self._at(self._now_s + POLL_S, self._poll_often)

    def _poll(self) -> None:
        target = self._target
        self._is_known_up = target.is_up
        for place, limiter in enumerate(self._limiters):
            if target.is_up:
                is_cold = target.report_cold(self._now_s)
                limiter.note_state(f"boot-{target.boot}", is_cold, self._now_s)
                self._pump(place)
            else:
                limiter.note("drop")

    def _arrive(self) -> None:
        entry = self._rng.randrange(self._entries)
        place = entry % len(self._limiters)
        queue = self._queues[place]
        if len(queue) < FULL_LIMIT:
            is_long = self._lengths.random() < self._scenario.long_share
            queue.append(Request(place, self._now_s, is_long))
        limiter = self._limiters[place]
        if isinstance(limiter, GateLimiter) and not limiter.is_confirmed:
            self._at(self._now_s + POLL_RTT_S, self._poll)
        self._pump(place)
        self._at(self._now_s + self._rng.expovariate(OFFERED_PER_S), self._arrive)

    def _pump(self, place: int) -> None:
        queue = self._queues[place]
        while queue and self._now_s - queue[0].arrived_s > DEADLINE_S:
            queue.popleft()
        limiter = self._limiters[place]
        while queue and self._is_known_up and limiter.has_room(self._now_s):
            self._start(queue.popleft())

    def _start(self, request: Request) -> None:
        target = self._target
        is_cold = target.is_cold(self._now_s)
        self.outcome.excess_starts += is_cold and len(target.running) >= COLD_LIMIT
        request.boot = target.boot
        target.running.add(request)
        target.note_load(self._now_s)
        self._limiters[request.place].note("note_started")
        service_s = COLD_S if is_cold else WARM_S
        first_s = service_s * FIRST_BYTE_SHARE
        if request.is_long:
            service_s += first_s * (LONG_FACTOR - 1)
            first_s *= LONG_FACTOR
        if is_cold and target.over_since_s is not None:
            self._at(target.over_since_s + self._scenario.borne_s, lambda: None)
        self._at(self._now_s + first_s, lambda: self._first_byte(request, first_s))
        self._at(self._now_s + service_s, lambda: self._end(request))

    def _first_byte(self, request: Request, latency_s: float) -> None:
        if request in self._target.running:
            limiter = self._limiters[request.place]
            limiter.note("note_first_byte", latency_s)

    def _end(self, request: Request) -> None:
        if request not in self._target.running:
            return
        self._target.running.discard(request)
        self._target.note_answer()
        self._target.note_load(self._now_s)
        self._good += self._now_s - request.arrived_s <= DEADLINE_S
        limiter = self._limiters[request.place]
        limiter.note("note_ended")
        limiter.note("note_completed")
        self._pump(request.place)


def main() -> None:
    """Run each way in each scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    outcomes = []
    for scenario in SCENARIOS:
        for way in WAYS:
            for entries in (1, 9):
                run = Run(scenario, way, entries, options.seconds, options.seed)
                outcome = run.run()
                outcomes.append(asdict(outcome))
                print(
                    f"{scenario.name:32} {way:20} {entries}"
                    f" full after {outcome.full_after_s:6.2f} s"
                    f" excess {outcome.excess_starts:5} crashes {outcome.crashes:3}"
                    f" goodput {outcome.goodput_per_s:5.1f}/s"
                )
    print_result(
        {
            "seed": options.seed,
            "seconds": options.seconds,
            "offered_per_s": OFFERED_PER_S,
            "cold_limit": COLD_LIMIT,
            "full_limit": FULL_LIMIT,
            "ramp_s": RAMP_S,
            "outcomes": outcomes,
        }
    )


if __name__ == "__main__":
    main()
