"""What the HTTP adapters share: clients with bounds, and errors told apart."""

import httpx

from reedspar.errors import Failure, Reason, Step

from .http_transport import PooledTransport

__all__ = [
    "HTTP_REFUSED",
    "PLAIN_BODIES",
    "HttpAdapter",
    "create_client",
    "create_unbounded_client",
    "create_unbounded_transport",
    "failure_of_read",
    "failure_of_status",
    "failure_of_write",
]

KEEPALIVE_EXPIRY_S = 2.0
"""Below the idle time of usual servers.

A server that closes an idle connection just as a request goes out on it makes
the request's outcome unknown.  It would show as unknown outcomes after quiet
moments; letting go of the connection first prevents it.
"""
HTTP_REFUSED = 503
MAX_CONNECTIONS = 64
PLAIN_BODIES = {"accept-encoding": "identity"}
NOTHING_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


def create_client(url: str, timeout_s: float) -> httpx.AsyncClient:
    """Return a client of one server with a bounded number of connections."""
    return httpx.AsyncClient(
        base_url=url,
        verify=url.startswith("https:"),
        trust_env=False,
        headers=PLAIN_BODIES,
        timeout=httpx.Timeout(timeout_s),
        limits=make_limits(MAX_CONNECTIONS),
    )


def create_unbounded_transport(url: str) -> PooledTransport:
    """Return a transport to one server for any number of requests at once."""
    verify = httpx.create_ssl_context(verify=url.startswith("https:"))

    def create_transport() -> httpx.AsyncHTTPTransport:
        limits = make_limits(1)
        return httpx.AsyncHTTPTransport(verify=verify, limits=limits)

    return PooledTransport(create_transport)


def create_unbounded_client(
    url: str, timeout_s: float, transport: httpx.AsyncBaseTransport
) -> httpx.AsyncClient:
    """Return a client of one server on its transport."""
    return httpx.AsyncClient(
        base_url=url,
        trust_env=False,
        headers=PLAIN_BODIES,
        timeout=httpx.Timeout(timeout_s),
        transport=transport,
    )


def make_limits(max_connections: int) -> httpx.Limits:
    """Return the limits of one pool."""
    return httpx.Limits(
        max_connections=max_connections,
        max_keepalive_connections=max_connections,
        keepalive_expiry=KEEPALIVE_EXPIRY_S,
    )


def describe(error: Exception) -> str:
    """Return the error's kind and text."""
    text = str(error)
    kind = type(error).__name__
    return f"{kind}: {text}" if text else kind


def failure_of_write(error: Exception, step: Step, peer: str) -> Failure:
    """Tell whether a call that changes something may have taken effect."""
    is_unsent = isinstance(error, NOTHING_SENT)
    reason = Reason.UNAVAILABLE if is_unsent else Reason.OUTCOME_UNKNOWN
    return Failure(reason, step, peer, describe(error))


def failure_of_read(error: Exception, step: Step, peer: str) -> Failure:
    """Return the failure of a call that changes nothing."""
    return Failure(Reason.UNAVAILABLE, step, peer, describe(error))


def failure_of_status(response: httpx.Response, step: Step, peer: str) -> Failure:
    """Return the failure that a refusing status stands for.

    A 503 says that nothing was done; any other 5xx may have come after the
    effect.
    """
    status = response.status_code
    detail = f"HTTP {status}: {response.text[:200]}"
    if status == HTTP_REFUSED:
        return Failure(Reason.UNAVAILABLE, step, peer, detail)
    if status >= httpx.codes.INTERNAL_SERVER_ERROR:
        return Failure(Reason.OUTCOME_UNKNOWN, step, peer, detail)
    if status == httpx.codes.NOT_FOUND:
        return Failure(Reason.NOT_FOUND, step, peer, detail)
    if status == httpx.codes.CONFLICT:
        return Failure(Reason.CONFLICT, step, peer, detail)
    return Failure(Reason.INVALID, step, peer, detail)


class HttpAdapter:
    """Holds the client that an adapter shares between its calls."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client
        self._peer = str(client.base_url.netloc, "ascii")

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()
