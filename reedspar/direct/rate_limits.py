"""Rate limits that targets name in their answers.

A target in need names the requests a second that it takes from all entries together,
in each of its answers for as long as the limit holds.  Some entries, by rank, share
that rate; the others send nothing.  As these would never learn that a limit has
changed or ended, the entries tell each other what answers show.
"""

import logging
from collections import Counter
from dataclasses import dataclass

from reedspar.fleet import FleetView, TargetLimitNews, TargetRecord
from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService
from reedspar.utils import TokenBucket, update_bucket

from .loads import TargetLoads
from .notices import TargetNotice
from .run_states import RunStates
from .sender_ranking import SenderRanking

__all__ = ["NamedLimit", "RateLimits"]

SENDERS_MIN = 4
SENDERS_MAX = 9
"""Bounds of the number of entries that may send to one limited target.

Each may send one request at once after a pause.  The platform tolerates, in four
seconds, half more than the limit and five requests."""
SENDERS_PER_RATE_S = 2.0
"""Additional senders for each request a second of the limit."""
RATE_MIN_PER_S = 0.2
"""Lowest rate at which a limited target gets requests.

Without any, no answer could show that its limit has ended."""
TOKENS_MAX = 0.01
"""Tokens kept after a pause.  A bucket that is not empty permits one request."""
ANNOUNCED_CHANGE_MIN = 0.25
"""Smallest relative change of a limit that is announced before the next refresh."""
REFRESH_INTERVAL_S = 5.0
"""Time without an announcement after which an unchanged limit is announced again."""
LIMIT_TTL_S = 30.0
"""Time without evidence after which a limit is forgotten.

Its senders may have stopped, and the announcement of its end may be lost."""

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class NamedLimit:
    """The rate limit that a target has named, if any."""

    rate_per_s: float | None = None
    """Requests a second that the target takes from all entries together."""
    valid_from_s: float = float("-inf")
    """Time up to which earlier evidence is outdated."""
    heard_at_s: float = float("-inf")
    """When evidence last arrived."""
    bucket: TokenBucket | None = None
    """This entry's share of the limit."""
    announced_per_s: float | None = None
    """The limit that was last announced, by this entry or to it."""
    announced_at_s: float = float("-inf")


