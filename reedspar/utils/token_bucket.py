"""Rate limiting with a token bucket."""

__all__ = ["TokenBucket", "update_bucket"]


class TokenBucket:
    """A token bucket that permits `rate_per_s` units a second, and bursts after idle.

    Units are bytes of messages, or requests.  A message may be sent while the bucket
    is not empty.  If the message exceeds the available tokens, the balance becomes
    negative: in any interval, the amount sent exceeds the rate by at most the burst
    and one message.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s: float | None = None

    @property
    def rate_per_s(self) -> float:
        """Return the rate limit."""
        return self._rate

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the rate limit from now on."""
        self._refill(now_s)
        self._rate = rate_per_s

    def is_ready(self, now_s: float) -> bool:
        """Return whether a message may be sent now."""
        self._refill(now_s)
        return self._tokens > 0

    def consume(self, size: float, now_s: float) -> None:
        """Consume the tokens of a message that is sent now."""
        self._refill(now_s)
        self._tokens -= size

    def try_consume(self, size: float, now_s: float) -> bool:
        """Consume the tokens of a message if it may be sent now; return whether so."""
        is_ready = self.is_ready(now_s)
        if is_ready:
            self.consume(size, now_s)
        return is_ready

    def ready_at_s(self, now_s: float) -> float:
        """Return when the next message may be sent, if none is sent before."""
        self._refill(now_s)
        if self._tokens > 0:
            return now_s
        return now_s + (1.0 - self._tokens) / self._rate

    def _refill(self, now_s: float) -> None:
        if self._updated_s is not None:
            # The refill is capped at the burst, even after a pause of the process.
            gained = (now_s - self._updated_s) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._updated_s = now_s


def update_bucket(
    bucket: TokenBucket | None, rate_per_s: float, burst: float, now_s: float
) -> TokenBucket:
    """Set a bucket's rate from now on and return it, or a new one if there is none."""
    if bucket is None:
        return TokenBucket(rate_per_s, burst)
    bucket.set_rate(rate_per_s, now_s)
    return bucket
