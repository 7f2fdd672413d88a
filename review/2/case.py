"""A stream that an entry accepts after its SIGTERM is cut while its runner works.

The entry gets SIGTERM; nothing else is disturbed.  A caller that has the entry's
address in its cache, or a channel to it, sends its stream 3.2 s later.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import GRACE_S, HOST, KEY, Runner, Site, read_head, run_case

SENT_AFTER_S = (0.5, 1.5, 3.1, 3.2, 3.3, 3.4)
"""Times of the requests after the SIGTERM."""
EXCUSED_UNTIL_S = 3.0
"""Up to here, one cut in the last sixth of the grace period is not counted."""
EVENT_COUNT = 20
EVENT_INTERVAL_S = 0.25
"""A stream takes 5 s, its caller and its route allow it 6 s."""
TIMEOUT_MS = 6000


async def write_stream(
    runner: Runner, headers: dict[str, str], writer: asyncio.StreamWriter
) -> None:
    """Answer with events, one after the other."""
    request_id = headers["request-id"]
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\nResponse-Stamp: stamp\r\n"
        + f"Request-Id: {request_id}\r\n\r\n".encode()
    )
    try:
        for number in range(1, EVENT_COUNT + 1):
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
    except OSError as error:
        runner.record.write(f"the run of {request_id} was cut at {number}: {error!r}")
        raise


async def call(site: Site, port: int, request_id: str) -> tuple[str, bool]:
    """Send a stream request; return its status and whether its answer was whole."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError as error:
        site.record.write(f"{request_id}: no channel: {error!r}")
        return "", False
    body = b"a prompt"
    writer.write(
        b"POST /draft/1 HTTP/1.1\r\nHost: shop.example\r\n"
        + f"Request-Id: {request_id}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n".encode()
        + f"Authorization: Bearer {KEY}\r\n".encode()
        + f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    site.record.write(f"{request_id} sent")
    sent_s = time.monotonic()
    status, received = "", b""
    try:
        first, _ = await read_head(reader)
        status = first.split()[1]
        while not received.endswith(b"0\r\n\r\n") and (
            piece := await reader.read(65536)
        ):
            received += piece
    except (OSError, asyncio.IncompleteReadError) as error:
        site.record.write(f"{request_id}: {error!r}")
    finally:
        writer.close()
    is_whole = received.endswith(b"0\r\n\r\n")
    events = received.count(b"data: token")
    site.record.write(
        f"{request_id}: status {status or 'none'}, {events} of {EVENT_COUNT} events, "
        f"{'whole' if is_whole else 'CUT'}, after {time.monotonic() - sent_s:.2f} s"
    )
    return status, is_whole


async def play(site: Site, is_troubled: bool) -> bool:
    """Return whether an accepted stream was lost that the rule does not excuse."""
    runner = Runner("i-1", site.record, write_stream)
    await runner.start()
    route = {
        "name": "draft",
        "prefix": "/draft/",
        "kind": "streaming",
        "service": "pool",
        "timeoutMs": TIMEOUT_MS,
        "maxAttempts": 2,
        "streamResume": True,
        "targetGapMs": 400,
    }
    site.write_config([route], {"pool": {}})
    site.register(runner, "pool")
    entry = site.add_entry()
    entry.start()
    await entry.wait_ready()
    await asyncio.sleep(4.0)
    if is_troubled:
        entry.send_signal(signal.SIGTERM)
        site.record.write(f"SIGTERM; SIGKILL would follow in {GRACE_S} s")
    start_s = time.monotonic()
    calls = []
    for after_s in SENT_AFTER_S:
        await asyncio.sleep(start_s + after_s - time.monotonic())
        name = f"r-{after_s}"
        calls.append(asyncio.create_task(call(site, entry.port, name)))
    results = await asyncio.gather(*calls)
    lost = [
        f"r-{after_s}"
        for after_s, (_, is_whole) in zip(SENT_AFTER_S, results, strict=True)
        if after_s > EXCUSED_UNTIL_S and f"r-{after_s}" in runner.ran and not is_whole
    ]
    site.record.write(f"read whole, passed on and lost: {lost}")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
