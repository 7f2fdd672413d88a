"""Decision: this entry's part of what a cold target bears.

All entries send to targets by themselves.  Without agreement each keeps to its
part of the rate that the operator's configuration grants, so that all parts
together stay within it.
"""

from reedspar.utils import TokenBucket

from .loads import TargetLoad

__all__ = ["ColdLimits"]

COLD_BURST = 1.0
"""Requests that an entry may send a cold target at once.

Nine entries with a burst of one go nine beyond the rate within a second; the
platform's bound is half the rate and five more, which is 23 at 36 a second."""


class ColdLimits:
    """Limits what cold targets get from this entry."""

    def __init__(self) -> None:
        self._entry_count = 1

    def set_entry_count(self, count: int) -> None:
        """Take the number of entries that may send; at least this one."""
        self._entry_count = max(1, count)

    def may_send(self, load: TargetLoad, rate_per_s: float, now_s: float) -> bool:
        """Tell whether a cold target may get one more request now."""
        if rate_per_s <= 0:
            return True
        return self._bucket_of(load, rate_per_s, now_s).is_ready(now_s)

    def note_sent(self, load: TargetLoad, rate_per_s: float, now_s: float) -> None:
        """Count a request to a cold target."""
        if rate_per_s > 0:
            self._bucket_of(load, rate_per_s, now_s).take(1, now_s)

    def _bucket_of(
        self, load: TargetLoad, rate_per_s: float, now_s: float
    ) -> TokenBucket:
        part = rate_per_s / self._entry_count
        bucket = load.cold_bucket
        if bucket is None:
            bucket = load.cold_bucket = TokenBucket(part, COLD_BURST)
        elif bucket.rate_per_s != part:
            bucket.set_rate(part, now_s)
        return bucket
