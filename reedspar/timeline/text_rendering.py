"""Rendering of a timeline for a terminal: one event per line, in aligned columns."""

from collections.abc import Iterator, Sequence

from .events import Event, format_time

__all__ = ["describe_event", "render_text"]

SHORT_DIGEST_LENGTH = 12
DIGEST_LENGTH = 64
TIME_OF_DAY_SLICE = slice(11, 23)


def describe_event(event: Event, known_request: str = "") -> str:
    """Return the event's fields other than time, process and kind.

    The request id is omitted if it equals `known_request`, which a heading shows.
    """
    parts = []
    if event.request_id and event.request_id != known_request:
        parts.append(f"request={event.request_id}")
    if event.attempt is not None:
        parts.append(f"attempt={event.attempt}")
    if event.target and event.target != event.process:
        parts.append(f"target={event.target}")
    if event.model:
        parts.append(f"model={event.model}")
    if event.version:
        parts.append(f"version={shorten_digest(event.version)}")
    if event.detail:
        parts.append(event.detail)
    return make_printable(" ".join(parts))


def make_printable(text: str) -> str:
    """Return the text with unprintable characters replaced.

    Ids and details may come from callers.  An escape sequence in one could hide or
    overwrite text on the operator's terminal.
    """
    return "".join(c if c.isprintable() else "\N{REPLACEMENT CHARACTER}" for c in text)


def shorten_digest(version: str) -> str:
    """Return a prefix of a digest, or any other version unchanged."""
    return version[:SHORT_DIGEST_LENGTH] if len(version) == DIGEST_LENGTH else version


def render_text(events: Sequence[Event]) -> Iterator[str]:
    """Yield a line for each event, with a heading at each change of day.

    If all events belong to one request, its id appears once at the top.
    """
    requests = {event.request_id for event in events}
    known_request = requests.pop() if len(requests) == 1 else ""
    if known_request:
        yield make_printable(f"-- request {known_request}")
    process_width = max((len(event.process) for event in events), default=0)
    kind_width = max((len(event.kind.value) for event in events), default=0)
    day = ""
    for event in events:
        moment = format_time(event.time_s)
        if moment[:10] != day:
            day = moment[:10]
            yield f"-- {day} UTC"
        line = (
            f"{moment[TIME_OF_DAY_SLICE]}  {event.process:<{process_width}}  "
            f"{event.kind.value:<{kind_width}}  {describe_event(event, known_request)}"
        )
        yield line.rstrip()
