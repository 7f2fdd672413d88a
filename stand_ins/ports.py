"""Free ports below the range that the kernel gives to outgoing connections.

A port of that range that is free now may be an outgoing connection's before
the server binds it; a process of the deployment would then fail to start.
"""

import os
import random
import socket

__all__ = ["PortAllocator"]

FIRST_PORT = 10_240
LAST_PORT = 32_000


class PortAllocator:
    """Hand out ports, none twice."""

    def __init__(self) -> None:
        rng = random.Random(os.getpid())
        self._next = rng.randrange(FIRST_PORT, LAST_PORT)

    def allocate(self) -> int:
        """Return a port that nobody listens on."""
        for _ in range(LAST_PORT - FIRST_PORT):
            port = self._next
            self._next = port + 1 if port < LAST_PORT else FIRST_PORT
            if is_free(port):
                return port
        raise OSError("no free port")


def is_free(port: int) -> bool:
    """Tell whether the port can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
