"""Answers of chosen bytes, and a server that ends its connections anywhere in them."""

import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

__all__ = [
    "HOST",
    "RawAnswer",
    "RawServer",
    "find_misjudged",
    "find_mixed",
    "list_cuts",
    "make_answers",
]

HOST = "127.0.0.1"
INTERIM = b"HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 \r\nLink: x\r\n\r\n"
BRIEF_FRAMINGS = frozenset({"length", "chunks", "unmarked"})
CALL_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """An answer as its server writes it."""

    name: str
    head: bytes
    body: bytes
    """With its framing."""
    is_delimited: bool = True
    """Whether a length or chunks tell where the body ends."""

    @property
    def data(self) -> bytes:
        """Return the whole answer."""
        return self.head + self.body

    def cuts(self) -> list[int]:
        """Return the places at which it is cut: each of its head, some of its body."""
        head_bytes, size_bytes = len(self.head), len(self.data)
        middle = (head_bytes + size_bytes) // 2
        of_body = {
            head_bytes,
            head_bytes + 1,
            middle,
            *range(size_bytes - 4, size_bytes),
        }
        places = {*range(head_bytes), *(of_body - {size_bytes})}
        # The whole answer comes twice, so that a brief check ends it either way.
        return [
            *sorted(place for place in places if place < size_bytes),
            *(2 * [size_bytes]),
        ]


def make_answers(
    fields: bytes, body: bytes, *, status: bytes = b"200 OK"
) -> list[RawAnswer]:
    """Return an answer in each framing; `fields` are whole header lines."""
    v1_0, v1_1 = (b"HTTP/%s %s\r\n" % (v, status) + fields for v in (b"1.0", b"1.1"))
    length = b"Content-Length: %d\r\n" % len(body)
    counted = v1_1 + length + b"\r\n"
    chunked = v1_1 + b"Transfer-Encoding: chunked\r\n\r\n"
    half = len(body) // 2
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(part), part)
        for part in (body[:half], body[half:])
        if part
    )
    answers = [
        RawAnswer("length", counted, body),
        RawAnswer(
            "length first", v1_1.replace(b"\r\n", b"\r\n" + length, 1) + b"\r\n", body
        ),
        RawAnswer("chunks", chunked, chunks + b"0\r\n\r\n"),
        RawAnswer("trailer", chunked, chunks + b"0\r\nX-Sum: 1\r\n\r\n"),
        RawAnswer("HTTP/1.0", v1_0 + length + b"\r\n", body),
        RawAnswer("interim", INTERIM + counted, body),
        RawAnswer("line feeds", counted.replace(b"\r\n", b"\n"), body),
        RawAnswer("line feed at the end", counted[:-2] + b"\n", body),
        RawAnswer("unmarked", v1_1 + b"\r\n", body, is_delimited=False),
        RawAnswer("unmarked HTTP/1.0", v1_0 + b"\r\n", body, is_delimited=False),
        RawAnswer("unmarked line feed", v1_1 + b"\n", body, is_delimited=False),
    ]
    return answers


@dataclass
class RawServer:
    """Answers the requests on each connection in turn, then ends the connection."""

    answers: list[bytes] = field(default_factory=list)
    is_reset: bool = False
    port: int = 0
    connections: int = 0
    requests: int = 0

    @property
    def url(self) -> str:
        """Return the server's address."""
        return f"http://{HOST}:{self.port}"

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                for answer in list(self.answers):
                    await _receive_request(stream)
                    self.requests += 1
                    if answer:
                        await stream.send(answer)
                if self.is_reset:
                    raw = stream.extra(SocketAttribute.raw_socket)
                    linger = struct.pack("ii", 1, 0)
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    @asynccontextmanager
    async def listen(self) -> AsyncIterator[None]:
        """Serve while the context is open."""
        listener = await anyio.create_tcp_listener(local_host=HOST)
        self.port = listener.extra(SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self.serve)
            yield
            tasks.cancel_scope.cancel()


async def _receive_request(stream: SocketStream) -> None:
    """Read a request to its end, so that closing the connection resets nothing."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [line.split(b":") for line in head.lower().split(b"\r\n")]
    left = sum(int(line[1]) for line in lines if line[0] == b"content-length")
    left -= len(body)
    while left > 0:
        left -= len(await stream.receive())


async def find_mixed(
    create: Callable[[str], Any],
    call: Callable[[Any], Awaitable[object]],
    answers: Sequence[RawAnswer],
    sound: object,
) -> list[tuple[object, ...]]:
    """Return the answers behind which a part of another one reaches the next call.

    On the same connection, that part would become the beginning of a failure.
    """
    seen: list[tuple[object, ...]] = []
    failed = make_answers(b"", b"no", status=b"500 Oops")[0].data
    late = answers[0].head + answers[0].body[::-1]
    for answer in (answer for answer in answers if answer.is_delimited):
        for cut in (1, len(answers[0].head) - 1, len(late) - 1, len(late)):
            server = RawServer([answer.data + late[:cut], failed])
            async with server.listen():
                client = create(server.url)
                results = [await call(client), await call(client)]
                await client.aclose()
            if results != [sound, sound] or server.requests > len(results):
                seen.append((answer.name, cut, results))
    return seen


def list_cuts(
    answers: Sequence[RawAnswer], *, is_brief: bool
) -> Iterator[tuple[RawAnswer, int, bool]]:
    """Yield answers, how many of their bytes come, and whether a reset follows.

    A brief list leaves out framings, and lets each part end either way in turn.
    """
    for answer in answers:
        if is_brief and answer.name not in BRIEF_FRAMINGS:
            continue
        for i, cut in enumerate(answer.cuts()):
            for is_reset in (bool(i % 2),) if is_brief else (False, True):
                yield answer, cut, is_reset


async def find_misjudged(
    server: RawServer,
    answers: Sequence[RawAnswer],
    call: Callable[[], Awaitable[object]],
    sound: object,
    *,
    unmarked: Callable[[bytes], object] = lambda body: None,
    takes_unmarked: bool = True,
    keeps_connections: bool = True,
    is_brief: bool = False,
    sent_max: int = 1,
) -> list[tuple[object, ...]]:
    """Return the parts of answers that `call` misjudges, and what it makes of them.

    `call` returns what it takes for whole, or None; `unmarked` returns what the first
    bytes of a body without a length count for.
    """
    seen: list[tuple[object, ...]] = []

    async def judge(part: bytes, expected: object, first: bytes) -> None:
        server.answers = [first, part] if first else [part]
        server.connections = server.requests = 0
        with anyio.fail_after(CALL_TIMEOUT_S):
            is_sound = not first or await call() == sound
            found = await call()
        sent = server.requests - bool(first)
        is_kept = not first or server.connections == 1
        if found != expected or not 1 <= sent <= sent_max or not (is_sound and is_kept):
            seen.append((part, server.is_reset, found, sent, is_sound, is_kept))

    for first in (b"", answers[0].data) if keeps_connections else (b"",):
        cuts = list_cuts(answers, is_brief=is_brief or bool(first))
        for answer, cut, server.is_reset in cuts:
            expected = None
            if answer.is_delimited or (takes_unmarked and not server.is_reset):
                if cut == len(answer.data):
                    expected = sound
                elif cut >= len(answer.head) and not answer.is_delimited:
                    expected = unmarked(answer.data[len(answer.head) : cut])
            await judge(answer.data[:cut], expected, first)
    return seen
