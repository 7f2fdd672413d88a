"""Pacing of a link, or of requests, to a budget."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Let `rate` units a second through, and `burst` at once after a rest.

    Units are bytes of messages, or requests.  A message may go as soon as the
    bucket is not empty, and leaves a debt if it is larger than what is there:
    over any time the excess is at most the burst and one message.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s: float | None = None

    @property
    def rate_per_s(self) -> float:
        """Return the budget."""
        return self._rate

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the budget from now on."""
        self._refill(now_s)
        self._rate = rate_per_s

    def is_ready(self, now_s: float) -> bool:
        """Tell whether a message may go now."""
        self._refill(now_s)
        return self._tokens > 0

    def take(self, size: float, now_s: float) -> None:
        """Count a message that goes now."""
        self._refill(now_s)
        self._tokens -= size

    def ready_at_s(self, now_s: float) -> float:
        """Return when the next message may go, if no other goes before."""
        self._refill(now_s)
        if self._tokens > 0:
            return now_s
        return now_s + (1.0 - self._tokens) / self._rate

    def _refill(self, now_s: float) -> None:
        if self._updated_s is not None:
            # A pause of the process refills no more than the burst.
            gained = (now_s - self._updated_s) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._updated_s = now_s
