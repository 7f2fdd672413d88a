"""Tests of merging the store's entries by revision."""

import unittest
from copy import deepcopy

from hypothesis import given
from hypothesis import strategies as st

from reedspar.fleet import (
    Listing,
    WatchedEntry,
    join_revision,
    read_deferral_counts,
)
from reedspar.fleet.prefix_cache import LEASE_EXPIRY_GRACE_S, PrefixCache
from reedspar.fleet.restores import RESTORED_ENTRY_HOLD_S, RESTORED_REMOVAL_GRACE_S

PUT = WatchedEntry("t/1", b"a", 5)
GONE = WatchedEntry("t/1", None, 9)


class OrderTest(unittest.TestCase):
    def test_only_newer_entries_are_applied(self) -> None:
        cache = PrefixCache("t/")
        self.assertEqual(cache.apply([PUT], 5, 0.0), [PUT])
        self.assertEqual(cache.apply([PUT], 5, 0.0), [])
        self.assertEqual(cache.apply([WatchedEntry("t/1", b"old", 4)], 4, 0.0), [])
        self.assertEqual(cache.revision, 5)

    def test_late_entry_does_not_undo_removal(self) -> None:
        # A peer passes on an old entry after its removal.  If it were applied, requests
        # would be sent to a target that has left.
        cache = PrefixCache("t/")
        cache.apply([PUT, GONE], 9, 0.0)
        self.assertEqual(cache.apply([PUT], 9, 0.0), [])

    def test_listing_removes_missing_entries(self) -> None:
        cache = PrefixCache("t/")
        cache.apply([PUT, WatchedEntry("t/2", b"b", 6)], 6, 0.0)
        changed = cache.apply_listing(Listing((PUT,), 8), 0.0)
        self.assertEqual(changed, [WatchedEntry("t/2", None, 8)])

    def test_advance_revision_to_that_covered_by_peer(self) -> None:
        # A daemon gets a document from a peer.  If its own watch continued from an
        # older revision, the store would send the whole document again.
        cache = PrefixCache("t/")
        cache.apply([PUT], 5, 0.0)
        cache.advance_revision(newest=9, covered=12, now_s=0.0)
        self.assertEqual(cache.revision, 5)
        cache.advance_revision(newest=5, covered=8, now_s=0.0)
        self.assertEqual(cache.revision, 8)

    @given(st.permutations(list(range(1, 9))), st.sets(st.integers(1, 8)))
    def test_result_is_independent_of_order(self, order: list, removed: set) -> None:
        cache = PrefixCache("t/")
        for revision in order:
            value = None if revision in removed else b"%d" % revision
            cache.apply([WatchedEntry("t/1", value, revision)], revision, 0.0)
        (entry,) = cache.entries_after(0)
        self.assertEqual(entry.revision, 8)

    @given(st.permutations(list(range(1, 9))), st.sets(st.integers(1, 8)))
    def test_digest_is_independent_of_order(self, order: list, removed: set) -> None:
        # Guards against repeated requests for entries that a daemon already has.
        digests = set()
        for revisions in (order, sorted(order)):
            cache = PrefixCache("t/")
            for revision in revisions:
                value = None if revision in removed else b"v"
                entry = WatchedEntry(f"t/{revision % 3}", value, revision)
                cache.apply([entry], revision, 0.0)
            digests.add(cache.digest)
        self.assertEqual(len(digests), 1)

    def test_missed_removal_changes_digest(self) -> None:
        complete, incomplete = PrefixCache("t/"), PrefixCache("t/")
        other = WatchedEntry("t/2", b"b", 12)
        complete.apply([PUT, GONE, other], 12, 0.0)
        incomplete.apply([PUT, other], 12, 0.0)
        self.assertNotEqual(complete.digest, incomplete.digest)
        incomplete.apply_listing(Listing((other,), 12), 0.0, is_authoritative=True)
        self.assertEqual(complete.digest, incomplete.digest)


class OutageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cache = PrefixCache("t/", defers_outage_removals=True)
        self.cache.apply([PUT], 5, 0.0)

    def test_expired_entry_is_kept_until_rewritten_after_outage(self) -> None:
        # The store is unavailable for longer than the leases last.  The entries of all
        # targets expire though the targets are alive.  If they were removed, every
        # request would be refused until the targets have registered again.
        self.cache.mark_unavailable()
        self.cache.mark_available(20.0)
        self.assertEqual(self.cache.apply([GONE], 9, 20.1), [])
        back = WatchedEntry("t/1", b"a", 11)
        self.assertEqual(self.cache.apply([back], 11, 21.0), [back])
        self.assertEqual(self.cache.release_deferred(30.0), [])

    def test_expired_entry_is_removed_after_grace_period(self) -> None:
        # A target dies during an outage of the store.  If its entry were kept
        # permanently, it would be sent requests that nobody answers.
        self.cache.mark_unavailable()
        self.cache.mark_available(20.0)
        self.cache.apply([GONE], 9, 20.1)
        self.assertEqual(
            self.cache.release_deferred(20.0 + LEASE_EXPIRY_GRACE_S - 0.1), []
        )
        self.assertEqual(
            self.cache.release_deferred(20.0 + LEASE_EXPIRY_GRACE_S), [GONE]
        )

    def test_removal_shortly_after_outage_is_applied_in_time(self) -> None:
        # A machine is reconnected to the store.  1.6 s later a target leaves without
        # notice and its entry is removed.  When the entry was kept for longer than
        # those that may have expired, the target got requests 2.2 s after it had left.
        self.cache.mark_unavailable()
        self.cache.mark_available(20.0)
        self.assertEqual(self.cache.apply([GONE], 9, 21.6), [])
        self.assertEqual(self.cache.release_deferred(22.1), [GONE])

    def test_removal_after_single_failed_call_is_applied_immediately(self) -> None:
        # One call is refused while lease renewals are answered, so no lease can have
        # expired.  If the removal were deferred, a target that has left would get
        # requests until the next successful call.
        self.cache.record_store_success(19.0)
        self.cache.mark_unavailable()
        self.cache.record_store_success(20.0)
        self.assertEqual(self.cache.apply([GONE], 9, 20.1), [GONE])

    def test_removal_is_deferred_if_renewal_ends_outage(self) -> None:
        # The renewal of the lease is the first call that the store answers again.  If
        # that answer ended the deferral, all targets would be removed.
        self.cache.record_store_success(15.0)
        self.cache.mark_unavailable()
        self.cache.record_store_success(20.0)
        self.assertEqual(self.cache.apply([GONE], 9, 20.1), [])
        self.cache.mark_available(20.5)
        self.assertEqual(self.cache.release_deferred(21.9), [])
        self.assertEqual(
            self.cache.release_deferred(20.0 + LEASE_EXPIRY_GRACE_S), [GONE]
        )

    def test_removal_is_deferred_if_outage_is_detected_at_its_end(self) -> None:
        # The store sends nothing for four seconds, not even a connection reset.  A
        # renewal is answered again just before the unanswered watch fails.
        self.cache.record_store_success(16.0)
        self.cache.record_store_success(20.0)
        self.cache.mark_unavailable()
        self.cache.mark_available(20.4)
        self.assertEqual(self.cache.apply([GONE], 9, 20.4), [])

    def test_end_of_each_deferral_is_counted_and_logged(self) -> None:
        other = WatchedEntry("t/2", b"b", 6)
        third = WatchedEntry("t/3", b"c", 7)
        self.cache.apply([other, third], 7, 0.0)
        self.cache.mark_unavailable()
        self.cache.mark_available(20.0)
        removals = [
            WatchedEntry(e.key, None, 10 + n) for n, e in enumerate((PUT, other, third))
        ]
        self.assertEqual(self.cache.apply(removals, 12, 20.5), [])
        with self.assertLogs("reedspar.fleet.deferred_removals", "INFO") as logs:
            self.cache.apply([WatchedEntry("t/1", b"a", 13)], 13, 20.7)
            self.cache.apply([removals[1]], 13, 21.0, is_authoritative=True)
            self.cache.release_deferred(22.0)
        ends = [(vars(r)["outcome"], vars(r)["deferred_ms"]) for r in logs.records]
        self.assertEqual(
            ends, [("rewritten", 200), ("confirmed", 500), ("expired", 1500)]
        )
        counts = read_deferral_counts([self.cache])
        self.assertEqual([count for count, _ in counts], [1, 1, 1])

    def test_removal_without_outage_is_applied_immediately(self) -> None:
        self.assertEqual(self.cache.apply([GONE], 9, 1.0), [GONE])

    def test_removal_is_not_deferred_unless_configured(self) -> None:
        # Operators put a zone back into service just after an outage.  If the removal
        # were deferred, the zone would get no requests for longer than necessary.
        cache = PrefixCache("op/")
        cache.apply([PUT], 5, 0.0)
        cache.mark_unavailable()
        cache.mark_available(1.0)
        self.assertEqual(cache.apply([GONE], 9, 1.1), [GONE])


