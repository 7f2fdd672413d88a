"""Progress of a target's answer: whether it still brings events, or only bytes."""

import re
from collections.abc import Iterable

from .messages import Header

__all__ = ["AnswerProgress", "EventScanner", "read_declared_bytes"]

LENGTH_HEADER = "content-length"
DECLARED_MAX_BYTES = 64 * 1024 * 1024
"""Largest size that an answer may declare; others count as answers without end."""
DECLARED_MAX_DIGITS = 9
EVENT_MAX_BYTES = 256 * 1024
"""Maximum size of one event of a stream."""
EVENT_TIMEOUT_S = 0.75
"""Time in which bytes may go on arriving until an event ends, without pauses."""
PAUSE_MIN_S = 0.4
"""Time without bytes that is a pause of the target.

An engine that is short of memory interrupts its newest streams, also inside events."""
PAUSES_PER_EVENT_MAX = 4
"""Pauses of one event that do not count as time in which bytes arrive."""
EVENT_FIELDS = (b"data", b"id")
"""Fields of which an event has one; comments and unknown fields are ignored."""
LINE_END = re.compile(rb"\r\n|\n|\r")
LINE_START_BYTES = 5
"""Length of the part of a line that tells its field."""


class EventScanner:
    """Finds the ends of events in a stream that arrives in pieces."""

    def __init__(self) -> None:
        self._line = b""
        """Beginning of the line that has not ended."""
        self._has_field = False
        """Whether the event that has not ended has a field."""
        self._ends_with_return = False

    def feed(self, data: bytes) -> int | None:
        """Return the number of bytes behind the last event that ends in `data`.

        Return None if no event ends there.
        """
        begin = 1 if self._ends_with_return and data.startswith(b"\n") else 0
        self._ends_with_return = data.endswith(b"\r")
        end: int | None = None
        for match in LINE_END.finditer(data, begin):
            line = data[begin : match.start()]
            if self._line or line:
                self._has_field = self._has_field or _has_event_field(self._line + line)
            elif self._has_field:
                self._has_field = False
                end = match.end()
            self._line = b""
            begin = match.end()
        rest = data[begin : begin + LINE_START_BYTES]
        self._line = (self._line + rest)[:LINE_START_BYTES]
        return len(data) - end if end is not None else None


class AnswerProgress:
    """Tracks the bytes and the time that an answer takes without an event.

    An answer that is no stream of events counts as one event of at most
    `plain_max_bytes`, whatever time it takes.
    """

    def __init__(self, *, is_event_stream: bool, plain_max_bytes: float) -> None:
        self._scanner = EventScanner() if is_event_stream else None
        self._max_bytes = EVENT_MAX_BYTES if is_event_stream else plain_max_bytes
        self._pending_bytes = 0
        """Bytes since the last event."""
        self._received_s: float | None = None
        """When the last of these bytes arrived."""
        self._took_s = 0.0
        """Time in which these bytes arrived, without pauses."""
        self._pauses = 0

    def feed(self, data: bytes, now_s: float) -> bool:
        """Record bytes of the body; return whether they are progress."""
        pending_bytes = self._scanner.feed(data) if self._scanner is not None else None
        if pending_bytes is not None:
            self._pending_bytes = pending_bytes
            self._received_s = now_s if pending_bytes else None
            self._took_s, self._pauses = 0.0, 0
            return True
        self._pending_bytes += len(data)
        self._count_time(now_s)
        return self._scanner is None

    def _count_time(self, now_s: float) -> None:
        gap_s = now_s - self._received_s if self._received_s is not None else 0.0
        self._received_s = now_s
        if gap_s >= PAUSE_MIN_S and self._pauses < PAUSES_PER_EVENT_MAX:
            self._pauses += 1
        else:
            self._took_s += gap_s

    def restart_time(self, now_s: float) -> None:
        """Count the time from now on, after a pause in which nothing was read."""
        if self._received_s is not None:
            self._received_s = now_s
            self._took_s = 0.0

    def find_excess(self) -> str:
        """Return which limit the answer exceeds, or an empty string."""
        if self._pending_bytes > self._max_bytes:
            return f"{self._pending_bytes} bytes without an event"
        if self._scanner is None or self._took_s < EVENT_TIMEOUT_S:
            return ""
        return f"{self._pending_bytes} bytes in {self._took_s:.2f} s without an event"


def read_declared_bytes(headers: Iterable[Header]) -> int:
    """Return the size that an answer declares, 0 if it declares none that is usable."""
    for header in headers:
        text = header.value
        if header.name.lower() == LENGTH_HEADER:
            is_usable = text.isdecimal() and len(text) <= DECLARED_MAX_DIGITS
            size_bytes = int(text) if is_usable else 0
            return size_bytes if size_bytes <= DECLARED_MAX_BYTES else 0
    return 0


def _has_event_field(line: bytes) -> bool:
    return line.partition(b":")[0] in EVENT_FIELDS
