"""Events of all processes: recording, merging into one order, and rendering."""

from typing import TYPE_CHECKING

from reedspar.utils import create_lazy_getattr

if TYPE_CHECKING:
    from .events import Event, EventKind, event_from_json, event_to_json
    from .explanation import (
        RequestExplanation,
        count_unlogged_requests,
        explain_request,
    )
    from .filters import EventFilter, format_caller_id
    from .html_rendering import render_html
    from .log_lines import LogLine, parse_log_line, read_log_lines
    from .merging import merge_events
    from .recorder import EventPage, EventRecorder, create_event_recorder
    from .text_rendering import render_text

__all__ = [
    "Event",
    "EventFilter",
    "EventKind",
    "EventPage",
    "EventRecorder",
    "LogLine",
    "RequestExplanation",
    "count_unlogged_requests",
    "create_event_recorder",
    "event_from_json",
    "event_to_json",
    "explain_request",
    "format_caller_id",
    "merge_events",
    "parse_log_line",
    "read_log_lines",
    "render_html",
    "render_text",
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
            "html_rendering": ("render_html",),
            "recorder": (
                "EventPage",
                "EventRecorder",
                "create_event_recorder",
            ),
            "explanation": (
                "RequestExplanation",
                "count_unlogged_requests",
                "explain_request",
            ),
            "text_rendering": ("render_text",),
        },
    )
