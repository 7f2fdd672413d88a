"""Retry budgets: token buckets that are filled by first attempts."""

__all__ = ["RetryBudget", "RetryBudgets"]

DEFAULT_BURST = 10.0
"""Default capacity of a retry budget."""


class RetryBudget:
    """Limits retries to a share of first attempts, so they can't amplify an outage.

    Each first attempt adds `share` tokens, and each retry uses 1.  The budget
    holds at most `burst` tokens, which limits the retries after a long period
    without failures.
    """

    def __init__(self, share: float, burst: float = DEFAULT_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst
        self.refused = 0

    def set_share(self, share: float) -> None:
        """Change the number of tokens that a first attempt adds."""
        self._share = share

    def set_burst(self, burst: float) -> None:
        """Change the capacity."""
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def on_first_attempt(self) -> None:
        """Add the tokens of a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Remove the token for one retry; return whether there was one."""
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        return True


class RetryBudgets:
    """One budget for each pool, so that failures in a pool don't affect others."""

    def __init__(self, share: float, burst: float = DEFAULT_BURST) -> None:
        self._share = share
        self._burst = burst
        self._budgets: dict[str, RetryBudget] = {}

    def for_pool(self, pool: str) -> RetryBudget:
        """Return the budget of a pool."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = self._budgets[pool] = RetryBudget(self._share, self._burst)
        return budget

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
