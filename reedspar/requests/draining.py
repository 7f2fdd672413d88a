"""Graceful shutdown (draining) of an entry.

Callers cache addresses.  A draining entry is therefore first removed from the address
lists.  It then serves the requests that end before it must stop, as long as callers
come, and stops once none is left.  When its time is over, it gives all remaining
callers a final answer.
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
IDLE_S = 1.0
"""Time without an admitted request after which no more are expected."""
WAIT_SHARE = 0.5
"""Maximum share of the drain timeout spent on waiting for callers."""


@dataclass(frozen=True, slots=True)
class DrainOptions:
    """How long callers cache an address, and how long draining may take."""

    address_ttl_s: float
    timeout_s: float
    abort_grace_s: float = ABORT_GRACE_S


class DrainPhase(Enum):
    """What a draining entry does with requests."""

    SERVE = auto()
    """Serve the requests that end in time, and refuse the others."""
    ABORT = auto()
    """Give the remaining requests a final answer now."""
    STOP = auto()


@dataclass(frozen=True, slots=True)
class EntryDrain:
    """Schedule of one graceful shutdown."""

    started_s: float
    options: DrainOptions

    @property
    def ends_at_s(self) -> float:
        """Return when the requests that are left are aborted."""
        return self.started_s + self.options.timeout_s

    def phase_at(
        self, now_s: float, in_flight: int, last_admitted_s: float
    ) -> DrainPhase:
        """Return the phase at `now_s`; requests were admitted until the given time."""
        if now_s >= self.ends_at_s:
            may_abort = now_s < self.ends_at_s + self.options.abort_grace_s
            return DrainPhase.ABORT if in_flight and may_abort else DrainPhase.STOP
        if in_flight or now_s < self._waits_until_s:
            return DrainPhase.SERVE
        is_idle = now_s - last_admitted_s >= IDLE_S
        return DrainPhase.STOP if is_idle else DrainPhase.SERVE

    @property
    def _waits_until_s(self) -> float:
        """Return when the usual cached address of this entry has expired."""
        kept_s = self.options.address_ttl_s + NOTICE_PROPAGATION_S
        return self.started_s + min(kept_s, WAIT_SHARE * self.options.timeout_s)


class Drainable(Protocol):
    """Application with requests in flight, which it can abort."""

    in_flight: int

    def abort(self) -> None:
        """End every request in flight now."""
        ...


class DrainGate(Protocol):
    """Part of the filter chain that admits requests during a drain."""

    last_admitted_s: float

    def begin(self, stops_at_s: float) -> None:
        """Refuse requests that may not be answered whole before `stops_at_s`."""
        ...


async def run_drain(
    application: Drainable,
    gate: DrainGate,
    options: DrainOptions,
    now_s: Callable[[], float],
) -> None:
    """Drain the application, and return once the entry may stop.

    The entry must already be excluded from the address lists.
    """
    drain = EntryDrain(now_s(), options)
    gate.begin(drain.ends_at_s)
    is_aborted = False
    while True:
        phase = drain.phase_at(now_s(), application.in_flight, gate.last_admitted_s)
        if phase is DrainPhase.STOP:
            return
        if phase is DrainPhase.ABORT and not is_aborted:
            is_aborted = True
            application.abort()
        await anyio.sleep(POLL_INTERVAL_S)
