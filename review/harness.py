"""Real entries on loopback, with stand-ins of the store, of runners and of callers.

The store is the project's own stand-in; runners and callers are written here, on plain
sockets, so that each byte and each moment is known.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target/deps"), str(ROOT / "platform"), str(ROOT)]

import anyio  # noqa: E402
from starlette.types import ASGIApp  # noqa: E402

from reedspar.daemon.http_server import PortDispatcher, serve_http  # noqa: E402
from site_adapter.tests.stand_in_store import StandInStore  # noqa: E402

HOST = "127.0.0.1"
KEY = "review-key"
GRACE_S = 8
READY_TIMEOUT_S = 20.0
HEAD_END = b"\r\n\r\n"
SETTINGS = """
role = "entry"
name = "{name}"
host = "{host}"
zone = "kingston-a"
region = "kingston"
store = "{store}"
link_mbps = 1000.0

[zones]
"kingston-a" = "kingston"

[listen]
callers = "{host}:{callers}"
ready = "{host}:{ready}"
directory = "{host}:{directory}"
peers_port = {peers}
metrics_port = {metrics}

[limits]
memory_mb = "300"
cpu_share = "0.537"
cores = "2"
descriptors = "4100"

[bounds]
drain_ms = 2000
grace_ms = {grace_s}000
version_ms = 8000
retry_share = 0.2
retry_slack = 106
retry_window_ms = 10000
"""


AGENT_SETTINGS = """
role = "agent"
name = "{name}"
host = "{host}"
zone = "kingston-a"
region = "kingston"
store = "{store}"
link_mbps = 3.65
target_address = "{target}"
pool = "pool"

[zones]
"kingston-a" = "kingston"

[listen]
peers_port = {peers}
metrics_port = {metrics}

[bounds]
drain_ms = 2000
grace_ms = {grace_s}000
version_ms = 8000
"""
LOG_LINES = 12
CHANNEL_ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
"""What may end the handling of a channel; tasks are cancelled at the end."""


class CannotRunError(Exception):
    """The case could not be run, so that it shows nothing."""


class Record:
    """The lines of `record.txt`, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Append a line."""
        self._file.write(f"{time.monotonic() - self._start_s:8.3f} s  {text}\n")
        self._file.flush()


def find_ports(count: int) -> list[int]:
    """Return free ports of the loopback address, none of them twice."""
    with contextlib.ExitStack() as stack:
        servers = [
            stack.enter_context(socket.create_server((HOST, 0))) for _ in range(count)
        ]
        return [server.getsockname()[1] for server in servers]


class Daemon:
    """One process of the deploy file's command."""

    def __init__(self, name: str, settings: str, folder: Path) -> None:
        self.name = name
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.toml"
        self._settings_path.write_text(settings)
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program by the deploy file's command."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["REEDSPAR_BOOT"] = str(self._settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "platform/reedspard.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return self.process.poll() if self.process is not None else None

    def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Entry(Daemon):
    """A process of the role `entry`."""

    def __init__(self, name: str, store_port: int, folder: Path) -> None:
        names = ("callers", "ready", "directory", "peers", "metrics")
        ports = dict(zip(names, find_ports(len(names)), strict=True))
        self.port, self._ready_port = ports["callers"], ports["ready"]
        store = f"{HOST}:{store_port}"
        settings = SETTINGS.format(
            name=name, host=HOST, store=store, grace_s=GRACE_S, **ports
        )
        super().__init__(name, settings, folder)

    async def wait_ready(self) -> None:
        """Wait until the readiness check is answered with 200."""
        limit_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < limit_s:
            with contextlib.suppress(OSError):
                answer = await ask(self._ready_port, b"GET /api/ready HTTP/1.1")
                if answer.startswith(b"HTTP/1.1 200"):
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready")


class Agent(Daemon):
    """A process of the role `agent`, beside the runner at a port."""

    def __init__(
        self, name: str, store_port: int, target_port: int, folder: Path
    ) -> None:
        peers, metrics = find_ports(2)
        settings = AGENT_SETTINGS.format(
            name=name,
            host=HOST,
            store=f"{HOST}:{store_port}",
            target=f"{HOST}:{target_port}",
            peers=peers,
            metrics=metrics,
            grace_s=GRACE_S,
        )
        super().__init__(name, settings, folder)


