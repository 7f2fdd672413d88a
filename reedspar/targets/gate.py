"""Adaptive concurrency limit of a target, with slow start after a cold start.

A target in cold start crashes under full load, and its own report lags.  The limit
therefore follows what the agent observes: it starts at the cold limit, grows with each
completed request, and drops at once on a new boot id, on a report of cold start, or
when the latency rises sharply.  All requests to the target pass through its agent, so
the limit holds for any number of entries.
"""

from dataclasses import dataclass

__all__ = ["ColdStartGate", "GateSettings"]

LATENCY_SMOOTHING = 0.1
"""Weight of a new value in a moving average."""
LATE_FACTOR = 4.0
"""Multiple of the average first byte time above which a first byte is late."""
LATE_THRESHOLD_MIN_S = 0.05
WARM_COMPLETIONS_PER_SLOT = 2
"""Requests, per slot of the cold limit, to be completed before a target is warm."""
LATE_FIRST_BYTE_SMOOTHING = 0.004
"""Weight of a late first byte in the average.

With the usual weight, the average would soon adapt to a target that turned cold
without reporting it, and its first bytes would no longer count as late."""
LATE_COUNT_TO_HALVE_LIMIT = 3
LATE_COUNT_TO_TURN_COLD = 8
"""Consecutive late first bytes.  A few may come from long prompts; those of a target
that turned cold are all late."""
REPORT_LAG_MAX_S = 3.0


@dataclass(frozen=True, slots=True)
class GateSettings:
    """Limits of a target's concurrency."""

    cold_concurrency: int
    concurrency_limit: int
    report_lag_s: float = REPORT_LAG_MAX_S
    """Maximum age of the state in the target's own report."""


class ColdStartGate:
    """Limits the requests in flight at one target."""

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
        """Return the current limit of requests in flight."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._in_flight

    @property
    def latency_s(self) -> float:
        """Return the smoothed time to the first byte."""
        return self._latency_s

    @property
    def boot_id(self) -> str:
        """Return the boot id that the limit applies to."""
        return self._boot_id

    @property
    def is_cold(self) -> bool:
        """Return whether the target is restricted to the cold limit."""
        needed_completions = self._settings.cold_concurrency * WARM_COMPLETIONS_PER_SLOT
        return (
            self._is_reported_cold or self._completions_since_cold < needed_completions
        )

    @property
    def is_confirmed(self) -> bool:
        """Return whether the boot id was read since the target was last idle."""
        return self._is_confirmed

    @property
    def has_room(self) -> bool:
        """Return whether one more request may start.

        When an idle target restarts, no stream breaks and reveals it, and the next
        burst would reach the target cold.  After an idle period the cold limit
        applies until the boot id is confirmed.
        """
        cold = self._settings.cold_concurrency
        bound = self._limit if self._is_confirmed else min(cold, self._limit)
        return self._in_flight < bound

    def record_boot(self, boot_id: str, now_s: float) -> bool:
        """Record the boot id just read; return whether it has changed."""
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

    def record_report(self, *, is_cold: bool, now_s: float) -> None:
        """Process the target's own report, which lags.

        Within the lag after a boot, or after the latency has shown that the target
        turned cold, a "warm" report may describe the time before.  Trusting it would
        admit more requests than the cold target can handle.
        """
        self._updated_s = now_s
        if is_cold and not self._is_reported_cold:
            self.drop_to_cold_limit()
        may_be_outdated = now_s - self._cold_since_s < self._settings.report_lag_s
        self._is_reported_cold = is_cold or may_be_outdated

    def record_overdue_report(self) -> None:
        """Require a new confirmation: the target's report is overdue."""
        self._is_confirmed = False

    def drop_to_cold_limit(self) -> None:
        """Drop to the cold limit."""
        self._is_confirmed = False
        self._limit = self._settings.cold_concurrency
        self._completions_since_cold = 0

    def record_started(self) -> None:
        """Count a request sent to the target."""
        self._in_flight += 1

    def record_ended(self) -> None:
        """Stop counting a request that is no longer at the target."""
        self._in_flight -= 1
        if not self._in_flight:
            self._is_confirmed = False

    def record_first_byte(self, latency_s: float, *, is_streamed: bool = True) -> None:
        """Record the time to the first byte of an answer.

        Only streamed answers are checked for lateness.  The first byte of an answer
        that is sent as a whole takes as long as the answer, so the two kinds are not
        comparable.
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

    def record_completed(self) -> None:
        """Record a completed answer and raise the limit if the target is warm."""
        self._completions_since_cold += 1
        if not self.is_cold:
            self._limit = min(self._limit + 1, self._settings.concurrency_limit)

    def record_broken(self) -> None:
        """Drop to the cold limit: a broken answer may come from a restart."""
        self.drop_to_cold_limit()

    def _handle_late_first_byte(self) -> None:
        """Reduce the limit: the target may have turned cold without reporting it.

        Its report lags, and full load until the report arrives would crash it.
        """
        self._consecutive_late += 1
        if self._consecutive_late == LATE_COUNT_TO_HALVE_LIMIT:
            self._limit = max(self._settings.cold_concurrency, self._limit // 2)
        elif self._consecutive_late == LATE_COUNT_TO_TURN_COLD:
            # Restart the average; otherwise a permanently slower target would be
            # taken for cold repeatedly.
            self._stream_first_byte_s = 0.0
            self._turn_cold()

    def _turn_cold(self) -> None:
        """Apply the cold limit until a report is certain to be newer."""
        self._cold_since_s = self._updated_s
        self._is_reported_cold = True
        self._consecutive_late = 0
        self.drop_to_cold_limit()


def _smooth(known: float, value: float, weight: float) -> float:
    """Return the moving average; the first value replaces an average of 0."""
    return known + weight * (value - known) if known else value
