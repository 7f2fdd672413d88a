"""An in-memory key-value service with outages, lost answers and stale reads."""

import random
from dataclasses import dataclass, field

from reedspar.errors import Failure, Reason, Step
from reedspar.platform import KeyValueEntry

__all__ = ["FakeKeyValue"]


@dataclass
class FakeKeyValue:
    """Writes are linearizable; a stale read returns any earlier revision of the key."""

    rng: random.Random = field(default_factory=lambda: random.Random(0))
    is_down: bool = False
    lost_answer_share: float = 0.0
    stale_read_share: float = 0.0
    calls: int = 0
    _entries: dict[str, list[KeyValueEntry]] = field(default_factory=dict)
    _leases: dict[str, int] = field(default_factory=dict)

    def newest(self, key: str) -> KeyValueEntry | None:
        """Return the latest entry without counting a call."""
        entries = self._entries.get(key)
        return entries[-1] if entries else None

    def revisions(self, key: str) -> tuple[KeyValueEntry, ...]:
        """Return all entries that the key has had, oldest first."""
        return tuple(self._entries.get(key, ()))

    async def get(self, key: str) -> KeyValueEntry | Failure | None:
        self.calls += 1
        if self.is_down:
            return _unavailable()
        entries = self._entries.get(key, [])
        if self.rng.random() < self.stale_read_share:
            i = self.rng.randrange(len(entries) + 1)
            return entries[i - 1] if i else None
        return entries[-1] if entries else None

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str = ""
    ) -> int | Failure:
        self.calls += 1
        if self.is_down:
            return _unavailable()
        entries = self._entries.setdefault(key, [])
        revision = entries[-1].revision if entries else 0
        if revision != expected_revision:
            result: int | Failure = Failure(Reason.CONFLICT, Step.KEY_VALUE)
        else:
            entries.append(KeyValueEntry(key, value, revision + 1))
            result = revision + 1
        if self.rng.random() < self.lost_answer_share:
            return Failure(Reason.OUTCOME_UNKNOWN, Step.KEY_VALUE)
        return result

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueEntry | Failure | None:
        entry = await self.get(key)
        if isinstance(entry, KeyValueEntry) and entry.revision <= after_revision:
            return None
        return entry

    async def grant_lease(self, ttl_s: float) -> str | Failure:
        raise NotImplementedError

    async def renew_lease(self, lease_id: str) -> Failure | None:
        raise NotImplementedError


def _unavailable() -> Failure:
    return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
