"""HTTP endpoint of reedspar's own API that lists entry addresses for callers."""

from starlette.requests import Request as HttpRequest
from starlette.responses import JSONResponse
from starlette.routing import Route

from .addresses import rank_addresses
from .views import ConfigurationView, EntryDirectory

__all__ = ["AddressListEndpoint"]


class AddressListEndpoint:
    """Endpoint that returns the addresses of the entries that a caller may use."""

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
        self._is_self_listed = True
        self.route = Route("/v1/addresses", self._list_addresses)

    def exclude_self(self) -> None:
        """Omit this entry from the addresses that it lists from now on."""
        self._is_self_listed = False

    async def _list_addresses(self, http_request: HttpRequest) -> JSONResponse:
        client = http_request.client
        key = http_request.headers.get("x-workspace", "")
        key += f"/{client.host}:{client.port}" if client is not None else ""
        entries = [
            entry
            for entry in self._entries.entries()
            if self._is_self_listed or entry.name != self._name
        ]
        addresses = rank_addresses(
            entries, self._configuration.document, self._zone, key
        )
        document = {"addresses": addresses, "ttl_s": self._ttl_s}
        headers = {"cache-control": f"max-age={self._ttl_s:g}"}
        return JSONResponse(document, headers=headers)
