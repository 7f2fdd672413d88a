"""The instance list over HTTP."""

import httpx
from pydantic import TypeAdapter, ValidationError

from reedspar.errors import Failure, Reason, Step

from .http_client import (
    HttpAdapter,
    create_client,
    failure_of_read,
    failure_of_status,
)
from .models import InstanceRecord

__all__ = ["HttpInstanceList", "create_http_instance_list"]

STEP = Step.INSTANCE_LIST
_RECORDS = TypeAdapter(tuple[InstanceRecord, ...])


class HttpInstanceList(HttpAdapter):
    """Reads the platform's list of instances (see `InstanceList`)."""

    async def fetch(self) -> tuple[InstanceRecord, ...] | Failure:
        """Return the current list."""
        try:
            response = await self._client.get("/v1/instances")
        except httpx.HTTPError as error:
            return failure_of_read(error, STEP, self._peer)
        if response.status_code != httpx.codes.OK:
            return failure_of_status(response, STEP, self._peer)
        try:
            return _RECORDS.validate_json(response.content)
        except ValidationError as error:
            detail = str(error).splitlines()[0]
            return Failure(Reason.CORRUPT, STEP, self._peer, detail)


def create_http_instance_list(url: str, *, timeout_s: float = 2.0) -> HttpInstanceList:
    """Create an adapter for the instance list at `url`."""
    return HttpInstanceList(create_client(url, timeout_s))