class RestoreTest(unittest.TestCase):
    """The store comes back from a copy at 20 s, with the next epoch."""

    def setUp(self) -> None:
        self.cache = PrefixCache("t/")
        entries = [make_entry(1, n, f"t/{n}") for n in (1, 2, 3)]
        self.cache.apply_listing(Listing(tuple(entries), join_revision(1, 3)), 0.0)
        self.cache.apply([make_entry(1, 9, "t/3", None)], join_revision(1, 9), 15.0)

    def restore(self, *numbers: int) -> list[WatchedEntry]:
        """List a copy with some of the entries; return the changes."""
        entries = tuple(make_entry(2, n, f"t/{n}") for n in numbers)
        return self.cache.apply_listing(Listing(entries, join_revision(2, 5)), 20.0)

    def known_keys(self) -> list[str]:
        entries = self.cache.entries_after(0)
        return sorted(entry.key for entry in entries if entry.value is not None)

    def test_entry_that_the_copy_lacks_is_kept_until_rewritten(self) -> None:
        # Guards against taking a live target, or an operator's order, for gone because
        # it was written after the copy was made.
        self.restore(1)
        self.assertEqual(self.known_keys(), ["t/1", "t/2"])
        back = make_entry(2, 6, "t/2")
        self.assertEqual(self.cache.apply([back], join_revision(2, 6), 21.0), [back])
        self.assertEqual(self.cache.release_deferred(60.0), [])

    def test_entry_that_is_not_rewritten_is_removed(self) -> None:
        # Guards against keeping the entry of a target that ended during the outage.
        self.restore(1)
        end_s = 20.0 + RESTORED_REMOVAL_GRACE_S
        self.assertEqual(self.cache.release_deferred(end_s - 0.1), [])
        (removal,) = self.cache.release_deferred(end_s)
        self.assertEqual((removal.key, removal.value), ("t/2", None))

    def test_entry_that_peers_lack_after_the_restore_is_kept_as_well(self) -> None:
        # Guards against the listing of a peer that has started after the restore.
        listing = Listing((make_entry(2, 1, "t/1"),), join_revision(2, 5))
        self.cache.apply_listing(listing, 20.0, is_authoritative=True)
        self.assertEqual(self.known_keys(), ["t/1", "t/2"])

    def test_removal_after_the_restore_is_applied_immediately(self) -> None:
        # Guards against requests to a target that leaves just after a restore.
        self.restore(1, 2)
        gone = make_entry(2, 6, "t/2", None)
        self.assertEqual(self.cache.apply([gone], join_revision(2, 6), 20.5), [gone])

    def test_removed_entry_that_the_copy_has_again_is_held_back(self) -> None:
        # Guards against requests to a target that left after the copy was made.
        self.restore(1, 2, 3)
        self.assertEqual(self.known_keys(), ["t/1", "t/2"])
        end_s = 20.0 + RESTORED_ENTRY_HOLD_S
        self.assertEqual(self.cache.release_deferred(end_s - 0.1), [])
        self.cache.release_deferred(end_s)
        self.assertEqual(self.known_keys(), ["t/1", "t/2", "t/3"])

    def test_held_back_entry_that_the_store_removes_stays_removed(self) -> None:
        self.restore(1, 2, 3)
        self.cache.apply([make_entry(2, 6, "t/3", None)], join_revision(2, 6), 23.0)
        self.assertEqual(self.cache.release_deferred(60.0), [])
        self.restore(1, 2, 3)
        listing = Listing((make_entry(2, 1, "t/1"),), join_revision(2, 7))
        self.cache.apply_listing(listing, 23.0)
        self.cache.release_deferred(60.0)
        self.assertNotIn("t/3", self.known_keys())

    def test_removed_entry_that_is_rewritten_is_applied_immediately(self) -> None:
        # Guards against leaving out a target that has registered again.
        self.restore(1, 2, 3)
        back = make_entry(2, 6, "t/3")
        self.assertEqual(self.cache.apply([back], join_revision(2, 6), 20.5), [back])

    def test_older_value_that_the_copy_has_again_is_held_back(self) -> None:
        # Guards against a daemon that starts after a restore and gets from its peers
        # a configuration with keys that operators had revoked.
        cache = PrefixCache("t/", is_older=lambda e, known: e.value < known.value)
        new = make_entry(1, 9, "t/1", b"5")
        cache.apply_listing(Listing((new,), join_revision(1, 9)), 0.0)
        old = make_entry(2, 4, "t/1", b"4")
        cache.apply_listing(Listing((old,), join_revision(2, 5)), 20.0)
        self.assertEqual(cache.entries_after(0), [new])
        rewritten = make_entry(2, 6, "t/1", b"5")
        cache.apply([rewritten], join_revision(2, 6), 20.3)
        self.assertEqual(cache.entries_after(0), [rewritten])
        lower = make_entry(2, 7, "t/1", b"3")
        cache.apply([lower], join_revision(2, 7), 20.4)
        self.assertEqual(cache.entries_after(0), [lower])

    def test_older_value_counts_if_it_is_not_rewritten(self) -> None:
        cache = PrefixCache("t/", is_older=lambda e, known: e.value < known.value)
        cache.apply([make_entry(1, 9, "t/1", b"5")], join_revision(1, 9), 0.0)
        old = make_entry(2, 4, "t/1", b"4")
        cache.apply([old], join_revision(2, 5), 20.0)
        self.assertEqual(cache.release_deferred(20.0 + RESTORED_ENTRY_HOLD_S), [old])

    def test_entry_long_after_a_restore_that_brought_nothing_is_applied(self) -> None:
        # Guards against ignoring for seconds that operators take a zone out of service
        # again, at a daemon that heard of the restore only by its peers' revisions.
        cache = PrefixCache("z/")
        gone = [make_entry(1, 3, "z/a"), make_entry(1, 4, "z/a", None)]
        cache.apply(gone, join_revision(1, 4), 0.0)
        cache.advance_revision(join_revision(1, 4), join_revision(2, 9), 20.0)
        again = make_entry(2, 30, "z/a")
        for is_authoritative in (False, True):
            other = deepcopy(cache)
            changed = other.apply(
                [again],
                join_revision(2, 30),
                90.0,
                is_authoritative=is_authoritative,
            )
            self.assertEqual(changed, [again])

    def test_first_listing_is_not_a_restore(self) -> None:
        cache = PrefixCache("t/")
        entries = (make_entry(4, 1, "t/1"),)
        cache.apply_listing(Listing(entries, join_revision(4, 3)), 0.0)
        gone = [WatchedEntry("t/1", None, join_revision(4, 4))]
        self.assertEqual(cache.apply_listing(Listing((), gone[0].revision), 0.1), gone)


def make_entry(
    epoch: int, revision: int, key: str, value: bytes | None = b"v"
) -> WatchedEntry:
    return WatchedEntry(key, value, join_revision(epoch, revision))


if __name__ == "__main__":
    unittest.main()
