"""The origin of weights, or the weight store, read by HTTP range requests."""

import re

import httpx

from reedspar.errors import Failure, Reason, Step

from .http_client import (
    HttpAdapter,
    create_client,
    failure_of_read,
    failure_of_status,
    failure_of_write,
)

__all__ = ["HttpWeightSource", "create_http_weight_source"]

STEP = Step.ORIGIN_DRAW
_CONTENT_RANGE = re.compile(r"bytes (\d+)-(\d+)/(\d+)")


class HttpWeightSource(HttpAdapter):
    """Reads ranges of objects (see `WeightSource`) and stores objects."""

    async def read(self, name: str, offset: int, size_bytes: int) -> bytes | Failure:
        """Return a range of the object; size 0 means up to its end."""
        last = str(offset + size_bytes - 1) if size_bytes else ""
        headers = {"range": f"bytes={offset}-{last}"}
        try:
            response = await self._client.get(f"/objects/{name}", headers=headers)
        except httpx.RemoteProtocolError as error:
            return Failure(Reason.CORRUPT, STEP, self._peer, str(error))
        except httpx.HTTPError as error:
            return failure_of_read(error, STEP, self._peer)
        if response.status_code == httpx.codes.OK:
            whole = response.content
            return whole[offset : offset + size_bytes if size_bytes else None]
        if response.status_code != httpx.codes.PARTIAL_CONTENT:
            return failure_of_status(response, STEP, self._peer)
        return self._check_range(response, offset, size_bytes)

    async def has(self, name: str) -> bool | Failure:
        """Return whether the object exists; the origin never stores partial ones."""
        try:
            response = await self._client.head(f"/objects/{name}")
        except httpx.HTTPError as error:
            return failure_of_read(error, STEP, self._peer)
        if response.status_code == httpx.codes.NOT_FOUND:
            return False
        if response.status_code == httpx.codes.OK:
            return True
        return failure_of_status(response, STEP, self._peer)

    async def put(self, name: str, data: bytes) -> Failure | None:
        """Store an object; storing it again has no effect."""
        try:
            response = await self._client.put(f"/objects/{name}", content=data)
        except httpx.HTTPError as error:
            return failure_of_write(error, STEP, self._peer)
        if response.is_success:
            return None
        return failure_of_status(response, STEP, self._peer)

    def _check_range(
        self, response: httpx.Response, offset: int, size_bytes: int
    ) -> bytes | Failure:
        """Return the body if it is exactly the requested range."""
        text = response.headers.get("content-range", "")
        match = _CONTENT_RANGE.fullmatch(text)
        if match is None:
            return Failure(Reason.CORRUPT, STEP, self._peer, f"content-range {text!r}")
        first, _, total = (int(group) for group in match.groups())
        end = min(offset + size_bytes, total) if size_bytes else total
        if first != offset or len(response.content) != end - offset:
            detail = f"{len(response.content)} bytes for {offset}-{end} of {total}"
            return Failure(Reason.CORRUPT, STEP, self._peer, detail)
        return response.content


def create_http_weight_source(url: str, *, timeout_s: float = 10.0) -> HttpWeightSource:
    """Create an adapter; `timeout_s` bounds the wait for the next part of a body."""
    return HttpWeightSource(create_client(url, timeout_s))
