"""HTTP client for callers in trials: many concurrent requests to any address."""

import httpx

from reedspar.platform import PooledTransport

__all__ = ["create_trial_client"]

IDLE_EXPIRY_S = 2.0


def create_trial_client(timeout: httpx.Timeout | float) -> httpx.AsyncClient:
    """Return a client whose cost per request is independent of the number in flight."""
    transports: dict[str, PooledTransport] = {}

    class TransportByAddress(httpx.AsyncBaseTransport):
        """Keeps a pooled transport for each address."""

        async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
            address = str(request.url.netloc, "ascii")
            if address not in transports:
                transports[address] = PooledTransport(create_transport)
            return await transports[address].handle_async_request(request)

        async def aclose(self) -> None:
            for transport in transports.values():
                await transport.aclose()

    return httpx.AsyncClient(
        trust_env=False, timeout=timeout, transport=TransportByAddress()
    )


def create_transport() -> httpx.AsyncHTTPTransport:
    """Return a transport that holds one connection."""
    limits = httpx.Limits(max_connections=1, keepalive_expiry=IDLE_EXPIRY_S)
    return httpx.AsyncHTTPTransport(verify=False, limits=limits)
