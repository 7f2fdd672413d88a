"""Decide how many requests a target bears at once.

A target in cold start falls over under full load, and its reported load lags.
The limit therefore follows what this agent sees itself: it begins at the cold
limit, grows by completions, and drops at once on a new boot, on a report of
cold start, or when the latency jumps.  The agent is the only one that gives
the target work, so the limit holds however many entries there are.
"""

from dataclasses import dataclass

__all__ = ["ColdStartGate", "GateSettings"]

LATENCY_SMOOTHING = 0.1
LATE_FACTOR = 4.0
LATE_THRESHOLD_MIN_S = 0.05
WARM_COMPLETIONS_PER_SLOT = 2
LATE_FIRST_BYTE_SMOOTHING = 0.004
"""A first byte that is far too late hardly counts as usual: taken as such, a
target that turned cold without a word would soon look as it always did."""
LATE_COUNT_TO_HALVE_LIMIT = 3
LATE_COUNT_TO_TURN_COLD = 8
"""Late first bytes in a row.  A few are long prompts; a target that turned cold
is late with every one."""
REPORT_LAG_MAX_S = 3.0


@dataclass(frozen=True, slots=True)
class GateSettings:
    """Bounds on a target's concurrency."""

    cold_concurrency: int
    concurrency_limit: int
    report_lag_s: float = REPORT_LAG_MAX_S
    """How old the target's own report may be."""


class ColdStartGate:
    """The limit on requests in flight at one target."""

    def __init__(self, settings: GateSettings) -> None:
        self._settings = settings
        self._boot_id = ""
        self._is_reported_cold = True
        self._limit = settings.cold_concurrency
        self._in_flight = 0
        self._completions_since_cold = 0
        self._latency_s = 0.0
        self._stream_first_byte_s = 0.0
        self._is_confirmed = False
        self._consecutive_late = 0
        self._updated_s = float("-inf")
        self._cold_since_s = float("-inf")

    @property
    def limit(self) -> int:
        """Return how many requests may be in flight now."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Return how many requests are in flight."""
        return self._in_flight

    @property
    def latency_s(self) -> float:
        """Return the smoothed time to the first byte."""
        return self._latency_s

    @property
    def boot_id(self) -> str:
        """Return the boot that the limit is for."""
        return self._boot_id

    @property
    def is_cold(self) -> bool:
        """Tell whether the target is held to the cold limit."""
        needed_completions = self._settings.cold_concurrency * WARM_COMPLETIONS_PER_SLOT
        return (
            self._is_reported_cold or self._completions_since_cold < needed_completions
        )

    @property
    def is_confirmed(self) -> bool:
        """Tell whether the boot was read since the target was last idle."""
        return self._is_confirmed

    @property
    def has_room(self) -> bool:
        """Tell whether one more request may start.

        A target that restarts while it is idle breaks no stream that would
        show it, and the next burst would meet it cold.  After a moment without
        requests only the cold limit may start, until the boot is confirmed.
        """
        cold = self._settings.cold_concurrency
        bound = self._limit if self._is_confirmed else min(cold, self._limit)
        return self._in_flight < bound

    def note_boot(self, boot_id: str, now_s: float) -> bool:
        """Take in the boot id just read; tell whether it differs from the last."""
        self._updated_s = now_s
        self._is_confirmed = True
        if not boot_id or boot_id == self._boot_id:
            return False
        self._boot_id = boot_id
        self._latency_s = 0.0
        self._stream_first_byte_s = 0.0
        self._turn_cold()
        self._is_confirmed = True
        return True

    def note_report(self, *, is_cold: bool, now_s: float) -> None:
        """Take in the target's own, lagging, report.

        A report may be as old as its lag.  Soon after a boot, or after the
        latency has shown a turn to cold, "warm" may tell of the time before;
        believed, it would let through more than the cold target bears.
        """
        self._updated_s = now_s
        if is_cold and not self._is_reported_cold:
            self.drop()
        may_be_outdated = now_s - self._cold_since_s < self._settings.report_lag_s
        self._is_reported_cold = is_cold or may_be_outdated

    def note_overdue(self) -> None:
        """Take in that the target is late with its report."""
        self._is_confirmed = False

    def drop(self) -> None:
        """Go back to the cold limit."""
        self._is_confirmed = False
        self._limit = self._settings.cold_concurrency
        self._completions_since_cold = 0

    def note_started(self) -> None:
        """Take in that a request was handed to the target."""
        self._in_flight += 1

    def note_ended(self) -> None:
        """Take in that a request is no longer at the target."""
        self._in_flight -= 1
        if not self._in_flight:
            self._is_confirmed = False

    def note_first_byte(self, latency_s: float, *, is_streamed: bool = True) -> None:
        """Take in how long a request's first byte took.

        Only a streamed answer's tells of the target: that of a whole one is as
        late as the answer is long, and the two kinds are not comparable.
        """
        self._latency_s = _smooth(self._latency_s, latency_s, LATENCY_SMOOTHING)
        if not is_streamed:
            return
        average_s = self._stream_first_byte_s
        late_threshold_s = max(average_s * LATE_FACTOR, LATE_THRESHOLD_MIN_S)
        is_late = bool(average_s) and latency_s > late_threshold_s
        weight = LATE_FIRST_BYTE_SMOOTHING if is_late else LATENCY_SMOOTHING
        self._stream_first_byte_s = _smooth(average_s, latency_s, weight)
        if is_late:
            self._handle_late_first_byte()
        else:
            self._consecutive_late = 0

    def note_completed(self) -> None:
        """Take in that a request was answered whole."""
        self._completions_since_cold += 1
        if not self.is_cold:
            self._limit = min(self._limit + 1, self._settings.concurrency_limit)

    def note_broken(self) -> None:
        """Take in that the target broke off an answer: it may be restarting."""
        self.drop()

    def _handle_late_first_byte(self) -> None:
        """Act on a late first byte: the target may have turned cold silently.

        Its report lags.  Were the limit to wait for it, full load would bring
        the target down.
        """
        self._consecutive_late += 1
        if self._consecutive_late == LATE_COUNT_TO_HALVE_LIMIT:
            self._limit = max(self._settings.cold_concurrency, self._limit // 2)
        elif self._consecutive_late == LATE_COUNT_TO_TURN_COLD:
            # What is usual is learned anew, or a target that is slower for
            # good would be taken for cold again and again.
            self._stream_first_byte_s = 0.0
            self._turn_cold()

    def _turn_cold(self) -> None:
        """Hold to the cold limit until a report can't be from before."""
        self._cold_since_s = self._updated_s
        self._is_reported_cold = True
        self._consecutive_late = 0
        self.drop()


def _smooth(known: float, value: float, weight: float) -> float:
    """Return the moving average; the first value is taken as it is."""
    return known + weight * (value - known) if known else value
