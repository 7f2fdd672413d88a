"""Load of each target, from this entry's own attempts and the target's reports."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from reedspar.speeds import SpeedEstimate
from reedspar.utils import TokenBucket

from .endless_backoff import EndlessBackoff

__all__ = [
    "AverageLoad",
    "AverageRule",
    "LoadReport",
    "OwnAttempt",
    "SharedReport",
    "TargetLoad",
    "TargetLoads",
    "compute_average_load",
]

REPORT_DECAY_S = 1.5
"""Time constant of the exponential decay of a report's weight.

It is about the duration of a typical answer, after which most of the requests that a
report counted have ended."""
BACKOFF_MIN_S = 0.15
BACKOFF_MAX_S = 2.0
"""Bounds of the exponential backoff from an unreachable target."""
FULL_BACKOFF_S = 0.1
"""Backoff from a target that reported itself full: about ten steps of a batch, within
which a slot becomes free."""

AVERAGE_TTL_S = 0.5
"""Time without any report of a pool after which the average of its reports loses its
weight."""
AVERAGE_DECAY_S = 0.5
"""Time constant of the exponential decay of that weight."""
WAITING_SHARE_MAX = 0.15
"""Maximum number of waiting requests that a report contributes to the average, relative
to the target's slots."""
NO_REPORT_WEIGHT = 0.1
"""Weight of the assumption that targets are idle, relative to a fresh report."""

NOT_ACCEPTING_TTL_S = 1.0
"""Time for which an agent's report that its target takes no requests is valid.

Agents repeat it four times a second; the report of an agent that died must expire."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a target, or the agent beside it, reports."""

    running: int
    waiting: int
    slots: int
    is_accepting: bool = True
    """False while the target takes no new requests."""
    slowdown_factor: float | None = None
    """Ratio of the target's current processing time to its usual one.

    None if the report does not tell it."""


@dataclass(frozen=True, slots=True)
class SharedReport:
    """A report that reaches all entries at about the same time.

    It counts for the average of a pool only.  If all entries chose targets by the same
    reports, they would all send to the target that looked idle in them.
    """

    report: LoadReport
    true_s: float
    others: int
    """Requests from other entries among those that the report counts."""


@dataclass(slots=True)
class OwnAttempt:
    """One attempt of this entry at a target."""

    prompt_tokens: int
    started_s: float
    raw_estimate_s: float = 0.0
    """Estimated time to the first event, before calibration."""
    has_begun: bool = False
    model: str = ""
    version: int | None = None
    """Version of the model's weights at the target when it was chosen."""
    expected_wait_s: float = 0.0
    """Expected time to the first event, calibrated and with the region penalty."""
    handed_over_s: float | None = None
    """Time when the request was sent, None before."""
    answer_tokens: int = 0
    """Expected length of the answer; 0: not known."""
    speed: SpeedEstimate | None = None
    """Estimate by which the target was chosen, None where no speed is told."""
    told_slowdown_factor: float = 1.0
    """The same by what is said alone, without measured times."""
    load_factor: float = 1.0
    """Expected time relative to that at a free target of usual speed."""
    is_plain: bool = False
    """Whether the target is no model engine."""
    silence_limit_s: float | None = None
    """Silence after which the attempt may be abandoned, None for the usual one."""
    first_data_s: float | None = None
    """Time when the first bytes of the answer's body arrived, None before."""
    rank: int = 0
    """Urgency; 0 is the most urgent."""

    def times_since_ms(self, event_s: float, begun_s: float) -> dict[str, int]:
        """Return the attempt's times relative to an event, by the names in logs."""
        handed_over_s = self.handed_over_s
        if handed_over_s is None:
            handed_over_s = self.started_s
        times_s = {
            "chosen_ms": self.started_s,
            "handed_over_ms": handed_over_s,
            "begun_ms": begun_s,
        }
        return {name: round((at_s - event_s) * 1000) for name, at_s in times_s.items()}


