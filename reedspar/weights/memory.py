"""In-memory store of objects with a size limit and eviction."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from reedspar.errors import InvariantError

__all__ = ["ChunkMemory"]

EVICTIONS_MIN = 4
"""Minimum number of evictions at a time, so that objects are ranked less often."""


class ChunkMemory:
    """Objects by digest, and memory reserved for objects being received.

    Objects are evicted in ascending order of `rank_victim`, and `on_evict` is called
    after each eviction.
    """

    def __init__(
        self,
        capacity_bytes: int,
        rank_victim: Callable[[str], Any],
        on_evict: Callable[[str], None],
    ) -> None:
        self._capacity_bytes = capacity_bytes
        self._rank_victim = rank_victim
        self._on_evict = on_evict
        self._objects: dict[str, bytes] = {}
        self._pins: Counter[str] = Counter()
        self._held_bytes = 0
        self._reserved_bytes = 0

    @property
    def capacity_bytes(self) -> int:
        """Return the size limit."""
        return self._capacity_bytes

    @property
    def used_bytes(self) -> int:
        """Return the size of the objects and reservations."""
        return self._held_bytes + self._reserved_bytes

    def __contains__(self, digest: str) -> bool:
        return digest in self._objects

    def get(self, digest: str) -> bytes | None:
        """Return an object, or None if it is not stored."""
        return self._objects.get(digest)

    def pin(self, digest: str) -> None:
        """Protect an object from eviction until each pin is removed by `unpin`."""
        self._pins[digest] += 1

    def unpin(self, digest: str) -> None:
        """Remove one pin of an object."""
        self._pins[digest] -= 1
        if self._pins[digest] <= 0:
            del self._pins[digest]

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory for an object, evicting others; return False if it is full."""
        if not self._make_room(size_bytes):
            return False
        self._reserved_bytes += size_bytes
        self._check()
        return True

    def unreserve(self, size_bytes: int) -> None:
        """Release reserved memory."""
        self._reserved_bytes -= size_bytes
        self._check()

    def put(self, digest: str, data: bytes) -> bool:
        """Store an object whose reservation was released; return False if full."""
        if digest in self._objects:
            return True
        if not self._make_room(len(data)):
            return False
        self._objects[digest] = data
        self._held_bytes += len(data)
        self._check()
        return True

    def _make_room(self, size_bytes: int) -> bool:
        if self.used_bytes + size_bytes <= self._capacity_bytes:
            return True
        victims = [digest for digest in self._objects if digest not in self._pins]
        victims.sort(key=self._rank_victim)
        for evicted, digest in enumerate(victims):
            has_room = self.used_bytes + size_bytes <= self._capacity_bytes
            if has_room and evicted >= EVICTIONS_MIN:
                break
            self._evict(digest)
        return self.used_bytes + size_bytes <= self._capacity_bytes

    def _evict(self, digest: str) -> None:
        self._held_bytes -= len(self._objects.pop(digest))
        self._on_evict(digest)

    def _check(self) -> None:
        if self._reserved_bytes < 0 or self.used_bytes > self._capacity_bytes:
            raise InvariantError(
                f"chunk memory: {self._held_bytes} held, {self._reserved_bytes} "
                f"reserved of {self._capacity_bytes} bytes"
            )
