"""Retry budgets: token buckets that are filled by first attempts."""

from collections import Counter

from .hand_over import Settlement

__all__ = ["RetryBudget", "RetryBudgets"]

DEFAULT_BURST = 10.0
"""Default capacity of a retry budget."""


class RetryBudget:
    """Limits retries to a share of first attempts, so they can't amplify an outage.

    Each first attempt adds `share` tokens, and each retry uses 1.  The budget
    holds at most `burst` tokens, which limits the retries after a long period
    without failures.  `unused_since_s` is the time since which no retry was made.

    The limit is on what arrives within a window.  So a retry that may still arrive
    takes its room in the budget until it is settled, whenever it was made.
    """

    def __init__(
        self,
        share: float,
        burst: float = DEFAULT_BURST,
        *,
        is_full: bool = True,
        unused_since_s: float = 0.0,
    ) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst if is_full else 0.0
        self._unused_since_s = unused_since_s
        self._uses_before = 0
        """Retries made and settled until `unused_since_s`."""
        self.made = 0
        """Retries since the start."""
        self.refused = 0
        """Retries since the start for which there was no token."""
        self.held = 0
        """Retries that may still arrive."""
        self.settled: Counter[Settlement] = Counter()
        """Retries since the start that can't arrive any more."""

    @property
    def left(self) -> float:
        """Return the number of tokens."""
        return self._tokens

    def set_share(self, share: float) -> None:
        """Change the number of tokens that a first attempt adds."""
        self._share = share

    def set_burst(self, burst: float) -> None:
        """Change the capacity."""
        self._burst = burst
        self._limit()

    def on_first_attempt(self) -> None:
        """Add the tokens of a first attempt."""
        self._tokens += self._share
        self._limit()

    def try_spend(self) -> bool:
        """Remove the token for one retry; return whether there was one."""
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.made += 1
        return True

    def try_hold(self) -> bool:
        """Remove the token for a retry that arrives later; return whether it was there.

        `release` tells when it can't arrive any more.
        """
        if not self.try_spend():
            return False
        self.held += 1
        self._limit()
        return True

    def release(self, settlement: Settlement) -> None:
        """Record that a retry has arrived, or never will."""
        self.held -= 1
        self.settled[settlement] += 1

    def refill_if_unused(self, now_s: float, window_s: float) -> None:
        """Fill the budget if no retry was made or settled for a whole window."""
        uses = self.made + self.settled.total()
        if uses != self._uses_before:
            self._uses_before = uses
            self._unused_since_s = now_s
        elif now_s - self._unused_since_s >= window_s:
            self._tokens = self._burst
            self._limit()

    def _limit(self) -> None:
        self._tokens = max(0.0, min(self._tokens, self._burst - self.held))


class RetryBudgets:
    """One budget for each pool, so that failures in a pool don't affect others."""

    def __init__(self, share: float, burst: float = DEFAULT_BURST) -> None:
        self._share = share
        self._burst = burst
        self._budgets: dict[str, RetryBudget] = {}
        self._is_full = True
        self._unused_since_s = 0.0

    def start_empty(self, now_s: float) -> None:
        """Take all budgets for used up until now.

        The process before this one may have made all retries of the current window.
        """
        self._is_full = False
        self._unused_since_s = now_s

    def for_pool(self, pool: str) -> RetryBudget:
        """Return the budget of a pool."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryBudget(
                self._share,
                self._burst,
                is_full=self._is_full,
                unused_since_s=self._unused_since_s,
            )
            self._budgets[pool] = budget
        return budget

    def refill_unused(self, now_s: float, window_s: float) -> None:
        """Fill the budgets whose retries have all arrived a whole window ago."""
        for budget in self._budgets.values():
            budget.refill_if_unused(now_s, window_s)
        self._is_full = self._is_full or now_s - self._unused_since_s >= window_s

    def set_share(self, share: float) -> None:
        """Change the number of tokens that each first attempt adds."""
        self._share = share
        for budget in self._budgets.values():
            budget.set_share(share)

    def set_burst(self, burst: float) -> None:
        """Change the capacity of each budget when the number of entries changes."""
        self._burst = burst
        for budget in self._budgets.values():
            budget.set_burst(burst)

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the number of retries by pool and outcome."""
        return [
            (count, {"pool": pool, "outcome": outcome})
            for pool, budget in self._budgets.items()
            for outcome, count in (("made", budget.made), ("refused", budget.refused))
        ]

    def read_held(self) -> list[tuple[float, dict[str, str]]]:
        """Return the number of retries that may still arrive, by pool."""
        return [(item.held, {"pool": pool}) for pool, item in self._budgets.items()]

    def read_settled(self) -> list[tuple[float, dict[str, str]]]:
        """Return the number of retries that can't arrive any more, by pool and why."""
        return [
            (count, {"pool": pool, "settlement": settlement.value})
            for pool, budget in self._budgets.items()
            for settlement, count in budget.settled.items()
        ]

    def read_left(self) -> list[tuple[float, dict[str, str]]]:
        """Return the number of retries that are allowed now, by pool."""
        return [(item.left, {"pool": pool}) for pool, item in self._budgets.items()]
