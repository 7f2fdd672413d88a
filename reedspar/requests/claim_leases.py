"""Leases of claims, under which the key-value service removes expired records.

All claims of one hour share a lease.  It is never renewed, as its time to live
covers the last claim written under it.
"""

from reedspar.errors import Failure
from reedspar.platform import KeyValueStore
from reedspar.timers import TimerService

from .claim_locations import FUTURE_SKEW_MAX_S, UNDATED, UNDATED_TTL_S, partition_of

__all__ = ["ClaimLeases"]

LEASE_SHARING_S = 3600.0
"""Time for which new claims use the same lease."""
CLOCK_SKEW_MARGIN_S = 600.0
"""Extra lifetime of a lease for clock differences between entries.

A key must be refused for its date before its record is removed."""


class ClaimLeases:
    """Current leases for claims of dated and of undated keys."""

    def __init__(
        self, key_value: KeyValueStore, timers: TimerService, ttl_s: float
    ) -> None:
        self._key_value = key_value
        self._timers = timers
        self._ttl_s = ttl_s
        self._leases: dict[bool, tuple[str, float]] = {}

    def drop(self) -> None:
        """Discard the current leases, as the key-value service may have lost them."""
        self._leases.clear()

    async def get(self, location: str) -> str | Failure:
        """Return a lease that outlives a claim written to `location` now."""
        is_undated = partition_of(location) == UNDATED
        held = self._leases.get(is_undated)
        now_s = self._timers.now_s()
        if held is not None and now_s - held[1] < LEASE_SHARING_S:
            return held[0]
        ttl_s = self._ttl_s + (UNDATED_TTL_S if is_undated else FUTURE_SKEW_MAX_S)
        lease_id = await self._key_value.grant_lease(
            ttl_s + LEASE_SHARING_S + CLOCK_SKEW_MARGIN_S
        )
        if not isinstance(lease_id, Failure):
            self._leases[is_undated] = (lease_id, now_s)
        return lease_id
