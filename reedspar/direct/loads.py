"""What this entry knows of each target's load: its own sends, and late reports."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from reedspar.utils import TokenBucket

__all__ = [
    "LoadReport",
    "OwnAttempt",
    "TargetLoad",
    "TargetLoads",
    "UsualLoad",
    "average_load",
]

REPORT_DECAY_S = 1.5
"""How fast a report loses its weight, in seconds.

A usual answer takes about as long, so what a report counted has mostly ended."""
BACKOFF_MIN_S = 0.15
BACKOFF_MAX_S = 2.0
"""How long a target is left alone that could not be reached; doubles each time."""
FULL_BACKOFF_S = 0.1
"""How long a target is left alone that said it is full: about ten steps of a batch,
in which a place falls free."""

NO_REPORT_WEIGHT = 0.1
"""Weight, in fresh reports, of knowing nothing: without any report targets are idle."""

NOT_TAKING_TTL_S = 1.0
"""How long an agent's word counts that its target takes nothing; agents repeat it four
times a second, and one that has died must not close its target for good."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A target's own word of its load."""

    running: int
    waiting: int
    slots: int
    is_taking: bool = True
    """False while the target takes no new requests."""
    pace: float = 1.0
    """How many times as long as usual the target takes."""


@dataclass(slots=True)
class OwnAttempt:
    """One attempt of this entry at a target."""

    prompt_tokens: int
    started_s: float
    raw_estimate_s: float = 0.0
    """When its first event was expected, by the estimate before calibration."""
    has_begun: bool = False
    model: str = ""
    version: int | None = None
    """The version of the model's weights that the target had when it was chosen."""
    expected_wait_s: float = 0.0
    """When its first event was expected, calibrated and with the distance."""
    handed_over_s: float | None = None
    """When its request was written, once there was a connection."""


@dataclass(slots=True)
class TargetLoad:
    """One target's load as this entry sees it."""

    own: dict[str, OwnAttempt] = field(default_factory=dict)
    report: LoadReport | None = None
    reported_s: float = float("-inf")
    own_at_report: int = 0
    backoff_until_s: float = float("-inf")
    failures: int = 0
    cold_bucket: TokenBucket | None = None
    replaced_boot: str = ""
    """The start of the target after which another one was found at its address."""
    not_taking_until_s: float = float("-inf")
    """Until when the target takes nothing, by its agent's last word."""

    def own_waiting_tokens(self) -> int:
        """Return the prompt tokens of own attempts that have not begun to answer."""
        return sum(a.prompt_tokens for a in self.own.values() if not a.has_begun)

    def own_waiting(self) -> int:
        """Return how many own attempts have not begun to answer."""
        return sum(not attempt.has_begun for attempt in self.own.values())

    def others_in_flight(self, now_s: float, usual: "UsualLoad | None" = None) -> float:
        """Return how many requests of others the target is thought to have.

        What its report said fades to what is usual in its pool.
        """
        report_weight = self.report_weight(now_s)
        average_part = (1 - report_weight) * usual.others if usual is not None else 0.0
        return report_weight * self.others_at_report + average_part

    def others_waiting(self, now_s: float, usual: "UsualLoad | None" = None) -> float:
        """Return how many requests of others wait at the target."""
        report_weight = self.report_weight(now_s)
        average_part = (1 - report_weight) * usual.waiting if usual is not None else 0.0
        return report_weight * self.waiting_at_report + average_part

    def count(self, now_s: float, usual: "UsualLoad | None" = None) -> float:
        """Return how many requests the target is thought to have."""
        return len(self.own) + self.others_in_flight(now_s, usual)

    @property
    def others_at_report(self) -> int:
        """Return how many requests of others the last report counted."""
        if self.report is None:
            return 0
        total = self.report.running + self.report.waiting
        return max(0, total - self.own_at_report)

    @property
    def waiting_at_report(self) -> int:
        """Return how many requests of others waited at the last report."""
        if self.report is None:
            return 0
        return min(self.report.waiting, self.others_at_report)

    def note_report(self, report: LoadReport, now_s: float) -> None:
        """Take in a report of now."""
        self.report = report
        self.reported_s = now_s
        self.own_at_report = len(self.own)
        self.not_taking_until_s = (
            now_s + NOT_TAKING_TTL_S if not report.is_taking else now_s
        )

    def note_unreachable(self, now_s: float) -> None:
        """Leave the target alone for a while, longer each time."""
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**self.failures)
        self.failures = min(self.failures + 1, 8)
        self.backoff_until_s = now_s + backoff_s

    def note_full(self, now_s: float) -> None:
        """Leave the target alone until a place may be free."""
        self.backoff_until_s = max(self.backoff_until_s, now_s + FULL_BACKOFF_S)

    def note_success(self) -> None:
        """Forget earlier failures: the target answers."""
        self.failures = 0

    def report_weight(self, now_s: float) -> float:
        """Return the weight of the last report, from 0 to 1."""
        if self.report is None:
            return 0.0
        return math.exp((self.reported_s - now_s) / REPORT_DECAY_S)


@dataclass(frozen=True, slots=True)
class UsualLoad:
    """What the targets of a pool have of others' requests, on average.

    An entry among many hears of one target every few seconds, and of some target all
    the time.  Taken for idle as soon as its own report is old, each target would be
    filled by all entries at once.
    """

    others: float = 0.0
    waiting: float = 0.0


def average_load(loads: Iterable[TargetLoad], now_s: float) -> UsualLoad:
    """Return the average of the reports, each by its weight."""
    others = waiting = 0.0
    weight = NO_REPORT_WEIGHT
    for load in loads:
        report_weight = load.report_weight(now_s)
        others += report_weight * load.others_at_report
        waiting += report_weight * load.waiting_at_report
        weight += report_weight
    return UsualLoad(others / weight, waiting / weight)


class TargetLoads:
    """The loads by target."""

    def __init__(self) -> None:
        self._loads: dict[str, TargetLoad] = {}

    def for_target(self, target_id: str) -> TargetLoad:
        """Return the load of a target."""
        load = self._loads.get(target_id)
        if load is None:
            load = self._loads[target_id] = TargetLoad()
        return load

    def forget(self, target_id: str) -> None:
        """Drop a target that is gone and has no attempt left."""
        load = self._loads.get(target_id)
        if load is not None and not load.own:
            del self._loads[target_id]

    def forget_restarted(self, target_id: str) -> None:
        """Drop what was reported before a restart."""
        load = self._loads.get(target_id)
        if load is not None:
            load.report = None
            load.failures = 0
            load.backoff_until_s = float("-inf")
