"""Graceful shutdown (draining) of an entry.

Callers cache addresses.  A draining entry is therefore first removed from the address
lists.  It then serves the requests that end before it must stop, as long as callers
come.  When none has come for a while, it closes its connections, each once nothing is
pending on it, and stops when none is left.  When its time is over, it gives all
remaining callers a final answer.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

import anyio

__all__ = ["DrainLoad", "DrainOptions", "DrainPhase", "EntryDrain", "run_drain"]

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
    CLOSE = auto()
    """Close the connections on which nothing is pending, and serve the others."""
    ABORT = auto()
    """Give the remaining requests a final answer now."""
    STOP = auto()


@dataclass(frozen=True, slots=True)
class DrainLoad:
    """What is left to a draining entry."""

    pending: int
    """Requests that have arrived, if only in part, or are in progress."""
    is_closed: bool
    """Whether no connection is open, or can be opened any more."""
    last_admitted_s: float
    """When a request was admitted last."""
    aborted_s: float | None = None
    """When the final answers were asked for."""


@dataclass(frozen=True, slots=True)
class EntryDrain:
    """Schedule of one graceful shutdown."""

    started_s: float
    options: DrainOptions

    @property
    def ends_at_s(self) -> float:
        """Return when the requests that are left are aborted."""
        return self.started_s + self.options.timeout_s

    def phase_at(self, now_s: float, load: DrainLoad) -> DrainPhase:
        """Return the phase at `now_s`."""
        if now_s >= self.ends_at_s:
            return self._end_phase(now_s, load)
        if load.pending or now_s < self._waits_until_s:
            return DrainPhase.SERVE
        if now_s - load.last_admitted_s < IDLE_S:
            return DrainPhase.SERVE
        return DrainPhase.STOP if load.is_closed else DrainPhase.CLOSE

    def _end_phase(self, now_s: float, load: DrainLoad) -> DrainPhase:
        """Return the phase once no request may go on.

        The final answers have their time from when they were asked for, as the process
        may have stood still at the end of the drain.
        """
        if load.is_closed and not load.pending:
            return DrainPhase.STOP
        aborted_s = now_s if load.aborted_s is None else load.aborted_s
        may_answer = now_s < aborted_s + self.options.abort_grace_s
        return DrainPhase.ABORT if may_answer else DrainPhase.STOP

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


class Connections(Protocol):
    """Connections of callers, which end when nothing is pending on them."""

    @property
    def is_closed(self) -> bool:
        """Return whether nothing is open, and nothing can be opened any more."""
        ...

    @property
    def pending_count(self) -> int:
        """Return on how many connections a request, or a part of one, has no answer."""
        ...

    def begin_draining(self) -> None:
        """End each connection with the next answer after which nothing waits on it."""
        ...

    def begin_closing(self) -> None:
        """Accept no more, and end each connection once nothing is pending on it."""
        ...


class DrainGate(Protocol):
    """Part of the filter chain that admits requests during a drain."""

    last_admitted_s: float
    phase: DrainPhase | None
    """What the entry does now; None: no drain has begun."""

    def begin(self, stops_at_s: float) -> None:
        """Refuse requests that may not be answered whole before `stops_at_s`."""
        ...


async def run_drain(
    application: Drainable,
    connections: Connections,
    gate: DrainGate,
    options: DrainOptions,
    now_s: Callable[[], float],
) -> None:
    """Drain the application, and return once the entry may stop.

    The entry must already be excluded from the address lists.
    """
    drain = EntryDrain(now_s(), options)
    gate.begin(drain.ends_at_s)
    connections.begin_draining()
    aborted_s: float | None = None
    while True:
        load = DrainLoad(
            max(application.in_flight, connections.pending_count),
            connections.is_closed,
            gate.last_admitted_s,
            aborted_s,
        )
        phase = drain.phase_at(now_s(), load)
        gate.phase = phase
        if phase is DrainPhase.STOP:
            return
        if phase is not DrainPhase.SERVE:
            connections.begin_closing()
        if phase is DrainPhase.ABORT:
            aborted_s = now_s() if aborted_s is None else aborted_s
            application.abort()
        await anyio.sleep(POLL_INTERVAL_S)
