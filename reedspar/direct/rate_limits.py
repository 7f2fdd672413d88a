"""Rate limits that targets name in their answers.

A target in need names the requests a second that it takes from all entries together,
in each of its answers for as long as the limit holds.
"""

import logging
from collections import Counter
from dataclasses import dataclass

from reedspar.timers import TimerService

from .loads import NamedLimit, TargetLoads

__all__ = ["LimitEvidence", "RateLimits"]

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LimitEvidence:
    """What an answer shows about its target's rate limit."""

    rate_per_s: float | None
    """The named limit, None if the answer names none."""
    valid_from_s: float
    """Time up to which earlier evidence is outdated.

    An answer with a limit shows the state when it arrives.  One without shows the state
    after its request was sent: it may have been overtaken by an answer with a limit."""


class RateLimits:
    """Keeps the rate limit of each target."""

    def __init__(self, loads: TargetLoads, timers: TimerService) -> None:
        self._loads = loads
        self._timers = timers
        self._counts: Counter[str] = Counter(named=0, ended=0)

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the counts of limits that began and ended, with labels."""
        return [(count, {"change": change}) for change, count in self._counts.items()]

    def record_answer(
        self, target_id: str, request_id: str, rate_per_s: float | None
    ) -> None:
        """Record the limit that an answer names, None if it names none."""
        load = self._loads.for_target(target_id)
        if rate_per_s is not None:
            self._apply(target_id, LimitEvidence(rate_per_s, self._timers.now_s()))
            return
        attempt = load.own_attempts.get(request_id)
        if attempt is not None and attempt.handed_over_s is not None:
            self._apply(target_id, LimitEvidence(None, attempt.handed_over_s))

    def _apply(self, target_id: str, evidence: LimitEvidence) -> bool:
        """Apply evidence; return whether it has changed the limit."""
        limit = self._loads.for_target(target_id).named_limit
        if evidence.valid_from_s < limit.valid_from_s:
            return False
        limit.valid_from_s = evidence.valid_from_s
        if evidence.rate_per_s == limit.rate_per_s:
            return False
        self._record_change(target_id, limit, evidence)
        limit.rate_per_s = evidence.rate_per_s
        return True

    def _record_change(
        self, target_id: str, limit: NamedLimit, evidence: LimitEvidence
    ) -> None:
        if limit.rate_per_s is None:
            self._counts["named"] += 1
        elif evidence.rate_per_s is None:
            self._counts["ended"] += 1
        _logger.info(
            "rate limit of a target changed",
            extra={"target": target_id, "rate_per_s": evidence.rate_per_s},
        )
