"""Render the results of `bench.zone_outage` as an SVG document."""

from dataclasses import dataclass
from html import escape
from typing import Any

__all__ = ["Mark", "render_plot"]

WIDTH = 820
PANEL_HEIGHT = 120
LEFT = 130
RIGHT = 20
TOP = 30
GAP = 24
PANELS = (
    ("goodput", "answered per second", "#1b6e3c"),
    ("p99_ms", "p99, ms", "#1f4e9c"),
    ("refused", "refused per second", "#a15c00"),
    ("zone_starts", "starts in the zone", "#8a1c1c"),
)


@dataclass(frozen=True)
class Mark:
    """A point in time that is marked by a labelled line."""

    at_s: float
    label: str


def render_plot(seconds: list[dict[str, Any]], marks: list[Mark]) -> str:
    """Return the SVG document."""
    height = TOP + len(PANELS) * (PANEL_HEIGHT + GAP)
    scale_x = (WIDTH - LEFT - RIGHT) / max(1, len(seconds) - 1)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        'font-family="sans-serif" font-size="12">',
        '<rect width="100%" height="100%" fill="white"/>',
    ]
    for i, (key, label, color) in enumerate(PANELS):
        top = TOP + i * (PANEL_HEIGHT + GAP)
        parts.append(_render_panel(seconds, key, label, color, top, scale_x))
    bottom = height - GAP
    for mark in marks:
        x = LEFT + mark.at_s * scale_x
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{TOP}" y2="{bottom}" '
            'stroke="#555" stroke-dasharray="4 3"/>'
            f'<text x="{x + 4:.1f}" y="{TOP - 8}">{escape(mark.label)}</text>'
        )
    return "\n".join([*parts, "</svg>"]) + "\n"


def _render_panel(
    seconds: list[dict[str, Any]],
    key: str,
    label: str,
    color: str,
    top: float,
    scale_x: float,
) -> str:
    values = [float(second[key]) for second in seconds]
    maximum = max([*values, 1.0])
    bottom = top + PANEL_HEIGHT
    points = " ".join(
        f"{LEFT + i * scale_x:.1f},{bottom - value / maximum * PANEL_HEIGHT:.1f}"
        for i, value in enumerate(values)
    )
    return (
        f'<text x="8" y="{top + 14}">{escape(label)}</text>'
        f'<text x="{LEFT - 8}" y="{top + 10}" text-anchor="end">{maximum:g}</text>'
        f'<text x="{LEFT - 8}" y="{bottom}" text-anchor="end">0</text>'
        f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{bottom}" y2="{bottom}" '
        'stroke="#999"/>'
        f'<polyline points="{points}" fill="none" stroke="{color}" '
        'stroke-width="2"/>'
    )
