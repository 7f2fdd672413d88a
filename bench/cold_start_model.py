"""Model of a target in cold start and limiters of its load, for `bench.cold_start`."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from reedspar.targets import ColdStartGate, GateSettings

__all__ = [
    "COLD_LIMIT",
    "COLD_SERVICE_S",
    "FULL_LIMIT",
    "RAMP_S",
    "SCENARIOS",
    "STRATEGIES",
    "WARM_SERVICE_S",
    "GateLimiter",
    "Limiter",
    "Request",
    "Scenario",
    "Target",
]

COLD_LIMIT = 1
FULL_LIMIT = 8
WARM_SERVICE_S = 0.2
COLD_SERVICE_S = 1.0
RAMP_S = 10.0


@dataclass(frozen=True)
class Scenario:
    """When the target is cold, and how it reports and tolerates this."""

    name: str
    cold_s: float = 8.0
    cold_completions: int = 0
    """If set, the target is cold for this number of answers instead of `cold_s`."""
    report_lag_s: float = 0.0
    turns_cold: bool = False
    """Whether the target turns cold at `FAULT_TIME_S` without a restart."""
    restarts: bool = False
    """Whether the target restarts at `FAULT_TIME_S` under full load."""
    long_share: float = 0.0
    """Share of requests whose first byte takes six times as long."""
    overload_tolerance_s: float = 0.5
    """Time for which a cold target tolerates more requests than its cold limit."""


SCENARIOS = (
    Scenario("cold for a time"),
    Scenario("cold for longer than the ramp", cold_s=15.0),
    Scenario("cold for some answers", cold_completions=20),
    Scenario("restart", restarts=True),
    Scenario("restart, report lags 3 s", restarts=True, report_lag_s=3.0),
    Scenario("restart, report lags 5 s", restarts=True, report_lag_s=5.0),
    Scenario("silent turn to cold", turns_cold=True),
    Scenario("silent turn, report lags 3 s", turns_cold=True, report_lag_s=3.0),
    Scenario(
        "silent turn, lags, bears 2 s",
        turns_cold=True,
        report_lag_s=3.0,
        overload_tolerance_s=2.0,
    ),
    Scenario("one in ten is long", long_share=0.1),
    Scenario("one in five is long", long_share=0.2),
)


class Limiter(Protocol):
    """Limit on the number of requests in flight."""

    def has_room(self, now_s: float) -> bool:
        """Return whether one more request may start."""
        ...

    def limit(self, now_s: float) -> int:
        """Return the maximum number of requests in flight."""
        ...

    def handle_event(self, event: str, value: Any = None) -> None:
        """Handle an event; its name is that of the gate's method."""
        ...

    def handle_report(self, boot_id: str, is_cold: bool, now_s: float) -> None:
        """Handle a report from the target."""
        ...


class GateLimiter:
    """Limiter that uses the product's gate."""

    def __init__(self) -> None:
        self._gate = ColdStartGate(GateSettings(COLD_LIMIT, FULL_LIMIT))

    @property
    def is_confirmed(self) -> bool:
        """Return whether the boot id was read since the target was last idle."""
        return self._gate.is_confirmed

    def has_room(self, now_s: float) -> bool:
        """Return whether one more request may start."""
        return self._gate.has_room

    def limit(self, now_s: float) -> int:
        """Return the maximum number of requests in flight."""
        return self._gate.limit

    def handle_event(self, event: str, value: Any = None) -> None:
        """Call the gate's method of that name."""
        method = getattr(self._gate, event)
        method() if value is None else method(value)

    def handle_report(self, boot_id: str, is_cold: bool, now_s: float) -> None:
        """Pass a report of the target to the gate."""
        self._gate.record_boot(boot_id, now_s)
        self._gate.record_report(is_cold=is_cold, now_s=now_s)


