"""Selection of events by request, target and version."""

from collections.abc import Iterable
from dataclasses import dataclass

from .events import Event

__all__ = ["EventFilter", "format_caller_id"]

DIGEST_PREFIX_LENGTH_MIN = 6
CALLER_ID_LENGTH_MAX = 100


def format_caller_id(caller_id: str) -> str:
    """Return the text that identifies a caller's own id in an event's detail."""
    return f"caller-id={caller_id[:CALLER_ID_LENGTH_MAX]}"


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Criteria that an event must meet; an empty field matches any event."""

    request_id: str = ""
    """The system's id of a request, or the caller's own id in `request.received`."""
    target: str = ""
    """A target's name, which is also its agent's."""
    version: str = ""
    """A configuration version, a digest, or a digest's first six or more characters."""

    def matches(self, event: Event) -> bool:
        """Return whether the event meets all criteria."""
        return (
            self._matches_request(event)
            and self.target in ("", event.target, event.process)
            and self._matches_version(event.version)
        )

    def select(self, events: Iterable[Event]) -> list[Event]:
        """Return the matching events in their original order."""
        return [event for event in events if self.matches(event)]

    def _matches_request(self, event: Event) -> bool:
        if self.request_id in ("", event.request_id):
            return True
        return event.detail.endswith(format_caller_id(self.request_id))

    def _matches_version(self, version: str) -> bool:
        if self.version in ("", version):
            return True
        return len(self.version) >= DIGEST_PREFIX_LENGTH_MIN and version.startswith(
            self.version
        )
