"""Which entries a caller is told to use, by their pressure.

The load is that of entries of unequal size and of a zone in which demand is at its
height.  Callers keep an answer for its time to live, so an address is left out with a
probability, which changes by a limited step per time to live, and the pressure is
judged by what was in force when the callers asked.
"""

import logging
import math
import random
import statistics
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from reedspar.fleet import DaemonRecord
from reedspar.pool_state import PressureBoard

from .entry_choice import NEARBY_ENTRIES_MIN, choose_entries

__all__ = ["EntrySelection"]

SHORT_PRESSURE = 0.75
"""Pressure up to which an entry or a zone has room."""
STEP_MAX = 0.2
"""Maximum change of a probability per time to live."""
LEFT_OUT_MAX = 0.75
"""Maximum probability with which an entry is left out."""
MOVED_MAX = 0.5
"""Maximum share of a zone's callers that is led to other zones."""
NEW_ENTRY_TTLS = 3.0
"""Times to live for which an entry is new: until then its callers still arrive."""
SHARE_MIN = 0.01
"""Share below which callers are no longer led away."""
LOGGED_MIN = 0.1
"""Probability from which a log line tells that callers are led away."""

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Diversion:
    """Share of the callers that is led away from an entry or a zone."""

    share: float = 0.0
    in_force: float = 0.0
    """The share as it was when the callers asked, on average."""
    is_logged: bool = False

    def update(
        self, pressure: float | None, goal: float, share_max: float, elapsed_ttls: float
    ) -> None:
        """Move by a step to the share that would bring the pressure to `goal`."""
        wanted = 0.0
        if pressure is not None:
            full_pressure = pressure / (1 - self.in_force)
            if full_pressure > goal:
                wanted = min(share_max, 1 - goal / full_pressure)
        step_max = STEP_MAX * elapsed_ttls
        change = (wanted - self.share) * elapsed_ttls
        self.share += min(step_max, max(-step_max, change))
        if not wanted and self.share < SHARE_MIN:
            self.share = 0.0
        lag_weight = 1 - math.exp(-elapsed_ttls)
        self.in_force += lag_weight * (self.share - self.in_force)

    def log_change(self, kind: str, name: str, pressure: float | None) -> None:
        """Log when callers begin to be led away, and when no longer."""
        is_away = self.share >= LOGGED_MIN or (self.is_logged and self.share > 0)
        if is_away == self.is_logged:
            return
        self.is_logged = is_away
        _logger.info(
            "callers led away" if is_away else "callers led back",
            extra={kind: name, "pressure": pressure, "share": round(self.share, 3)},
        )


