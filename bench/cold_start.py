"""Compare the agent's cold-start gate with four other ways to limit concurrency.

``python -m bench.cold_start [--seed N] [--seconds S]``

Simulates requests, target and limiters in virtual time, without a network.  All ways
handle the same arrivals, at one and a half times the capacity of the target.  A cold
target is slow, and it crashes if more requests than its cold limit are in flight for
longer than it tolerates.

The five ways are one gate of the product for the target; one such gate at each entry;
a ramp of fixed length from each boot; the cold limit for the same fixed time and then
the full limit; no gate.  `full_after_s` is the time from when the target turns cold
or restarts until the full limit is allowed and the target is warm; -1 means never.
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
    COLD_SERVICE_S,
    FULL_LIMIT,
    RAMP_S,
    SCENARIOS,
    STRATEGIES,
    WARM_SERVICE_S,
    GateLimiter,
    Request,
    Scenario,
    Target,
)
from bench.measuring import print_result

__all__ = ["main"]

FIRST_BYTE_TIME_SHARE = 0.5
LONG_FIRST_BYTE_FACTOR = 6.0
OFFERED_PER_S = 1.5 * FULL_LIMIT / WARM_SERVICE_S
DEADLINE_S = 2.0
POLL_INTERVAL_S = 0.25
POLL_RTT_S = 0.005
RESTART_DURATION_S = 1.0
FAULT_TIME_S = 20.0
"""Time at which the target turns cold or restarts, in scenarios with such a fault."""


@dataclass
class Outcome:
    """Results of one way in one scenario."""

    scenario: str
    way: str
    entries: int
    full_after_s: float = -1.0
    excess_starts: int = 0
    crashes: int = 0
    goodput_per_s: float = 0.0


@dataclass(order=True)
class Event:
    """A scheduled call."""

    at_s: float
    order: int
    act: Callable[[], None] = field(compare=False)


class Simulation:
    """Simulation of one way in one scenario."""

    def __init__(
        self, scenario: Scenario, strategy: str, entries: int, seconds: float, seed: int
    ) -> None:
        self._seconds = seconds
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._length_rng = random.Random(seed)
        limiter_count = entries if strategy == "gate at each entry" else 1
        self._limiters = [STRATEGIES[strategy]() for _ in range(limiter_count)]
        self._queues: list[deque[Request]] = [deque() for _ in range(limiter_count)]
        self._entries = entries
        self._target = Target(scenario)
        self._events: list[Event] = []
        self._sequence = itertools.count()
        self._now_s = 0.0
        self._is_known_up = False
        self._timely_answers = 0
        self._cold_start_at_s: float | None = None
        self.outcome = Outcome(scenario.name, strategy, entries)

    def run(self) -> Outcome:
        """Run for the given time and return the outcome."""
        self._schedule(0.0, self._boot)
        self._schedule(0.0, self._poll_periodically)
        self._schedule(0.0, self._arrive)
        if self._scenario.turns_cold:
            self._schedule(FAULT_TIME_S, self._turn_cold)
        if self._scenario.restarts:
            self._schedule(FAULT_TIME_S, self._restart)
        while self._events and self._events[0].at_s <= self._seconds:
            event = heapq.heappop(self._events)
            self._now_s = event.at_s
            event.act()
            self._check_target()
        self.outcome.goodput_per_s = round(self._timely_answers / self._seconds, 1)
        return self.outcome

    def _schedule(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, Event(at_s, next(self._sequence), act))

    def _boot(self) -> None:
        self._target.start(self._now_s)
        if self._cold_start_at_s is None:
            self._cold_start_at_s = self._now_s

    def _turn_cold(self) -> None:
        self._target.turn_cold(self._now_s)
        self._start_measuring_recovery()

    def _restart(self) -> None:
        self._start_measuring_recovery()
        self._stop()

    def _start_measuring_recovery(self) -> None:
        self._cold_start_at_s = self._now_s
        self.outcome.full_after_s = -1.0

    def _stop(self) -> None:
        for request in self._target.stop():
            self._limiters[request.limiter_index].handle_event("record_ended")
            self._limiters[request.limiter_index].handle_event("record_broken")
        self._is_known_up = False
        self._schedule(self._now_s + RESTART_DURATION_S, self._boot)

    def _check_target(self) -> None:
        """Crash an overloaded target; record when the limit is full and it is warm."""
        if self._target.should_crash(self._now_s):
            self.outcome.crashes += 1
            self._stop()
        cold_start_at_s = self._cold_start_at_s
        if cold_start_at_s is None or not self._target.is_up:
            return
        limits = [limiter.limit(self._now_s) for limiter in self._limiters]
        is_full = min(limits) >= FULL_LIMIT
        if is_full and not self._target.is_cold(self._now_s):
            self.outcome.full_after_s = round(self._now_s - cold_start_at_s, 2)
            self._cold_start_at_s = None

    def _poll_periodically(self) -> None:
        self._poll()
        self._schedule(self._now_s + POLL_INTERVAL_S, self._poll_periodically)

    def _poll(self) -> None:
        target = self._target
        self._is_known_up = target.is_up
        for limiter_index, limiter in enumerate(self._limiters):
            if target.is_up:
                is_cold = target.reports_cold(self._now_s)
                limiter.handle_report(f"boot-{target.boot}", is_cold, self._now_s)
                self._start_queued(limiter_index)
            else:
                limiter.handle_event("drop_to_cold_limit")

    def _arrive(self) -> None:
        entry = self._rng.randrange(self._entries)
        limiter_index = entry % len(self._limiters)
        queue = self._queues[limiter_index]
        if len(queue) < FULL_LIMIT:
            is_long = self._length_rng.random() < self._scenario.long_share
            queue.append(Request(limiter_index, self._now_s, is_long))
        limiter = self._limiters[limiter_index]
        if isinstance(limiter, GateLimiter) and not limiter.is_confirmed:
            self._schedule(self._now_s + POLL_RTT_S, self._poll)
        self._start_queued(limiter_index)
        self._schedule(self._now_s + self._rng.expovariate(OFFERED_PER_S), self._arrive)

    def _start_queued(self, limiter_index: int) -> None:
        queue = self._queues[limiter_index]
        while queue and self._now_s - queue[0].arrived_s > DEADLINE_S:
            queue.popleft()
        limiter = self._limiters[limiter_index]
        while queue and self._is_known_up and limiter.has_room(self._now_s):
            self._start(queue.popleft())

    def _start(self, request: Request) -> None:
        target = self._target
        is_cold = target.is_cold(self._now_s)
        self.outcome.excess_starts += is_cold and len(target.running) >= COLD_LIMIT
        request.boot = target.boot
        target.running.add(request)
        target.update_overload(self._now_s)
        self._limiters[request.limiter_index].handle_event("record_started")
        service_s = COLD_SERVICE_S if is_cold else WARM_SERVICE_S
        first_s = service_s * FIRST_BYTE_TIME_SHARE
        if request.is_long:
            service_s += first_s * (LONG_FIRST_BYTE_FACTOR - 1)
            first_s *= LONG_FIRST_BYTE_FACTOR
        if is_cold and target.overloaded_since_s is not None:
            self._schedule(
                target.overloaded_since_s + self._scenario.overload_tolerance_s,
                lambda: None,
            )
        self._schedule(
            self._now_s + first_s, lambda: self._handle_first_byte(request, first_s)
        )
        self._schedule(self._now_s + service_s, lambda: self._handle_end(request))

    def _handle_first_byte(self, request: Request, latency_s: float) -> None:
        if request in self._target.running:
            limiter = self._limiters[request.limiter_index]
            limiter.handle_event("record_first_byte", latency_s)

    def _handle_end(self, request: Request) -> None:
        if request not in self._target.running:
            return
        self._target.running.discard(request)
        self._target.count_answer()
        self._target.update_overload(self._now_s)
        self._timely_answers += self._now_s - request.arrived_s <= DEADLINE_S
        limiter = self._limiters[request.limiter_index]
        limiter.handle_event("record_ended")
        limiter.handle_event("record_completed")
        self._start_queued(request.limiter_index)


def main() -> None:
    """Run each way in each scenario and print one JSON line last."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    outcomes = []
    for scenario in SCENARIOS:
        for strategy in STRATEGIES:
            for entries in (1, 9):
                simulation = Simulation(
                    scenario, strategy, entries, options.seconds, options.seed
                )
                outcome = simulation.run()
                outcomes.append(asdict(outcome))
                print(
                    f"{scenario.name:32} {strategy:20} {entries}"
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
