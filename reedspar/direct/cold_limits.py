"""Limits of the requests that this entry sends to cold targets.

Entries choose targets independently.  Without coordination, each keeps to its share of
the rate that the operator's configuration grants, so that the shares add up to it.
"""

from collections.abc import Iterable

from reedspar.utils import TokenBucket, rendezvous_score, update_bucket

from .loads import TargetLoad
from .sender_ranking import SenderRanking

__all__ = ["ColdLimits"]

STARTUP_MAX_S = 4.0
"""Maximum time after its start for which an entry applies startup limits.

Its list of entries may be incomplete then.  After a power loss all entries start within
seconds of each other, and an entry is listed only once it has registered."""
ENTRIES_SETTLE_TIME_S = 1.5
"""Time without a change of the known daemons after which startup limits end early."""
ENTRIES_PER_TARGET = 2.0
"""Minimum number of entries assumed during startup, per listed target."""

COLD_BURST = 1.0
"""Requests that an entry may send to a cold target at once after a pause."""
SENDERS_MAX = 9
"""Maximum number of entries that may send to one cold target.

Each may send one request at once after a pause, so nine senders exceed the rate by at
most nine within a second.  The platform tolerates an excess of half the rate and five,
which is 23 at 36 requests a second.  With 46 senders, 92 requests can arrive within a
second."""
SENDERS_MIN = 3
"""Minimum number of senders assumed: an entry that just started may know no others."""
SCORE_RANGE = 2.0**64
"""Number of possible rendezvous scores."""


class ColdLimits:
    """Limits the requests from this entry to cold targets."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._ranking = SenderRanking(name)
        self._target_count = 0
        self._startup_end_s = self._startup_deadline_s = float("-inf")

    @property
    def ranking(self) -> SenderRanking:
        """Return the ranking of the entries that may send to a target."""
        return self._ranking

    def begin_startup(self, now_s: float) -> None:
        """Apply startup limits until entries are stable, at most `STARTUP_MAX_S`."""
        self._startup_deadline_s = now_s + STARTUP_MAX_S
        self._startup_end_s = now_s + ENTRIES_SETTLE_TIME_S

    def record_entries_change(self, now_s: float) -> None:
        """Restart the wait for stable entries if the startup limits still apply."""
        if self._is_starting(now_s):
            self._startup_end_s = min(
                now_s + ENTRIES_SETTLE_TIME_S, self._startup_deadline_s
            )

    def set_target_count(self, count: int) -> None:
        """Set the number of targets of all services."""
        self._target_count = count

    def set_entries(self, names: Iterable[str]) -> None:
        """Set the names of the entries that may send; this entry is always included."""
        self._ranking.set_entries(names)

    def may_send(
        self, target_id: str, load: TargetLoad, rate_per_s: float, now_s: float
    ) -> bool:
        """Return whether one more request may be sent to a cold target now."""
        if rate_per_s <= 0:
            return True
        if not self._is_sender(target_id, now_s):
            return False
        is_new = load.cold_bucket is None
        bucket = self._update_bucket(load, rate_per_s, now_s)
        if is_new and self._is_starting(now_s):
            # Delays the first request so that entries starting together don't all
            # send at once.
            bucket.consume(COLD_BURST + self._score_fraction(target_id), now_s)
        return bucket.is_ready(now_s)

    def record_sent(self, load: TargetLoad, rate_per_s: float, now_s: float) -> None:
        """Count a request to a cold target."""
        if rate_per_s > 0:
            self._update_bucket(load, rate_per_s, now_s).consume(1, now_s)

    def _is_sender(self, target_id: str, now_s: float) -> bool:
        """Return whether this entry is one of the senders for a target."""
        expected_count = ENTRIES_PER_TARGET * self._target_count
        if self._is_starting(now_s) and expected_count > self._ranking.entry_count:
            # Approximates the ranking that holds once all entries are known.
            return (1 - self._score_fraction(target_id)) * expected_count < SENDERS_MAX
        return self._ranking.is_sender(target_id, SENDERS_MAX)

    def _score_fraction(self, target_id: str) -> float:
        """Return the rendezvous score of this entry, scaled to the range 0 to 1."""
        return rendezvous_score(target_id, self._name) / SCORE_RANGE

    def _is_starting(self, now_s: float) -> bool:
        return now_s < self._startup_end_s

    def _update_bucket(
        self, load: TargetLoad, rate_per_s: float, now_s: float
    ) -> TokenBucket:
        min_senders = SENDERS_MAX if self._is_starting(now_s) else SENDERS_MIN
        share_per_s = rate_per_s / min(
            SENDERS_MAX, max(min_senders, self._ranking.entry_count)
        )
        load.cold_bucket = update_bucket(
            load.cold_bucket, share_per_s, COLD_BURST, now_s
        )
        return load.cold_bucket