class EntrySelection:
    """Chooses the entries for each caller; see `update` for when they change."""

    def __init__(self, ttl_s: float, rng: random.Random) -> None:
        self._ttl_s = max(ttl_s, 0.1)
        self._rng = rng
        self._known_since_s: dict[str, float] = {}
        self._entries: dict[str, _Diversion] = {}
        self._zones: dict[str, _Diversion] = {}
        self._updated_s: float | None = None
        self.left_out = 0
        """Addresses left out of answers."""
        self.joined = 0
        """Addresses of other zones added to answers."""

    @property
    def left_out_shares(self) -> dict[str, float]:
        """Return the probability with which each entry is left out, if it is."""
        return {name: d.share for name, d in self._entries.items() if d.share > 0}

    def update(
        self, entries: Iterable[DaemonRecord], board: PressureBoard, now_s: float
    ) -> None:
        """Adapt the shares to the present pressures; called several times per TTL."""
        by_zone: dict[tuple[str, str], list[str]] = defaultdict(list)
        for entry in entries:
            by_zone[entry.region, entry.zone].append(entry.name)
        names = {name for zone in by_zone.values() for name in zone}
        self._known_since_s = {
            name: self._known_since_s.get(name, now_s) for name in sorted(names)
        }
        self._entries = {n: d for n, d in self._entries.items() if n in names}
        last_s = now_s if self._updated_s is None else self._updated_s
        elapsed_ttls = min(1.0, (now_s - last_s) / self._ttl_s)
        self._updated_s = now_s
        means: dict[tuple[str, str], float] = {}
        for key, zone_names in by_zone.items():
            mean = self._update_zone_entries(zone_names, board, now_s, elapsed_ttls)
            if mean is not None:
                means[key] = mean
        for region, zone in by_zone:
            self._update_zone(region, zone, means, elapsed_ttls)

    def choose(
        self,
        entries: Sequence[DaemonRecord],
        zone: str,
        region: str,
        allowed_regions: frozenset[str] | None,
    ) -> list[DaemonRecord]:
        """Return the entries for a caller (see `choose_entries`)."""
        near = choose_entries(entries, zone, region, allowed_regions)
        joined = self._draw_joined(near, entries, zone, region)
        kept = self._drop_short(near)
        self.left_out += len(near) - len(kept)
        self.joined += len(joined)
        return kept + joined

    def _update_zone_entries(
        self,
        names: list[str],
        board: PressureBoard,
        now_s: float,
        elapsed_ttls: float,
    ) -> float | None:
        """Update the entries of one zone; return their mean pressure, if known."""
        pressures = {name: board.pressure(name, now_s) for name in names}
        known = [p for p in pressures.values() if p is not None]
        if not known and not any(name in self._entries for name in names):
            return None
        usual = statistics.median(known) if known else 0.0
        for name, pressure in pressures.items():
            is_new = now_s - self._known_since_s[name] < NEW_ENTRY_TTLS * self._ttl_s
            diversion = self._entries.setdefault(name, _Diversion())
            diversion.update(
                None if is_new else pressure,
                max(SHORT_PRESSURE, usual),
                LEFT_OUT_MAX,
                elapsed_ttls,
            )
            diversion.log_change("entry", name, pressure)
        return statistics.fmean(known) if known else None

    def _update_zone(
        self,
        region: str,
        zone: str,
        means: Mapping[tuple[str, str], float],
        elapsed_ttls: float,
    ) -> None:
        """Update the share of a zone's callers that is led to others of the region."""
        others = [
            mean for key, mean in means.items() if key[0] == region and key[1] != zone
        ]
        pressure = means.get((region, zone)) if others else None
        if pressure is None and zone not in self._zones:
            return
        goal = max(SHORT_PRESSURE, statistics.fmean(others) if others else 0.0)
        diversion = self._zones.setdefault(zone, _Diversion())
        diversion.update(pressure, goal, MOVED_MAX, elapsed_ttls)
        diversion.log_change("zone", zone, pressure)

    def _draw_joined(
        self,
        near: Sequence[DaemonRecord],
        entries: Iterable[DaemonRecord],
        zone: str,
        region: str,
    ) -> list[DaemonRecord]:
        """Return entries of other zones of the region that help the caller's zone."""
        diversion = self._zones.get(zone)
        if diversion is None or diversion.share <= 0:
            return []
        if any(entry.zone != zone for entry in near):
            return []  # The caller is given other zones in any case.
        helpers = [e for e in entries if e.region == region and e.zone != zone]
        if not helpers:
            return []
        # With this probability, helpers make up the share among the addresses.
        share = diversion.share
        probability = share * len(near) / (len(helpers) * (1 - share))
        return [
            entry
            for entry in helpers
            if self._rng.random() < probability * (1 - self._share_of(entry))
        ]

    def _drop_short(self, near: list[DaemonRecord]) -> list[DaemonRecord]:
        """Return the entries without those drawn to be left out.

        At least half of each zone, and two entries in all, are kept.
        """
        drawn = [
            entry
            for entry in near
            if (share := self._share_of(entry)) > 0 and self._rng.random() < share
        ]
        if not drawn:
            return near
        drawn.sort(key=self._share_of, reverse=True)
        dropped: set[str] = set()
        dropped_by_zone: dict[str, int] = defaultdict(int)
        for entry in drawn:
            zone_size = sum(other.zone == entry.zone for other in near)
            has_half = 2 * (dropped_by_zone[entry.zone] + 1) <= zone_size
            if has_half and len(near) - len(dropped) > NEARBY_ENTRIES_MIN:
                dropped.add(entry.name)
                dropped_by_zone[entry.zone] += 1
        return [entry for entry in near if entry.name not in dropped]

    def _share_of(self, entry: DaemonRecord) -> float:
        diversion = self._entries.get(entry.name)
        return diversion.share if diversion is not None else 0.0

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the counts for the metrics, by change."""
        return [
            (self.left_out, {"change": "left_out"}),
            (self.joined, {"change": "joined"}),
        ]
