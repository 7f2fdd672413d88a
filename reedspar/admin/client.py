"""Client of the operators' HTTP interface.

It is given the addresses of several daemons and tries the next one if a daemon is
unreachable.  A patch is sent again with the same id until its outcome is known; daemons
recognize an accepted patch by its id, so it is applied once.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import anyio
import httpx
from pydantic import BaseModel, ValidationError

from reedspar.configuration import ConfigurationDocument
from reedspar.errors import Failure, Reason, Step

from .models import (
    DaemonStatus,
    ErrorBody,
    EventPageBody,
    MemberList,
    MemberStatus,
    PatchAccepted,
    PatchRefused,
    PatchRequest,
)

__all__ = ["AdminClient", "create_admin_client"]

RESPONSE_TIMEOUT_S = 3.0
SEND_ATTEMPTS_MAX = 6
PATCH_RETRY_DELAY_S = 0.5
UNSENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
RETRIED_REASONS = frozenset(
    {Reason.UNAVAILABLE, Reason.OUTCOME_UNKNOWN, Reason.NOT_READY}
)

BodyT = TypeVar("BodyT", bound=BaseModel)
Sleep = Callable[[float], Awaitable[None]]


class AdminClient:
    """Query daemons over HTTP; `urls` are tried in order."""

    def __init__(
        self,
        http: httpx.AsyncClient,
        urls: Sequence[str],
        *,
        sleep: Sleep = anyio.sleep,
    ) -> None:
        self._http = http
        self._urls = tuple(urls)
        self._sleep = sleep

    async def read_status(self, url: str) -> DaemonStatus | Failure:
        """Return the state of the daemon at `url`."""
        return await self._get_from(url, "/admin/status", DaemonStatus)

    async def read_events(
        self, url: str, after: int, parameters: dict[str, str]
    ) -> EventPageBody | Failure:
        """Return a page of events of the daemon at `url`."""
        query = {"after": str(after), **parameters}
        return await self._get_from(url, "/admin/events", EventPageBody, query)

    async def list_members(self) -> tuple[MemberStatus, ...] | Failure:
        """Return the daemons known to the first reachable one."""
        found = await self._get("/admin/members", MemberList)
        return found if isinstance(found, Failure) else found.members

    async def read_configuration(self) -> ConfigurationDocument | Failure:
        """Return the document in use by the first reachable daemon."""
        return await self._get("/admin/configuration", ConfigurationDocument)

    async def read_version(
        self, version: int, urls: Sequence[str] = ()
    ) -> ConfigurationDocument | Failure:
        """Return a version of the document from the first daemon that has it."""
        path = f"/admin/configuration/versions/{version}"
        failure = Failure(Reason.NOT_FOUND, Step.CONFIGURE, detail="no daemon to ask")
        for url in [*self._urls, *urls]:
            found = await self._get_from(url, path, ConfigurationDocument)
            if not isinstance(found, Failure):
                return found
            failure = found
        return failure

    async def apply_patch(self, request: PatchRequest) -> PatchAccepted | PatchRefused:
        """Apply a patch; return OUTCOME_UNKNOWN only if retries did not resolve it."""
        unknown_outcome: PatchRefused | None = None
        result: PatchAccepted | PatchRefused = _refuse_without_address()
        for i in range(SEND_ATTEMPTS_MAX if self._urls else 0):
            # Each address is tried once without a delay until an outcome is unknown.
            if i >= len(self._urls) or unknown_outcome:
                await self._sleep(PATCH_RETRY_DELAY_S)
            result = await self._post_patch(self._urls[i % len(self._urls)], request)
            if (
                isinstance(result, PatchAccepted)
                or result.reason not in RETRIED_REASONS
            ):
                return result
            if result.reason is Reason.OUTCOME_UNKNOWN:
                unknown_outcome = result
        return unknown_outcome or result

    async def _post_patch(
        self, url: str, request: PatchRequest
    ) -> PatchAccepted | PatchRefused:
        try:
            response = await self._http.post(
                url + "/admin/configuration/patches",
                content=request.model_dump_json(),
                headers={"content-type": "application/json"},
            )
            if response.status_code == httpx.codes.OK:
                return PatchAccepted.model_validate_json(response.content)
            return PatchRefused.model_validate_json(response.content)
        except UNSENT_ERRORS as error:
            reason, detail = Reason.UNAVAILABLE, describe_error(error)
        except (httpx.HTTPError, ValidationError) as error:
            # The daemon may have applied the patch, and its response was lost.
            reason, detail = Reason.OUTCOME_UNKNOWN, describe_error(error)
        return PatchRefused(reason=reason, peer=url, detail=detail)

    async def _get(self, path: str, body: type[BodyT]) -> BodyT | Failure:
        result: BodyT | Failure = Failure(
            Reason.INVALID, Step.CONFIGURE, detail="no entry was named"
        )
        for url in self._urls:
            result = await self._get_from(url, path, body)
            if not isinstance(result, Failure):
                break
        return result

    async def _get_from(
        self,
        url: str,
        path: str,
        body: type[BodyT],
        parameters: dict[str, str] | None = None,
    ) -> BodyT | Failure:
        try:
            response = await self._http.get(url + path, params=parameters)
            if response.status_code == httpx.codes.OK:
                return body.model_validate_json(response.content)
            failure = ErrorBody.model_validate_json(response.content).to_failure()
            return failure if failure.peer else add_peer(failure, url)
        except httpx.HTTPError as error:
            return Failure(Reason.UNAVAILABLE, Step.LINK, url, describe_error(error))
        except ValidationError as error:
            detail = f"not a response of reedspar: {describe_error(error)}"
            return Failure(Reason.CORRUPT, Step.LINK, url, detail)


def _refuse_without_address() -> PatchRefused:
    return PatchRefused(reason=Reason.INVALID, detail="no entry was named")


def add_peer(failure: Failure, peer: str) -> Failure:
    """Return the failure with the peer that reported it."""
    return Failure(
        failure.reason, failure.step, peer, failure.detail, failure.retry_after_s
    )


def describe_error(error: Exception) -> str:
    """Return a one-line description of a library's exception."""
    if isinstance(error, ValidationError):
        first = error.errors()[0]
        return f"{'.'.join(map(str, first['loc']))}: {first['msg']}"
    lines = str(error).splitlines()
    return lines[0] if lines else type(error).__name__


def create_admin_client(
    urls: Sequence[str],
    *,
    timeout_s: float = RESPONSE_TIMEOUT_S,
    http: httpx.AsyncClient | None = None,
) -> AdminClient:
    """Create a client of the daemons at `urls`; the caller closes `http`."""
    client = http or httpx.AsyncClient(timeout=timeout_s, trust_env=False)
    return AdminClient(client, urls)
