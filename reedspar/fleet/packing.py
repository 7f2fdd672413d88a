"""Conversion of store entries to messages, with compression of large values."""

import zlib

from .messages import FleetEntry
from .store import WatchedEntry

__all__ = ["EntryPacker", "unpack_entry"]

COMPRESSED_VALUE_MIN_BYTES = 1024
"""Size from which a value is compressed."""
DECOMPRESSED_VALUE_MAX_BYTES = 4 * 1024 * 1024
"""Size limit of a decompressed value, so that a small message can't exhaust memory."""
COMPRESSION_LEVEL = 1


class EntryPacker:
    """Converts entries to messages.

    The last compressed entry is cached, as many peers request the same one in a row.
    """

    def __init__(self) -> None:
        self._last: FleetEntry | None = None

    def pack(self, entry: WatchedEntry) -> FleetEntry:
        """Return an entry in the form in which it is sent."""
        last = self._last
        if last and (last.key, last.revision) == (entry.key, entry.revision):
            return last
        value = entry.value or b""
        if len(value) < COMPRESSED_VALUE_MIN_BYTES:
            return FleetEntry(entry.key, value, entry.revision, entry.value is None)
        packed = zlib.compress(value, COMPRESSION_LEVEL)
        self._last = FleetEntry(entry.key, packed, entry.revision, False, True)
        return self._last


def unpack_entry(entry: FleetEntry) -> WatchedEntry | None:
    """Return a received entry, or None if its value can't be decompressed."""
    if entry.is_removed:
        return WatchedEntry(entry.key, None, entry.revision)
    if not entry.is_packed:
        return WatchedEntry(entry.key, entry.value, entry.revision)
    inflater = zlib.decompressobj()
    try:
        value = inflater.decompress(entry.value, DECOMPRESSED_VALUE_MAX_BYTES)
    except zlib.error:
        return None
    if not inflater.eof:
        return None
    return WatchedEntry(entry.key, value, entry.revision)
