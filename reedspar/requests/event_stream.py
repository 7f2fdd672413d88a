"""Cutting a stream of server-sent events where an event ends.

The format is that of the HTML standard, section 9.2 (server-sent events): an
event ends with a blank line, and a line ``id`` names it.
"""

__all__ = ["EVENT_STREAM_TYPE", "LAST_EVENT_ID_HEADER", "EventSplitter"]

EVENT_STREAM_TYPE = "text/event-stream"
LAST_EVENT_ID_HEADER = "last-event-id"
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


class EventSplitter:
    """Lets whole events through and keeps the rest back.

    A target may die in the middle of an event.  Had the caller got the first
    half of it, an event of the next target would be joined to that half.
    """

    def __init__(self, last_event_id: str = "") -> None:
        self._pending = b""
        self.last_event_id = last_event_id
        self.event_count = 0

    @property
    def pending(self) -> bytes:
        """Return the bytes of an event that has not ended."""
        return self._pending

    def feed(self, data: bytes) -> bytes:
        """Take bytes, and return the whole events that they complete."""
        self._pending += data
        end = max(self._find_end(mark) for mark in _EVENT_ENDS)
        whole, self._pending = self._pending[:end], self._pending[end:]
        self._record_events(whole)
        return whole

    def drop_pending(self) -> None:
        """Forget the event that was broken off."""
        self._pending = b""

    def _find_end(self, mark: bytes) -> int:
        position = self._pending.rfind(mark)
        return position + len(mark) if position >= 0 else 0

    def _record_events(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(_ID_FIELD):
                self.last_event_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
                self.event_count += 1
