"""An entry of another writer below `servers/` ends every entry process.

Its `addr` is no address of a server: its port is none.  A runner is registered beside
it and serves.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import HOST, KEY, Runner, Site, read_head, run_case

CALLS = 60
CALL_INTERVAL_S = 0.1
FOREIGN_ADDRESS = "127.0.0.1:80070"
BODY = b"found"


async def answer(
    runner: Runner, headers: dict[str, str], writer: asyncio.StreamWriter
) -> None:
    """Answer a request at once."""
    writer.write(
        b"HTTP/1.1 200 OK\r\nResponse-Stamp: stamp\r\n"
        + f"Request-Id: {headers['request-id']}\r\n".encode()
        + f"Content-Length: {len(BODY)}\r\n\r\n".encode()
        + BODY
    )


async def call(site: Site, port: int, request_id: str) -> str:
    """Send an idempotent request on a new channel; return its status."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError as error:
        site.record.write(f"{request_id}: no channel: {error!r}")
        return "no channel"
    writer.write(
        b"GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n"
        + f"Request-Id: {request_id}\r\nDeadline-Ms: 1500\r\n".encode()
        + f"Authorization: Bearer {KEY}\r\n\r\n".encode()
    )
    status = "closed without an answer"
    try:
        async with asyncio.timeout(2.0):
            first, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", "0")))
            status = first.split()[1]
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        site.record.write(f"{request_id}: {error!r}")
    finally:
        writer.close()
    site.record.write(f"{request_id}: {status}")
    return status


async def play(site: Site, is_troubled: bool) -> bool:
    """Return whether an entry process has ended by itself."""
    runner = Runner("i-1", site.record, answer)
    await runner.start()
    route = {
        "name": "stock",
        "prefix": "/stock/",
        "kind": "idempotent",
        "service": "desk",
        "timeoutMs": 1500,
        "maxAttempts": 2,
    }
    site.write_config([route], {"desk": {}})
    site.register(runner, "desk")
    entries = [site.add_entry(), site.add_entry()]
    for entry in entries:
        entry.start()
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(4.0)
    if is_troubled:
        document = runner.describe("desk") | {"addr": FOREIGN_ADDRESS}
        site.store.put("servers/x-1", json.dumps(document).encode())
        site.record.write(f"servers/x-1 is written: {document}")
    start_s = time.monotonic()
    for number in range(CALLS):
        entry = entries[number % len(entries)]
        await call(site, entry.port, f"r-{number}")
        await asyncio.sleep(start_s + number * CALL_INTERVAL_S - time.monotonic())
    codes = [entry.exit_code() for entry in entries]
    site.record.write(f"exit codes of the entries (None: still running): {codes}")
    return any(code is not None for code in codes)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
