"""Graceful shutdown (draining) of an entry.

Callers cache addresses.  A draining entry is therefore first removed from the
address lists and keeps serving until the last cached list with its address has
expired.  Then it refuses new requests and finishes those in flight.  When the
drain timeout ends, it gives all remaining callers a final answer and stops.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

import anyio

__all__ = ["DrainOptions", "DrainPhase", "EntryDrain", "run_drain"]

NOTICE_PROPAGATION_S = 1.0
"""How long other entries may still list this one after its shutdown notice."""
ABORT_GRACE_S = 1.0
"""Time after the drain timeout to write the final answers."""
POLL_INTERVAL_S = 0.05
SERVE_SHARE = 0.5
"""Maximum share of the drain timeout spent on serving cached addresses."""


@dataclass(frozen=True, slots=True)
class DrainOptions:
    """How long callers cache an address, and how long draining may take."""

    address_ttl_s: float
    timeout_s: float


class DrainPhase(Enum):
    """What a draining entry does with requests."""

    SERVE = auto()
    """Serve requests as before, as callers may have this entry's address cached."""
    FINISH = auto()
    """Refuse new requests and finish those in flight."""
    ABORT = auto()
    """Give the remaining requests a final answer now."""
    STOP = auto()


@dataclass(frozen=True, slots=True)
class EntryDrain:
    """Schedule of one graceful shutdown."""

    started_s: float
    address_ttl_s: float
    timeout_s: float

    @property
    def serves_until_s(self) -> float:
        """Return when the last cached address of this entry expires."""
        kept_s = self.address_ttl_s + NOTICE_PROPAGATION_S
        return self.started_s + min(kept_s, SERVE_SHARE * self.timeout_s)

    def phase_at(self, now_s: float, in_flight: int) -> DrainPhase:
        """Return the phase at `now_s`."""
        if now_s < self.serves_until_s:
            return DrainPhase.SERVE
        if not in_flight:
            return DrainPhase.STOP
        timeout_at_s = self.started_s + self.timeout_s
        if now_s < timeout_at_s:
            return DrainPhase.FINISH
        return (
            DrainPhase.ABORT
            if now_s < timeout_at_s + ABORT_GRACE_S
            else DrainPhase.STOP
        )


class Drainable(Protocol):
    """Application that can refuse new requests and abort those in flight."""

    in_flight: int

    def stop_admitting(self) -> None:
        """Refuse new requests as not run."""
        ...

    def abort(self) -> None:
        """End every request in flight now."""
        ...


async def run_drain(
    application: Drainable, options: DrainOptions, now_s: Callable[[], float]
) -> None:
    """Drain the application, and return once the entry may stop.

    The entry must already be excluded from the address lists.
    """
    drain = EntryDrain(now_s(), options.address_ttl_s, options.timeout_s)
    last_phase = DrainPhase.SERVE
    while True:
        phase = drain.phase_at(now_s(), application.in_flight)
        if phase is DrainPhase.STOP:
            return
        if phase is not last_phase and phase is DrainPhase.FINISH:
            application.stop_admitting()
        if phase is not last_phase and phase is DrainPhase.ABORT:
            application.abort()
        last_phase = phase
        await anyio.sleep(POLL_INTERVAL_S)
