"""What the cases with one entry and runners of orders share."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from deployment import HOST, Daemon, Deployment, Record, find_ports
from http1 import Answer, Handler, HttpServer, call

__all__ = [
    "CALLER_HOST",
    "IS_TROUBLED",
    "KEY",
    "LIMITS",
    "TENANTS",
    "EntryCase",
    "run_case",
]

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
KEY = "shop-key"
CALLER_HOST = "orders.example"
SERVICE = "orders"
EXIT_BROKEN = 11
"""Exit code of a broken rule, for which `run.sh` exits with 1.

An interpreter that can't import a module exits with 1 as well."""
START_TIMEOUT_S = 20.0
SETTLE_S = 1.0
"""Time from the entry's readiness until the first request."""
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4 * 1024 * 1024,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ROUTE = {
    "name": "orders",
    "host": CALLER_HOST,
    "prefix": "/orders/",
    "kind": "non_idempotent",
    "timeoutMs": 1500,
    "targetLatencyMs": 130,
    "priority": 2,
    "service": SERVICE,
    "maxAttempts": 2,
}
TENANTS = [{"name": "shop", "apiKeys": [KEY]}]


class EntryCase:
    """A store, an entry and runners of orders."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record)
        self.entry: Daemon | None = None
        self.port = 0
        """The entry's port for callers."""

    async def play(self) -> int:
        """Play the case; return the exit code."""
        raise NotImplementedError

    def configure(
        self,
        *,
        tenants: list[dict[str, Any]] | None = None,
        limits: dict[str, int] | None = None,
        timeout_ms: int = 1500,
    ) -> None:
        """Write a version of the configuration."""
        tenants = TENANTS if tenants is None else tenants
        limits = LIMITS | (limits or {})
        self.deployment.write_config(
            routes=[ROUTE | {"timeoutMs": timeout_ms}],
            services=[{"name": SERVICE, "maxConns": 110}],
            limits=limits,
            tenants=tenants,
        )
        self.record.write(f"  with the limits {limits} and the tenants {tenants}")

    async def add_runner(self, name: str, serve: Handler) -> None:
        """Start a runner and register it."""
        (port,) = find_ports(1)
        await HttpServer(HOST, port, serve).start()
        entry = {
            "service": SERVICE,
            "addr": f"{HOST}:{port}",
            "zone": "zone-a",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "born": 1,
            "seq": 0,
        }
        self.deployment.store.put(f"servers/{name}", json.dumps(entry).encode())

    async def start_entry(self) -> bool:
        """Start the entry; return whether it became ready."""
        self.entry, self.port, ready_port = self.deployment.add_entry(HOST)
        self.entry.start()
        for _ in range(int(START_TIMEOUT_S / 0.2)):
            answer = await call(HOST, ready_port, "GET", "/api/ready", {"Host": "x"})
            if answer.status == 200:
                await asyncio.sleep(SETTLE_S)
                return True
            await asyncio.sleep(0.2)
        self.record.write("the entry did not become ready")
        return False

    async def order(
        self,
        request_id: str,
        body: bytes,
        *,
        key: str = KEY,
        deadline_ms: int = 1580,
        is_chunked: bool = False,
    ) -> Answer:
        """Send an order on a connection of its own."""
        headers = {
            "Host": CALLER_HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {key}",
        }
        self.record.write(f"caller: sends {request_id} with {key}, {len(body)} bytes")
        answer = await call(
            HOST, self.port, "POST", "/orders/new", headers, body, is_chunked=is_chunked
        )
        text = answer.error or answer.body[:60].decode("latin-1")
        self.record.write(f"caller: {request_id} gets {answer.status} {text!r}")
        return answer


async def _run(case_type: type[EntryCase], folder: Path) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    record = Record(folder / "record.txt")
    case = case_type(record)
    try:
        await case.deployment.start_store()
        code = await case.play()
    finally:
        await case.deployment.close()
    record.write(f"exit code {code}")
    record.close()
    return code


def run_case(case_type: type[EntryCase], file: str) -> None:
    """Play a case, end what it started, and exit with its code."""
    try:
        code = asyncio.run(_run(case_type, Path(file).parent))
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(EXIT_BROKEN if code == 1 else code)
