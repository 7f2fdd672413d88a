"""Parsing of patches from a file or from assignments to paths."""

import re
import tomllib
import uuid
from pathlib import Path
from typing import Any

from reedspar.errors import Failure, Reason, Step
from reedspar.utils import parse_json

__all__ = ["create_patch_id", "parse_assignment", "read_patch"]

KEY_PATTERN = re.compile(r'"([^"]+)"|([^".]+)')


def create_patch_id() -> str:
    """Return a unique patch id."""
    return uuid.uuid4().hex


def read_patch(file: Path | None, assignments: list[str]) -> dict[str, Any] | Failure:
    """Return the merge patch (RFC 7386) of a file, updated by assignments."""
    patch: dict[str, Any] = {}
    if file is not None:
        loaded = _load_file(file)
        if isinstance(loaded, Failure):
            return loaded
        patch = loaded
    for assignment in assignments:
        parsed = parse_assignment(assignment)
        if isinstance(parsed, Failure):
            return parsed
        keys, value = parsed
        parent = patch
        for key in keys[:-1]:
            child = parent.setdefault(key, {})
            if not isinstance(child, dict):
                return _invalid(f"{assignment}: {key} has a value already")
            parent = child
        parent[keys[-1]] = value
    return patch or _invalid("the patch changes nothing; give --file or --set")


def parse_assignment(text: str) -> tuple[list[str], Any] | Failure:
    """Return the keys and the value of ``path=value``.

    Keys are separated by dots; a key that contains a dot is in double quotes.  The
    value is JSON, or a plain string if it isn't valid JSON; ``null`` removes the path.
    """
    path, separator, value_text = text.partition("=")
    keys = []
    position = 0
    while position < len(path):
        match = KEY_PATTERN.match(path, position)
        if match is None:
            break
        keys.append(match[1] or match[2])
        position = match.end()
        if position < len(path) and path[position] == ".":
            position += 1
            if position == len(path):
                return _invalid(f"{text}: a key is missing after the last dot")
        elif position < len(path):
            break
    if not separator or not keys or position < len(path):
        return _invalid(f"{text}: not of the form path=value")
    try:
        return keys, parse_json(value_text)
    except ValueError:
        return keys, value_text


def _load_file(file: Path) -> dict[str, Any] | Failure:
    try:
        text = file.read_text()
        is_toml = file.suffix == ".toml"
        loaded = tomllib.loads(text) if is_toml else parse_json(text)
    except OSError as error:
        return _invalid(f"{file}: {error.strerror}")
    except (ValueError, RecursionError) as error:
        return _invalid(f"{file}: {error}")
    if not isinstance(loaded, dict):
        return _invalid(f"{file}: not an object")
    return loaded


def _invalid(detail: str) -> Failure:
    return Failure(Reason.INVALID, Step.CONFIGURE, detail=detail)
