"""Telling callers which addresses to use, under the product's own interface."""

from starlette.requests import Request as HttpRequest
from starlette.responses import JSONResponse
from starlette.routing import Route

from .addresses import order_addresses
from .views import ConfigurationView, EntryDirectory

__all__ = ["AddressList"]


class AddressList:
    """Answers with the entries that a caller may use."""

    def __init__(
        self,
        name: str,
        zone: str,
        configuration: ConfigurationView,
        entries: EntryDirectory,
        ttl_s: float,
    ) -> None:
        self._name = name
        self._zone = zone
        self._configuration = configuration
        self._entries = entries
        self._ttl_s = ttl_s
        self._is_named = True
        self.route = Route("/v1/addresses", self._list_addresses)

    def exclude_self(self) -> None:
        """Leave this entry out of the addresses it gives."""
        self._is_named = False

    async def _list_addresses(self, http_request: HttpRequest) -> JSONResponse:
        client = http_request.client
        key = http_request.headers.get("x-workspace", "")
        key += f"/{client.host}:{client.port}" if client is not None else ""
        entries = [
            entry
            for entry in self._entries.entries()
            if self._is_named or entry.name != self._name
        ]
        addresses = order_addresses(
            entries, self._configuration.document, self._zone, key
        )
        document = {"addresses": addresses, "ttl_s": self._ttl_s}
        headers = {"cache-control": f"max-age={self._ttl_s:g}"}
        return JSONResponse(document, headers=headers)
