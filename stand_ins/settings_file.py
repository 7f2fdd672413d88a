"""Write the settings of a daemon as TOML."""

import json
from pathlib import Path
from typing import Any

__all__ = ["write_settings"]


def write_settings(path: Path, document: dict[str, Any]) -> None:
    """Write a document of scalars and one level of tables."""
    lines = [f"{key} = {format_value(value)}" for key, value in list_scalars(document)]
    for key, table in document.items():
        if isinstance(table, dict):
            lines.append(f"\n[{key}]")
            lines.extend(f"{k} = {format_value(v)}" for k, v in list_scalars(table))
    path.write_text("\n".join(lines) + "\n")


def list_scalars(table: dict[str, Any]) -> list[tuple[str, Any]]:
    """Return the scalars of a table."""
    return [(key, value) for key, value in table.items() if not isinstance(value, dict)]


def format_value(value: str | bool | int | float) -> str:
    """Return the value in TOML, which writes these types as JSON does."""
    return json.dumps(value)
