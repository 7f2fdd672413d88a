"""Signals that stop a daemon, or make it read its settings again."""

import signal
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from types import FrameType

import anyio

__all__ = ["receive_signals"]

RECEIVE_SIZE_BYTES = 64


@contextmanager
def receive_signals(
    *numbers: signal.Signals,
) -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive signals, and ignore them afterwards, while the process exits.

    Those that were held back (blocked) since the start of the process come first.

    Supervisors may send several.  The default action of a later one would interrupt
    the answers to callers or, after the last answer, lose the last log lines and end
    the process with a failure.  The receivers of event loops restore the default
    action at their end, so the signals come through a wakeup descriptor instead.
    """
    reader, writer = socket.socketpair()
    with reader, writer:
        reader.setblocking(False)
        writer.setblocking(False)
        previous = signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, _do_nothing)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
        try:
            yield _iterate(reader, frozenset(numbers))
        finally:
            for number in numbers:
                signal.signal(number, signal.SIG_IGN)
            signal.set_wakeup_fd(previous)


async def _iterate(
    reader: socket.socket, numbers: frozenset[signal.Signals]
) -> AsyncIterator[signal.Signals]:
    """Yield the signals whose numbers arrive at the wakeup descriptor."""
    while True:
        await anyio.wait_readable(reader)
        for number in reader.recv(RECEIVE_SIZE_BYTES):
            if number in numbers:
                yield signal.Signals(number)


def _do_nothing(number: int, frame: FrameType | None) -> None:
    """Replace a signal's default action; the wakeup descriptor reports it."""
