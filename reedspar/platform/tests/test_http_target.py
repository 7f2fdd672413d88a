"""Tests of the adapters of model engines and plain services."""

import asyncio
import hashlib
import json
import unittest

import anyio
import httpx
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from reedspar.errors import Failure, Reason
from reedspar.platform import (
    EngineState,
    HttpModelEngine,
    LoadOrder,
    Target,
    TargetRequest,
    create_http_model_engine,
    create_http_plain_service,
)
from stand_ins import engine, plain_service
from stand_ins.engine_settings import EngineOptions
from stand_ins.generation import expect_text, make_root_digest
from stand_ins.serving import open_server

CHUNKS = (b"first", b"second")
DIGESTS = tuple(hashlib.sha256(chunk).hexdigest() for chunk in CHUNKS)
ROOT = make_root_digest(DIGESTS)


def make_options(**changes: object) -> EngineOptions:
    fast = {"token_s": 0.002, "load_s": 0.01, "cold_completions": 0}
    return EngineOptions.model_validate({**fast, **changes})


def make_completion(
    request_id: str, *, stream: bool = False, tokens: int = 8, prompt: str = "oak"
) -> TargetRequest:
    body = {
        "model": "m",
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
    }
    headers = (("content-type", "application/json"), ("connection", "close"))
    data = json.dumps(body).encode()
    path = "/v1/completions"
    return TargetRequest(request_id, "POST", path, headers, data, 10.0)


def make_order(number: int) -> LoadOrder:
    return LoadOrder("m", ROOT, DIGESTS, number, f"order-{number}")


async def load_weights(adapter: HttpModelEngine, number: int = 1) -> None:
    for index, chunk in enumerate(CHUNKS):
        assert await adapter.stage_chunk(ROOT, index, chunk) is None
    failure = await adapter.load(make_order(number))
    assert failure is None, failure


async def exchange(
    target: Target, request: TargetRequest
) -> tuple[int, str, bytes, Failure | None]:
    """Return status, weights digest, body and the failure of an incomplete body."""
    async with target.send(request) as response:
        if isinstance(response, Failure):
            return 0, "", b"", response
        body = b""
        async for piece in response.iterate():
            if isinstance(piece, Failure):
                return response.status, response.weights_digest, body, piece
            body += piece
        return response.status, response.weights_digest, body, None


async def serve_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer one request, and close the connection as idle when the next one comes."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone")
    await reader.read(1)
    writer.close()


def read_stream(body: bytes) -> str:
    events = [line[6:] for line in body.split(b"\n\n") if line]
    return "".join(json.loads(e)["choices"][0]["text"] for e in events[:-1])


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_are_determined_by_prompt_and_weights(self) -> None:
        async with open_server(engine.create_app(make_options())) as url:
            adapter = create_http_model_engine(url)
            await load_weights(adapter)
            status, digest, body, body_failure = await exchange(
                adapter, make_completion("r1")
            )
            self.assertEqual((status, digest, body_failure), (200, ROOT, None))
            text = json.loads(body)["choices"][0]["text"]
            self.assertEqual(text, expect_text("oak", ROOT, 8))
            _, digest, body, body_failure = await exchange(
                adapter, make_completion("r2", stream=True)
            )
            self.assertEqual((digest, body_failure), (ROOT, None))
            self.assertTrue(body.endswith(b"data: [DONE]\n\n"))
            self.assertEqual(read_stream(body), expect_text("oak", ROOT, 8))
            state = await adapter.read_state()
            assert isinstance(state, EngineState)
            self.assertEqual(state.loaded, {"m": ROOT})
            await adapter.aclose()

    async def test_old_fencing_number_is_refused(self) -> None:
        # Guards against serving old weights: an agent resumes after a pause and
        # orders the version that its successor has replaced.
        async with open_server(engine.create_app(make_options())) as url:
            adapter = create_http_model_engine(url)
            await load_weights(adapter, number=5)
            for index, chunk in enumerate(CHUNKS):
                await adapter.stage_chunk(ROOT, index, chunk)
            failure = await adapter.load(make_order(4))
            assert failure is not None
            self.assertIs(failure.reason, Reason.FENCED)
            await adapter.aclose()

    async def test_missing_chunks_are_not_loaded(self) -> None:
        async with open_server(engine.create_app(make_options())) as url:
            adapter = create_http_model_engine(url)
            await adapter.stage_chunk(ROOT, 1, CHUNKS[1])
            failure = await adapter.load(make_order(1))
            assert failure is not None
            self.assertIs(failure.reason, Reason.INVALID)
            await adapter.aclose()

    async def test_stream_of_a_crashed_engine_is_incomplete(self) -> None:
        # Guards against treating a partial answer as complete when the engine
        # crashes and its connection closes.
        options = make_options(token_s=0.02)
        async with open_server(engine.create_app(options)) as url:
            adapter = create_http_model_engine(url)
            await load_weights(adapter)
            async with adapter.send(
                make_completion("r", stream=True, tokens=500)
            ) as response:
                assert not isinstance(response, Failure)
                pieces = response.iterate()
                self.assertIsInstance(await anext(pieces), bytes)
                async with httpx.AsyncClient(trust_env=False) as client:
                    await client.post(f"{url}/control/crash")
                rest = [piece async for piece in pieces]
            assert isinstance(rest[-1], Failure)
            self.assertIs(rest[-1].reason, Reason.OUTCOME_UNKNOWN)
            await adapter.aclose()

    async def test_cancelled_request_leaves_the_batch(self) -> None:
        options = make_options(token_s=0.02, load_lag_s=0.0)
        async with open_server(engine.create_app(options)) as url:
            adapter = create_http_model_engine(url)
            await load_weights(adapter)
            async with adapter.send(
                make_completion("r", stream=True, tokens=500)
            ) as response:
                assert not isinstance(response, Failure)
                pieces = response.iterate()
                await anext(pieces)
                self.assertIsNone(await adapter.cancel("r"))
                rest = [piece async for piece in pieces]
            self.assertIsInstance(rest[-1], Failure)
            state = await adapter.read_state()
            assert isinstance(state, EngineState)
            self.assertEqual(state.in_flight, 0)
            await adapter.aclose()

    async def test_overload_in_cold_start_crashes_the_engine(self) -> None:
        options = make_options(
            cold_completions=100, cold_s=60, cold_limit=1, crash_limit=2, token_s=0.05
        )
        async with open_server(engine.create_app(options)) as url:
            adapter = create_http_model_engine(url)
            await load_weights(adapter)
            body_failures: list[Failure | None] = []

            async def run(request_id: str) -> None:
                request = make_completion(request_id, tokens=200)
                result = await exchange(adapter, request)
                body_failures.append(result[3])

            async with anyio.create_task_group() as tasks:
                for i in range(3):
                    tasks.start_soon(run, f"r{i}")
            self.assertTrue(
                all(isinstance(failure, Failure) for failure in body_failures)
            )
            await adapter.aclose()


