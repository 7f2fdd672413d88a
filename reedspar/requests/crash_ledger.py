"""Ledger of the crashes of targets, which weighs the explanations of them.

A request that comes again, and prompt parts that requests share, may explain the same
crashes.  A part is a cause only if different requests with it show that; a request is
one if it comes again and is at crashes that no such part explains, or has that part.
What was blamed before a better explanation was found is replaced by it.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from .answer_history import AnswerHistory
from .cause_weighing import find_replaced_causes
from .crash_records import Cause, Crash
from .part_causes import PartCause, find_part_causes
from .request_causes import Evidence, find_causes, list_evidence

__all__ = ["CrashLedger", "Finding"]

CRASHES_MAX = 256
"""Maximum number of crashes remembered."""


@dataclass(frozen=True, slots=True)
class Finding:
    """A cause, and the time of the last crash that tells of it."""

    cause: Cause
    last_s: float


@dataclass(slots=True)
class CrashLedger:
    """Recent crashes, and what explains them."""

    history: AnswerHistory
    parts: list[PartCause] = field(default_factory=list)
    evidence: Evidence = field(default_factory=dict)
    """Crashes of each fingerprint since it was last answered."""
    requests: Evidence = field(default_factory=dict)
    """Crashes of each fingerprint that explains them, by what is reported so far."""
    last_crash_s: dict[str, float] = field(default_factory=dict)
    """Time of the last crash of each fingerprint and part."""
    _crashes: OrderedDict[str, Crash] = field(default_factory=OrderedDict)

    def find(self, crash_id: str) -> Crash | None:
        """Return a crash, None if it is not known."""
        return self._crashes.get(crash_id)

    def list_recent(self) -> list[Crash]:
        """Return the crashes, the latest reported first."""
        return list(reversed(self._crashes.values()))

    def record(self, crash: Crash) -> None:
        """Add a crash, or replace its record."""
        self._crashes[crash.crash_id] = crash
        while len(self._crashes) > CRASHES_MAX:
            self._crashes.popitem(last=False)

    def remove_older(self, horizon_s: float) -> bool:
        """Remove the crashes before a time; return whether there were any."""
        expired = [c.crash_id for c in self._crashes.values() if c.at_s < horizon_s]
        for crash_id in expired:
            del self._crashes[crash_id]
        return bool(expired)

    def find_parts(self, blamed: Iterable[Cause]) -> list[PartCause]:
        """Search for the parts that explain crashes, and return them."""
        requests = {cause.fingerprint for cause in blamed} - {""}
        crashes = self._crashes.values()
        self.parts = find_part_causes(crashes, requests, self.history)
        return self.parts

    def find_requests(self, part_causes: Collection[Cause]) -> None:
        """Search for the requests that explain what blamed parts do not."""
        crashes = list(self._crashes.values())
        causes = list(part_causes)
        self.evidence = list_evidence(crashes, self.history, causes)
        self.requests = find_causes(crashes, self.history, causes)
        self.last_crash_s = {
            trait: crash.at_s
            for crash in sorted(crashes, key=lambda crash: crash.at_s)
            for suspect in crash.suspects
            for trait in (suspect.fingerprint, *suspect.prompt_parts)
        }

    def find_settled(
        self, horizon_s: float, part_causes: Collection[Cause]
    ) -> list[Finding]:
        """Return the requests that explain the crashes up to a time.

        The verdict holds, whatever explains later crashes, and goes to entries that may
        know what this one does not.  So it needs to know what is usual.
        """
        settled = [crash for crash in self._crashes.values() if crash.at_s <= horizon_s]
        causes = find_causes(settled, self.history, list(part_causes), is_strict=True)
        return [
            Finding(Cause(fingerprint), found[-1].at_s)
            for fingerprint, found in causes.items()
            if all(self.history.knows_usual(crash.scope) for crash in found)
        ]

    def next_unsettled_s(self, horizon_s: float) -> float:
        """Return the time of the first crash after a time, else infinity."""
        times_s = (c.at_s for c in self._crashes.values() if c.at_s > horizon_s)
        return min(times_s, default=float("inf"))

    def find_replaced(self, blamed: Iterable[Cause]) -> list[Finding]:
        """Return the blamed causes whose crashes other ones explain better."""
        blamed = set(blamed)
        crashes = self._crashes.values()
        requests = find_causes(crashes, self.history, is_strict=True)
        found_now = {Cause(fingerprint) for fingerprint in requests}
        found_now |= {part.cause for part in self.parts}
        replaced = find_replaced_causes(blamed | found_now, crashes, self.history)
        return [
            Finding(cause, max(crash.at_s for crash in found))
            for cause, found in replaced.items()
            if cause in blamed and not self.proves(cause)
        ]

    def proves(self, cause: Cause) -> bool:
        """Return whether the crashes show that these parts crash targets."""
        return any(part.cause.prompt_parts <= cause.prompt_parts for part in self.parts)
