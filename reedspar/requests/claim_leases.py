"""Leases under which claims are written, so that they go by themselves.

One lease serves every claim of an hour and is never renewed: it is granted for
longer than the last claim under it has to live.
"""

from reedspar.errors import Failure
from reedspar.platform import KeyValueStore
from reedspar.timers import TimerService

from .claim_places import FUTURE_SKEW_MAX_S, UNDATED, UNDATED_TTL_S, partition_of

__all__ = ["ClaimLeases"]

LEASE_SHARING_S = 3600.0
CLOCK_SKEW_MARGIN_S = 600.0
"""Clocks of entries may differ; the date must refuse before the record goes."""


class ClaimLeases:
    """The current lease of dated and of undated claims."""

    def __init__(
        self, key_value: KeyValueStore, timers: TimerService, ttl_s: float
    ) -> None:
        self._key_value = key_value
        self._timers = timers
        self._ttl_s = ttl_s
        self._leases: dict[bool, tuple[str, float]] = {}

    def drop(self) -> None:
        """Ask for new leases; the service may have lost the ones held."""
        self._leases.clear()

    async def get(self, location: str) -> str | Failure:
        """Return a lease that outlives a claim written at `location` now."""
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
