"""Tests of answers that end in the middle of their heads or bodies, at each client."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.lowlevel

from reedspar.admin.client import create_admin_client
from reedspar.admin.models import PatchAccepted, PatchRequest
from reedspar.errors import Failure
from reedspar.platform import (
    HttpPlainService,
    KeyValueEntry,
    LoadOrder,
    TargetRequest,
    create_http_instance_list,
    create_http_key_value_store,
    create_http_model_engine,
    create_http_plain_service,
    create_http_weight_source,
)

from .raw_answers import RawAnswer, RawServer, find_misjudged, find_mixed, make_answers

STREAM = b"Content-Type: text/event-stream\r\n"
BODY = b"a whole body\n\nof two parts"
EVENTS = b"id: 1\ndata: x1\n\ndata: [DONE]\n\n"
STATE = b'{"boot_id": "b", "in_flight": 1, "queued": 2, "loaded": {}}'
RECORD = b"""[{"name": "a", "role": "entry", "zone": "z", "region": "r",
    "host": "127.0.0.1", "port": 1, "http_port": 2}]"""
ORDER = LoadOrder("m", "root", ("d",), 1, "order-1")
SHOWN_MAX = 6
PATCH = PatchRequest(base_version=1, patch_id="p" * 32, patch={})


def confirm_by_head(body: bytes) -> list[None]:
    """Return the result of a call whose answer's head says everything."""
    return [None]


async def send(target: HttpPlainService) -> bytes | Failure:
    """Return the body of a target's answer, which may come on a kept connection."""
    request = TargetRequest("r", "POST", "/d", (), b"order", 3.0, is_idempotent=True)
    body = b""
    async with target.send(request) as response:
        if isinstance(response, Failure):
            return response
        async for piece in response.iterate():
            if isinstance(piece, Failure):
                return piece
            body += piece
    return body


async def get_value(store: Any) -> object:
    """Return an entry's value, None if there is none, or a failure."""
    entry = await store.get("k")
    return entry.value if isinstance(entry, KeyValueEntry) else entry


