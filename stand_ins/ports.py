"""Allocation of free ports below the kernel's ephemeral port range.

A free port of the ephemeral range may be given to an outgoing connection
before the server binds it, and the server would then fail to start.
"""

import os
import random
import socket

__all__ = ["PortAllocator"]

FIRST_PORT = 10_240
LAST_PORT = 32_000


class PortAllocator:
    """Allocates each free port once."""

    def __init__(self) -> None:
        rng = random.Random(os.getpid())
        self._next = rng.randrange(FIRST_PORT, LAST_PORT)

    def allocate(self) -> int:
        """Return the next port that can be bound."""
        for _ in range(LAST_PORT - FIRST_PORT):
            port = self._next
            self._next = port + 1 if port < LAST_PORT else FIRST_PORT
            if is_free(port):
                return port
        raise OSError("no free port")


def is_free(port: int) -> bool:
    """Return whether the port can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
