"""Stand-ins of runners with weights and of the origin of weights."""

import asyncio
import hashlib
import json
import random

from deployment import Record
from http1 import Received

__all__ = ["LAYERS", "Origin", "Runner"]

CHUNKS = 96
CHUNK_BYTES = 24576
LAYERS = 16
WARM_S = 0.3
SLOTS = 16
STREAM_EVENTS = 3


def _encode(status: str, body: bytes, content_type: str = "application/json") -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Origin:
    """Serves the manifest and the pieces of any version."""

    def __init__(self, model: str) -> None:
        self._model = model
        self._pieces: dict[tuple[int, int], bytes] = {}

    def piece(self, version: int, number: int) -> bytes:
        """Return a piece of a version."""
        key = (version, number)
        if key not in self._pieces:
            rng = random.Random(version * 1000 + number)
            self._pieces[key] = rng.randbytes(CHUNK_BYTES)
        return self._pieces[key]

    async def serve(self, received: Received) -> bytes:
        """Answer one call."""
        version = int(received.query["version"])
        if received.path.startswith("/api/piece/"):
            data = self.piece(version, int(received.query["num"]))
            return _encode("200 OK", data, "application/octet-stream")
        pieces = (self.piece(version, number) for number in range(CHUNKS))
        document = {
            "model": self._model,
            "version": version,
            "chunkBytes": CHUNK_BYTES,
            "layers": LAYERS,
            "digests": [hashlib.sha256(piece).hexdigest() for piece in pieces],
        }
        return _encode("200 OK", json.dumps(document).encode())


class Runner:
    """A runner that holds staged pieces, and loads them when it is ordered to."""

    def __init__(self, name: str, model: str, record: Record, origin: Origin) -> None:
        self.name = name
        self._model = model
        self._record = record
        self.version = 1
        self.seq = 0
        self._is_busy = False
        self._staged = {n: origin.piece(1, n) for n in range(CHUNKS)}
        self.runs: list[tuple[str, float, int]] = []
        """Request, begin and version of each run."""

    def describe(self) -> dict[str, object]:
        """Return what the runner says of itself wherever it names its weights."""
        layers = {"from": 0, "to": LAYERS, "version": self.version}
        return {
            "stage": "colocated",
            "models": [{"name": self._model, "version": self.version, "adapters": []}],
            "layers": None if self._is_busy else layers,
            "seq": self.seq,
            "born": 1,
        }

    async def serve(self, received: Received) -> bytes:
        """Answer one call."""
        path = received.path
        if path == "/api/report":
            state = {"busy": self._is_busy, "queued": 0, "running": 0, "handles": 0}
            state |= {"kvUsed": 0, "kvTotal": 317_000}
            return _encode("200 OK", json.dumps(state | self.describe()).encode())
        if path.startswith("/api/stage-put/"):
            self._staged[int(received.query["num"])] = received.body
            return _encode("200 OK", b"")
        if path.startswith("/api/stage-get/"):
            return self._read_staged(received.query.get("num"))
        if path == "/api/order":
            return self._accept_order(json.loads(received.body))
        return self._run(received)

    def _read_staged(self, number: str | None) -> bytes:
        if number is None:
            held = sorted(self._staged)
            return _encode("200 OK", json.dumps({"held": held}).encode())
        data = self._staged.get(int(number))
        if data is None:
            return _encode("404 Not Found", b"")
        return _encode("200 OK", data, "application/octet-stream")

    def _accept_order(self, order: dict[str, object]) -> bytes:
        if self._is_busy or order.get("expected", self.seq) != self.seq:
            return _encode("409 Conflict", b"{}")
        self.seq += 1
        self._is_busy = True
        version = int(str(order["version"]))
        self._record.write(f"{self.name}: is ordered to take version {version}")
        asyncio.get_running_loop().call_later(WARM_S, self._load, version)
        return _encode("202 Accepted", b"{}")

    def _load(self, version: int) -> None:
        self.version, self._is_busy = version, False
        self._record.write(f"{self.name}: has taken version {version}")

    def _run(self, received: Received) -> bytes:
        """Write a stream of a few events."""
        request_id = received.headers.get("request-id", "")
        expected = received.headers.get("expect-version")
        is_other = received.headers.get("expect-instance") != self.name
        if is_other or expected not in (None, str(self.version)):
            return _encode("421 Misdirected Request", b"")
        self.runs.append((request_id, self._record.now_s(), self.version))
        events = (f"id: {n}\ndata: x\n\n" for n in range(1, STREAM_EVENTS + 1))
        body = "".join(events).encode()
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Stamp: stamp\r\n"
            f"Weight-Versions: {self.version}\r\nRunner-Load: 1,0,{SLOTS}\r\n"
            f"Content-Type: text/event-stream\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body
