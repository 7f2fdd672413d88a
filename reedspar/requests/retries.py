"""Decision: how many retries first attempts pay for."""

__all__ = ["RetryBudget", "RetryBudgets"]

BURST = 10.0


class RetryBudget:
    """Retries as a share of first attempts, so that a fault isn't multiplied.

    Each first attempt pays in `share`, each retry takes out 1; at most `burst`
    is saved up, so that a quiet hour does not pay for a storm.
    """

    def __init__(self, share: float, burst: float = BURST) -> None:
        self._share = share
        self._burst = burst
        self._saved = burst
        self.refused = 0

    def set_share(self, share: float) -> None:
        """Change what a first attempt pays in."""
        self._share = share

    def set_burst(self, burst: float) -> None:
        """Change what may be saved up."""
        self._burst = burst
        self._saved = min(self._saved, burst)

    def on_first_attempt(self) -> None:
        """Pay in for a first attempt."""
        self._saved = min(self._burst, self._saved + self._share)

    def try_spend(self) -> bool:
        """Take out one retry, if there is one."""
        if self._saved < 1.0:
            self.refused += 1
            return False
        self._saved -= 1.0
        return True


class RetryBudgets:
    """A budget for each pool: one pool's fault spends nothing of another's."""

    def __init__(self, share: float, burst: float = BURST) -> None:
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
        """Change what each first attempt pays in."""
        self._share = share
        for budget in self._budgets.values():
            budget.set_share(share)

    def set_burst(self, burst: float) -> None:
        """Change what each budget may save up, as entries come and go."""
        self._burst = burst
        for budget in self._budgets.values():
            budget.set_burst(burst)
