"""Which entries of a region collect what its entries and agents tell."""

from collections.abc import Iterable

from reedspar.utils import rank_by_rendezvous

__all__ = ["STANDBY_INTERVAL_S", "CollectorSelection"]

COLLECTORS_PER_REGION = 2
STAND_INS_PER_REGION = 2
STANDBY_INTERVAL_S = 1.0
"""Interval of messages from and to collectors that are not the active one."""
ACTIVE_SILENCE_S = 0.6
"""Time without a message of the active collector after which the next one is active."""
STANDBY_SILENCE_S = 1.5
"""The same for a collector that sends once a second."""
STAND_IN_SILENCE_S = 1.0
"""Time without a message of either collector after which the stand-ins collect."""


class CollectorSelection:
    """Selects the collectors of one region, and the active one among them.

    The active one sends to its region at the full rate, the others once a second.
    """

    def __init__(self, region: str, own_name: str) -> None:
        self._key = f"pool-state/{region}"
        self._own_name = own_name
        self._entries: frozenset[str] = frozenset()
        self._order: list[str] = []
        self._ranked: tuple[str, ...] = ()
        self._heard_s: dict[str, float] = {}

    @property
    def entries(self) -> frozenset[str]:
        """Return the known entries of the region."""
        return self._entries

    def update_entries(self, entries: Iterable[str], now_s: float) -> None:
        """Set the region's known entries; new candidates count as just heard."""
        known = frozenset(entries)
        if known == self._entries:
            return
        self._entries = known
        count = COLLECTORS_PER_REGION + STAND_INS_PER_REGION
        self._order = rank_by_rendezvous(self._key, known)
        self._ranked = tuple(self._order[:count])
        self._heard_s = {name: self._heard_s.get(name, now_s) for name in self._ranked}

    def record_heard(self, name: str, now_s: float) -> None:
        """Record a message that a collector of the region has made."""
        if name in self._heard_s:
            self._heard_s[name] = now_s

    def reset(self, now_s: float) -> None:
        """Count all candidates as just heard, after a pause or before a start."""
        self._heard_s = dict.fromkeys(self._ranked, now_s)

    def collectors(self, now_s: float) -> tuple[str, ...]:
        """Return the entries that collect now, in order of their rank."""
        first = self._ranked[:COLLECTORS_PER_REGION]
        if self._own_name in first:
            return first
        heard_s = max((self._heard_s[name] for name in first), default=now_s)
        return first if now_s - heard_s < STAND_IN_SILENCE_S else self._ranked

    def relay_order(self, collector: str) -> list[str]:
        """Return the entries in the order in which a collector's messages are relayed.

        The orders of the first two collectors are opposite, each with the other one at
        its end: an entry relays the messages of at most one of them, so that its loss
        leaves the other's.
        """
        if collector not in self._ranked:
            return []
        first = self._ranked[:COLLECTORS_PER_REGION]
        others = [name for name in self._order if name not in (collector, *first)]
        if self._ranked.index(collector) % 2:
            others.reverse()
        return [collector, *others, *(name for name in first if name != collector)]

    def active(self, now_s: float) -> str | None:
        """Return the collector that sends at the full rate, None if none is heard."""
        silence_max_s = ACTIVE_SILENCE_S
        for name in self.collectors(now_s):
            is_heard = now_s - self._heard_s[name] < silence_max_s
            if is_heard or name == self._own_name:
                return name
            silence_max_s = STANDBY_SILENCE_S
        return None
