"""This entry's part of the retries that all entries together may make."""

from collections.abc import Callable

from reedspar.requests.retry_budgets import RetryBudgets
from reedspar.settings import BoundSettings
from reedspar.timers import TimerService
from reedspar.utils import RecentMaximum

__all__ = ["ENTRIES_MIN", "RetryShares", "create_retry_shares"]

SLACK_FRACTION = 0.7
"""Fraction of the slack that the known entries divide among themselves.

The rest is a reserve for entries that have just started, and for entries that don't
know of each other yet."""
STARTUP_FRACTION = 1.0 - SLACK_FRACTION
"""Fraction of the slack that entries divide which have just started.

Targets that stand still may yet read the whole part of the processes before them."""
STANDSTILL_S = 20.0
"""Standstill of targets, from the start of a process on, for which it makes room."""
ENTRIES_MIN = 3
"""Minimum number of entries assumed: one that just started may know no others."""
ENTRY_MEMORY_S = 300.0
"""Time for which an entry counts after its registration has lapsed.

It may serve callers while the store is away, or a link between zones."""
UNKNOWN_COUNT_BURST = 1.0
"""Tokens of an entry that does not know yet how many others there are."""
REGISTRATION_S = 3.0
"""Time after the first listing in which entries that start as well have registered."""
UPDATE_INTERVAL_S = 1.0


class RetryShares:
    """Divides the bound on retries by the entries that may serve callers.

    No window of the bound holds the slack of two processes of one entry: a process
    starts without tokens, and what it has not used for a whole window is filled up.
    Its part is smaller as long as retries of the process before it may still arrive.
    """

    def __init__(
        self,
        bounds: BoundSettings,
        timers: TimerService,
        count_unregistered: Callable[[], int],
    ) -> None:
        self._count_unregistered = count_unregistered
        self._registered = 0
        self._slack = bounds.retry_slack
        self._window_s = bounds.retry_window_ms / 1000
        self._timers = timers
        self._started_s = timers.now_s()
        self._entries = RecentMaximum(ENTRY_MEMORY_S)
        self._listed_s: float | None = None
        self.budgets = RetryBudgets(bounds.retry_share, self._burst())
        self.budgets.start_empty(timers.now_s())
        timers.call_every(UPDATE_INTERVAL_S, self._update)

    def set_bounds(self, bounds: BoundSettings) -> None:
        """Change the bounds of all entries together."""
        self._slack = bounds.retry_slack
        self._window_s = bounds.retry_window_ms / 1000
        self.budgets.set_share(bounds.retry_share)
        self._update()

    def record_listing(self, age_s: float = 0.0) -> None:
        """Record that the registrations were first listed `age_s` ago."""
        self._listed_s = self._timers.now_s() - age_s
        self._update()

    def set_entry_count(self, count: int) -> None:
        """Set the number of entries that are registered now."""
        self._registered = count
        self._update()

    def _update(self) -> None:
        count = self._registered + self._count_unregistered()
        self._entries.record(count, self._timers.now_s())
        self.budgets.set_burst(self._burst())
        self.budgets.refill_unused(self._timers.now_s(), self._window_s)

    def read_entries(self) -> list[tuple[float, dict[str, str]]]:
        """Return among how many entries the slack is divided, for the metrics."""
        return [(self._count() or 0, {})]

    def _count(self) -> float | None:
        """Return among how many entries the slack is divided, None if not known yet."""
        now_s = self._timers.now_s()
        if self._listed_s is None or now_s < self._listed_s + REGISTRATION_S:
            return None
        return max(ENTRIES_MIN, self._entries.read(now_s))

    def _burst(self) -> float:
        """Return this entry's part of the slack."""
        count = self._count()
        if count is None:
            return UNKNOWN_COUNT_BURST
        return self._fraction() * self._slack / count

    def _fraction(self) -> float:
        """Return the fraction of the slack that is divided now."""
        full_s = self._started_s + self._window_s + STANDSTILL_S
        is_full = self._timers.now_s() >= full_s
        return SLACK_FRACTION if is_full else STARTUP_FRACTION


def create_retry_shares(
    bounds: BoundSettings, timers: TimerService, count_unregistered: Callable[[], int]
) -> RetryShares:
    """Create an entry's part of the bounds, with a budget for each pool.

    `count_unregistered` tells how many entries have a link to this one, and no
    registration: the store may turn them away.
    """
    return RetryShares(bounds, timers, count_unregistered)