class TimedLimiter:
    """Limiter that depends only on the time since the boot.

    Allows the cold limit for `hold_s`, and then increases it linearly to the full limit
    within `ramp_s`.
    """

    def __init__(self, hold_s: float, ramp_s: float) -> None:
        self._hold_s = hold_s
        self._ramp_s = ramp_s
        self._boot_id = ""
        self._booted_at_s = 0.0
        self._in_flight = 0

    def has_room(self, now_s: float) -> bool:
        """Return whether one more request may start."""
        return self._in_flight < self.limit(now_s)

    def limit(self, now_s: float) -> int:
        """Return the maximum number of requests in flight."""
        ramp_elapsed_s = now_s - self._booted_at_s - self._hold_s
        if ramp_elapsed_s < 0:
            return COLD_LIMIT
        share = min(ramp_elapsed_s / self._ramp_s, 1.0) if self._ramp_s else 1.0
        return COLD_LIMIT + int(share * (FULL_LIMIT - COLD_LIMIT))

    def handle_event(self, event: str, value: Any = None) -> None:
        """Count the requests in flight."""
        self._in_flight += {"record_started": 1, "record_ended": -1}.get(event, 0)

    def handle_report(self, boot_id: str, is_cold: bool, now_s: float) -> None:
        """Return to the cold limit if the target has restarted."""
        if boot_id != self._boot_id:
            self._boot_id = boot_id
            self._booted_at_s = now_s


STRATEGIES: dict[str, Callable[[], Limiter]] = {
    "gate": GateLimiter,
    "gate at each entry": GateLimiter,
    "fixed ramp": lambda: TimedLimiter(0.0, RAMP_S),
    "fixed hold": lambda: TimedLimiter(RAMP_S, 0.0),
    "no gate": lambda: TimedLimiter(0.0, 0.0),
}


@dataclass(eq=False)
class Request:
    """One request, and the limiter in whose queue it waits."""

    limiter_index: int
    arrived_s: float
    is_long: bool = False
    boot: int = 0


class Target:
    """Actual state of the target: whether it is cold, and when it crashes."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self.boot = 0
        self.is_up = False
        self.running: set[Request] = set()
        self._cold_since_s: float | None = None
        self._answers_left = 0
        self._history: list[tuple[float, bool]] = [(float("-inf"), False)]
        self.overloaded_since_s: float | None = None

    def start(self, now_s: float) -> None:
        """Start the process, which is cold at first."""
        self.boot += 1
        self.is_up = True
        self.turn_cold(now_s)

    def turn_cold(self, now_s: float) -> None:
        """Start a cold phase."""
        self._cold_since_s = now_s
        self._answers_left = self._scenario.cold_completions
        self._history.append((now_s, True))
        self.update_overload(now_s)

    def stop(self) -> list[Request]:
        """End the process, and return the requests that were in flight."""
        self.is_up = False
        broken = list(self.running)
        self.running.clear()
        self.overloaded_since_s = None
        return broken

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target is cold."""
        if self._cold_since_s is None:
            return False
        by_answers = self._scenario.cold_completions > 0
        has_elapsed = now_s - self._cold_since_s >= self._scenario.cold_s
        if self._answers_left <= 0 if by_answers else has_elapsed:
            self._cold_since_s = None
            self._history.append((now_s, False))
            self.overloaded_since_s = None
            return False
        return True

    def reports_cold(self, now_s: float) -> bool:
        """Return whether the target reports that it is cold; reports lag behind."""
        self.is_cold(now_s)
        visible_s = now_s - self._scenario.report_lag_s
        return [cold for at_s, cold in self._history if at_s <= visible_s][-1]

    def count_answer(self) -> None:
        """Count an answer towards the end of the cold start."""
        self._answers_left -= 1

    def update_overload(self, now_s: float) -> None:
        """Update since when the target has been overloaded."""
        is_overloaded = self.is_cold(now_s) and len(self.running) > COLD_LIMIT
        if not is_overloaded:
            self.overloaded_since_s = None
        elif self.overloaded_since_s is None:
            self.overloaded_since_s = now_s

    def should_crash(self, now_s: float) -> bool:
        """Return whether the target has been overloaded for too long."""
        self.update_overload(now_s)
        since_s = self.overloaded_since_s
        return (
            since_s is not None
            and now_s - since_s >= self._scenario.overload_tolerance_s
        )
