"""Election of the daemons that watch the key-value service, and the watch itself.

The service's rate limits, on calls as well as pending watches, do not grow with the
fleet.  So a fixed number of daemons per availability zone, chosen by rendezvous
hashing, watch the service and attest on behalf of their zone that it knows of no newer
version.  If the zone's latest attestation is old, these watchers may be stopped, and
standbys (the daemons of the next ranks) take over.
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
STANDBY_RANK_LIMIT = 8
"""Daemons ranked here or beyond never take over, which bounds the rate of calls."""
TAKEOVER_AGE_S = 2.5
"""Age of the zone's latest attestation beyond which the first standby takes over."""
TAKEOVER_STAGGER_S = 0.5
"""Increase of that age from each standby to the next in rank."""
TAKEOVER_DURATION_S = 10.0

WatchResult = KeyValueEntry | Failure | None
Spawn = Callable[..., Any]


class WatcherRole:
    """Decides whether this daemon currently watches and attests for its zone."""

    def __init__(
        self, name: str, zone: str, watchers_per_zone: int = WATCHERS_PER_ZONE
    ) -> None:
        self._name = name
        self._zone = zone
        self._watchers_per_zone = watchers_per_zone
        self._rank = STANDBY_RANK_LIMIT
        self._takeover_until_s = float("-inf")

    @property
    def rank(self) -> int:
        """Return the rank among the zone's daemons, capped at `STANDBY_RANK_LIMIT`."""
        return self._rank

    def update_members(self, names: tuple[str, ...]) -> None:
        """Recompute the rank from the names of the daemons in this zone."""
        ranked = rank_by_rendezvous(f"configuration/watch/{self._zone}", names)
        first = ranked[:STANDBY_RANK_LIMIT]
        self._rank = (
            first.index(self._name) if self._name in first else STANDBY_RANK_LIMIT
        )

    def is_active(self, now_s: float, attestation_age_s: float) -> bool:
        """Return whether to watch now, given the age of the zone's last attestation."""
        if self._rank < self._watchers_per_zone:
            return True
        if self._rank >= STANDBY_RANK_LIMIT:
            return False
        standby_index = self._rank - self._watchers_per_zone
        if attestation_age_s > TAKEOVER_AGE_S + standby_index * TAKEOVER_STAGGER_S:
            self._takeover_until_s = now_s + TAKEOVER_DURATION_S
        return now_s < self._takeover_until_s


class KeyValueWatch:
    """Runs one watch call at a time and passes its result to a callback."""

    def __init__(self, key_value: KeyValueStore, spawn: Spawn) -> None:
        self._key_value = key_value
        self._spawn = spawn
        self._is_waiting = False

    @property
    def is_waiting(self) -> bool:
        """Return whether a call is in progress."""
        return self._is_waiting

    def start(
        self,
        after_revision: int,
        timeout_s: float,
        on_result: Callable[[WatchResult], None],
    ) -> None:
        """Start a call; `on_result` is called once with its result."""
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
    """Create a watch on the platform's key-value service."""
    return KeyValueWatch(key_value, spawn)
