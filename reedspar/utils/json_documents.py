"""Parsing of JSON documents that another program wrote."""

from typing import Any

import pydantic_core

__all__ = ["parse_json"]


def parse_json(data: bytes | str) -> Any:
    """Return the value of a JSON document.

    Raises `ValueError` for whatever can't be read, also for a document that is nested
    too deeply, for which `json.loads` raises `RecursionError`.
    """
    return pydantic_core.from_json(data)
