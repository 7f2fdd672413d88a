"""Splitting of a stream of server-sent events at event boundaries.

In the format (HTML standard, section 9.2, server-sent events), an event ends
with a blank line and its ``id`` field identifies it.
"""

from collections.abc import Iterable

from reedspar.attempts import EventScanner, Header

__all__ = [
    "EVENT_STREAM_TYPE",
    "LAST_EVENT_ID_HEADER",
    "EventBoundary",
    "EventSplitter",
    "is_event_stream",
]

EVENT_STREAM_TYPE = "text/event-stream"
LAST_EVENT_ID_HEADER = "last-event-id"
ID_FIELD = b"id:"
BLANK_LINE_MAX_BYTES = 4
"""Length of two line ends, each of which may be LF, CR or CRLF."""


def is_event_stream(headers: Iterable[Header]) -> bool:
    """Return whether a body is a plain stream of events."""
    values = {header.name.lower(): header.value.lower() for header in headers}
    is_plain = values.get("content-encoding", "identity") == "identity"
    return is_plain and values.get("content-type", "").startswith(EVENT_STREAM_TYPE)


class EventBoundary:
    """Tracks whether the bytes of a stream so far end inside an event."""

    def __init__(self) -> None:
        self._tail = b""

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun and has not ended."""
        lines = self._tail.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        return bool(lines) and not lines.endswith(b"\n\n")

    def feed(self, data: bytes) -> None:
        """Append bytes."""
        self._tail = (self._tail + data[-BLANK_LINE_MAX_BYTES:])[-BLANK_LINE_MAX_BYTES:]


class EventSplitter:
    """Returns complete events and buffers an incomplete one.

    A target may crash in the middle of an event.  If the caller had received part
    of that event, the next target's data would be appended to that part.  Comments
    are returned with the event behind them.
    """

    def __init__(self, last_event_id: str = "") -> None:
        self._pending = bytearray()
        self._scanner = EventScanner()
        self.last_event_id = last_event_id
        self.event_count = 0

    @property
    def pending(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return bytes(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Append bytes, and return the events that they complete."""
        self._pending += data
        behind_bytes = self._scanner.feed(data)
        if behind_bytes is None:
            return b""
        end = len(self._pending) - behind_bytes
        events = bytes(self._pending[:end])
        del self._pending[:end]
        self._record_events(events)
        return events

    def drop_pending(self) -> None:
        """Discard the incomplete event."""
        self._pending.clear()
        self._scanner = EventScanner()

    def _record_events(self, events: bytes) -> None:
        for line in events.splitlines():
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                self.event_count += 1
