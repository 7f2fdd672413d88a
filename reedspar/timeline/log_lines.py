"""Parser for the JSON log lines of processes, with or without a collector's prefix."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

from reedspar.errors import Failure, Reason, Step
from reedspar.utils import parse_json

from .events import Event, event_from_json

__all__ = ["LogLine", "parse_log_line", "read_log_lines"]

COMMON_FIELDS = frozenset({"time", "level", "logger", "message", "process", "zone"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of one process.

    The field names are keys in the JSON output of ``reedspar explain``.
    """

    time_s: float
    """Wall time of the process that logged it, seconds since the Unix epoch."""
    process: str
    level: str
    message: str
    fields: Mapping[str, Any] = field(default_factory=dict)

    @property
    def event(self) -> Event | None:
        """Return the event that the line records, or None."""
        document = self.fields.get("event")
        return event_from_json(document) if isinstance(document, dict) else None


def parse_log_line(text: str) -> LogLine | None:
    """Return the parsed line, or None if it has another format.

    A log collector may put its own prefix, such as a time and a name, before the
    JSON object.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = parse_json(text[start:])
        time = document.get("time") or document["event"]["time"]
        return LogLine(
            datetime.fromisoformat(time).timestamp(),
            str(document.get("process", "")),
            str(document.get("level", "")),
            str(document["message"]),
            {k: v for k, v in document.items() if k not in COMMON_FIELDS},
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def read_log_lines(files: Iterable[Path]) -> tuple[LogLine, ...] | Failure:
    """Return the log lines of all files; skip lines of other formats."""
    lines: list[LogLine] = []
    for file in files:
        try:
            texts = file.read_text(errors="replace").splitlines()
        except OSError as error:
            detail = f"{file}: {error.strerror}"
            return Failure(Reason.NOT_FOUND, Step.SETTINGS, detail=detail)
        lines += [line for text in texts if (line := parse_log_line(text))]
    return tuple(lines)
