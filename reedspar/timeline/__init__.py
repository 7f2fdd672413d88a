"""Events of all processes: recorded cheaply, merged into one order, shown."""

from typing import TYPE_CHECKING

from reedspar.utils import create_lazy_getattr

if TYPE_CHECKING:
    from .events import Event, EventKind, event_from_json, event_to_json
    from .filters import EventFilter, format_caller_id
    from .log_lines import LogLine, parse_log_line, read_log_lines
    from .merging import merge_events
    from .picture import render_picture
    from .recorder import EventPage, EventRecorder, create_event_recorder
    from .story import Story, count_left_out, tell_story
    from .text import render_text

__all__ = [
    "Event",
    "EventFilter",
    "EventKind",
    "EventPage",
    "EventRecorder",
    "LogLine",
    "Story",
    "count_left_out",
    "create_event_recorder",
    "event_from_json",
    "event_to_json",
    "format_caller_id",
    "merge_events",
    "parse_log_line",
    "read_log_lines",
    "render_picture",
    "render_text",
    "tell_story",
]

if not TYPE_CHECKING:
    __getattr__ = create_lazy_getattr(
        __name__,
        {
            "events": (
                "Event",
                "EventKind",
                "event_from_json",
                "event_to_json",
            ),
            "filters": (
                "EventFilter",
                "format_caller_id",
            ),
            "log_lines": (
                "LogLine",
                "parse_log_line",
                "read_log_lines",
            ),
            "merging": ("merge_events",),
            "picture": ("render_picture",),
            "recorder": (
                "EventPage",
                "EventRecorder",
                "create_event_recorder",
            ),
            "story": (
                "Story",
                "count_left_out",
                "tell_story",
            ),
            "text": ("render_text",),
        },
    )
