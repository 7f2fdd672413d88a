"""Decision and shell of an entry's graceful stop.

Callers keep an address for a while, so a leaving entry is first named no more,
serves until the last kept answer that named it has expired, then refuses new
requests and finishes what is in flight.  At the bound from the settings it
gives every caller that still waits a final answer, and stops.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

import anyio

__all__ = ["DrainOptions", "DrainPhase", "EntryDrain", "run_drain"]

SPREAD_S = 1.0
"""How long other entries may go on naming this one after its notice."""
ABORT_S = 1.0
"""What the last answers get to be written after the bound."""
POLL_S = 0.05
SERVE_PART = 0.5
"""Kept addresses get at most this part of the bound, requests the rest."""


@dataclass(frozen=True, slots=True)
class DrainOptions:
    """How long callers keep an address, and how long a stop may take, in seconds."""

    address_ttl_s: float
    timeout_s: float


class DrainPhase(Enum):
    """What a stopping entry does with requests."""

    SERVE = auto()
    """Serve as before, under addresses that callers keep."""
    FINISH = auto()
    """Refuse new requests, finish those in flight."""
    ABORT = auto()
    """Give the rest its final answer now."""
    STOP = auto()


@dataclass(frozen=True, slots=True)
class EntryDrain:
    """The course of one graceful stop."""

    started_s: float
    address_ttl_s: float
    timeout_s: float

    @property
    def serves_until_s(self) -> float:
        """Return when the last kept address that names this entry expires."""
        kept_s = self.address_ttl_s + SPREAD_S
        return self.started_s + min(kept_s, SERVE_PART * self.timeout_s)

    def decide(self, now_s: float, in_flight: int) -> DrainPhase:
        """Return the phase at `now_s`."""
        if now_s < self.serves_until_s:
            return DrainPhase.SERVE
        if not in_flight:
            return DrainPhase.STOP
        bound_s = self.started_s + self.timeout_s
        if now_s < bound_s:
            return DrainPhase.FINISH
        return DrainPhase.ABORT if now_s < bound_s + ABORT_S else DrainPhase.STOP


class Drainable(Protocol):
    """What takes requests and can be told to stop."""

    in_flight: int

    def stop_admitting(self) -> None:
        """Refuse new requests as not run."""
        ...

    def abort(self) -> None:
        """End every request in flight now."""
        ...


async def run_drain(
    application: Drainable, terms: DrainOptions, now_s: Callable[[], float]
) -> None:
    """Return once this entry may stop; it is named to callers no more."""
    drain = EntryDrain(now_s(), terms.address_ttl_s, terms.timeout_s)
    last_phase = DrainPhase.SERVE
    while True:
        phase = drain.decide(now_s(), application.in_flight)
        if phase is DrainPhase.STOP:
            return
        if phase is not last_phase and phase is DrainPhase.FINISH:
            application.stop_admitting()
        if phase is not last_phase and phase is DrainPhase.ABORT:
            application.abort()
        last_phase = phase
        await anyio.sleep(POLL_S)
