"""Retry budgets: token buckets that are filled by first attempts."""

__all__ = ["RetryBudget", "RetryBudgets"]

DEFAULT_BURST = 10.0
"""Default capacity of a retry budget."""


class RetryBudget:
    """Limits retries to a share of first attempts, so they can't amplify an outage.

    Each first attempt adds `share` tokens, and each retry uses 1.  The budget
    holds at most `burst` tokens, which limits the retries after a long period
    without failures.  It starts with `start_fraction` of them: the process before this
    one may have used its own just now.
    """

    def __init__(
        self, share: float, burst: float = DEFAULT_BURST, start_fraction: float = 1.0
    ) -> None:
        self._share = share
        self._burst = burst
        self._start_fraction = start_fraction
        self._tokens = start_fraction * burst
        self._added = 0.0
        """Tokens added since the start."""
        self.made = 0
        """Retries since the start."""
        self.refused = 0
        """Retries since the start for which there was no token."""

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
        started_with = self._start_fraction * burst
        self._tokens = min(self._tokens, burst, started_with + self._added)

    def on_first_attempt(self) -> None:
        """Add the tokens of a first attempt."""
        self._added += self._share
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Remove the token for one retry; return whether there was one."""
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.made += 1
        return True


class RetryBudgets:
    """One budget for each pool, so that failures in a pool don't affect others."""

    def __init__(
        self, share: float, burst: float = DEFAULT_BURST, start_fraction: float = 1.0
    ) -> None:
        self._share = share
        self._burst = burst
        self._start_fraction = start_fraction
        self._budgets: dict[str, RetryBudget] = {}

    def for_pool(self, pool: str) -> RetryBudget:
        """Return the budget of a pool."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryBudget(self._share, self._burst, self._start_fraction)
            self._budgets[pool] = budget
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

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the number of retries by pool and outcome."""
        return [
            (count, {"pool": pool, "outcome": outcome})
            for pool, budget in self._budgets.items()
            for outcome, count in (("made", budget.made), ("refused", budget.refused))
        ]

    def read_left(self) -> list[tuple[float, dict[str, str]]]:
        """Return the number of retries that are allowed now, by pool."""
        return [(item.left, {"pool": pool}) for pool, item in self._budgets.items()]
