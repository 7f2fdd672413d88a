"""Runners work on for callers that have left a stream which may not be resumed.

A third of the callers close their channels 1.5 s after they have sent their request.
"""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import HOST, KEY, CannotRunError, Runner, Site, read_head, run_case

CALLS = 30
CALL_INTERVAL_S = 0.3
LEAVING_EVERY = 3
LEAVES_AFTER_S = 1.5
STOPPED_WITHIN_S = 0.5
WORKING_SHARE_MAX = 0.25
EVENT_COUNT = 20
EVENT_INTERVAL_S = 0.2
"""A stream takes 4 s, its caller and its route allow it 6 s."""
TIMEOUT_MS = 6000


class Engine:
    """What a runner does with streams; notes when its work on each one has ended."""

    def __init__(self) -> None:
        self.ended_s: dict[str, float] = {}

    async def write_stream(
        self, runner: Runner, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Answer with events until the channel closes, as most runners do."""
        request_id = headers["request-id"]
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nResponse-Stamp: stamp\r\n"
            + f"Request-Id: {request_id}\r\n\r\n".encode()
        )
        how = "is cut"
        try:
            for number in range(1, EVENT_COUNT + 1):
                event = f"id: {number}\ndata: token\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
                if writer.transport.is_closing():
                    return
            writer.write(b"0\r\n\r\n")
            how = "is done"
        finally:
            self.ended_s[request_id] = time.monotonic()
            runner.record.write(f"the run of {request_id} {how}")


async def call(site: Site, port: int, request_id: str, *, leaves: bool) -> float | None:
    """Send a stream request; return when its caller has left, None if it stays."""
    reader, writer = await asyncio.open_connection(HOST, port)
    body = b"a prompt"
    writer.write(
        b"POST /draft/1 HTTP/1.1\r\nHost: shop.example\r\n"
        + f"Request-Id: {request_id}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n".encode()
        + f"Authorization: Bearer {KEY}\r\n".encode()
        + f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    received = b""
    try:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVES_AFTER_S if leaves else 8.0):
                await read_head(reader)
                while not received.endswith(b"0\r\n\r\n") and (
                    piece := await reader.read(65536)
                ):
                    received += piece
    finally:
        writer.close()
    events = received.count(b"data: token")
    site.record.write(f"{request_id}: {events} events, {'LEAVES' if leaves else 'end'}")
    return time.monotonic() if leaves else None


async def play(site: Site, is_troubled: bool) -> bool:
    """Return whether runners work on for too many of the callers that have left."""
    engine = Engine()
    runners = [Runner(f"i-{n}", site.record, engine.write_stream) for n in (1, 2)]
    route = {
        "name": "draft",
        "prefix": "/draft/",
        "kind": "streaming",
        "service": "pool",
        "timeoutMs": TIMEOUT_MS,
        "maxAttempts": 2,
        "targetGapMs": 400,
    }
    site.write_config([route], {"pool": {}})
    for runner in runners:
        await runner.start()
        site.register(runner, "pool")
    entry = site.add_entry()
    entry.start()
    await entry.wait_ready()
    await asyncio.sleep(4.0)
    calls = {}
    for number in range(CALLS):
        leaves = is_troubled and number % LEAVING_EVERY == 0
        task = asyncio.create_task(call(site, entry.port, f"r-{number}", leaves=leaves))
        calls[f"r-{number}"] = task
        await asyncio.sleep(CALL_INTERVAL_S)
    left_s = {name: await task for name, task in calls.items()}
    await asyncio.sleep(6.0)
    ran = {request_id for runner in runners for request_id in runner.ran}
    if ran != set(calls):
        raise CannotRunError(f"not all requests ran: {sorted(set(calls) - ran)}")
    left = {name: at_s for name, at_s in left_s.items() if at_s is not None}
    working = [
        name
        for name, at_s in left.items()
        if engine.ended_s[name] - at_s > STOPPED_WITHIN_S
    ]
    site.record.write(f"{len(left)} callers left; runners worked on for {working}")
    return len(working) > WORKING_SHARE_MAX * len(left)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
