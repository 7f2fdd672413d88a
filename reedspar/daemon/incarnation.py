"""Incarnation numbers, which distinguish successive daemons of the same name."""

import time

__all__ = ["choose_incarnation"]

MILLISECONDS_PER_S = 1000


def choose_incarnation() -> int:
    """Return a number greater than that of any earlier start of the same daemon.

    The number is the wall clock time in milliseconds.  It can't be stored, as an
    instance has no disk, and a daemon that had to write to the key-value service could
    not start while that is down.  If the clock of a replacement is behind that of its
    predecessor, peers refuse the replacement until its clock has caught up.  This
    delays its start, but no peer mistakes one for the other.
    """
    return int(time.time() * MILLISECONDS_PER_S)
