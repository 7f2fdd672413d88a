"""State of the simulated key-value service: entries, revisions and leases."""

from dataclasses import dataclass, field

__all__ = ["Entry", "KeyValueState", "Lease"]


@dataclass(frozen=True, slots=True)
class Entry:
    """A value and its revision; no revision is used twice, even for different keys."""

    value: bytes
    revision: int


@dataclass(slots=True)
class Lease:
    """A lease, and the keys that are deleted when it expires."""

    ttl_s: float
    expires_s: float
    keys: set[str] = field(default_factory=set)


class KeyValueState:
    """Entries changed by compare-and-swap; callers pass the current time."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._previous: dict[str, Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._last_revision = 0
        self._last_lease = 0

    def get(self, key: str) -> Entry | None:
        """Return the current entry, or None."""
        return self._entries.get(key)

    def get_previous(self, key: str) -> Entry | None:
        """Return the entry before the last write, or None."""
        return self._previous.get(key)

    def compare_and_swap(
        self, key: str, value: bytes, expected: int, lease_id: str
    ) -> int | None:
        """Return the new revision, or None if `expected` is not the current one."""
        current = self._entries.get(key)
        if expected != (current.revision if current else 0):
            return None
        if current is not None:
            self._previous[key] = current
        self._last_revision += 1
        self._entries[key] = Entry(value, self._last_revision)
        for lease in self._leases.values():
            lease.keys.discard(key)
        if lease_id:
            self._leases[lease_id].keys.add(key)
        return self._last_revision

    def grant(self, ttl_s: float, now_s: float) -> str:
        """Create a lease and return its id."""
        self._last_lease += 1
        lease_id = f"lease-{self._last_lease}"
        self._leases[lease_id] = Lease(ttl_s, now_s + ttl_s)
        return lease_id

    def renew(self, lease_id: str, now_s: float) -> bool:
        """Restart the lease's time to live; return False if it has expired."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        lease.expires_s = now_s + lease.ttl_s
        return True

    def has_lease(self, lease_id: str) -> bool:
        """Return whether the lease exists."""
        return lease_id in self._leases

    def expire(self, now_s: float) -> None:
        """Delete expired leases and their keys."""
        expired = [i for i, lease in self._leases.items() if lease.expires_s <= now_s]
        for lease_id in expired:
            for key in self._leases.pop(lease_id).keys:
                self._entries.pop(key, None)
