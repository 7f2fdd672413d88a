"""Signals that stop a daemon, or make it read its settings again."""

import signal
import socket
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from types import FrameType

import anyio

__all__ = ["receive_signals", "seconds_since"]

RECEIVE_SIZE_BYTES = 64
_arrivals_s: dict[int, float] = {}
"""When the process got each signal first, while its signals were received."""


@contextmanager
def receive_signals(
    *numbers: signal.Signals, held_since_s: float | None = None
) -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive signals, and ignore them afterwards, while the process exits.

    Those that were held back (blocked) since the start of the process come first; they
    count as having arrived at `held_since_s`, a time of the monotonic clock.

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
        _arrivals_s.clear()
        if held_since_s is not None:
            _arrivals_s.update(dict.fromkeys(signal.sigpending(), held_since_s))
        for number in numbers:
            signal.signal(number, _record_arrival)
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


def _record_arrival(number: int, frame: FrameType | None) -> None:
    """Replace a signal's default action; the wakeup descriptor reports it.

    It may do so much later, as this is called while the event loop is busy, too.
    """
    _arrivals_s.setdefault(number, time.monotonic())


def seconds_since(*numbers: signal.Signals) -> float:
    """Return how long ago the first of some signals arrived, 0 if none has."""
    arrivals_s = [_arrivals_s[number] for number in numbers if number in _arrivals_s]
    return time.monotonic() - min(arrivals_s) if arrivals_s else 0.0