class RateLimits:
    """Keeps the rate limits of targets, and this entry's share of each."""

    def __init__(
        self,
        name: str,
        ranking: SenderRanking,
        loads: TargetLoads,
        view: FleetView,
        network: Network,
        timers: TimerService,
    ) -> None:
        self._name = name
        self._ranking = ranking
        self._loads = loads
        self._view = view
        self._network = network
        self._timers = timers
        self._limits = RunStates(NamedLimit, _is_forgotten)
        self._counts: Counter[str] = Counter(named=0, ended=0)
        network.subscribe(TargetLimitNews, self._handle_news)

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the counts of limits that began and ended, with labels."""
        return [(count, {"change": change}) for change, count in self._counts.items()]

    def rate_per_s(self, boot_id: str) -> float | None:
        """Return the rate that a run of a target has named, None without a limit."""
        limit = self._limits.find(boot_id, self._timers.now_s())
        return limit.rate_per_s if limit is not None else None

    def may_send(self, target: TargetRecord, now_s: float) -> bool:
        """Return whether one more request may be sent to a target now."""
        limit = self._limits.find(target.boot_id, now_s)
        if limit is None or limit.rate_per_s is None:
            return True
        if not self._ranking.is_sender(target.id, _senders_max(limit.rate_per_s)):
            return False
        return self._update_bucket(limit, limit.rate_per_s, now_s).is_ready(now_s)

    def record_sent(self, target: TargetRecord, now_s: float) -> None:
        """Count a request to a target, if it has named a limit."""
        limit = self._limits.find(target.boot_id, now_s)
        if limit is not None and limit.rate_per_s is not None:
            self._update_bucket(limit, limit.rate_per_s, now_s).consume(1, now_s)

    def record_notice(self, notice: TargetNotice) -> None:
        """Record the limit that an answer names, if any.

        An answer with a limit shows the state when it arrives.  One without shows that
        after its request was sent: an answer with a limit may have overtaken it.
        """
        if not notice.shows_rate_limit:
            return
        now_s = self._timers.now_s()
        valid_from_s: float | None = now_s
        if notice.rate_per_s is None:
            attempt = self._loads.find_attempt(notice.target_id, notice.request_id)
            valid_from_s = attempt.handed_over_s if attempt is not None else None
        if valid_from_s is None:
            return
        limit = self._limits.find_or_add(notice.boot_id, now_s)
        self._apply(notice.target_id, limit, notice.rate_per_s, valid_from_s)
        if self._is_due(limit, now_s):
            self._announce(notice.target_id, notice.boot_id, limit, now_s)

    def _apply(
        self,
        target_id: str,
        limit: NamedLimit,
        rate_per_s: float | None,
        valid_from_s: float,
    ) -> bool:
        """Apply what an answer shows; return False if later evidence is known."""
        if valid_from_s < limit.valid_from_s:
            return False
        now_s = self._timers.now_s()
        limit.valid_from_s = valid_from_s
        limit.heard_at_s = now_s
        previous_per_s, limit.rate_per_s = limit.rate_per_s, rate_per_s
        if rate_per_s == previous_per_s:
            return True
        if rate_per_s is None:
            limit.bucket = None
            self._counts["ended"] += 1
        elif previous_per_s is None:
            # Requests that are being sent reach the target under the limit.
            bucket = self._update_bucket(limit, rate_per_s, now_s)
            bucket.consume(self._loads.count_unsent(target_id), now_s)
            self._counts["named"] += 1
        _logger.info(
            "rate limit of a target changed",
            extra={"target": target_id, "rate_per_s": rate_per_s},
        )
        return True

    def _is_due(self, limit: NamedLimit, now_s: float) -> bool:
        """Return whether the other entries should be told of a limit now."""
        told_per_s, rate_per_s = limit.announced_per_s, limit.rate_per_s
        if told_per_s is None or rate_per_s is None:
            return told_per_s != rate_per_s
        if now_s - limit.announced_at_s >= REFRESH_INTERVAL_S:
            return True
        return abs(rate_per_s - told_per_s) > ANNOUNCED_CHANGE_MIN * told_per_s

    def _announce(
        self, target_id: str, boot_id: str, limit: NamedLimit, now_s: float
    ) -> None:
        limit.announced_per_s, limit.announced_at_s = limit.rate_per_s, now_s
        news = TargetLimitNews(
            target_id,
            boot_id,
            limit.rate_per_s is not None,
            limit.rate_per_s or 0.0,
            max(0, round((now_s - limit.valid_from_s) * 1000)),
        )
        for peer in self._view.peer_names(Role.ENTRY.value, None, self._name):
            self._network.send(peer, news)

    def _handle_news(self, sender: Sender, news: TargetLimitNews) -> None:
        now_s = self._timers.now_s()
        rate_per_s = news.rate_per_s if news.is_limited else None
        limit = self._limits.find_or_add(news.boot_id, now_s)
        valid_from_s = now_s - news.age_ms / 1000
        if self._apply(news.target_id, limit, rate_per_s, valid_from_s):
            limit.announced_per_s, limit.announced_at_s = rate_per_s, now_s

    def _update_bucket(
        self, limit: NamedLimit, rate_per_s: float, now_s: float
    ) -> TokenBucket:
        senders = min(
            _senders_max(rate_per_s), max(SENDERS_MIN, self._ranking.entry_count)
        )
        share_per_s = max(RATE_MIN_PER_S, rate_per_s) / senders
        limit.bucket = update_bucket(limit.bucket, share_per_s, TOKENS_MAX, now_s)
        return limit.bucket


def _senders_max(rate_per_s: float) -> int:
    """Return how many entries may send to a target with a limit."""
    return min(SENDERS_MAX, SENDERS_MIN + int(SENDERS_PER_RATE_S * rate_per_s))


def _is_forgotten(limit: NamedLimit, now_s: float) -> bool:
    """Return whether the last evidence of a limit, or of its end, is too old."""
    return now_s - limit.heard_at_s >= LIMIT_TTL_S
