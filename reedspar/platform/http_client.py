"""HTTP clients of the adapters, and the mapping of HTTP errors to failures."""

import errno

import httpx

from reedspar.errors import Failure, Reason, Step

from .bounded_transport import BoundedTransport
from .http_transport import PooledTransport

__all__ = [
    "IDENTITY_ENCODING_HEADERS",
    "NOT_EXECUTED_STATUS",
    "HttpAdapter",
    "create_client",
    "create_client_with_transport",
    "create_unbounded_transport",
    "failure_of_read",
    "failure_of_status",
    "failure_of_write",
    "has_marked_end",
]

IDLE_EXPIRY_S = 2.0
"""Shorter than the idle timeout of common servers.

If a server closes an idle connection just as a request is sent on it, the
outcome of the request is unknown.  Closing the connection first avoids this.
"""
NOT_EXECUTED_STATUS = 503
CONNECTIONS_MAX = 64
PATH_LOST_ERRNOS = frozenset({errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH})
IDENTITY_ENCODING_HEADERS = {"accept-encoding": "identity"}
UNSENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


def create_client(url: str, timeout_s: float) -> httpx.AsyncClient:
    """Return a client for one server with a bounded number of connections."""
    transport = BoundedTransport(
        ssl_context=httpx.create_ssl_context(verify=url.startswith("https:")),
        max_connections=CONNECTIONS_MAX,
        max_keepalive_connections=CONNECTIONS_MAX,
        keepalive_expiry=IDLE_EXPIRY_S,
    )
    return create_client_with_transport(url, timeout_s, transport)


def create_unbounded_transport(url: str) -> PooledTransport:
    """Return a transport to one server with unlimited concurrent requests."""
    ssl_context = httpx.create_ssl_context(verify=url.startswith("https:"))

    def create_transport() -> BoundedTransport:
        return BoundedTransport(
            ssl_context=ssl_context,
            max_connections=1,
            max_keepalive_connections=1,
            keepalive_expiry=IDLE_EXPIRY_S,
        )

    return PooledTransport(create_transport)


def create_client_with_transport(
    url: str, timeout_s: float, transport: httpx.AsyncBaseTransport
) -> httpx.AsyncClient:
    """Return a client for one server that uses the given transport."""
    return httpx.AsyncClient(
        base_url=url,
        trust_env=False,
        headers=IDENTITY_ENCODING_HEADERS,
        timeout=httpx.Timeout(timeout_s),
        transport=transport,
    )


def describe_error(error: Exception) -> str:
    """Return the error's type and message."""
    text = str(error)
    kind = type(error).__name__
    return f"{kind}: {text}" if text else kind


def is_path_lost(error: BaseException) -> bool:
    """Return whether a connection ended as nothing was heard from its peer."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno in PATH_LOST_ERRNOS:
            return True
        cause = cause.__cause__ or cause.__context__
    return False


def failure_of_write(error: Exception, step: Step, peer: str) -> Failure:
    """Return the failure of a write: `UNAVAILABLE` only if nothing was sent."""
    is_unsent = isinstance(error, UNSENT_ERRORS)
    reason = Reason.UNAVAILABLE if is_unsent else Reason.OUTCOME_UNKNOWN
    return Failure(reason, step, peer, describe_error(error))


def failure_of_read(error: Exception, step: Step, peer: str) -> Failure:
    """Return the failure of a call without side effects."""
    return Failure(Reason.UNAVAILABLE, step, peer, describe_error(error))


def failure_of_status(response: httpx.Response, step: Step, peer: str) -> Failure:
    """Return the failure that an error status stands for.

    A 503 means that the request was not executed.  After any other 5xx it may
    have taken effect.
    """
    status = response.status_code
    detail = f"HTTP {status}: {response.text[:200]}"
    if status == NOT_EXECUTED_STATUS:
        return Failure(Reason.UNAVAILABLE, step, peer, detail)
    if status >= httpx.codes.INTERNAL_SERVER_ERROR:
        return Failure(Reason.OUTCOME_UNKNOWN, step, peer, detail)
    if status in (httpx.codes.NOT_FOUND, httpx.codes.GONE):
        return Failure(Reason.NOT_FOUND, step, peer, detail)
    if status == httpx.codes.CONFLICT:
        return Failure(Reason.CONFLICT, step, peer, detail)
    return Failure(Reason.INVALID, step, peer, detail)


def has_marked_end(response: httpx.Response) -> bool:
    """Return whether HTTP framing distinguishes a complete body from a truncated one.

    Otherwise the body ends with its connection, which a server that stops closes too.
    """
    headers = response.headers
    is_bodiless = response.status_code in (
        httpx.codes.NO_CONTENT,
        httpx.codes.NOT_MODIFIED,
    )
    is_head = response.request.method == "HEAD"
    is_chunked = "chunked" in headers.get("transfer-encoding", "").lower()
    return is_bodiless or is_head or is_chunked or "content-length" in headers


class HttpAdapter:
    """Base class of adapters that use one HTTP client for all calls."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client
        self._peer = str(client.base_url.netloc, "ascii")

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()
