"""Differences between two configuration documents, by path."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from reedspar.configuration import ConfigurationDocument

__all__ = ["Change", "compare_documents", "format_change", "to_editable_document"]

SYSTEM_KEYS = {"version", "history"}


class _Absent:
    """Type of the marker for a missing value."""


ABSENT = _Absent()


@dataclass(frozen=True, slots=True)
class Change:
    """A path whose value differs; `ABSENT` stands for a missing value."""

    path: str
    before: Any
    after: Any


def to_editable_document(document: ConfigurationDocument) -> dict[str, Any]:
    """Return the part of the document that operators can change."""
    return document.model_dump(mode="json", exclude=SYSTEM_KEYS)


def compare_documents(before: Any, after: Any, path: str = "") -> Iterator[Change]:
    """Yield the changes, sorted by path; keys with dots are quoted."""
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted(before.keys() | after.keys()):
            child = f"{path}.{quote_key(key)}" if path else quote_key(key)
            yield from compare_documents(
                before.get(key, ABSENT), after.get(key, ABSENT), child
            )
    elif before != after:
        yield Change(path, before, after)


def quote_key(key: str) -> str:
    """Return the key as it is written in a path."""
    return f'"{key}"' if "." in key else key


def format_change(change: Change) -> str:
    """Return a line that begins with + (added), - (removed) or ~ (changed)."""
    if change.before is ABSENT:
        return f"+ {change.path}: {_to_text(change.after)}"
    if change.after is ABSENT:
        return f"- {change.path}: {_to_text(change.before)}"
    return f"~ {change.path}: {_to_text(change.before)} -> {_to_text(change.after)}"


def change_to_json(change: Change) -> dict[str, Any]:
    """Return a JSON object; a missing side is omitted."""
    sides = {"before": change.before, "after": change.after}
    present = {name: value for name, value in sides.items() if value is not ABSENT}
    return {"path": change.path, **present}


def _to_text(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False, sort_keys=True)
