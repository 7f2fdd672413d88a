"""Documents as another writer may leave them: valid ones with one odd value each."""

import json
from collections.abc import Iterator
from typing import Any

__all__ = ["ODD_PORTS", "ODD_TEXTS", "list_odd_documents"]

NESTED_LEVELS = 100_000
DIGITS = 5000
ODD_PORTS = ("-1", "0", "65536", "9" * 20)
ODD_VALUES = (
    "[" * NESTED_LEVELS + "]" * NESTED_LEVELS,
    '{"a":' * NESTED_LEVELS + "1" + "}" * NESTED_LEVELS,
    *("9" * DIGITS, "-" + "9" * DIGITS, "1" * 400, "1e999999999", "-1e999999999"),
    *(*ODD_PORTS, "0.5", "2e-400", "NaN", "Infinity", "null", "true", "[]", "{}"),
    *('""', '"a b"', '"\\u0000"', '"\\ud800"', '"-1"', "[null]", '{"": null}'),
)
"""JSON texts, some of which are not valid."""
ODD_TEXTS = (b"", b"\xff\xfe", b"\x00" * 100, b"null", b"{", b'{"a": 1}{"a": 1}')
MARK = "to be replaced"


def list_odd_documents(document: Any) -> Iterator[bytes]:
    """Yield a document with each odd value in the place of each of its parts."""
    yield from ODD_TEXTS
    for path in _list_paths(document):
        text = json.dumps(_replace(document, path, MARK))
        for value in ODD_VALUES:
            yield text.replace(json.dumps(MARK), value).encode()


def _list_paths(document: Any, path: tuple = ()) -> Iterator[tuple]:
    yield path
    if isinstance(document, dict):
        yield (*path, "an unknown field")
        for key, part in document.items():
            yield from _list_paths(part, (*path, key))
    elif isinstance(document, list):
        for number, part in enumerate(document):
            yield from _list_paths(part, (*path, number))


def _replace(document: Any, path: tuple, value: Any) -> Any:
    if not path:
        return value
    copy = json.loads(json.dumps(document))
    part = copy
    for key in path[:-1]:
        part = part[key]
    part[path[-1]] = value
    return copy
