"""Removals of entries that are not applied yet, with counts of how each one ended."""

import logging
from collections.abc import Iterator
from dataclasses import dataclass

from .revisions import describe_revision
from .store import WatchedEntry

__all__ = ["DeferredRemovals"]

CONFIRMED = "confirmed"
"""A peer that the store has served during the outage has applied the removal."""
EXPIRED = "expired"
"""The time for which removals are deferred has ended."""
REWRITTEN = "rewritten"
"""The entry was written again."""

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Deferral:
    entry: WatchedEntry
    deferred_at_s: float


class DeferredRemovals:
    """Keeps the deferred removals of one prefix, by key."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._deferrals: dict[str, _Deferral] = {}
        self._counts = dict.fromkeys((CONFIRMED, EXPIRED, REWRITTEN), 0)

    def __iter__(self) -> Iterator[str]:
        return iter(self._deferrals)

    @property
    def counts(self) -> dict[str, int]:
        """Return the number of deferred removals by how the deferral ended."""
        return dict(self._counts)

    def add(self, entry: WatchedEntry, now_s: float) -> None:
        """Defer a removal; a later one of the same key replaces it."""
        known = self._deferrals.get(entry.key)
        deferred_at_s = known.deferred_at_s if known is not None else now_s
        self._deferrals[entry.key] = _Deferral(entry, deferred_at_s)

    def discard(self, newer: WatchedEntry, now_s: float) -> None:
        """Drop the removal of a key for which a newer entry is applied, if any."""
        deferral = self._deferrals.pop(newer.key, None)
        if deferral is not None:
            outcome = CONFIRMED if newer.value is None else REWRITTEN
            self._record_end(deferral, outcome, now_s)

    def pop_all(self, now_s: float) -> list[WatchedEntry]:
        """Remove and return all removals, as they are deferred no longer."""
        due, self._deferrals = self._deferrals, {}
        for deferral in due.values():
            self._record_end(deferral, EXPIRED, now_s)
        return [deferral.entry for deferral in due.values()]

    def _record_end(self, deferral: _Deferral, outcome: str, now_s: float) -> None:
        self._counts[outcome] += 1
        _logger.info(
            "deferral of a removal ended",
            extra={
                "key": deferral.entry.key,
                **describe_revision(deferral.entry.revision),
                "outcome": outcome,
                "deferred_ms": round((now_s - deferral.deferred_at_s) * 1000),
            },
        )