@dataclass(slots=True)
class TargetLoad:
    """Load of one target as this entry knows it."""

    own_attempts: dict[str, OwnAttempt] = field(default_factory=dict)
    report: LoadReport | None = None
    reported_s: float = float("-inf")
    own_at_report: int = 0
    """Own attempts when the last report was true; the report counts them too."""
    shared: SharedReport | None = None
    backoff_until_s: float = float("-inf")
    failures: int = 0
    endless: EndlessBackoff = field(default_factory=EndlessBackoff)
    cold_bucket: TokenBucket | None = None
    replaced_boot_id: str = ""
    """Boot id of the target that another one has replaced at its address."""
    not_accepting_until_s: float = float("-inf")
    """End of the period in which the target takes no requests, as last reported."""

    def own_waiting_tokens(self) -> int:
        """Return the prompt tokens of own attempts whose answers have not begun."""
        return sum(
            a.prompt_tokens for a in self.own_attempts.values() if not a.has_begun
        )

    def own_waiting(self) -> int:
        """Return the number of own attempts whose answers have not begun."""
        return sum(not attempt.has_begun for attempt in self.own_attempts.values())

    def others_in_flight(
        self, now_s: float, average: "AverageLoad | None" = None
    ) -> float:
        """Return the estimated number of requests from other entries at the target.

        As the report gets older, the estimate moves to the average of the pool.
        """
        report_weight = self.report_weight(now_s)
        average_part = (
            (1 - report_weight) * average.others if average is not None else 0.0
        )
        return report_weight * self.others_at_report + average_part

    def others_waiting(
        self, now_s: float, average: "AverageLoad | None" = None
    ) -> float:
        """Return the estimated number of waiting requests from other entries."""
        report_weight = self.report_weight(now_s)
        average_part = (
            (1 - report_weight) * average.waiting if average is not None else 0.0
        )
        return report_weight * self.waiting_at_report + average_part

    def total_in_flight(
        self, now_s: float, average: "AverageLoad | None" = None
    ) -> float:
        """Return the estimated number of all requests at the target."""
        return len(self.own_attempts) + self.others_in_flight(now_s, average)

    @property
    def others_at_report(self) -> int:
        """Return the number of requests from other entries in the last report."""
        if self.report is None:
            return 0
        total = self.report.running + self.report.waiting
        return max(0, total - self.own_at_report)

    @property
    def waiting_at_report(self) -> int:
        """Return the number of others' waiting requests in the last report."""
        if self.report is None:
            return 0
        return min(self.report.waiting, self.others_at_report)

    def record_report(
        self, report: LoadReport, now_s: float, age_s: float = 0.0
    ) -> None:
        """Record a report that was true `age_s` ago, unless a newer one is known."""
        true_s = now_s - age_s
        if true_s < self.reported_s:
            return
        self._record_accepting(report, true_s)
        self.report = report
        self.reported_s = true_s
        self.own_at_report = self._count_own_at(true_s)

    def record_shared(self, report: LoadReport, now_s: float, age_s: float) -> None:
        """Record a report that all entries receive, and that was true `age_s` ago."""
        true_s = now_s - age_s
        if self.shared is not None and true_s < self.shared.true_s:
            return
        self._record_accepting(report, true_s)
        total = report.running + report.waiting
        others = max(0, total - self._count_own_at(true_s))
        self.shared = SharedReport(report, true_s, others)

    def newest_report(self, now_s: float) -> tuple[LoadReport, int, float] | None:
        """Return the newest report, the others' requests in it, and its weight."""
        shared = self.shared
        if shared is not None and shared.true_s > self.reported_s:
            return shared.report, shared.others, _decay(shared.true_s, now_s)
        if self.report is None:
            return None
        return self.report, self.others_at_report, self.report_weight(now_s)

    @property
    def newest_s(self) -> float:
        """Return when the newest report was true."""
        shared_s = self.shared.true_s if self.shared is not None else float("-inf")
        return max(self.reported_s, shared_s)

    def _count_own_at(self, true_s: float) -> int:
        return sum(
            attempt.started_s <= true_s for attempt in self.own_attempts.values()
        )

    def _record_accepting(self, report: LoadReport, true_s: float) -> None:
        if true_s >= self.newest_s:
            self.not_accepting_until_s = (
                true_s + NOT_ACCEPTING_TTL_S if not report.is_accepting else true_s
            )

    def record_unreachable(self, now_s: float) -> None:
        """Back off from the target, longer after each consecutive failure."""
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**self.failures)
        self.failures = min(self.failures + 1, 8)
        self.backoff_until_s = now_s + backoff_s

    def record_full(self, now_s: float) -> None:
        """Back off from the target until a slot may be free."""
        self.backoff_until_s = max(self.backoff_until_s, now_s + FULL_BACKOFF_S)

    def record_success(self) -> None:
        """Reset the failure count, as the target answers."""
        self.failures = 0

    @property
    def unavailable_until_s(self) -> float:
        """Return the end of the backoff from the target."""
        return max(self.backoff_until_s, self.endless.until_s)

    def report_weight(self, now_s: float) -> float:
        """Return the weight of the last report, from 0 to 1."""
        if self.report is None:
            return 0.0
        return _decay(self.reported_s, now_s)


