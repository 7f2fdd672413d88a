"""Tests of the conversion of entries to messages."""

import unittest
import zlib
from dataclasses import replace

from reedspar.fleet import WatchedEntry
from reedspar.fleet.packing import (
    DECOMPRESSED_VALUE_MAX_BYTES,
    EntryPacker,
    unpack_entry,
)

LARGE = WatchedEntry("doc", b'{"route": "/a/b/c"}, ' * 1000, 7)


class PackingTest(unittest.TestCase):
    def test_entries_survive_round_trip(self) -> None:
        packer = EntryPacker()
        small = WatchedEntry("doc", b"{}", 8)
        removed = WatchedEntry("doc", None, 9)
        for entry in (LARGE, small, removed, LARGE):
            self.assertEqual(unpack_entry(packer.pack(entry)), entry)

    def test_large_value_is_compressed(self) -> None:
        self.assertLess(
            len(EntryPacker().pack(LARGE).value), len(LARGE.value or b"") / 9
        )

    def test_large_value_is_compressed_once_for_all_requests(self) -> None:
        # Twelve daemons request a document at the same time.
        packer = EntryPacker()
        self.assertIs(packer.pack(LARGE), packer.pack(LARGE))

    def test_newer_value_replaces_cached_one(self) -> None:
        packer = EntryPacker()
        packer.pack(LARGE)
        newer = replace(LARGE, value=b"x" * 5000, revision=8)
        self.assertEqual(unpack_entry(packer.pack(newer)), newer)

    def test_value_above_size_limit_is_rejected(self) -> None:
        # A few bytes that decompress to gigabytes would exhaust the daemon's memory.
        packed = EntryPacker().pack(LARGE)
        bomb = zlib.compress(bytes(DECOMPRESSED_VALUE_MAX_BYTES + 1))
        self.assertIsNone(unpack_entry(replace(packed, value=bomb)))

    def test_truncated_or_corrupt_value_is_rejected(self) -> None:
        packed = EntryPacker().pack(LARGE)
        self.assertIsNone(unpack_entry(replace(packed, value=packed.value[:-9])))
        self.assertIsNone(unpack_entry(replace(packed, value=b"x" * 90)))


if __name__ == "__main__":
    unittest.main()