class CutAnswerTest(unittest.TestCase):
    def check_call(
        self,
        create: Callable[[str], Any],
        call: Callable[[Any], Awaitable[object]],
        answers: list[RawAnswer],
        sound: object,
        **options: Any,
    ) -> None:
        """Check a call of a client; any result but a failure counts."""

        async def run() -> list[tuple[object, ...]]:
            server = RawServer()
            async with server.listen():
                client = create(server.url)

                async def judge() -> object:
                    result = await call(client)
                    return None if isinstance(result, Failure) else [result]

                seen = await find_misjudged(server, answers, judge, [sound], **options)
                await getattr(client, "aclose", anyio.lowlevel.checkpoint)()
            return seen

        seen = anyio.run(run)
        self.assertEqual(seen[:SHOWN_MAX], [], f"{len(seen)} misjudged")

    def check_body(
        self,
        create: Callable[[str], HttpPlainService],
        fields: bytes,
        body: bytes,
        **options: Any,
    ) -> None:
        """Check requests to a target."""
        self.check_call(create, send, make_answers(fields, body), body, **options)

    def test_plain_service(self) -> None:
        # Guards against confirmations that are cut and count as whole.
        self.check_body(create_http_plain_service, b"", BODY, takes_unmarked=False)
        self.check_body(
            create_http_plain_service, b"", b"", takes_unmarked=False, is_brief=True
        )

    def test_engine(self) -> None:
        # Guards against completions that are cut and count as whole.
        create = create_http_model_engine
        self.check_body(create, b"", BODY, takes_unmarked=False, is_brief=True)

    def test_stream_of_an_engine(self) -> None:
        # Guards against streams that are cut and count as whole, and against refusing
        # one that ends with its marker and its connection.
        self.check_body(create_http_model_engine, STREAM, EVENTS)

    def test_calls_of_an_engine(self) -> None:
        # Guards against chunks and loads that count as confirmed by half an answer.
        create, answers = create_http_model_engine, make_answers(b"", STATE)
        calls: list[Callable[[Any], Awaitable[object]]] = [
            lambda engine: engine.stage_chunk("root", 0, b"chunk"),
            lambda engine: engine.load(ORDER),
            lambda engine: engine.cancel("r"),
        ]
        for call in calls:
            options = {"unmarked": confirm_by_head, "is_brief": True}
            self.check_call(create, call, answers, None, **options)

        async def read_boot_id(engine: Any) -> object:
            state = await engine.read_state()
            return state if isinstance(state, Failure) else state.boot_id

        self.check_call(create, read_boot_id, answers, "b")

    def test_reads_of_the_key_value_service(self) -> None:
        # Guards against entries that are cut, or missing in half an answer.
        async def watch(store: Any) -> object:
            entry = await store.watch("k", 1, 1.0)
            return entry.value if isinstance(entry, KeyValueEntry) else entry

        create = create_http_key_value_store
        found = make_answers(b"X-Revision: 12\r\n", BODY)
        self.check_call(create, get_value, found, BODY, takes_unmarked=False)
        self.check_call(create, watch, found, BODY, takes_unmarked=False, is_brief=True)
        absent = make_answers(b"", BODY, status=b"404 Not Found")
        self.check_call(
            create, get_value, absent, None, unmarked=confirm_by_head, is_brief=True
        )

    def test_writes_to_the_key_value_service(self) -> None:
        # Guards against writes that count as done, or are sent twice.
        answers = make_answers(b"", b'{"revision": 12, "lease": "id"}')
        calls: list[tuple[Callable[[Any], Awaitable[object]], object]] = [
            (lambda store: store.compare_and_swap("k", b"v", 1), 12),
            (lambda store: store.grant_lease(1.0), "id"),
            (lambda store: store.renew_lease("id"), None),
        ]
        for call, sound in calls:
            is_brief = sound != 12
            self.check_call(
                create_http_key_value_store, call, answers, sound, is_brief=is_brief
            )

    def test_instance_list(self) -> None:
        # Guards against a list that is cut: it would name no instances, or too few.
        async def count(instances: Any) -> object:
            records = await instances.fetch()
            return records if isinstance(records, Failure) else len(records)

        create = create_http_instance_list
        self.check_call(create, count, make_answers(b"", RECORD), 1)
        self.check_call(create, count, make_answers(b"", b"[]"), 0, is_brief=True)

    def test_reads_of_the_weight_source(self) -> None:
        # Guards against objects that are cut or seem to be missing.
        def read(source: Any) -> Awaitable[object]:
            return source.read("m", 0, 0)

        def has(source: Any) -> Awaitable[object]:
            return source.has("m")

        create = create_http_weight_source
        # Without a length only the digest, which the reader checks, tells of a cut.
        self.check_call(
            create, read, make_answers(b"", BODY), BODY, unmarked=lambda body: [body]
        )
        fields = b"Content-Range: bytes 0-%d/%d\r\n" % (len(BODY) - 1, len(BODY))
        partial = make_answers(fields, BODY, status=b"206 Partial Content")
        self.check_call(create, read, partial, BODY, is_brief=True)
        for status, sound in ((b"200 OK", True), (b"404 Not Found", False)):
            head = b"HTTP/1.1 " + status + b"\r\nContent-Length: 12\r\n\r\n"
            self.check_call(create, has, [RawAnswer("length", head, b"")], sound)

    def test_uploads_to_the_weight_source(self) -> None:
        # Guards against objects that count as stored by half an answer.
        self.check_call(
            create_http_weight_source,
            lambda source: source.put("m", b"data"),
            make_answers(b"", BODY),
            None,
            unmarked=confirm_by_head,
            is_brief=True,
        )

    def test_admin_client(self) -> None:
        # Guards against members that are missing in half an answer, and against patches
        # that count as accepted.
        def create(url: str) -> Any:
            client = create_admin_client([url])
            client._sleep = lambda delay_s: anyio.sleep(0)
            return client

        async def patch(client: Any) -> object:
            result = await client.apply_patch(PATCH)
            if isinstance(result, PatchAccepted):
                return result.version
            return Failure(result.reason, result.step)

        members = make_answers(b"", b'{"members": []}')
        self.check_call(create, lambda client: client.list_members(), members, ())
        accepted = make_answers(b"", b'{"version": 12}')
        self.check_call(
            create,
            patch,
            accepted,
            12,
            sent_max=6,
            is_brief=True,
            keeps_connections=False,
        )

    def test_bytes_behind_an_answer_reach_no_other_call(self) -> None:
        # Guards against reading what a server sends behind an answer as the next one,
        # or as the head of the next one if it stops in the middle.
        for create, call in (
            (create_http_plain_service, send),
            (create_http_key_value_store, get_value),
        ):
            answers = make_answers(b"X-Revision: 12\r\n", BODY)
            seen = anyio.run(find_mixed, create, call, answers, BODY)
            self.assertEqual(seen[:SHOWN_MAX], [], f"{len(seen)} misjudged")


if __name__ == "__main__":
    unittest.main()