class PlainServiceTest(unittest.IsolatedAsyncioTestCase):
    async def test_answer_lost_after_the_run_has_unknown_outcome(self) -> None:
        # Guards against booking a deposit twice: the service books it and crashes
        # before it responds, so the request must not count as not run.
        async with open_server(plain_service.create_app()) as url:
            adapter = create_http_plain_service(url)
            headers = (("Idempotency-Key", "order-7"),)
            request = TargetRequest("r1", "POST", "/deposits", headers, b"{}", 5.0)
            async with httpx.AsyncClient(trust_env=False, base_url=url) as client:
                settings = {"crash_next": 1, "restart_s": 0}
                await client.put("/control/settings", json=settings)
                *_, body_failure = await exchange(adapter, request)
                assert body_failure is not None
                self.assertIs(body_failure.reason, Reason.OUTCOME_UNKNOWN)
                status, _, body, body_failure = await exchange(adapter, request)
                self.assertEqual((status, body_failure), (200, None))
                self.assertEqual(json.loads(body)["run"], 2)
                runs = (await client.get("/control/runs")).json()
            self.assertEqual(runs["order-7"]["count"], 2)
            self.assertEqual(runs["order-7"]["answered"], 1)
            await adapter.aclose()

    async def test_answer_of_an_abandoned_request_reaches_no_other_caller(self) -> None:
        # Guards against sending one shop's confirmation to another: a caller stops
        # waiting, and the service responds late on a connection kept for reuse.
        async with open_server(plain_service.create_app()) as url:
            adapter = create_http_plain_service(url)
            async with httpx.AsyncClient(trust_env=False, base_url=url) as client:
                await client.put("/control/settings", json={"latency_s": 0.1})
                for number in range(4):
                    key = f"order-{number}"
                    headers = (("idempotency-key", key),)
                    timeout_s = 5.0 if number % 2 else 0.05
                    request = TargetRequest(key, "POST", "/d", headers, b"", timeout_s)
                    _, _, body, body_failure = await exchange(adapter, request)
                    if number % 2:
                        self.assertIsNone(body_failure)
                        self.assertEqual(json.loads(body)["order_key"], key)
                    else:
                        self.assertIsInstance(body_failure, Failure)
            await adapter.aclose()

    async def test_cookie_is_not_sent_for_another_caller(self) -> None:
        # Guards against booking one shop's order on another: the agent must not
        # store a cookie of the service and send it with the next shop's order.
        async def greet(request: Request) -> Response:
            response = PlainTextResponse(request.headers.get("cookie", "none"))
            response.set_cookie("shop", "first")
            return response

        app = Starlette(routes=[Route("/d", greet)])
        async with open_server(app) as url:
            adapter = create_http_plain_service(url)
            for _ in range(2):
                request = TargetRequest("r", "GET", "/d", (), b"", 5.0)
                _, _, body, _ = await exchange(adapter, request)
                self.assertEqual(body, b"none")
            await adapter.aclose()

    async def test_timeout_of_a_silent_service_has_unknown_outcome(self) -> None:
        async with open_server(plain_service.create_app()) as url:
            adapter = create_http_plain_service(url)
            async with httpx.AsyncClient(trust_env=False, base_url=url) as client:
                await client.put("/control/settings", json={"silent": True})
                request = TargetRequest("r1", "POST", "/d", (), b"", 0.1)
                *_, body_failure = await exchange(adapter, request)
                await client.put("/control/settings", json={})
            assert body_failure is not None
            self.assertIs(body_failure.reason, Reason.OUTCOME_UNKNOWN)
            await adapter.aclose()

    async def test_order_does_not_cross_the_close_of_an_idle_connection(self) -> None:
        # Guards against orders whose outcome is unknown though they have not run: the
        # target closes a connection as idle while an order is on its way there.
        server = await asyncio.start_server(serve_once, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        target = create_http_plain_service(f"http://127.0.0.1:{port}")
        for number in range(6):
            is_order = number % 2 == 1
            request = TargetRequest(
                *(f"r{number}", "POST" if is_order else "GET", "/d", (), b"", 5.0),
                is_idempotent=not is_order,
            )
            status, _, body, failure = await exchange(target, request)
            if is_order:
                self.assertEqual((status, body, failure), (200, b"done", None))
        await target.aclose()
        server.close()
        await anyio.wait_all_tasks_blocked()
