"""Rule that decides on which versions of a model's weights requests may begin."""

from reedspar.fleet import FleetView, NamedVersion
from reedspar.timers import TimerService

__all__ = ["VersionRule"]

OLDER_VERSION_MARGIN_S = 0.4
"""Time before the end of the bound from which an older version gets no new requests.

The bound is `VersionRule.bound_s`.  A new version becomes known here within 0.25 s.  If
it takes longer, the peers report when they learned of it."""
WAIT_FACTOR = 2.0
"""Assumed maximum ratio of a request's actual wait to its expected wait."""
UNDATED_VERSION_GRACE_S = 1.0
"""Time for which an older version is still used after the start of this entry.

It is unknown when a newer version in the initial listing was named.  The platform
counts no violations within 3 s after a process starts, of which starting and listing
the store take 1 s and more; a request may wait 0.5 s before it begins."""
UNDATED_VERSION_END_S = 2.3
"""Time after the start of the process at which that grace ends at the latest."""


class VersionRule:
    """Allows an older version until the newer one must be in use everywhere."""

    def __init__(self, view: FleetView, timers: TimerService, bound_s: float) -> None:
        self._view = view
        self._timers = timers
        self._bound_s = bound_s
        self._listed_at_s: float | None = None
        self._started_s = timers.now_s()

    @property
    def bound_s(self) -> float:
        """Return the time in which a newer version must be in use everywhere."""
        return self._bound_s

    def set_bound(self, bound_s: float) -> None:
        """Set the time in which a newer version must be in use everywhere."""
        self._bound_s = bound_s

    def record_process_start(self, started_s: float) -> None:
        """Record that the process started at a time of the timers' clock."""
        self._started_s = started_s

    def record_store_listing(self) -> None:
        """Record the initial listing; versions that arrive later are new."""
        self._listed_at_s = self._timers.now_s()

    def replaced_at_s(self, model: str, version: int) -> float | None:
        """Return when the first version above `version` was named, None if none was."""
        newer = self._newer_versions(model, version)
        return min((item.named_at_s for item in newer), default=None)

    def may_serve(self, model: str, version: int, wait_s: float = 0.0) -> bool:
        """Return whether a request with an expected wait may begin on a version."""
        begins_at_s = self._timers.now_s() + WAIT_FACTOR * wait_s
        return begins_at_s < self.service_deadline_s(model, version)

    def service_deadline_s(self, model: str, version: int) -> float:
        """Return the time until which requests may begin on a version."""
        newer = self._newer_versions(model, version)
        if not newer:
            return float("inf")
        named_at_s = min(item.named_at_s for item in newer)
        service_deadline_s = named_at_s + self._bound_s - OLDER_VERSION_MARGIN_S
        learned_at_s = min(item.learned_at_s for item in newer)
        if self._listed_at_s is None or learned_at_s <= self._listed_at_s:
            grace_end_s = learned_at_s + UNDATED_VERSION_GRACE_S
            undated_end_s = self._started_s + UNDATED_VERSION_END_S
            return min(service_deadline_s, grace_end_s, undated_end_s)
        return service_deadline_s

    def _newer_versions(self, model: str, version: int) -> list[NamedVersion]:
        return [v for v in self._view.versions_of(model) if v.version > version]
