"""Adapters between callers' HTTP and internal requests and answers.

The application reads requests and writes answers only through an adapter, so
that a deployment with a different HTTP interface only has to supply an adapter.
`PoolAdapter` implements reedspar's own interface.
"""

from collections.abc import Iterable
from typing import Protocol
from urllib.parse import unquote

from starlette.types import Scope

from reedspar.attempts import Header

from .outcome_encoding import REQUEST_ID_HEADER, encode_refusal, make_headers
from .request import Answer, Outcome, Request, Responder

__all__ = ["CallerAdapter", "EncodedAnswer", "PoolAdapter", "read_headers"]

POOLS_PREFIX = "/v1/pools/"
PROMPT_PARTS_HEADER = "x-prompt-parts"
"""Ids of the parts of the prompt that other requests may share, with commas between."""
EXCLUDED_HEADERS = frozenset(
    {
        "connection",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
EncodedAnswer = tuple[int, list[Header], bytes]
"""Status, headers and body of a response that is not a target's answer."""


class CallerAdapter(Protocol):
    """Translates between a caller's HTTP and reedspar's requests."""

    def accepts(self, scope: Scope) -> bool:
        """Return whether an ASGI connection carries a request for a target."""
        ...

    def read(
        self, scope: Scope, body: bytes, arrived_s: float, responder: Responder
    ) -> Request:
        """Return the request; the application sets its internal id."""
        ...

    def encode_refusal(self, request: Request, answer: Answer) -> EncodedAnswer:
        """Return the response for an outcome that is not a target's answer."""
        ...

    def make_headers(
        self,
        outcome: Outcome,
        caller_request_id: str,
        weights_digest: str,
        headers: Iterable[Header],
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer in ASGI's format."""
        ...


class PoolAdapter:
    """Adapter for reedspar's own interface, where the path names the pool."""

    def accepts(self, scope: Scope) -> bool:
        """Return whether the path is below the prefix of pools."""
        return scope["path"].startswith(POOLS_PREFIX)

    def read(
        self, scope: Scope, body: bytes, arrived_s: float, responder: Responder
    ) -> Request:
        """Return the request for the pool that its path names."""
        headers = read_headers(scope, EXCLUDED_HEADERS)
        pool, path = _split_path(scope)
        request = Request(
            "", "", scope["method"], pool, path, headers, body, responder, arrived_s
        )
        request.caller_request_id = request.header_map.get(REQUEST_ID_HEADER, "")
        parts = request.header_map.get(PROMPT_PARTS_HEADER, "").split(",")
        request.prompt_parts = tuple(part.strip() for part in parts if part.strip())
        return request

    def encode_refusal(self, request: Request, answer: Answer) -> EncodedAnswer:
        """Return the refusal with its reason as JSON."""
        assert answer.failure is not None
        return encode_refusal(answer.outcome, answer.failure)

    def make_headers(
        self,
        outcome: Outcome,
        caller_request_id: str,
        weights_digest: str,
        headers: Iterable[Header],
    ) -> list[tuple[bytes, bytes]]:
        """Return the target's headers and reedspar's own headers."""
        return make_headers(outcome, caller_request_id, weights_digest, headers)


def read_headers(scope: Scope, excluded: frozenset[str]) -> tuple[Header, ...]:
    """Return the request's headers except `excluded`, with lower-case names."""
    decoded = (
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    )
    return tuple(Header(name, value) for name, value in decoded if name not in excluded)


def _split_path(scope: Scope) -> tuple[str, str]:
    """Return the pool, and the rest of the path and query still percent-encoded."""
    raw_path = scope.get("raw_path") or scope["path"].encode()
    rest = raw_path.decode("latin-1").removeprefix(POOLS_PREFIX)
    pool, _, path = rest.partition("/")
    query = scope.get("query_string", b"").decode("latin-1")
    return unquote(pool), f"/{path}?{query}" if query else f"/{path}"
