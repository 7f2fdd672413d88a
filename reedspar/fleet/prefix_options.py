"""Options of the prefixes of the store that a daemon follows."""

from dataclasses import dataclass

__all__ = ["FleetPrefix"]

DEFAULT_BATCH_INTERVAL_S = 0.03
"""Pause between two watches, so that one call returns several successive changes.

It saves about half of the calls while many targets change, and adds 30 ms of delay."""


@dataclass(frozen=True, slots=True)
class FleetPrefix:
    """A prefix of the store to follow, and how to follow it."""

    prefix: str
    defers_outage_removals: bool = False
    batch_interval_s: float = DEFAULT_BATCH_INTERVAL_S
    """Pause between two watches; changes made during it are returned by one call."""
    poll_interval_s: float | None = None
    """Mean interval between reads of a polled prefix; None to watch the prefix.

    Prefixes whose changes are not urgent are polled.  Each read asks peers, and
    the store only if they don't answer."""
    is_relayed: bool = False
    """A few daemons of each region (readers) watch the prefix for the others."""
    is_pushed: bool = False
    """Readers push changes of this relayed prefix, as its entries are small.

    It is not watched until the relay selects this daemon as a reader."""
