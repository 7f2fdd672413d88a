"""Plain HTTP/1.1 over asyncio streams, for callers and runners of the cases."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

__all__ = ["Answer", "HttpServer", "Received", "call", "encode_chunks", "read_answer"]

CHUNK_BYTES = 16 * 1024


@dataclass
class Received:
    """A request as it has arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the fields of the query."""
        text = self.target.partition("?")[2]
        pairs = (item.partition("=") for item in text.split("&") if item)
        return {name: value for name, _, value in pairs}


@dataclass
class Answer:
    """An answer, whole or not."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    error: str = ""


Handler = Callable[[Received], Awaitable[bytes | None]]


class HttpServer:
    """Passes requests to a handler, which returns the bytes of the answer.

    The connection ends where the handler returns None.
    """

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    def crash(self) -> None:
        """Reset all connections, and refuse new ones until the next start."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (received := await _read_request(reader, writer)) is not None:
                answer = await self._handler(received)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Received | None:
    head = await _read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await _read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Received(method, target, headers, body, writer)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    pieces = []
    while size := int(await _read_line(reader), 16):
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await _read_line(reader)
    return b"".join(pieces)


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    """Return a line; the end of the connection is none."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise asyncio.IncompleteReadError(line, None)
    return line.strip()


def encode_chunks(body: bytes) -> bytes:
    """Return a body in chunks."""
    pieces = (body[i : i + CHUNK_BYTES] for i in range(0, len(body), CHUNK_BYTES))
    encoded = [f"{len(piece):x}\r\n".encode() + piece + b"\r\n" for piece in pieces]
    return b"".join([*encoded, b"0\r\n\r\n"])


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer."""
    answer = Answer()
    head = await _read_head(reader)
    if head is None:
        answer.error = "closed before an answer"
        return answer
    first, answer.headers = head
    answer.status = int(first.split(" ")[1])
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        answer.body = await _read_chunks(reader)
    else:
        size = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(size)
    answer.is_whole = True
    return answer


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    is_chunked: bool = False,
    timeout_s: float = 20.0,
) -> Answer:
    """Send a request on a connection of its own, and return its answer."""
    fields = {"Connection": "close", **headers}
    if is_chunked:
        fields["Transfer-Encoding"] = "chunked"
    elif body or method == "POST":
        fields["Content-Length"] = str(len(body))
    head = f"{method} {target} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(head.encode("latin-1"))
                writer.write(encode_chunks(body) if is_chunked else body)
                await writer.drain()
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(error=repr(error))
