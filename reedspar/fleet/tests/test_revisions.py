"""Tests of the order of revisions across restores of the store."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from reedspar.fleet import epoch_of, join_revision, revision_in_epoch

EPOCHS = st.integers(0, 2**24 - 1)
REVISIONS = st.integers(0, 2**40 - 1)


class RevisionTest(unittest.TestCase):
    @given(EPOCHS, REVISIONS, EPOCHS, REVISIONS)
    def test_epoch_precedes_revision_in_the_order(
        self, epoch: int, revision: int, other_epoch: int, other_revision: int
    ) -> None:
        joined = join_revision(epoch, revision)
        other = join_revision(other_epoch, other_revision)
        expected = (epoch, revision) < (other_epoch, other_revision)
        self.assertEqual(joined < other, expected)

    @given(EPOCHS, REVISIONS)
    def test_parts_are_recovered_and_fit_in_a_message(
        self, epoch: int, revision: int
    ) -> None:
        joined = join_revision(epoch, revision)
        parts = epoch_of(joined), revision_in_epoch(joined)
        self.assertEqual(parts, (epoch, revision))
        self.assertLess(joined, 2**64)


if __name__ == "__main__":
    unittest.main()
