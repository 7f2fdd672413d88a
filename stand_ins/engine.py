"""Simulated model engine: cold start, batching, prefix cache, lagged reports, loads."""

import argparse
import json
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import asdict

import anyio
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from reedspar.platform import LoadOrder

from .engine_batch import Job, JobEnd, create_job
from .engine_model import EngineModel
from .engine_settings import EngineControl, EngineOptions
from .engine_weights import LoadOutcome
from .faults import ResponseGate, read_control, refuse
from .serving import (
    TruncatableStream,
    TruncatedResponse,
    add_port_argument,
    serve_ports,
    wait_for_disconnect,
)

__all__ = ["Engine", "create_app"]

LOAD_STATUS = {
    LoadOutcome.DONE: 204,
    LoadOutcome.FENCED: 409,
    LoadOutcome.MISSING: 422,
    LoadOutcome.LOST: 500,
}
_LOAD_ORDER = TypeAdapter(LoadOrder)


class CompletionRequest(BaseModel):
    """Fields of a completion request that the engine uses."""

    model_config = ConfigDict(extra="ignore")

    model: str
    prompt: str
    max_tokens: int = Field(16, ge=1, le=100_000)
    stream: bool = False


class Engine:
    """HTTP interface of an engine."""

    def __init__(self, options: EngineOptions) -> None:
        self._model = EngineModel(options)
        self._response_gate = ResponseGate()

    def make_routes(self) -> list[Route]:
        """Return the routes of the engine and its control interface."""
        return [
            Route("/v1/completions", self._complete, methods=["POST"]),
            Route("/v1/cancel/{request_id:path}", self._cancel, methods=["POST"]),
            Route("/state", self._state, methods=["GET"]),
            Route("/events", self._events, methods=["GET"]),
            Route("/stage/{root}/{index:int}", self._stage, methods=["POST"]),
            Route("/stage/{root}", self._drop, methods=["DELETE"]),
            Route("/load", self._handle_load_order, methods=["POST"]),
            Route("/control/settings", self._set_control, methods=["PUT"]),
            Route("/control/cold", self._force_cold_start, methods=["POST"]),
            Route("/control/crash", self._crash_now, methods=["POST"]),
            Route("/control/counts", self._describe, methods=["GET"]),
            Route("/control/ready", self._describe, methods=["GET"]),
            Route("/control/trace", self._trace, methods=["GET"]),
        ]

    @asynccontextmanager
    async def lifespan(self, app: Starlette) -> AsyncIterator[None]:
        """Run the batch while the server runs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._model.batch.run)
            yield
            tasks.cancel_scope.cancel()

    async def _refuse_if_down(self) -> Response | None:
        await self._response_gate.wait()
        return refuse("restarting") if self._model.is_down else None

    async def _complete(self, request: Request) -> Response:
        body = await request.body()
        refusal = await self._refuse_if_down()
        if refusal is not None:
            return refusal
        try:
            completion = CompletionRequest.model_validate_json(body)
        except ValidationError as error:
            return JSONResponse({"error": str(error)}, status_code=400)
        digest = self._model.get_digest(completion.model)
        if not digest:
            self._model.counts["model_not_loaded"] += 1
            error_text = f"model {completion.model} is not loaded"
            return JSONResponse({"error": error_text}, status_code=404)
        job = create_job(
            request.headers.get("x-request-id") or uuid.uuid4().hex,
            completion.prompt,
            completion.model,
            completion.max_tokens,
            int(request.headers.get("x-priority", "0")),
        )
        self._model.submit(job)
        headers = {"x-weights-digest": digest}
        if completion.stream:
            pieces = self._stream(job)
            return TruncatableStream(pieces, headers, "text/event-stream")
        return await self._collect_answer(job, request, headers)

    async def _collect_answer(
        self, job: Job, request: Request, headers: dict[str, str]
    ) -> Response:
        """Return the response with the full text once all tokens are generated."""
        text = ""
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                await wait_for_disconnect(request.receive)
                self._model.batch.cancel(job)

            tasks.start_soon(watch)
            async with job.receiver:
                async for token in job.receiver:
                    text += token
            tasks.cancel_scope.cancel()
        await self._response_gate.wait()
        if job.end is not JobEnd.COMPLETED:
            return TruncatedResponse()
        return JSONResponse(make_answer(job, text, "length"), headers=headers)

    async def _stream(self, job: Job) -> AsyncIterator[bytes | None]:
        try:
            async for token in job.receiver:
                await self._response_gate.wait()
                yield make_event(make_answer(job, token, None))
            if job.end is not JobEnd.COMPLETED:
                yield None
                return
            yield make_event(make_answer(job, "", "length"))
            yield b"data: [DONE]\n\n"
        finally:
            self._model.batch.cancel(job)
            job.receiver.close()

    async def _cancel(self, request: Request) -> Response:
        refusal = await self._refuse_if_down()
        if refusal is not None:
            return refusal
        if not self._model.cancel(request.path_params["request_id"]):
            return JSONResponse({"error": "no such request"}, status_code=404)
        return Response(status_code=204)

    async def _state(self, request: Request) -> Response:
        refusal = await self._refuse_if_down()
        if refusal is not None:
            return refusal
        return JSONResponse(asdict(self._model.read_state()))

    async def _events(self, request: Request) -> Response:
        refusal = await self._refuse_if_down()
        if refusal is not None:
            return refusal
        after = int(request.query_params.get("after", "0"))
        events = self._model.cache.events_after(after)
        body = [
            {"sequence": e.sequence, "kind": e.kind, "block": e.block} for e in events
        ]
        return JSONResponse({"boot_id": self._model.boot_id, "events": body})

    async def _stage(self, request: Request) -> Response:
        data = await request.body()
        refusal = await self._refuse_if_down()
        if refusal is not None:
            return refusal
        params = request.path_params
        self._model.weights.stage(params["root"], params["index"], data)
        self._model.counts["staged_bytes"] += len(data)
        return Response(status_code=204)

    async def _drop(self, request: Request) -> Response:
        refusal = await self._refuse_if_down()
        if refusal is not None:
            return refusal
        self._model.weights.drop(request.path_params["root"])
        return Response(status_code=204)

    async def _handle_load_order(self, request: Request) -> Response:
        body = await request.body()
        refusal = await self._refuse_if_down()
        if refusal is not None:
            return refusal
        try:
            order = _LOAD_ORDER.validate_json(body)
        except ValidationError as error:
            return JSONResponse({"error": str(error)}, status_code=400)
        outcome = await self._model.weights.load(order, self._model.cache.clear)
        status = LOAD_STATUS[outcome]
        if status < 400:
            return Response(status_code=status)
        error_text = f"{outcome}; highest seen {self._model.weights.fencing_number}"
        return JSONResponse({"error": error_text}, status_code=status)

    async def _set_control(self, request: Request) -> Response:
        control = await read_control(request, EngineControl.model_validate_json)
        if isinstance(control, Response):
            return control
        self._model.batch.control = control
        self._response_gate.set(is_blocked=control.silent)
        return Response(status_code=204)

    async def _force_cold_start(self, request: Request) -> Response:
        self._model.force_cold_start()
        return Response(status_code=204)

    async def _crash_now(self, request: Request) -> Response:
        self._model.crash()
        return Response(status_code=204)

    async def _describe(self, request: Request) -> Response:
        return JSONResponse(
            {
                "boot_id": self._model.boot_id,
                "is_cold": self._model.is_cold,
                "in_flight": self._model.batch.in_flight,
                "counts": dict(self._model.counts),
                "loaded": self._model.weights.loaded,
                "loads": [asdict(record) for record in self._model.weights.records],
            }
        )

    async def _trace(self, request: Request) -> Response:
        after = int(request.query_params.get("after", "0"))
        jobs = [job.describe() for job in self._model.batch.trace if job.order > after]
        return JSONResponse(jobs)


def make_answer(job: Job, text: str, finish_reason: str | None) -> dict[str, object]:
    """Return the body of an answer, or of one event of a streamed answer."""
    choice = {"index": 0, "text": text, "finish_reason": finish_reason}
    return {
        "id": job.request_id,
        "object": "text_completion",
        "model": job.model,
        "choices": [choice],
    }


def make_event(answer: dict[str, object]) -> bytes:
    """Return the answer encoded as a server-sent event."""
    return b"data: " + json.dumps(answer, separators=(",", ":")).encode() + b"\n\n"


def create_app(options: EngineOptions | None = None) -> Starlette:
    """Create the ASGI app."""
    engine = Engine(options or EngineOptions.model_validate({}))
    return Starlette(routes=engine.make_routes(), lifespan=engine.lifespan)


def main() -> None:
    """Run the server."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_port_argument(parser)
    for name, field in EngineOptions.model_fields.items():
        option = f"--{name.replace('_', '-')}"
        if field.annotation is bool:
            parser.add_argument(option, action="store_true", help=field.description)
        else:
            parser.add_argument(option, default=field.default, help=field.description)
    values = vars(parser.parse_args())
    ports = values.pop("port")
    options = EngineOptions.model_validate(values)
    serve_ports(lambda port: create_app(options), ports)


if __name__ == "__main__":
    main()
