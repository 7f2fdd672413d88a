"""Rendering of a timeline as a self-contained HTML file with one SVG lane per process.

Events in a burst are microseconds apart, while pauses last minutes; a linear axis
would hide one or the other.  Events are drawn in merged order, at least
`EVENT_GAP_MIN_PX` apart.  The gap grows with the time between two events, up to
`EVENT_GAP_MAX_PX`, and the axis is labelled with times where there is room.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from html import escape

from .events import Event, format_time
from .text_rendering import describe_event

__all__ = ["render_html"]

EVENT_GAP_MIN_PX = 16.0
EVENT_GAP_MAX_PX = 80.0
GAP_GROWTH_PX_PER_S = 40.0
LANE_HEIGHT_PX = 34
MARGIN_PX = 24
AXIS_HEIGHT_PX = 30
TICK_GAP_MIN_PX = 96.0
CHARACTER_WIDTH_PX = 7.6
DRAWN_EVENTS_MAX = 999
"""Numbers of four digits would not fit into the marks."""
COLOURS = {
    "request": "#1f5fbf",
    "attempt": "#5aa0e6",
    "weights": "#2a8a3e",
    "config": "#b8860b",
    "zone": "#d1601a",
    "target": "#7a4fb5",
    "member": "#6b7680",
    "link": "#9aa4ad",
    "daemon": "#333333",
    "key_value": "#a0522d",
    "invariant": "#d0021b",
}
STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 1.5em; color: #222; }
.lanes { display: flex; border: 1px solid #ccc; }
.names { flex: none; border-right: 1px solid #ccc; }
.scroll { overflow-x: auto; }
svg text { font: 12px ui-monospace, monospace; fill: #222; }
svg .number { font-size: 8px; fill: #fff; text-anchor: middle; }
svg .tick { font-size: 11px; fill: #666; }
table { border-collapse: collapse; margin-top: 1em; }
table { font: 12px ui-monospace, monospace; }
td, th { padding: 2px 10px 2px 0; text-align: left; white-space: nowrap; }
.key { display: inline-block; margin-right: 1.2em; }
.dot { display: inline-block; width: .8em; height: .8em; border-radius: 50%; }
"""


@dataclass(frozen=True, slots=True)
class _Mark:
    """An event with its number and its position in the drawing."""

    number: int
    x: float
    y: float
    event: Event


def render_html(events: Sequence[Event], title: str = "Time line") -> str:
    """Return an HTML document of merged events without external resources.

    Only the latest `DRAWN_EVENTS_MAX` events are drawn; the page states how many
    earlier ones are omitted.
    """
    left_out = max(0, len(events) - DRAWN_EVENTS_MAX)
    shown = events[left_out:]
    lanes = sorted({event.process for event in shown})
    marks = _place_marks(shown, lanes)
    note = f"{len(shown)} events of {len(lanes)} processes, UTC."
    if left_out:
        note += f" {left_out} earlier events are not drawn."
    return "\n".join(
        [
            '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">',
            f"<title>{escape(title)}</title><style>{STYLE}</style></head><body>",
            f"<h1>{escape(title)}</h1><p>{note} Hover over a mark for details.</p>",
            _draw_legend(shown),
            '<div class="lanes"><div class="names">',
            _draw_names(lanes),
            '</div><div class="scroll">',
            _draw_lanes(marks, len(lanes)),
            "</div></div>",
            _draw_table(marks),
            "</body></html>",
        ]
    )


def _place_marks(events: Sequence[Event], lanes: list[str]) -> list[_Mark]:
    lane_indices = {name: i for i, name in enumerate(lanes)}
    marks: list[_Mark] = []
    x = float(MARGIN_PX)
    for i, event in enumerate(events):
        if i:
            elapsed_s = max(0.0, event.time_s - events[i - 1].time_s)
            x += min(
                EVENT_GAP_MAX_PX, EVENT_GAP_MIN_PX + elapsed_s * GAP_GROWTH_PX_PER_S
            )
        y = AXIS_HEIGHT_PX + LANE_HEIGHT_PX * (lane_indices[event.process] + 0.5)
        marks.append(_Mark(i + 1, x, y, event))
    return marks