async def ask(port: int, first_line: bytes) -> bytes:
    """Return the answer to a request without a body, on a channel of its own."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(first_line + b"\r\nHost: x\r\nConnection: close\r\n\r\n")
        return await asyncio.wait_for(reader.read(), 2.0)
    finally:
        writer.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message, names in lower case."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


class Runner:
    """A server that runs requests as `run` does, after the checks of a runner."""

    def __init__(
        self,
        runner_id: str,
        record: Record,
        run: Callable[
            ["Runner", dict[str, str], asyncio.StreamWriter], Awaitable[None]
        ],
    ) -> None:
        self.runner_id = runner_id
        self.record = record
        self.port = 0
        self.ran: list[str] = []
        """Ids of the requests that this runner began to work on."""
        self._run = run
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def describe(self, service: str) -> dict[str, Any]:
        """Return the entry that this runner writes to the store."""
        return {
            "service": service,
            "addr": f"{HOST}:{self.port}",
            "zone": "kingston-a",
            "version": "1",
            "slots": 16,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 0,
            "born": 1_700_000_000_000,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*CHANNEL_ENDS):
            first, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", "0")))
            request_id = headers.get("request-id", "")
            if headers.get("expect-instance") != self.runner_id:
                writer.write(
                    b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
                    + f"Instance-Id: {self.runner_id}\r\n\r\n".encode()
                )
            else:
                self.ran.append(request_id)
                self.record.write(f"{self.runner_id} runs {request_id}: {first}")
                await self._run(self, headers, writer)
            await writer.drain()
        writer.close()


class Site:
    """A store with a configuration, runners and entries."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.store = StandInStore()
        self.daemons: list[Daemon] = []
        self._folder = folder
        self._store_port = find_ports(1)[0]
        self._stop = anyio.Event()
        self._tasks = [asyncio.create_task(self._expire_leases())]
        self.serve({self._store_port: self.store.application})

    def write_config(
        self, routes: list[dict[str, Any]], services: dict[str, dict[str, Any]]
    ) -> None:
        """Write the configuration as the operator does."""
        common = {"host": "shop.example", "targetLatencyMs": 500, "priority": 1}
        document = {
            "version": 3,
            "routes": [common | route for route in routes],
            "services": [
                {"name": name, "maxConns": 99} | fields
                for name, fields in services.items()
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "shop", "apiKeys": [KEY]}],
        }
        self.store.put("op/config", json.dumps(document).encode())

    def register(self, runner: Runner, service: str) -> None:
        """Write a runner's entry to the store."""
        value = json.dumps(runner.describe(service)).encode()
        self.store.put(f"servers/{runner.runner_id}", value)

    def add_entry(self) -> Entry:
        """Create an entry, which is not started yet."""
        name = f"front-kingston-a-{len(self.daemons) + 1}"
        entry = Entry(name, self._store_port, self._folder)
        self.daemons.append(entry)
        return entry

    def add_agent(self, target_port: int) -> Agent:
        """Create an agent, which is not started yet."""
        name = f"side-kingston-a-{len(self.daemons) + 1}"
        agent = Agent(name, self._store_port, target_port, self._folder)
        self.daemons.append(agent)
        return agent

    def serve(self, by_port: Mapping[int, ASGIApp]) -> None:
        """Serve applications on ports until the end."""
        application = PortDispatcher(by_port)
        serving = serve_http(
            application,  # type: ignore[arg-type]
            HOST,
            list(by_port),
            self._stop,
            grace_s=0.1,
        )
        self._tasks.append(asyncio.create_task(serving))

    async def _expire_leases(self) -> None:
        """End the leases that nobody renews."""
        while True:
            await asyncio.sleep(0.1)
            self.store.expire_leases()

    async def end(self) -> None:
        """End the processes and the stand-ins, and keep the daemons' last lines."""
        for daemon in self.daemons:
            daemon.end()
            if not daemon.log_path.exists():
                continue
            lines = daemon.log_path.read_text().splitlines()
            lines = [line for line in lines if not line.startswith('{"time"')] or lines
            errors = [line for line in lines if "Error: " in line]
            for line in [*errors[-LOG_LINES:], *lines[-LOG_LINES:]]:
                self.record.write(f"log of {daemon.name}: {line[:600]}")
        self.store.close()
        self._stop.set()
        await asyncio.sleep(0.3)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def run_case(folder: Path, play: Callable[[Site, bool], Awaitable[bool]]) -> int:
    """Play a case; return 0 if the rule held, 1 if it was broken, 2 if it can't run."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"trouble: {is_troubled}")

    async def main() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            site = Site(record, Path(temporary))
            try:
                async with asyncio.timeout(110):
                    return await play(site, is_troubled)
            finally:
                await site.end()

    try:
        is_broken = asyncio.run(main())
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write(f"could not run: {error!r}")
        return 2
    record.write("the rule was broken" if is_broken else "the rule held")
    return 1 if is_broken else 0
