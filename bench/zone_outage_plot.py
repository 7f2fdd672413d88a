"""Render the results of `bench.zone_outage` as an SVG document."""

from dataclasses import dataclass
from html import escape
from typing import Any

__all__ = ["TimeMarker", "render_plot"]

WIDTH = 820
PANEL_HEIGHT = 120
MARGIN_LEFT = 130
MARGIN_RIGHT = 20
MARGIN_TOP = 30
PANEL_GAP = 24
PANELS = (
    ("goodput", "answered per second", "#1b6e3c"),
    ("p99_ms", "p99, ms", "#1f4e9c"),
    ("refused", "refused per second", "#a15c00"),
    ("zone_starts", "starts in the zone", "#8a1c1c"),
)


@dataclass(frozen=True)
class TimeMarker:
    """A point in time that the plot marks with a labelled line."""

    at_s: float
    label: str


def render_plot(seconds: list[dict[str, Any]], markers: list[TimeMarker]) -> str:
    """Return the SVG document."""
    height = MARGIN_TOP + len(PANELS) * (PANEL_HEIGHT + PANEL_GAP)
    scale_x = (WIDTH - MARGIN_LEFT - MARGIN_RIGHT) / max(1, len(seconds) - 1)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        'font-family="sans-serif" font-size="12">',
        '<rect width="100%" height="100%" fill="white"/>',
    ]
    for i, (key, label, color) in enumerate(PANELS):
        top = MARGIN_TOP + i * (PANEL_HEIGHT + PANEL_GAP)
        parts.append(_render_panel(seconds, key, label, color, top, scale_x))
    bottom = height - PANEL_GAP
    for marker in markers:
        x = MARGIN_LEFT + marker.at_s * scale_x
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{MARGIN_TOP}" y2="{bottom}" '
            'stroke="#555" stroke-dasharray="4 3"/>'
            f'<text x="{x + 4:.1f}" y="{MARGIN_TOP - 8}">{escape(marker.label)}</text>'
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
        f"{MARGIN_LEFT + i * scale_x:.1f},{bottom - value / maximum * PANEL_HEIGHT:.1f}"
        for i, value in enumerate(values)
    )
    return (
        f'<text x="8" y="{top + 14}">{escape(label)}</text>'
        f'<text x="{MARGIN_LEFT - 8}" y="{top + 10}" text-anchor="end">'
        f"{maximum:g}</text>"
        f'<text x="{MARGIN_LEFT - 8}" y="{bottom}" text-anchor="end">0</text>'
        f'<line x1="{MARGIN_LEFT}" x2="{WIDTH - MARGIN_RIGHT}" '
        f'y1="{bottom}" y2="{bottom}" stroke="#999"/>'
        f'<polyline points="{points}" fill="none" stroke="{color}" '
        'stroke-width="2"/>'
    )
