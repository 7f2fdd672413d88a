"""Rule that decides whether to finish a transfer before starting the next version's.

Versions may be named faster than they can be transferred.  If a transfer is dropped for
the next version, its version is never served, and the targets have nothing to serve
once the version before it has expired.  The time without a version to serve is called
the gap.

The origin removes a version once two newer ones are named, so a version that can't be
read from it in that time is not worth finishing.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from reedspar.fleet import NamedVersion
from reedspar.fleet.named_versions import NamedVersions

__all__ = [
    "DRAW_OVERHEAD",
    "LOAD_DURATION_S",
    "SWITCH_DURATION_S",
    "Succession",
    "TransferSequence",
    "estimate_time_left_s",
    "should_finish_current",
]

VERSIONS_AT_ORIGIN = 2
"""Number of the newest versions that the origin provides."""

SWITCH_DURATION_S = 1.5
"""Duration of a switch: 1.2 s until running requests end, and 0.3 s of loading."""
LOAD_DURATION_S = 0.3
"""Duration of a load by a target without running requests."""
LONG_SWITCH_DURATION_S = 2.2
"""Duration of a switch until which almost all running requests have ended."""
FINISH_TOLERANCE_S = 0.5
"""Accepted additional gap if the current transfer is finished: it may end earlier than
estimated, and the next one later."""
SERVICE_MIN_S = 1.0
"""Shortest time of service for which a transfer is worth finishing."""
COPY_OVERHEAD = 1.15
"""Ratio of the duration of a transfer to that on an idle link."""
DRAW_OVERHEAD = 1.3
"""The same for a copy that is read from the origin."""
OVERDUE_FACTOR = 1.25
"""Ratio of the time since the last naming to the usual interval, from which the next
version is overdue."""


@dataclass(frozen=True, slots=True)
class Succession:
    """A version being transferred, and the next one; times in seconds."""

    next_named_at_s: float
    """When the next version was named."""
    left_s: float
    """Estimated time from then until the current version has arrived."""
    copy_s: float
    """Transfer time of the complete next version."""
    served_until_s: float
    """When the version being served expires."""
    current_until_s: float
    """When the version being transferred expires."""
    drawn_s: float = float("-inf")
    """When the version being transferred has been read from the origin."""
    removed_s: float = float("inf")
    """When the origin is expected to remove it."""


def should_finish_current(succession: Succession) -> bool:
    """Return whether to finish the current version before starting the next one.

    If the next version can arrive before the served one expires, or soon after, the
    current transfer is finished only for a gap that is not much longer.  Otherwise it
    is finished if its version can still be served: the next version may be replaced
    before its own transfer ends, and nothing would ever arrive.
    """
    if succession.drawn_s > succession.removed_s:
        return False
    arrived_s = succession.next_named_at_s + succession.left_s
    next_only_s = succession.next_named_at_s + succession.copy_s + SWITCH_DURATION_S
    gap_if_dropped_s = max(0.0, next_only_s - succession.served_until_s)
    if gap_if_dropped_s > FINISH_TOLERANCE_S:
        idle_from_s = min(arrived_s, succession.served_until_s) + LONG_SWITCH_DURATION_S
        serves_from_s = max(arrived_s + LOAD_DURATION_S, idle_from_s)
        return succession.current_until_s - serves_from_s >= SERVICE_MIN_S
    next_s = arrived_s + succession.copy_s + LOAD_DURATION_S
    gap_s = max(0.0, arrived_s + SWITCH_DURATION_S - succession.served_until_s)
    gap_s += max(0.0, next_s - succession.current_until_s)
    return gap_s <= gap_if_dropped_s + FINISH_TOLERANCE_S


def find_removal_s(version: int, named: Sequence[NamedVersion]) -> float:
    """Return when the origin has removed a version, or is expected to.

    The next versions are expected after the time between the last two.
    """
    newer_s = [item.named_at_s for item in named if item.version > version]
    if len(newer_s) >= VERSIONS_AT_ORIGIN:
        return newer_s[VERSIONS_AT_ORIGIN - 1]
    interval_s = _find_interval_s(named)
    if not interval_s:
        return float("inf")
    return named[-1].named_at_s + (VERSIONS_AT_ORIGIN - len(newer_s)) * interval_s


def estimate_time_left_s(
    version: int, named: Sequence[NamedVersion], now_s: float
) -> float:
    """Return for how long the origin is expected to provide a version from now on.

    A series of versions counts as ended once the next one is overdue.
    """
    removal_s = find_removal_s(version, named)
    is_removed = sum(item.version > version for item in named) >= VERSIONS_AT_ORIGIN
    overdue_s = named[-1].named_at_s + OVERDUE_FACTOR * _find_interval_s(named)
    if not is_removed and now_s > overdue_s:
        return float("inf")
    return removal_s - now_s


def _find_interval_s(named: Sequence[NamedVersion]) -> float:
    """Return the time between the last two namings, 0 if it is not known."""
    times_s = [item.named_at_s for item in named[-2:]]
    return times_s[-1] - times_s[0]


class TransferSequence:
    """The named versions of one model, and which of them are transferred in turn.

    Decisions depend on the times of naming, which are the same on all agents.  If each
    agent used its own missing chunks, half of the fleet would drop a version while the
    others finish it, and neither would arrive in time.
    """

    def __init__(self, model: str, bound_s: float) -> None:
        self._named = NamedVersions(model)
        self._bound_s = bound_s
        self._first_version = 0
        """Version that was named before this agent started, at an unknown time."""
        self._arrived_version = 0
        """Last version whose transfer was not dropped; 0 for the first one served."""
        self._current_version = 0
        """Version being transferred; 0 before the first transfer."""
        self._began_s = float("-inf")

    @property
    def arrived_version(self) -> int:
        """Return the last version whose transfer was not dropped, 0 if none was."""
        return self._arrived_version

    def add_named(self, version: int, now_s: float) -> None:
        """Add a version that is named now."""
        if self._first_version:
            self._named.add(version, now_s)
        else:
            self._first_version = version

    def record_naming_time(self, version: int, named_at_s: float, now_s: float) -> None:
        """Record that a version was named earlier than this agent learned of it."""
        if version > self._first_version:
            self._named.record_naming_time(version, named_at_s, now_s, "")

    def service_deadline_s(self, served: int) -> float:
        """Return when a version may no longer be served; infinity for the newest."""
        return self._find_deadline_s(served, self._named.all())

    def begin(self, version: int, now_s: float, *, has_current_arrived: bool) -> None:
        """Record that the transfer of a version begins, and whether the last ended."""
        named_at_s = self._named_at_s(version)
        if has_current_arrived:
            self._arrived_version = self._current_version
        is_dropping = not has_current_arrived
        self._began_s = now_s if named_at_s is None or not is_dropping else named_at_s
        self._current_version = version

    def should_finish(self, next_version: int, copy_s: float, draw_s: float) -> bool:
        """Return whether to finish the current transfer before that of another version.

        A copy takes `copy_s` on an agent's idle link, and `draw_s` on the origin's.
        """
        named = [v for v in self._named.all() if v.version <= next_version]
        current = self._current_version
        is_dated = any(v.version == current for v in named)
        if not is_dated or named[-1].version != next_version:
            return False
        next_named_at_s = named[-1].named_at_s
        arrives_s = self._began_s + COPY_OVERHEAD * copy_s
        succession = Succession(
            next_named_at_s,
            max(0.0, arrives_s - next_named_at_s),
            COPY_OVERHEAD * copy_s,
            self._find_deadline_s(self._arrived_version, named),
            self._find_deadline_s(current, named),
            self._began_s + DRAW_OVERHEAD * draw_s,
            find_removal_s(current, named),
        )
        return should_finish_current(succession)

    def _find_deadline_s(self, served: int, named: Iterable[NamedVersion]) -> float:
        newer = [v.named_at_s for v in named if v.version > served]
        return min(newer, default=float("inf")) + self._bound_s

    def is_removed(self, version: int) -> bool:
        """Return whether the origin has removed a version."""
        newer = [v for v in self._named.all() if v.version > version]
        return len(newer) >= VERSIONS_AT_ORIGIN

    def _named_at_s(self, version: int) -> float | None:
        found = (v.named_at_s for v in self._named.all() if v.version == version)
        return next(found, None)
