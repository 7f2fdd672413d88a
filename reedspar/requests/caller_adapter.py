"""Protocol of what callers speak, and the product's own interface for them.

The application reads requests and writes answers only through a border, so
that a deployment with another wire brings a border and changes nothing else.
"""

from collections.abc import Iterable
from typing import Protocol
from urllib.parse import unquote

from starlette.types import Scope

from reedspar.attempts import Header

from .endings import REQUEST_ID_HEADER, encode_refusal, make_headers
from .request import Answer, Outcome, Request, Responder

__all__ = ["CallerAdapter", "EncodedAnswer", "PoolAdapter", "read_headers"]

POOLS_PREFIX = "/v1/pools/"
HEADERS_LEFT_OUT = frozenset(
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
"""Status, headers and body of an ending that is no target's answer."""


class CallerAdapter(Protocol):
    """Translates between a caller's HTTP and the product's requests."""

    def accepts(self, scope: Scope) -> bool:
        """Tell whether an ASGI connection carries a request for a target."""
        ...

    def read(
        self, scope: Scope, body: bytes, arrived_s: float, responder: Responder
    ) -> Request:
        """Return the request; its own id is set by the application."""
        ...

    def encode_refusal(self, request: Request, answer: Answer) -> EncodedAnswer:
        """Return how an ending that is no target's answer is told."""
        ...

    def make_headers(
        self,
        outcome: Outcome,
        caller_request_id: str,
        weights_digest: str,
        headers: Iterable[Header],
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer as ASGI takes them."""
        ...


class PoolAdapter:
    """The product's own interface: the path names the pool."""

    def accepts(self, scope: Scope) -> bool:
        """Tell whether the path is below the pools."""
        return scope["path"].startswith(POOLS_PREFIX)

    def read(
        self, scope: Scope, body: bytes, arrived_s: float, responder: Responder
    ) -> Request:
        """Return the request for the pool that its path names."""
        headers = read_headers(scope, HEADERS_LEFT_OUT)
        pool, path = _split_path(scope)
        request = Request(
            "", "", scope["method"], pool, path, headers, body, responder, arrived_s
        )
        request.caller_request_id = request.header_map.get(REQUEST_ID_HEADER, "")
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
        """Return the target's headers and the product's own."""
        return make_headers(outcome, caller_request_id, weights_digest, headers)


def read_headers(scope: Scope, left_out: frozenset[str]) -> tuple[Header, ...]:
    """Return the request's headers with names in lower case."""
    decoded = (
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    )
    return tuple(Header(name, value) for name, value in decoded if name not in left_out)


def _split_path(scope: Scope) -> tuple[str, str]:
    """Return the pool and the rest of the path with the query, still quoted."""
    raw_path = scope.get("raw_path") or scope["path"].encode()
    rest = raw_path.decode("latin-1").removeprefix(POOLS_PREFIX)
    pool, _, path = rest.partition("/")
    query = scope.get("query_string", b"").decode("latin-1")
    return unquote(pool), f"/{path}?{query}" if query else f"/{path}"
