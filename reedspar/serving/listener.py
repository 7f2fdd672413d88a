"""A listening socket whose waiting connections are not lost when it closes."""

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

__all__ = ["Listener"]

SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SHORTAGE_PAUSE_S = 1.0
"""Pause after a connection could not be accepted for want of a resource."""

ACCEPTED_AT_ONCE = 64
"""Connections accepted in a turn, so that those that end meanwhile are closed."""

_logger = logging.getLogger(__name__)


class Listener:
    """Passes each connection on in the turn of the event loop that accepts it."""

    def __init__(
        self, listening: socket.socket, on_accept: Callable[[socket.socket], None]
    ) -> None:
        self._listening = listening
        self._on_accept = on_accept
        self._loop = asyncio.get_running_loop()

    def start(self, backlog: int) -> None:
        """Begin to listen, and to accept connections."""
        self._listening.setblocking(False)
        self._listening.listen(backlog)
        host, port = self._listening.getsockname()[:2]
        _logger.info("listening", extra={"host": host, "port": port})
        self._resume()

    def close(self) -> None:
        """Accept the connections that wait, and close."""
        if self._listening.fileno() >= 0:
            while self._accept():
                pass
            self._loop.remove_reader(self._listening)
            self._listening.close()

    def _resume(self) -> None:
        if self._listening.fileno() >= 0:
            self._loop.add_reader(self._listening, self._accept)

    def _accept(self) -> bool:
        """Accept connections that wait; return whether there may be more."""
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                connected, _ = self._listening.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                _logger.warning("connection not accepted", extra={"error": repr(error)})
                if error.errno in SHORTAGES:
                    self._loop.remove_reader(self._listening)
                    self._loop.call_later(SHORTAGE_PAUSE_S, self._resume)
                    return False
            else:
                connected.setblocking(False)
                self._on_accept(connected)
        return True
