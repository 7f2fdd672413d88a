"""Logs as JSON lines through `logging`: an object per line, extras as fields."""

import json
import logging
import sys
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from datetime import UTC, datetime
from enum import Enum
from typing import Any, TextIO

from .log_queue import LogWriter, start_log_queue

__all__ = ["JsonFormatter", "configure_logging"]

STANDARD_ATTRIBUTES = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", (), None)).keys()
) | {"message", "asctime", "taskName"}
WITHHELD_FIELDS = frozenset(
    {
        "authorization",
        "body",
        "cookie",
        "data",
        "headers",
        "password",
        "payload",
        "secret",
        "token",
        "value",
    }
)
WITHHELD = "[withheld]"
VERBOSE_LOGGERS = ("httpx", "httpcore", "hpack", "h2")
TEXT_LENGTH_MAX = 2000


class JsonFormatter(logging.Formatter):
    """Format a record as one JSON object.

    Contents of requests and answers must not be logged: bytes are never printed, nor
    are extras whose names are those of bodies, headers or secrets.
    """

    def __init__(self, common: Mapping[str, Any] | None = None) -> None:
        super().__init__()
        self._common = dict(common or {})

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""
        created_at = datetime.fromtimestamp(record.created, UTC)
        line: dict[str, Any] = {
            "time": created_at.isoformat(timespec="microseconds").replace(
                "+00:00", "Z"
            ),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
            **self._common,
        }
        for name, value in vars(record).items():
            if name not in STANDARD_ATTRIBUTES and name not in line:
                line[name] = _to_json_value(name, value)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, ensure_ascii=False)


def _to_json_value(name: str, value: Any) -> Any:
    """Convert a value to JSON types, without contents that must not be logged."""
    if name.lower() in WITHHELD_FIELDS:
        return WITHHELD
    if isinstance(value, bool | int | float | None):
        return value
    if isinstance(value, bytes | bytearray | memoryview):
        return f"<{len(value)} bytes>"
    if isinstance(value, Enum):
        return _to_json_value(name, value.value)
    if isinstance(value, Mapping):
        return {str(key): _to_json_value(str(key), item) for key, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [_to_json_value(name, item) for item in value]
    if is_dataclass(value) and not isinstance(value, type):
        return {
            f.name: _to_json_value(f.name, getattr(value, f.name))
            for f in fields(value)
        }
    text = str(value)
    return text if len(text) <= TEXT_LENGTH_MAX else text[:TEXT_LENGTH_MAX] + "..."


def configure_logging(
    *,
    level: str = "INFO",
    stream: TextIO | None = None,
    common: Mapping[str, Any] | None = None,
    is_queued: bool = False,
) -> LogWriter | None:
    """Write all log records to `stream` as JSON lines; default is standard error.

    The fields of `common`, such as the process's name and zone, are added to each line.
    Libraries that log each HTTP call with its address are limited to warnings.  If
    `is_queued`, a thread writes the lines; its listener is returned and must be stopped
    last.
    """
    handler: logging.Handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(common))
    listener: LogWriter | None = None
    if is_queued:
        handler, listener = start_log_queue(handler)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for name in VERBOSE_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
    return listener
