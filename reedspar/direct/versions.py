"""Decision: which version of a model's weights may still begin a request."""

from reedspar.fleet import FleetView, NamedVersion
from reedspar.timers import TimerService

__all__ = ["VersionRule"]

OLDER_MARGIN_S = 0.4
"""Before the bound, nothing more is sent to an older version.

The news of a version takes up to a quarter of a second to come; of news that come
later, peers tell by when they had them."""
WAIT_FACTOR = 2.0
"""How many times as long as expected a request may wait before it begins to run."""
UNSURE_S = 1.0
"""After a start, how long an older version is still used.

When the version was named is not known then.  The platform counts nothing within
three seconds after the start of a process, of which it takes up to one to start and
to list the store; a request may wait half a second before it begins."""


class VersionRule:
    """An older version serves until the newer one must be everywhere."""

    def __init__(self, view: FleetView, timers: TimerService, bound_s: float) -> None:
        self._view = view
        self._timers = timers
        self._bound_s = bound_s
        self._seeded_s: float | None = None

    @property
    def bound_s(self) -> float:
        """Return the time after which a newer version must be everywhere."""
        return self._bound_s

    def set_bound(self, bound_s: float) -> None:
        """Take the time after which a newer version must be everywhere."""
        self._bound_s = bound_s

    def note_store_listed(self) -> None:
        """Note that versions named from now on are named now."""
        self._seeded_s = self._timers.now_s()

    def replaced_s(self, model: str, version: int) -> float | None:
        """Return when the first version above `version` was named, if one was."""
        newer = self._newer(model, version)
        return min((item.named_at_s for item in newer), default=None)

    def may_serve(self, model: str, version: int, wait_s: float = 0.0) -> bool:
        """Tell whether a request that will wait may begin on a version."""
        begins_s = self._timers.now_s() + WAIT_FACTOR * wait_s
        return begins_s < self.until_s(model, version)

    def until_s(self, model: str, version: int) -> float:
        """Return until when requests may begin on a version."""
        newer = self._newer(model, version)
        if not newer:
            return float("inf")
        named_s = min(item.named_at_s for item in newer)
        until_s = named_s + self._bound_s - OLDER_MARGIN_S
        heard_s = min(item.learned_at_s for item in newer)
        if self._seeded_s is None or heard_s <= self._seeded_s:
            return min(until_s, heard_s + UNSURE_S)
        return until_s

    def _newer(self, model: str, version: int) -> list[NamedVersion]:
        return [v for v in self._view.versions_of(model) if v.version > version]
