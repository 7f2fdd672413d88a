"""Starlette application that serves ``/admin`` and ``/metrics``."""

from typing import Any

from pydantic import BaseModel, ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from reedspar.errors import Failure, Reason, Step
from reedspar.timeline import (
    EventFilter,
    EventKind,
    EventPage,
    EventRecorder,
    event_to_json,
)
from reedspar.utils import parse_json

from .models import (
    ErrorBody,
    EventPageBody,
    MemberList,
    PatchAccepted,
    PatchError,
    PatchRefused,
    PatchRequest,
)
from .sources import AdminSources

__all__ = ["create_admin_app"]

PATCH_BODY_MAX_BYTES = 1024 * 1024
EVENTS_PER_PAGE_MAX = 2000
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
STATUS_BY_REASON = {
    Reason.CONFLICT: 409,
    Reason.INVALID: 422,
    Reason.UNAVAILABLE: 503,
    Reason.NOT_READY: 503,
    Reason.STALE: 503,
    Reason.NOT_FOUND: 404,
    Reason.OUTCOME_UNKNOWN: 504,
    Reason.TIMEOUT: 504,
}


def _create_response(body: BaseModel, status: int = 200) -> Response:
    return Response(
        body.model_dump_json(), status_code=status, media_type="application/json"
    )


def _create_failure_response(failure: Failure) -> Response:
    status = STATUS_BY_REASON.get(failure.reason, 500)
    return _create_response(ErrorBody.from_failure(failure), status)


def _create_refusal_response(refused: PatchRefused) -> Response:
    return _create_response(refused, STATUS_BY_REASON.get(refused.reason, 500))


def _read_number(request: Request, name: str, default: int) -> int | Failure:
    text = request.query_params.get(name, str(default))
    if text.isascii() and text.isdigit():
        return int(text)
    detail = f"{name} must be a whole number, not {text[:40]!r}"
    return Failure(Reason.INVALID, Step.BOUND, detail=detail)


def select_events(
    recorder: EventRecorder, event_filter: EventFilter, after: int, limit: int
) -> EventPage:
    """Return up to `limit` matching events, reading as much of the ring as needed.

    With pages of unfiltered events, a search for one request would take several calls
    to each process instead of one.
    """
    first = recorder.after(after, limit)
    found = event_filter.select(first.events)
    next_after = first.next_after
    while len(found) < limit and next_after < recorder.last_sequence:
        page = recorder.after(next_after, limit)
        found += event_filter.select(page.events)
        next_after = page.next_after
    if len(found) > limit:
        found = found[:limit]
        next_after = found[-1].sequence
    return EventPage(tuple(found), next_after, first.lost_count, first.oldest_s)


async def _read_patch(request: Request) -> PatchRequest | PatchRefused:
    body = bytearray()
    async for part in request.stream():
        body += part
        if len(body) > PATCH_BODY_MAX_BYTES:
            detail = f"the body is larger than {PATCH_BODY_MAX_BYTES} bytes"
            return PatchRefused(reason=Reason.INVALID, step=Step.BOUND, detail=detail)
    try:
        return PatchRequest.model_validate(parse_json(bytes(body)))
    except ValidationError as error:
        errors = tuple(
            PatchError(path=".".join(map(str, item["loc"])), message=item["msg"])
            for item in error.errors()
        )
        return PatchRefused(
            reason=Reason.INVALID, detail="not a patch request", errors=errors
        )
    except ValueError as error:
        return PatchRefused(reason=Reason.INVALID, detail=f"not JSON: {error}")


