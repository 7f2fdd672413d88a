"""Number a daemon's start, so that it is told from its predecessor."""

import time

__all__ = ["choose_incarnation"]

MILLISECONDS_PER_S = 1000


def choose_incarnation() -> int:
    """Return a number above that of any earlier start of the same name.

    It is the wall clock in milliseconds.  An instance has no disk, and a write
    to the key-value service would keep a daemon from starting while that is
    down.  A replacement whose clock is behind its predecessor's is refused by
    the peers until it has caught up, which delays it but misleads nobody.
    """
    return int(time.time() * MILLISECONDS_PER_S)
