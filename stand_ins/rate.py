"""A rate limit that waiters share in the order in which they came."""

import anyio

__all__ = ["RateLimit"]


class RateLimit:
    """Let an amount through each second, without bursts."""

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._free_at_s = 0.0

    def reserve(self, amount: int, now_s: float) -> float:
        """Take a place in the order; return the wait until it has passed."""
        if self.rate_per_s <= 0:
            return 0.0
        start_s = max(now_s, self._free_at_s)
        self._free_at_s = start_s + amount / self.rate_per_s
        return self._free_at_s - now_s

    async def take(self, amount: int) -> None:
        """Wait until `amount` has passed; a rate of 0 sets no limit."""
        wait_s = self.reserve(amount, anyio.current_time())
        if wait_s > 0:
            await anyio.sleep(wait_s)
