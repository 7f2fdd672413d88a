"""The key-value service over HTTP."""

import httpx

from reedspar.errors import Failure, Reason, Step
from reedspar.utils import parse_json

from .http_client import (
    HttpAdapter,
    create_client,
    failure_of_read,
    failure_of_status,
    failure_of_write,
    has_marked_end,
)
from .models import KeyValueEntry

__all__ = ["HttpKeyValueStore", "create_http_key_value_store"]

STEP = Step.KEY_VALUE
REVISION_HEADER = "x-revision"


class HttpKeyValueStore(HttpAdapter):
    """Client of the key-value service (see `KeyValueStore`)."""

    def __init__(self, client: httpx.AsyncClient, timeout_s: float) -> None:
        super().__init__(client)
        self._timeout_s = timeout_s

    async def get(self, key: str) -> KeyValueEntry | Failure | None:
        """Return the entry, or None if there is none."""
        return await self._read("/v1/entry", {"key": key}, self._timeout_s)

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueEntry | Failure | None:
        """Return the entry once it is newer, or None at the timeout."""
        params = {
            "key": key,
            "after": str(after_revision),
            "timeout_s": str(timeout_s),
        }
        return await self._read("/v1/watch", params, timeout_s + self._timeout_s)

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str = ""
    ) -> int | Failure:
        """Write if the current revision is the expected one; return the new one."""
        params = {"key": key, "expected": str(expected_revision), "lease": lease_id}
        answer = await self._write("PUT", "/v1/entry", params, value)
        if isinstance(answer, Failure):
            return answer
        revision = answer.get("revision")
        if isinstance(revision, int):
            return revision
        return self._make_unreadable_failure()

    async def grant_lease(self, ttl_s: float) -> str | Failure:
        """Return the id of a new lease."""
        answer = await self._write("POST", "/v1/leases", {"ttl_s": str(ttl_s)})
        if isinstance(answer, Failure):
            return answer
        lease_id = answer.get("lease")
        if isinstance(lease_id, str) and lease_id:
            return lease_id
        return self._make_unreadable_failure()

    async def renew_lease(self, lease_id: str) -> Failure | None:
        """Restart the lease's time to live; fails with `NOT_FOUND` once it ended."""
        answer = await self._write("POST", "/v1/leases/renew", {"lease": lease_id})
        return answer if isinstance(answer, Failure) else None

    async def _read(
        self, path: str, params: dict[str, str], timeout_s: float
    ) -> KeyValueEntry | Failure | None:
        try:
            response = await self._client.get(path, params=params, timeout=timeout_s)
        except httpx.HTTPError as error:
            return failure_of_read(error, STEP, self._peer)
        if response.status_code in (httpx.codes.NOT_FOUND, httpx.codes.NO_CONTENT):
            return None
        if response.status_code != httpx.codes.OK:
            return failure_of_status(response, STEP, self._peer)
        if not has_marked_end(response):
            detail = "the body's end is not marked"
            return Failure(Reason.UNAVAILABLE, STEP, self._peer, detail)
        revision = response.headers.get(REVISION_HEADER, "")
        if not revision.isdecimal():
            return Failure(Reason.CORRUPT, STEP, self._peer, "answer has no revision")
        return KeyValueEntry(params["key"], response.content, int(revision))

    async def _write(
        self, method: str, path: str, params: dict[str, str], body: bytes = b""
    ) -> dict[str, object] | Failure:
        try:
            response = await self._client.request(
                method, path, params=params, content=body
            )
        except httpx.HTTPError as error:
            return failure_of_write(error, STEP, self._peer)
        if response.status_code != httpx.codes.OK:
            return failure_of_status(response, STEP, self._peer)
        try:
            answer = parse_json(response.content)
        except ValueError:
            return self._make_unreadable_failure()
        return answer if isinstance(answer, dict) else self._make_unreadable_failure()

    def _make_unreadable_failure(self) -> Failure:
        detail = "the answer can't be read"
        return Failure(Reason.OUTCOME_UNKNOWN, STEP, self._peer, detail)


def create_http_key_value_store(
    url: str, *, timeout_s: float = 2.0
) -> HttpKeyValueStore:
    """Create an adapter; `timeout_s` bounds each call, not counting a watch's wait."""
    return HttpKeyValueStore(create_client(url, timeout_s), timeout_s)