def _decay(true_s: float, now_s: float) -> float:
    return math.exp((true_s - now_s) / REPORT_DECAY_S)


@dataclass(frozen=True, slots=True)
class AverageLoad:
    """Average number of requests from other entries at the targets of a pool.

    If there are many entries, each receives a report of any given target only every few
    seconds, but frequent reports of other targets.  If a target counted as idle once
    its report is old, all entries would fill it at the same time.
    """

    others: float = 0.0
    waiting: float = 0.0


def compute_average_load(
    loads: Collection[TargetLoad], now_s: float, entry_count: int
) -> AverageLoad:
    """Return the average of the reports, or of this entry's own attempts without them.

    An entry that refuses all requests gets no reports.  If the average stayed as it
    was, the entry would refuse for seconds after the targets have become idle.
    """
    reported = _average_reports(loads, now_s)
    newest_s = max((load.newest_s for load in loads), default=float("-inf"))
    silent_s = now_s - newest_s - AVERAGE_TTL_S
    if silent_s <= 0:
        return reported
    expected = _extrapolate_own_attempts(loads, entry_count)
    weight = math.exp(-silent_s / AVERAGE_DECAY_S)
    return AverageLoad(
        weight * reported.others + (1 - weight) * expected.others,
        weight * reported.waiting + (1 - weight) * expected.waiting,
    )


def _average_reports(loads: Iterable[TargetLoad], now_s: float) -> AverageLoad:
    """Return the weighted average of the reports.

    Many entries may have sent to the same target, for example to the first one that
    serves again.  A report of its long queue shows no more about the other targets than
    that they may be full, so the values are limited.
    """
    others = waiting = 0.0
    total_weight = NO_REPORT_WEIGHT
    for load in loads:
        newest = load.newest_report(now_s)
        if newest is None:
            continue
        report, reported_others, weight = newest
        reported_waiting = min(report.waiting, reported_others)
        others += weight * min(reported_others, report.slots)
        waiting += weight * min(reported_waiting, WAITING_SHARE_MAX * report.slots)
        total_weight += weight
    return AverageLoad(others / total_weight, waiting / total_weight)


def _extrapolate_own_attempts(
    loads: Collection[TargetLoad], entry_count: int
) -> AverageLoad:
    """Return the load if every other entry has sent as much as this one."""
    factor = max(0, entry_count - 1) / max(1, len(loads))
    own = sum(len(load.own_attempts) for load in loads)
    own_waiting = sum(load.own_waiting() for load in loads)
    return AverageLoad(factor * own, factor * own_waiting)


class AverageRule(Protocol):
    """Estimates the load that other entries put on the targets of a pool."""

    def __call__(
        self, loads: Collection[TargetLoad], now_s: float, entry_count: int
    ) -> AverageLoad:
        """Return the average load by what is known of each target.

        `entry_count` includes this entry.
        """
        ...


class TargetLoads:
    """Loads of all targets."""

    def __init__(self) -> None:
        self._loads: dict[str, TargetLoad] = {}
        self.entry_count = 1
        """Number of entries that send to the targets, including this one."""

    def for_target(self, target_id: str) -> TargetLoad:
        """Return the load of a target, a new one if it is unknown."""
        load = self._loads.get(target_id)
        if load is None:
            load = self._loads[target_id] = TargetLoad()
        return load

    def find_attempt(self, target_id: str, request_id: str) -> OwnAttempt | None:
        """Return this entry's attempt of a request at a target, if it is open."""
        load = self._loads.get(target_id)
        return load.own_attempts.get(request_id) if load is not None else None

    def count_unsent(self, target_id: str) -> int:
        """Return the number of own attempts at a target that are still connecting."""
        load = self._loads.get(target_id)
        attempts = load.own_attempts.values() if load is not None else ()
        return sum(attempt.handed_over_s is None for attempt in attempts)

    def remove(self, target_id: str) -> None:
        """Remove a target that no longer exists, unless it has open attempts."""
        load = self._loads.get(target_id)
        if load is not None and not load.own_attempts:
            del self._loads[target_id]

    def reset_after_restart(self, target_id: str) -> None:
        """Discard what was reported before a target's restart."""
        load = self._loads.get(target_id)
        if load is not None:
            load.report = load.shared = None
            load.failures = 0
            load.backoff_until_s = float("-inf")
            load.endless = EndlessBackoff()
