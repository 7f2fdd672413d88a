"""A target in cold start and ways to limit its load, for `bench.cold_start`."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from reedspar.targets import ColdStartGate, GateSettings

__all__ = [
    "COLD_LIMIT",
    "COLD_S",
    "FULL_LIMIT",
    "RAMP_S",
    "SCENARIOS",
    "WARM_S",
    "WAYS",
    "GateLimiter",
    "Limiter",
    "Request",
    "Scenario",
    "Target",
]

COLD_LIMIT = 1
FULL_LIMIT = 8
WARM_S = 0.2
COLD_S = 1.0
RAMP_S = 10.0


@dataclass(frozen=True)
class Scenario:
    """How the target is cold, and what it tells of it."""

    name: str
    cold_s: float = 8.0
    cold_completions: int = 0
    """If set, the target is cold for as many answers instead of `cold_s`."""
    report_lag_s: float = 0.0
    turns_cold: bool = False
    """Turns cold at `EVENT_S` without another boot."""
    restarts: bool = False
    """Restarts at `EVENT_S` in full flight."""
    long_share: float = 0.0
    """Share of requests whose first byte takes six times as long."""
    borne_s: float = 0.5
    """How long more than the cold limit is borne."""


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
        "silent turn, lags, bears 2 s", turns_cold=True, report_lag_s=3.0, borne_s=2.0
    ),
    Scenario("one in ten is long", long_share=0.1),
    Scenario("one in five is long", long_share=0.2),
)


class Limiter(Protocol):
    """Decides whether one more request may start."""

    def has_room(self, now_s: float) -> bool:
        """Tell whether one more may start."""
        ...

    def limit(self, now_s: float) -> int:
        """Return how many may be in flight."""
        ...

    def note(self, event: str, value: Any = None) -> None:
        """Take in an event, named as the gate's method."""
        ...

    def note_state(self, boot_id: str, is_cold: bool, now_s: float) -> None:
        """Take in the target's report."""
        ...


class GateLimiter:
    """The product's gate."""

    def __init__(self) -> None:
        self._gate = ColdStartGate(GateSettings(COLD_LIMIT, FULL_LIMIT))

    @property
    def is_confirmed(self) -> bool:
        """Tell whether the boot was read since the target was last idle."""
        return self._gate.is_confirmed

    def has_room(self, now_s: float) -> bool:
        """Tell whether one more may start."""
        return self._gate.has_room

    def limit(self, now_s: float) -> int:
        """Return how many may be in flight."""
        return self._gate.limit

    def note(self, event: str, value: Any = None) -> None:
        """Call the gate's method of that name."""
        method = getattr(self._gate, event)
        method() if value is None else method(value)

    def note_state(self, boot_id: str, is_cold: bool, now_s: float) -> None:
        """Take in the target's report."""
        self._gate.note_boot(boot_id, now_s)
        self._gate.note_report(is_cold=is_cold, now_s=now_s)


class TimedLimiter:
    """A limit by the time since the boot: held for `hold_s`, then grown evenly."""

    def __init__(self, hold_s: float, ramp_s: float) -> None:
        self._hold_s = hold_s
        self._ramp_s = ramp_s
        self._boot_id = ""
        self._since_s = 0.0
        self._in_flight = 0

    def has_room(self, now_s: float) -> bool:
        """Tell whether one more may start."""
        return self._in_flight < self.limit(now_s)

    def limit(self, now_s: float) -> int:
        """Return how many may be in flight."""
        grown_s = now_s - self._since_s - self._hold_s
        if grown_s < 0:
            return COLD_LIMIT
        share = min(grown_s / self._ramp_s, 1.0) if self._ramp_s else 1.0
        return COLD_LIMIT + int(share * (FULL_LIMIT - COLD_LIMIT))

    def note(self, event: str, value: Any = None) -> None:
        """Count what is in flight."""
        self._in_flight += {"note_started": 1, "note_ended": -1}.get(event, 0)

    def note_state(self, boot_id: str, is_cold: bool, now_s: float) -> None:
        """Start the ramp again at another boot."""
        if boot_id != self._boot_id:
            self._boot_id = boot_id
            self._since_s = now_s


WAYS: dict[str, Callable[[], Limiter]] = {
    "gate": GateLimiter,
    "gate at each entry": GateLimiter,
    "fixed ramp": lambda: TimedLimiter(0.0, RAMP_S),
    "fixed hold": lambda: TimedLimiter(RAMP_S, 0.0),
    "no gate": lambda: TimedLimiter(0.0, 0.0),
}


@dataclass(eq=False)
class Request:
    """One request and where it waits."""

    place: int
    arrived_s: float
    is_long: bool = False
    boot: int = 0


class Target:
    """The target's truth: cold or not, and when it falls over."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self.boot = 0
        self.is_up = False
        self.running: set[Request] = set()
        self._cold_since_s: float | None = None
        self._answers_left = 0
        self._history: list[tuple[float, bool]] = [(float("-inf"), False)]
        self.over_since_s: float | None = None

    def start(self, now_s: float) -> None:
        """Start the process, cold."""
        self.boot += 1
        self.is_up = True
        self.turn_cold(now_s)

    def turn_cold(self, now_s: float) -> None:
        """Turn cold."""
        self._cold_since_s = now_s
        self._answers_left = self._scenario.cold_completions
        self._history.append((now_s, True))
        self.note_load(now_s)

    def stop(self) -> list[Request]:
        """End the process; return what was broken off."""
        self.is_up = False
        broken = list(self.running)
        self.running.clear()
        self.over_since_s = None
        return broken

    def is_cold(self, now_s: float) -> bool:
        """Tell whether it is cold."""
        if self._cold_since_s is None:
            return False
        by_answers = self._scenario.cold_completions > 0
        is_over = now_s - self._cold_since_s >= self._scenario.cold_s
        if self._answers_left <= 0 if by_answers else is_over:
            self._cold_since_s = None
            self._history.append((now_s, False))
            self.over_since_s = None
            return False
        return True

    def report_cold(self, now_s: float) -> bool:
        """Return what it reports, as late as its report is."""
        self.is_cold(now_s)
        seen_s = now_s - self._scenario.report_lag_s
        return [cold for at_s, cold in self._history if at_s <= seen_s][-1]

    def note_answer(self) -> None:
        """Count an answer towards the end of the cold start."""
        self._answers_left -= 1

    def note_load(self, now_s: float) -> None:
        """Take in that the load changed."""
        is_over = self.is_cold(now_s) and len(self.running) > COLD_LIMIT
        if not is_over:
            self.over_since_s = None
        elif self.over_since_s is None:
            self.over_since_s = now_s

    def falls_over(self, now_s: float) -> bool:
        """Tell whether it has had too much for too long."""
        self.note_load(now_s)
        since_s = self.over_since_s
        return since_s is not None and now_s - since_s >= self._scenario.borne_s
