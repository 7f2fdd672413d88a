"""``reedspar timeline``: the events of all processes in one order."""

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
from reedspar.timeline.picture import MAX_DRAWN_EVENTS

from .exit_codes import ExitCode
from .fleet import ask_members
from .session import Session

__all__ = ["Timeline", "read_logs"]


@dataclass(frozen=True, slots=True)
class Collected:
    """Events, and what is missing from them."""

    events: tuple[Event, ...]
    gaps: tuple[str, ...] = ()
    complete_since_s: float = 0.0
    """Before this time, some process no longer holds its events."""


def read_logs(files: Iterable[Path]) -> Collected | Failure:
    """Return the events in JSON-line logs; other lines are passed over."""
    lines = read_log_lines(files)
    if isinstance(lines, Failure):
        return lines
    events = (line.event for line in lines)
    return Collected(tuple(event for event in events if event is not None))


async def read_process(
    client: AdminClient, url: str, parameters: dict[str, str]
) -> Collected | Failure:
    """Return all events that a daemon still holds, page by page."""
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
            return Collected(tuple(events), tuple(gaps), complete_since_s)
        after = page.next_after


async def collect_events(
    client: AdminClient, wanted: EventFilter
) -> Collected | Failure:
    """Return the wanted events of all processes that answer."""
    members = await client.list_members()
    if isinstance(members, Failure):
        return members
    asked = {
        "request": wanted.request_id,
        "target": wanted.target,
        "version": wanted.version,
    }
    parameters = {name: value for name, value in asked.items() if value}
    answers = await ask_members(
        members, lambda url: read_process(client, url, parameters)
    )
    events: list[Event] = []
    gaps: list[str] = []
    complete_since_s = 0.0
    for answer in answers:
        if isinstance(answer.value, Failure):
            gaps.append(f"{answer.member.name}: {answer.value}")
        else:
            events += answer.value.events
            gaps += answer.value.gaps
            complete_since_s = max(complete_since_s, answer.value.complete_since_s)
    return Collected(tuple(events), tuple(gaps), complete_since_s)


def find_own_ids(events: Iterable[Event], wanted: EventFilter) -> set[str]:
    """Return the system's ids of the requests that bear the wanted caller's id."""
    if not wanted.request_id:
        return set()
    matching = EventFilter(request_id=wanted.request_id).select(events)
    return {event.request_id for event in matching} - {wanted.request_id}


async def collect_all(client: AdminClient, wanted: EventFilter) -> Collected | Failure:
    """Return the wanted events; a caller's own id stands for all that bear it.

    Only the entry's first event of a request names the caller's id, so the
    rest is asked for by the ids that this event gives.
    """
    collected = await collect_events(client, wanted)
    if isinstance(collected, Failure):
        return collected
    events, gaps = list(collected.events), list(collected.gaps)
    for own_id in sorted(find_own_ids(events, wanted)):
        more = await collect_events(client, replace(wanted, request_id=own_id))
        if isinstance(more, Failure):
            return more
        events += more.events
        gaps += [gap for gap in more.gaps if gap not in gaps]
    return Collected(tuple(events), tuple(gaps), collected.complete_since_s)


def select_events(events: Sequence[Event], wanted: EventFilter) -> list[Event]:
    """Return the wanted events, with those of requests that bear a caller's id."""
    filters = [wanted]
    for own_id in find_own_ids(events, wanted):
        filters.append(replace(wanted, request_id=own_id))
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
    """Show the events of all processes in one order."""

    request: Annotated[str, cappa.Arg(long=True, help="Only this request.")] = ""
    target: Annotated[str, cappa.Arg(long=True, help="Only this target.")] = ""
    version: Annotated[
        str, cappa.Arg(long=True, help="Only this number or digest (or its start).")
    ] = ""
    last: Annotated[
        float, cappa.Arg(long=True, help="Only the last so many seconds; 0: all.")
    ] = 0.0
    from_logs: Annotated[
        list[Path],
        cappa.Arg(
            long=True, num_args=-1, help="Read log files instead of asking processes."
        ),
    ] = field(default_factory=list)
    picture: Annotated[
        Path | None, cappa.Arg(long=True, help="Write an HTML file with a picture.")
    ] = None

    async def run(self, session: Session) -> ExitCode:
        """Collect, merge and show."""
        wanted = EventFilter(self.request, self.target, self.version)
        if self.from_logs:
            collected = read_logs(self.from_logs)
        else:
            collected = await collect_all(session.client, wanted)
        if isinstance(collected, Failure):
            return session.fail(collected)
        events = select_events(merge_events(collected.events), wanted)
        if self.last > 0 and events:
            newest_s = max(event.time_s for event in events)
            events = [e for e in events if e.time_s >= newest_s - self.last]
        if self.picture is None:
            show_events(session, events)
        else:
            failure = self._write_picture(self.picture, events)
            if failure:
                return session.fail(failure)
            drawn = min(len(events), MAX_DRAWN_EVENTS)
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
