"""A rate limiter that serves its waiters in FIFO order."""

import anyio

__all__ = ["RateLimit"]


class RateLimit:
    """Limits the amount per second and allows no bursts."""

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._available_at_s = 0.0

    def reserve(self, amount: int, now_s: float) -> float:
        """Reserve `amount` behind earlier reservations; return the seconds to wait."""
        if self.rate_per_s <= 0:
            return 0.0
        start_s = max(now_s, self._available_at_s)
        self._available_at_s = start_s + amount / self.rate_per_s
        return self._available_at_s - now_s

    async def acquire(self, amount: int) -> None:
        """Reserve `amount` and wait for it; a rate of 0 sets no limit."""
        wait_s = self.reserve(amount, anyio.current_time())
        if wait_s > 0:
            await anyio.sleep(wait_s)