def _draw_names(lanes: list[str]) -> str:
    width = max((len(name) for name in lanes), default=0) * CHARACTER_WIDTH_PX + 16
    height = AXIS_HEIGHT_PX + LANE_HEIGHT_PX * len(lanes)
    rows = [
        f'<text x="8" y="{AXIS_HEIGHT_PX + LANE_HEIGHT_PX * (i + 0.5) + 4:.0f}">'
        f"{escape(name)}</text>"
        for i, name in enumerate(lanes)
    ]
    return f'<svg width="{width:.0f}" height="{height}">{"".join(rows)}</svg>'


def _draw_lanes(marks: list[_Mark], lane_count: int) -> str:
    width = (marks[-1].x if marks else 0) + TICK_GAP_MIN_PX
    height = AXIS_HEIGHT_PX + LANE_HEIGHT_PX * lane_count
    parts = [f'<svg width="{width:.0f}" height="{height}">']
    for i in range(lane_count):
        y = AXIS_HEIGHT_PX + LANE_HEIGHT_PX * (i + 0.5)
        parts.append(
            f'<line x1="0" y1="{y:.1f}" x2="{width:.0f}" y2="{y:.1f}" stroke="#ddd"/>'
        )
    parts.extend(_draw_ticks(marks, height))
    parts.extend(_draw_process_changes(marks))
    parts.extend(_draw_mark(mark) for mark in marks)
    parts.append("</svg>")
    return "".join(parts)


def _draw_ticks(marks: list[_Mark], height: int) -> list[str]:
    parts = []
    last_x = -TICK_GAP_MIN_PX
    for mark in marks:
        if mark.x - last_x < TICK_GAP_MIN_PX:
            continue
        last_x = mark.x
        label = format_time(mark.event.time_s)[11:23]
        parts.append(
            f'<line x1="{mark.x:.1f}" y1="20" x2="{mark.x:.1f}" y2="{height}" '
            f'stroke="#eee"/><text class="tick" x="{mark.x:.1f}" y="14">{label}</text>'
        )
    return parts


def _draw_process_changes(marks: list[_Mark]) -> list[str]:
    """Draw a line where consecutive events of an attempt are in different processes."""
    parts = []
    latest: dict[tuple[str, int], _Mark] = {}
    for mark in marks:
        if not mark.event.request_id or mark.event.attempt is None:
            continue
        key = (mark.event.request_id, mark.event.attempt)
        before = latest.get(key)
        latest[key] = mark
        if before is not None and before.y != mark.y:
            parts.append(
                f'<line x1="{before.x:.1f}" y1="{before.y:.1f}" '
                f'x2="{mark.x:.1f}" y2="{mark.y:.1f}" stroke="#5aa0e6"/>'
            )
    return parts


def _draw_mark(mark: _Mark) -> str:
    event = mark.event
    colour = COLOURS.get(event.kind.group, "#333333")
    text = (
        f"{mark.number}. {format_time(event.time_s)} {event.process} "
        f"{event.kind.value} {describe_event(event)}"
    )
    return (
        f'<g><title>{escape(text)}</title><circle cx="{mark.x:.1f}" '
        f'cy="{mark.y:.1f}" r="7.5" fill="{colour}"/>'
        f'<text class="number" x="{mark.x:.1f}" y="{mark.y + 3:.1f}">'
        f"{mark.number}</text></g>"
    )


def _draw_legend(events: Sequence[Event]) -> str:
    present = {event.kind.group for event in events}
    keys = [
        f'<span class="key"><span class="dot" style="background:{colour}"></span> '
        f"{group}</span>"
        for group, colour in COLOURS.items()
        if group in present
    ]
    return f"<p>{''.join(keys)}</p>"


def _draw_table(marks: list[_Mark]) -> str:
    rows = [
        f"<tr><td>{mark.number}</td><td>{format_time(mark.event.time_s)[11:23]}</td>"
        f"<td>{escape(mark.event.process)}</td><td>{mark.event.kind.value}</td>"
        f"<td>{escape(describe_event(mark.event))}</td></tr>"
        for mark in marks
    ]
    head = "<tr><th>#</th><th>time</th><th>process</th><th>event</th><th></th></tr>"
    return f"<table>{head}{''.join(rows)}</table>"
