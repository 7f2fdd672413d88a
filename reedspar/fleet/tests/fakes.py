"""An in-memory store that can be listed and watched, and a codec for its entries."""

import json
from dataclasses import replace

import anyio
import anyio.lowlevel

from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import (
    FleetChange,
    Listing,
    TargetChange,
    TargetRecord,
    WatchedChanges,
    WatchedEntry,
    WeightsChange,
    ZoneChange,
    join_revision,
    revision_in_epoch,
)
from reedspar.platform import KeyValueEntry

__all__ = ["FakeCodec", "FakeStore", "make_target"]


def make_target(target_id: str, **changes: object) -> TargetRecord:
    """Return a target's record with the given changes to the defaults."""
    values: dict = {
        "id": target_id,
        "pool": "quotes",
        "host": "10.0.0.1",
        "port": 80,
        "zone": "a",
        "slots": 4,
        "weights": {"m": 1},
    }
    return TargetRecord(**{**values, **changes})


class FakeStore:
    """Keeps entries with revisions; can be unavailable or drop its history."""

    def __init__(self) -> None:
        self.revision = 1
        self.epoch = 0
        self.log: list[WatchedEntry] = []
        self.current: dict[str, WatchedEntry] = {}
        self.leases: dict[str, set[str]] = {}
        self.first_kept_revision = 0
        self.is_unavailable = False
        self.is_receiving = False
        self.calls: list[str] = []
        self.interruption_count = 0
        self.lost_watch_count = 0
        self._changed = anyio.Event()

    def put(self, key: str, value: bytes | None) -> int:
        """Write or remove an entry on behalf of another client."""
        self.revision += 1
        entry = WatchedEntry(key, value, self.revision)
        self.log.append(entry)
        if value is None:
            self.current.pop(key, None)
        else:
            self.current[key] = entry
        self._changed.set()
        self._changed = anyio.Event()
        return self.revision

    def restore(self, current: dict[str, WatchedEntry]) -> None:
        """Come back with earlier entries, in the next epoch, and fail the watches."""
        self.epoch += 1
        entries = [
            replace(entry, revision=self._join(entry.revision))
            for entry in current.values()
        ]
        self.current = {entry.key: entry for entry in entries}
        self.log = sorted(entries, key=lambda entry: entry.revision)
        self.revision = max((e.revision for e in entries), default=self._join(1))
        self.first_kept_revision = self._join(0)
        self.interrupt_watches()

    def _join(self, revision: int) -> int:
        return join_revision(self.epoch, revision_in_epoch(revision))

    def drop_history(self) -> None:
        """Drop the history of all changes so far."""
        self.first_kept_revision = self.revision
        self._changed.set()
        self._changed = anyio.Event()

    def interrupt_watches(self) -> None:
        """Fail the pending watches; later calls are answered."""
        self.interruption_count += 1
        self._changed.set()
        self._changed = anyio.Event()

    def lose_watches(self) -> None:
        """Never answer the pending watches; later calls are answered."""
        self.lost_watch_count += 1

    def expire_lease(self, lease_id: str) -> None:
        """End a lease and remove its entries, as the end of its time to live does."""
        for key in self.leases.pop(lease_id, set()):
            self.put(key, None)

    async def list_entries(self, prefix: str) -> Listing | Failure:
        self.calls.append("list")
        await anyio.lowlevel.checkpoint()
        if self.is_unavailable:
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        found = [e for key, e in self.current.items() if key.startswith(prefix)]
        return Listing(tuple(found), self.revision)

    async def watch_entries(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> WatchedChanges | Failure:
        self.calls.append("watch")
        interruption_count = self.interruption_count
        lost_watch_count = self.lost_watch_count
        with anyio.move_on_after(timeout_s):
            while not self.is_unavailable:
                if self.lost_watch_count != lost_watch_count:
                    await anyio.sleep_forever()
                if self.interruption_count != interruption_count:
                    return Failure(Reason.OUTCOME_UNKNOWN, Step.KEY_VALUE)
                if not self.first_kept_revision <= after_revision <= self.revision:
                    return Failure(Reason.EXPIRED, Step.KEY_VALUE)
                found = [
                    entry
                    for entry in self.log
                    if entry.revision > after_revision and entry.key.startswith(prefix)
                ]
                if found:
                    return WatchedChanges(tuple(found), self.revision)
                await self._changed.wait()
        if self.is_unavailable:
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        return WatchedChanges((), max(after_revision, self.revision))

    async def get(self, key: str) -> KeyValueEntry | Failure | None:
        self.calls.append("get")
        if self.is_unavailable:
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        entry = self.current.get(key)
        if entry is None:
            return None
        return KeyValueEntry(key, entry.value or b"", entry.revision)

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str = ""
    ) -> int | Failure:
        if self.is_unavailable:
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        entry = self.current.get(key)
        if expected_revision != (entry.revision if entry else 0):
            return Failure(Reason.CONFLICT, Step.KEY_VALUE)
        if lease_id and lease_id not in self.leases:
            return Failure(Reason.NOT_FOUND, Step.KEY_VALUE)
        if lease_id:
            self.leases[lease_id].add(key)
        return self.put(key, value)

    async def grant_lease(self, ttl_s: float) -> str | Failure:
        if self.is_unavailable:
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        lease_id = str(len(self.calls) + self.revision)
        self.leases[lease_id] = set()
        return lease_id

    async def renew_lease(self, lease_id: str) -> Failure | None:
        self.calls.append("renew")
        if self.is_unavailable:
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        if lease_id not in self.leases:
            return Failure(Reason.NOT_FOUND, Step.KEY_VALUE)
        return None

    async def end_lease(self, lease_id: str) -> Failure | None:
        if self.is_unavailable:
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        self.expire_lease(lease_id)
        return None

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueEntry | Failure | None:
        return None


class FakeCodec:
    """Decodes ``targets/ID``, ``zones/NAME`` and ``versions/MODEL``."""

    def decode(self, entry: WatchedEntry) -> FleetChange | None:
        kind, _, name = entry.key.partition("/")
        if kind == "zones":
            return ZoneChange(name, entry.value is not None)
        if entry.value is None:
            return TargetChange(name, None)
        if kind == "versions":
            return WeightsChange(name, int(entry.value))
        return TargetChange(name, make_target(name, **json.loads(entry.value)))

    def is_older(self, entry: WatchedEntry, known: WatchedEntry) -> bool:
        """Return whether a named version is lower; other values have no order."""
        if not entry.key.startswith("versions/"):
            return False
        return int(entry.value or 0) < int(known.value or 0)
