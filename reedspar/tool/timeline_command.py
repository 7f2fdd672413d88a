"""``reedspar timeline``: the events of all processes in a common order."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Annotated

import cappa

from reedspar.admin import AdminClient
from reedspar.errors import Failure, Reason, Step
from reedspar.timeline import (
    Event,
    EventFilter,
    event_from_json,
    event_to_json,
    merge_events,
    read_log_lines,
    render_html,
    render_text,
)
from reedspar.timeline.events import format_time
from reedspar.timeline.html_rendering import DRAWN_EVENTS_MAX

from .exit_codes import ExitCode
from .fleet_queries import query_members
from .session import Session

__all__ = ["Timeline", "read_log_events"]


@dataclass(frozen=True, slots=True)
class CollectedEvents:
    """Events, and descriptions of missing ones."""

    events: tuple[Event, ...]
    gaps: tuple[str, ...] = ()
    complete_since_s: float = 0.0
    """Time before which at least one process no longer has all its events."""


def read_log_events(files: Iterable[Path]) -> CollectedEvents | Failure:
    """Return the events in JSON-line logs; other lines are ignored."""
    lines = read_log_lines(files)
    if isinstance(lines, Failure):
        return lines
    events = (line.event for line in lines)
    return CollectedEvents(tuple(event for event in events if event is not None))


async def read_process_events(
    client: AdminClient, url: str, parameters: dict[str, str]
) -> CollectedEvents | Failure:
    """Return all events that a daemon still has, read page by page."""
    events: list[Event] = []
    gaps: list[str] = []
    complete_since_s = 0.0
    after = 0
    while True:
        page = await client.read_events(url, after, parameters)
        if isinstance(page, Failure):
            return page
        complete_since_s = max(complete_since_s, page.oldest_s or 0.0)
        parsed = [event_from_json(document) for document in page.events]
        events += [event for event in parsed if event]
        if parsed.count(None):
            gaps.append(f"{page.process}: {parsed.count(None)} of an unknown kind")
        if page.next_after <= after or page.next_after >= page.last_sequence:
            return CollectedEvents(tuple(events), tuple(gaps), complete_since_s)
        after = page.next_after


async def query_processes(
    client: AdminClient, event_filter: EventFilter
) -> CollectedEvents | Failure:
    """Return the matching events of all processes that respond."""
    members = await client.list_members()
    if isinstance(members, Failure):
        return members
    query = {
        "request": event_filter.request_id,
        "target": event_filter.target,
        "version": event_filter.version,
    }
    parameters = {name: value for name, value in query.items() if value}
    results = await query_members(
        members, lambda url: read_process_events(client, url, parameters)
    )
    events: list[Event] = []
    gaps: list[str] = []
    complete_since_s = 0.0
    for result in results:
        if isinstance(result.value, Failure):
            gaps.append(f"{result.member.name}: {result.value}")
        else:
            events += result.value.events
            gaps += result.value.gaps
            complete_since_s = max(complete_since_s, result.value.complete_since_s)
    return CollectedEvents(tuple(events), tuple(gaps), complete_since_s)


def find_system_ids(events: Iterable[Event], event_filter: EventFilter) -> set[str]:
    """Return the system's ids of the requests that have the filter's caller id."""
    if not event_filter.request_id:
        return set()
    matching = EventFilter(request_id=event_filter.request_id).select(events)
    return {event.request_id for event in matching} - {event_filter.request_id}


async def collect_related_events(
    client: AdminClient, event_filter: EventFilter
) -> CollectedEvents | Failure:
    """Return the matching events; a caller's id matches all requests that have it.

    Only the entry's first event of a request contains the caller's id, so the other
    events are queried by the system's id in that event.
    """
    collected = await query_processes(client, event_filter)
    if isinstance(collected, Failure):
        return collected
    events, gaps = list(collected.events), list(collected.gaps)
    for system_id in sorted(find_system_ids(events, event_filter)):
        more = await query_processes(
            client, replace(event_filter, request_id=system_id)
        )
        if isinstance(more, Failure):
            return more
        events += more.events
        gaps += [gap for gap in more.gaps if gap not in gaps]
    return CollectedEvents(tuple(events), tuple(gaps), collected.complete_since_s)


def select_events(events: Sequence[Event], event_filter: EventFilter) -> list[Event]:
    """Return the matching events, including those of requests with the caller's id."""
    filters = [event_filter]
    for system_id in find_system_ids(events, event_filter):
        filters.append(replace(event_filter, request_id=system_id))
    return [e for e in events if any(chosen.matches(e) for chosen in filters)]


def show_events(session: Session, events: Sequence[Event]) -> None:
    """Write the events as JSON or as text."""
    if session.is_json:
        session.show_json([event_to_json(event) for event in events])
        return
    for line in render_text(events):
        session.show_line(line)


@cappa.command(name="timeline")
@dataclass
class Timeline:
    """Show the events of all processes in a common order."""

    request: Annotated[
        str, cappa.Arg(long=True, help="Only events of this request.")
    ] = ""
    target: Annotated[str, cappa.Arg(long=True, help="Only events of this target.")] = (
        ""
    )
    version: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Only events of this version number or digest (or its start).",
        ),
    ] = ""
    last: Annotated[
        float,
        cappa.Arg(
            long=True, help="Only this many seconds before the last event; 0: all."
        ),
    ] = 0.0
    from_logs: Annotated[
        list[Path],
        cappa.Arg(
            long=True, num_args=-1, help="Read log files instead of querying processes."
        ),
    ] = field(default_factory=list)
    picture: Annotated[
        Path | None, cappa.Arg(long=True, help="Write an HTML file with a picture.")
    ] = None

    async def run(self, session: Session) -> ExitCode:
        """Collect, merge and write the events."""
        event_filter = EventFilter(self.request, self.target, self.version)
        if self.from_logs:
            collected = read_log_events(self.from_logs)
        else:
            collected = await collect_related_events(session.client, event_filter)
        if isinstance(collected, Failure):
            return session.report_failure(collected)
        events = select_events(merge_events(collected.events), event_filter)
        if self.last > 0 and events:
            newest_s = max(event.time_s for event in events)
            events = [e for e in events if e.time_s >= newest_s - self.last]
        if self.picture is None:
            show_events(session, events)
        else:
            failure = self._write_picture(self.picture, events)
            if failure:
                return session.report_failure(failure)
            drawn = min(len(events), DRAWN_EVENTS_MAX)
            session.warn(f"{drawn} of {len(events)} events drawn in {self.picture}")
        if collected.complete_since_s:
            since = format_time(collected.complete_since_s)
            session.warn(f"reedspar: note: complete since {since}; logs have the rest")
        for gap in collected.gaps:
            session.warn(f"reedspar: missing from the time line: {gap}")
        return ExitCode.INCOMPLETE if collected.gaps else ExitCode.OK

    def _write_picture(self, file: Path, events: Sequence[Event]) -> Failure | None:
        subjects = [self.request, self.target, self.version]
        title = " ".join(["Time line", *filter(None, subjects)])
        try:
            file.write_text(render_html(events, title), encoding="utf-8")
        except OSError as error:
            detail = f"{file}: {error.strerror}"
            return Failure(Reason.INVALID, Step.SETTINGS, detail=detail)
        return None
