"""Selection of events by request, target and version."""

from collections.abc import Iterable
from dataclasses import dataclass

from .events import Event

__all__ = ["EventFilter", "format_caller_id"]

DIGEST_PREFIX_MIN = 6
CALLER_ID_LIMIT = 100


def format_caller_id(caller_id: str) -> str:
    """Return the words by which an event's detail names a caller's own id."""
    return f"caller-id={caller_id[:CALLER_ID_LIMIT]}"


@dataclass(frozen=True, slots=True)
class EventFilter:
    """What an event must have; an empty field asks nothing."""

    request_id: str = ""
    """The system's id of a request, or the caller's own in `request.received`."""
    target: str = ""
    """A target's name, which is its agent's, too."""
    version: str = ""
    """A configuration number, a digest, or a digest's first six or more characters."""

    def matches(self, event: Event) -> bool:
        """Tell whether the event has all that is asked."""
        return (
            self._matches_request(event)
            and self.target in ("", event.target, event.process)
            and self._matches_version(event.version)
        )

    def select(self, events: Iterable[Event]) -> list[Event]:
        """Return the matching events in their order."""
        return [event for event in events if self.matches(event)]

    def _matches_request(self, event: Event) -> bool:
        if self.request_id in ("", event.request_id):
            return True
        return event.detail.endswith(format_caller_id(self.request_id))

    def _matches_version(self, version: str) -> bool:
        if self.version in ("", version):
            return True
        return len(self.version) >= DIGEST_PREFIX_MIN and version.startswith(
            self.version
        )
