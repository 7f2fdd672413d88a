"""Revisions that order entries across restores of the store.

A store that is restored from a copy gives the revisions that it has lost out again.
Its epoch, which rises with each restore, precedes the revision in the order of entries.
Both are joined in one number, which daemons exchange and compare.
"""

__all__ = ["describe_revision", "epoch_of", "join_revision", "revision_in_epoch"]

REVISION_BITS = 40
"""Bits of a revision within its epoch; messages have 64 bits for both."""
REVISION_MASK = (1 << REVISION_BITS) - 1


def join_revision(epoch: int, revision: int) -> int:
    """Return the number that orders a revision of an epoch among all revisions."""
    return epoch << REVISION_BITS | revision


def epoch_of(joined: int) -> int:
    """Return the epoch of a joined revision."""
    return joined >> REVISION_BITS


def revision_in_epoch(joined: int) -> int:
    """Return the revision as the store numbers it."""
    return joined & REVISION_MASK


def describe_revision(joined: int) -> dict[str, int]:
    """Return epoch and revision as fields of a log line."""
    return {"epoch": epoch_of(joined), "revision": revision_in_epoch(joined)}
