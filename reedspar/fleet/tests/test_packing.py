"""Tests of entries as peers send them."""

import unittest
import zlib
from dataclasses import replace

from reedspar.fleet import WatchedEntry
from reedspar.fleet.packing import UNPACKED_MAX_BYTES, EntryPacker, unpack_entry

LARGE = WatchedEntry("doc", b'{"route": "/a/b/c"}, ' * 1000, 7)


class PackingTest(unittest.TestCase):
    def test_every_entry_comes_out_as_it_went_in(self) -> None:
        packer = EntryPacker()
        small = WatchedEntry("doc", b"{}", 8)
        removed = WatchedEntry("doc", None, 9)
        for entry in (LARGE, small, removed, LARGE):
            self.assertEqual(unpack_entry(packer.pack(entry)), entry)

    def test_large_value_takes_a_part_of_its_size(self) -> None:
        self.assertLess(
            len(EntryPacker().pack(LARGE).value), len(LARGE.value or b"") / 9
        )

    def test_large_value_is_compressed_once_for_all_that_ask(self) -> None:
        # Twelve daemons ask for a document at the same moment.
        packer = EntryPacker()
        self.assertIs(packer.pack(LARGE), packer.pack(LARGE))

    def test_newer_value_is_not_taken_for_the_last_one(self) -> None:
        packer = EntryPacker()
        packer.pack(LARGE)
        newer = replace(LARGE, value=b"x" * 5000, revision=8)
        self.assertEqual(unpack_entry(packer.pack(newer)), newer)

    def test_value_that_grows_beyond_the_bound_is_dropped(self) -> None:
        # A few bytes that unpack to gigabytes would take the daemon's memory.
        packed = EntryPacker().pack(LARGE)
        bomb = zlib.compress(bytes(UNPACKED_MAX_BYTES + 1))
        self.assertIsNone(unpack_entry(replace(packed, value=bomb)))

    def test_value_that_is_cut_or_spoilt_is_dropped(self) -> None:
        packed = EntryPacker().pack(LARGE)
        self.assertIsNone(unpack_entry(replace(packed, value=packed.value[:-9])))
        self.assertIsNone(unpack_entry(replace(packed, value=b"x" * 90)))


if __name__ == "__main__":
    unittest.main()
