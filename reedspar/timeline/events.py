"""Events of a process and their JSON encoding."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum
from typing import Any

__all__ = ["Event", "EventKind", "event_from_json", "event_to_json", "format_time"]


class EventKind(Enum):
    """Kind of an event; the part before the dot is its group."""

    DAEMON_STARTED = "daemon.started"
    DAEMON_READY = "daemon.ready"
    DAEMON_DRAINING = "daemon.draining"
    DAEMON_STOPPED = "daemon.stopped"
    DAEMON_PAUSED = "daemon.paused"

    REQUEST_RECEIVED = "request.received"
    REQUEST_ANSWERED = "request.answered"
    REQUEST_NOT_RUN = "request.not_run"
    REQUEST_OUTCOME_UNKNOWN = "request.outcome_unknown"
    REQUEST_ABANDONED = "request.abandoned"

    ATTEMPT_SENT = "attempt.sent"
    ATTEMPT_RECEIVED = "attempt.received"
    ATTEMPT_RUNNING = "attempt.running"
    ATTEMPT_ANSWERING = "attempt.answering"
    ATTEMPT_FINISHED = "attempt.finished"
    ATTEMPT_REFUSED = "attempt.refused"
    ATTEMPT_NOT_RUN = "attempt.not_run"
    ATTEMPT_BROKEN = "attempt.broken"
    ATTEMPT_CANCELLED = "attempt.cancelled"
    ATTEMPT_RESUMED = "attempt.resumed"

    TARGET_COLD = "target.cold"
    TARGET_READY = "target.ready"
    TARGET_LEAVING = "target.leaving"
    TARGET_DOWN = "target.down"
    TARGET_RESTARTED = "target.restarted"

    CONFIG_PATCHED = "config.patched"
    CONFIG_REFUSED = "config.refused"
    CONFIG_ADOPTED = "config.adopted"
    CONFIG_STALE = "config.stale"
    CONFIG_FRESH = "config.fresh"
    ZONE_OUT = "zone.out"
    ZONE_IN = "zone.in"

    MEMBER_SEEDED = "member.seeded"
    MEMBER_JOINED = "member.joined"
    MEMBER_RESTARTED = "member.restarted"
    MEMBER_LEAVING = "member.leaving"
    MEMBER_LOST = "member.lost"
    LINK_UP = "link.up"
    LINK_REPLACED = "link.replaced"
    LINK_DOWN = "link.down"
    KEY_VALUE_DOWN = "key_value.down"
    KEY_VALUE_UP = "key_value.up"

    WEIGHTS_PUBLISHED = "weights.published"
    WEIGHTS_STAGING = "weights.staging"
    WEIGHTS_CORRUPT = "weights.corrupt"
    WEIGHTS_LOAD_ORDERED = "weights.load_ordered"
    WEIGHTS_LOADED = "weights.loaded"
    WEIGHTS_LOAD_FAILED = "weights.load_failed"
    WEIGHTS_OFFERED = "weights.offered"
    WEIGHTS_WITHDRAWN = "weights.withdrawn"

    INVARIANT_BROKEN = "invariant.broken"

    @property
    def group(self) -> str:
        """Return the group of the event, such as ``request``."""
        return self.value.partition(".")[0]


@dataclass(frozen=True, slots=True)
class Event:
    """A single event of one process.

    `sequence` increases by one with each event of a process's incarnation, even
    if the clock is stepped back.  `version` is a root digest or a configuration
    version, depending on the kind.
    """

    time_s: float
    """Wall time, seconds since the Unix epoch."""
    process: str
    incarnation: int
    sequence: int
    kind: EventKind
    request_id: str = ""
    attempt: int | None = None
    """Numbered from zero; None if the event does not concern a single attempt."""
    target: str = ""
    model: str = ""
    version: str = ""
    detail: str = ""


def format_time(time_s: float) -> str:
    """Return a wall time as UTC in ISO 8601, to the microsecond."""
    moment = datetime.fromtimestamp(time_s, UTC)
    return moment.isoformat(timespec="microseconds").replace("+00:00", "Z")


def event_to_json(event: Event) -> dict[str, Any]:
    """Return the event as a JSON object, without empty fields."""
    optional = {
        "request_id": event.request_id,
        "attempt": event.attempt,
        "target": event.target,
        "model": event.model,
        "version": event.version,
        "detail": event.detail,
    }
    return {
        "time": format_time(event.time_s),
        "process": event.process,
        "incarnation": event.incarnation,
        "sequence": event.sequence,
        "kind": event.kind.value,
        **{k: value for k, value in optional.items() if value not in ("", None)},
    }


def _parse_attempt(document: Mapping[str, Any]) -> int | None:
    number = document.get("attempt")
    return None if number is None else int(number)


def event_from_json(document: Mapping[str, Any]) -> Event | None:
    """Return the event, or None if this release cannot parse it.

    A daemon of a newer release may send kinds that this one does not know; its
    other events are still shown.
    """
    try:
        return Event(
            time_s=datetime.fromisoformat(document["time"]).timestamp(),
            process=str(document["process"]),
            incarnation=int(document["incarnation"]),
            sequence=int(document["sequence"]),
            kind=EventKind(document["kind"]),
            request_id=str(document.get("request_id", "")),
            attempt=_parse_attempt(document),
            target=str(document.get("target", "")),
            model=str(document.get("model", "")),
            version=str(document.get("version", "")),
            detail=str(document.get("detail", "")),
        )
    except (KeyError, TypeError, ValueError):
        return None
