"""The HTTP client of callers in trials: many requests at once to any address."""

import httpx

from reedspar.platform import PooledTransport

__all__ = ["create_trial_client"]

KEEPALIVE_EXPIRY_S = 2.0


def create_trial_client(timeout: httpx.Timeout | float) -> httpx.AsyncClient:
    """Return a client whose cost a request does not grow with those in flight."""
    stacks: dict[str, PooledTransport] = {}

    class ByAddress(httpx.AsyncBaseTransport):
        """One stack of connections for each address."""

        async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
            address = str(request.url.netloc, "ascii")
            if address not in stacks:
                stacks[address] = PooledTransport(create_transport)
            return await stacks[address].handle_async_request(request)

        async def aclose(self) -> None:
            for stack in stacks.values():
                await stack.aclose()

    return httpx.AsyncClient(trust_env=False, timeout=timeout, transport=ByAddress())


def create_transport() -> httpx.AsyncHTTPTransport:
    """Return a transport of one connection."""
    limits = httpx.Limits(max_connections=1, keepalive_expiry=KEEPALIVE_EXPIRY_S)
    return httpx.AsyncHTTPTransport(verify=False, limits=limits)
