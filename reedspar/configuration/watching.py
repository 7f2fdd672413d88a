"""Who watches the key-value service, and the watch itself.

The service counts every call and every waiting watch, and its rates do not
grow with the fleet.  So a fixed number of daemons per availability zone watch
it, chosen by rendezvous hashing, and speak for their zone.  When a zone's
word gets old, its watchers may be stopped: the next few in rank step in.
"""

from collections.abc import Callable
from typing import Any

from reedspar.errors import Failure
from reedspar.platform import KeyValueEntry, KeyValueStore
from reedspar.utils import rank_by_rendezvous

from .store import CURRENT_KEY

__all__ = [
    "WATCHERS_PER_ZONE",
    "KeyValueWatch",
    "WatchResult",
    "WatcherRole",
    "create_key_value_watch",
]

WATCHERS_PER_ZONE = 2
RANK_LIMIT = 8
"""Daemons of this rank or more never step in: the bound on calls a second."""
STEP_IN_AGE_S = 2.5
STEP_IN_SPACING_S = 0.5
STEP_IN_DURATION_S = 10.0

WatchResult = KeyValueEntry | Failure | None
Spawn = Callable[..., Any]


class WatcherRole:
    """Decides whether this daemon watches now and speaks for its zone."""

    def __init__(
        self, name: str, zone: str, watchers_per_zone: int = WATCHERS_PER_ZONE
    ) -> None:
        self._name = name
        self._zone = zone
        self._watchers_per_zone = watchers_per_zone
        self._rank = RANK_LIMIT
        self._steps_in_until_s = float("-inf")

    @property
    def rank(self) -> int:
        """Return the place among the zone's daemons, at most `RANK_LIMIT`."""
        return self._rank

    def note_members(self, names: tuple[str, ...]) -> None:
        """Take in the daemons of the own zone."""
        ranked = rank_by_rendezvous(f"configuration/watch/{self._zone}", names)
        first = ranked[:RANK_LIMIT]
        self._rank = first.index(self._name) if self._name in first else RANK_LIMIT

    def is_active(self, now_s: float, zone_age_s: float) -> bool:
        """Tell whether to watch now, the zone's last word being so old."""
        if self._rank < self._watchers_per_zone:
            return True
        if self._rank >= RANK_LIMIT:
            return False
        spare = self._rank - self._watchers_per_zone
        if zone_age_s > STEP_IN_AGE_S + spare * STEP_IN_SPACING_S:
            self._steps_in_until_s = now_s + STEP_IN_DURATION_S
        return now_s < self._steps_in_until_s


class KeyValueWatch:
    """Runs one watch call at a time and hands its result back."""

    def __init__(self, key_value: KeyValueStore, spawn: Spawn) -> None:
        self._key_value = key_value
        self._spawn = spawn
        self._is_waiting = False

    @property
    def is_waiting(self) -> bool:
        """Tell whether a call is under way."""
        return self._is_waiting

    def start(
        self,
        after_revision: int,
        timeout_s: float,
        on_result: Callable[[WatchResult], None],
    ) -> None:
        """Start a call; `on_result` is called once with what it returned."""
        self._is_waiting = True
        self._spawn(self._call, after_revision, timeout_s, on_result)

    async def _call(
        self,
        after_revision: int,
        timeout_s: float,
        on_result: Callable[[WatchResult], None],
    ) -> None:
        try:
            result = await self._key_value.watch(CURRENT_KEY, after_revision, timeout_s)
        finally:
            self._is_waiting = False
        on_result(result)


def create_key_value_watch(key_value: KeyValueStore, spawn: Spawn) -> KeyValueWatch:
    """Make a watch on the platform's key-value service."""
    return KeyValueWatch(key_value, spawn)