class AdminEndpoints:
    """HTTP endpoints of a daemon."""

    def __init__(self, sources: AdminSources) -> None:
        self._sources = sources

    async def get_status(self, request: Request) -> Response:
        """Return the state of this daemon."""
        return _create_response(self._sources.status.read_status())

    async def get_members(self, request: Request) -> Response:
        """Return the daemons known to this one."""
        return _create_response(
            MemberList(members=self._sources.members.list_members())
        )

    async def get_configuration(self, request: Request) -> Response:
        """Return the configuration document in use by this daemon."""
        document = self._sources.configuration.read_document()
        if document is None:
            return _create_failure_response(
                Failure(
                    Reason.NOT_READY,
                    Step.CONFIGURE,
                    detail="no configuration was learned yet; if there is none, "
                    "the first patch is made against number 0",
                )
            )
        return _create_response(document)

    async def get_version(self, request: Request) -> Response:
        """Return an earlier version of the document if it is still available."""
        version: int = request.path_params["version"]
        found = await self._sources.configuration.read_version(version)
        if isinstance(found, Failure):
            return _create_failure_response(found)
        if found is None:
            detail = f"version {version} is not kept"
            return _create_failure_response(
                Failure(Reason.NOT_FOUND, Step.CONFIGURE, detail=detail)
            )
        return _create_response(found)

    async def post_patch(self, request: Request) -> Response:
        """Apply a patch, and return its outcome."""
        patch = await _read_patch(request)
        if isinstance(patch, PatchRefused):
            return _create_refusal_response(patch)
        result = await self._sources.configuration.apply_patch(patch)
        recorder = self._sources.recorder
        description = (
            f"patch {patch.patch_id} by {patch.author or '?'}: {patch.summary}"
        )
        if isinstance(result, PatchRefused):
            detail = f"{description}: {result.reason.value}"
            recorder.record(
                EventKind.CONFIG_REFUSED, version=patch.base_version, detail=detail
            )
            return _create_refusal_response(result)
        recorder.record(EventKind.CONFIG_PATCHED, version=result, detail=description)
        return _create_response(PatchAccepted(version=result))

    async def get_events(self, request: Request) -> Response:
        """Return events after a sequence number that match the filters."""
        after = _read_number(request, "after", 0)
        limit = _read_number(request, "limit", EVENTS_PER_PAGE_MAX)
        if isinstance(after, Failure):
            return _create_failure_response(after)
        if isinstance(limit, Failure):
            return _create_failure_response(limit)
        recorder = self._sources.recorder
        parameters = request.query_params
        event_filter = EventFilter(
            parameters.get("request", ""),
            parameters.get("target", ""),
            parameters.get("version", ""),
        )
        limit = max(1, min(limit, EVENTS_PER_PAGE_MAX))
        page = select_events(recorder, event_filter, after, limit)
        return _create_response(
            EventPageBody(
                process=recorder.process,
                incarnation=recorder.incarnation,
                next_after=page.next_after,
                lost_count=page.lost_count,
                oldest_s=page.oldest_s,
                last_sequence=recorder.last_sequence,
                events=tuple(event_to_json(event) for event in page.events),
            )
        )

    async def get_metrics(self, request: Request) -> Response:
        """Return the metrics in the Prometheus text format."""
        return Response(self._sources.metrics.render(), media_type=METRICS_CONTENT_TYPE)


async def _handle_http_exception(request: Request, error: Exception) -> Response:
    """Return the common error body for an unknown path or method."""
    status = getattr(error, "status_code", 500)
    reason = Reason.NOT_FOUND if status == 404 else Reason.INVALID
    failure = Failure(reason, Step.BOUND, detail=getattr(error, "detail", ""))
    body: dict[str, Any] = ErrorBody.from_failure(failure).model_dump(mode="json")
    return JSONResponse(body, status)


def create_admin_app(sources: AdminSources) -> Starlette:
    """Create the application for paths below ``/admin`` and ``/metrics``."""
    endpoints = AdminEndpoints(sources)
    routes = [
        Route("/admin/status", endpoints.get_status),
        Route("/admin/members", endpoints.get_members),
        Route("/admin/configuration", endpoints.get_configuration),
        Route("/admin/configuration/versions/{version:int}", endpoints.get_version),
        Route("/admin/configuration/patches", endpoints.post_patch, methods=["POST"]),
        Route("/admin/events", endpoints.get_events),
        Route("/metrics", endpoints.get_metrics),
    ]
    handlers: dict[Any, Any] = {
        404: _handle_http_exception,
        405: _handle_http_exception,
    }
    return Starlette(routes=routes, exception_handlers=handlers)
