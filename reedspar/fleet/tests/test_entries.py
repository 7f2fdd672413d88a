"""Tests of which of the store's entries hold."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from reedspar.fleet import Listing, WatchedEntry
from reedspar.fleet.entries import LAPSE_GRACE_S, PrefixCache

PUT = WatchedEntry("t/1", b"a", 5)
GONE = WatchedEntry("t/1", None, 9)


class OrderTest(unittest.TestCase):
    def test_only_newer_entries_change_anything(self) -> None:
        cache = PrefixCache("t/")
        self.assertEqual(cache.take([PUT], 5, 0.0), [PUT])
        self.assertEqual(cache.take([PUT], 5, 0.0), [])
        self.assertEqual(cache.take([WatchedEntry("t/1", b"old", 4)], 4, 0.0), [])
        self.assertEqual(cache.revision, 5)

    def test_late_word_of_an_entry_that_was_removed_is_dropped(self) -> None:
        # A peer passes on an old entry after its removal.  Taken in, requests
        # would go to a target that is gone.
        cache = PrefixCache("t/")
        cache.take([PUT, GONE], 9, 0.0)
        self.assertEqual(cache.take([PUT], 9, 0.0), [])

    def test_listing_removes_what_it_lacks(self) -> None:
        cache = PrefixCache("t/")
        cache.take([PUT, WatchedEntry("t/2", b"b", 6)], 6, 0.0)
        changed = cache.take_listing(Listing((PUT,), 8), 0.0)
        self.assertEqual(changed, [WatchedEntry("t/2", None, 8)])

    def test_own_watch_goes_on_after_what_a_peer_has_covered(self) -> None:
        # A daemon has a document from a peer.  Its own watch went on from before, and
        # the store sent the whole document once more.
        cache = PrefixCache("t/")
        cache.take([PUT], 5, 0.0)
        cache.note_covered(newest=9, covered=12)
        self.assertEqual(cache.revision, 5)
        cache.note_covered(newest=5, covered=8)
        self.assertEqual(cache.revision, 8)

    @given(st.permutations(list(range(1, 9))), st.sets(st.integers(1, 8)))
    def test_any_order_of_news_ends_alike(self, order: list, removed: set) -> None:
        cache = PrefixCache("t/")
        for revision in order:
            value = None if revision in removed else b"%d" % revision
            cache.take([WatchedEntry("t/1", value, revision)], revision, 0.0)
        (entry,) = cache.entries_after(0)
        self.assertEqual(entry.revision, 8)

    @given(st.permutations(list(range(1, 9))), st.sets(st.integers(1, 8)))
    def test_any_order_of_news_has_the_same_digest(
        self, order: list, removed: set
    ) -> None:
        # Guards against daemons requesting entries repeatedly that they already have.
        digests = set()
        for revisions in (order, sorted(order)):
            cache = PrefixCache("t/")
            for revision in revisions:
                value = None if revision in removed else b"v"
                entry = WatchedEntry(f"t/{revision % 3}", value, revision)
                cache.take([entry], revision, 0.0)
            digests.add(cache.digest)
        self.assertEqual(len(digests), 1)

    def test_missed_removal_changes_the_digest(self) -> None:
        complete, incomplete = PrefixCache("t/"), PrefixCache("t/")
        other = WatchedEntry("t/2", b"b", 12)
        complete.take([PUT, GONE, other], 12, 0.0)
        incomplete.take([PUT, other], 12, 0.0)
        self.assertNotEqual(complete.digest, incomplete.digest)
        incomplete.take_listing(Listing((other,), 12), 0.0, is_certain=True)
        self.assertEqual(complete.digest, incomplete.digest)


class OutageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cache = PrefixCache("t/", defers_outage_removals=True)
        self.cache.take([PUT], 5, 0.0)

    def test_entry_that_lapsed_in_an_outage_is_kept_until_it_is_back(self) -> None:
        # The store is away for longer than the leases last.  All targets' entries
        # lapse, though the targets live; were they dropped, each request would be
        # refused until they have written themselves in again.
        self.cache.note_away()
        self.cache.note_returned(20.0)
        self.assertEqual(self.cache.take([GONE], 9, 20.1), [])
        back = WatchedEntry("t/1", b"a", 11)
        self.assertEqual(self.cache.take([back], 11, 21.0), [back])
        self.assertEqual(self.cache.release_held(30.0), [])

    def test_entry_that_does_not_come_back_is_gone(self) -> None:
        # A target dies during an outage of the store.  Kept for good, it would be
        # sent requests that nobody answers.
        self.cache.note_away()
        self.cache.note_returned(20.0)
        self.cache.take([GONE], 9, 20.1)
        self.assertEqual(self.cache.release_held(20.0 + LAPSE_GRACE_S - 0.1), [])
        self.assertEqual(self.cache.release_held(20.0 + LAPSE_GRACE_S), [GONE])

    def test_target_that_leaves_just_after_an_outage_is_gone_in_time(self) -> None:
        # A machine was cut off and is back.  A target leaves 1.6 s later without a
        # word, its entry is removed.  Kept for longer than the entries that may
        # have lapsed, it got requests 2.2 s after it had left.
        self.cache.note_away()
        self.cache.note_returned(20.0)
        self.assertEqual(self.cache.take([GONE], 9, 21.6), [])
        self.assertEqual(self.cache.release_held(22.1), [GONE])

    def test_removal_while_a_single_call_failed_holds_at_once(self) -> None:
        # One call is refused, the renewals of the lease are answered.  No lease can
        # have lapsed; a target that left got requests until the next call went well.
        self.cache.record_store_success(19.0)
        self.cache.note_away()
        self.cache.record_store_success(20.0)
        self.assertEqual(self.cache.take([GONE], 9, 20.1), [GONE])

    def test_outage_that_a_renewal_ends_is_one(self) -> None:
        # The renewal of the lease is the first call that the store answers again.
        # Dropped because of that answer, all targets would be gone.
        self.cache.record_store_success(15.0)
        self.cache.note_away()
        self.cache.record_store_success(20.0)
        self.assertEqual(self.cache.take([GONE], 9, 20.1), [])
        self.cache.note_returned(20.5)
        self.assertEqual(self.cache.release_held(21.9), [])
        self.assertEqual(self.cache.release_held(20.0 + LAPSE_GRACE_S), [GONE])

    def test_lapse_in_an_outage_that_was_noticed_at_its_end_is_kept(self) -> None:
        # Nothing came back for four seconds, not even a reset.  A renewal is answered
        # again just before the silent watch breaks.
        self.cache.record_store_success(16.0)
        self.cache.record_store_success(20.0)
        self.cache.note_away()
        self.cache.note_returned(20.4)
        self.assertEqual(self.cache.take([GONE], 9, 20.4), [])

    def test_removal_on_a_calm_day_holds_at_once(self) -> None:
        self.assertEqual(self.cache.take([GONE], 9, 1.0), [GONE])

    def test_removals_are_not_kept_where_they_are_meant(self) -> None:
        # Operators bring a zone back while the store is slow.  Kept out for
        # longer, it would miss the work that it could do.
        cache = PrefixCache("op/")
        cache.take([PUT], 5, 0.0)
        cache.note_away()
        cache.note_returned(1.0)
        self.assertEqual(cache.take([GONE], 9, 1.1), [GONE])


if __name__ == "__main__":
    unittest.main()
