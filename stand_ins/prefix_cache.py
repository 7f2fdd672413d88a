"""Simulated prefix cache of an engine, whose events are delayed and partly lost."""

import hashlib
import random
import time
from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["CacheEvent", "PrefixCache"]

BLOCK_CHARACTERS = 64
RETAINED_EVENTS_MAX = 4096


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block was stored or removed; a missing sequence number is a lost event."""

    sequence: int
    kind: str
    block: str
    visible_s: float


class PrefixCache:
    """A bounded LRU set of prompt prefix blocks."""

    def __init__(
        self, capacity: int, event_lag_s: float, event_gap_share: float, seed: int
    ) -> None:
        self._capacity = capacity
        self._event_lag_s = event_lag_s
        self._event_gap_share = event_gap_share
        self._rng = random.Random(seed)
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._sequence = 0

    def use(self, prompt: str) -> int:
        """Store the prompt's blocks; return how many were not cached."""
        missing = 0
        for block in make_blocks(prompt):
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            missing += 1
            self._blocks[block] = None
            self._record_event("stored", block)
        while len(self._blocks) > self._capacity:
            removed, _ = self._blocks.popitem(last=False)
            self._record_event("removed", removed)
        return missing

    def clear(self) -> None:
        """Discard all blocks and events, as a restart of the process does."""
        self._blocks.clear()
        self._events.clear()

    def events_after(self, sequence: int) -> list[CacheEvent]:
        """Return the events after `sequence` that are visible by now."""
        now_s = time.monotonic()
        return [
            event
            for event in self._events
            if event.sequence > sequence and event.visible_s <= now_s
        ]

    def _record_event(self, kind: str, block: str) -> None:
        self._sequence += 1
        if self._rng.random() < self._event_gap_share:
            return
        visible_s = time.monotonic() + self._event_lag_s
        self._events.append(CacheEvent(self._sequence, kind, block, visible_s))
        del self._events[:-RETAINED_EVENTS_MAX]


def make_blocks(prompt: str) -> list[str]:
    """Return a digest of the prompt up to the end of each full block."""
    ends = range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
    return [hashlib.sha256(prompt[:end].encode()).hexdigest()[:16] for end in ends]
