"""A small deployment on loopback: store, daemons, and a record of what happens.

The daemons are the project's own, started with the command of the deploy file and its
templates.  The store is the project's stand-in of the platform's store.
"""

import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import anyio

from reedspar.daemon.http_server import PortDispatcher, serve_http
from site_adapter.tests.stand_in_store import StandInStore

__all__ = ["HOST", "Daemon", "Deployment", "Record", "find_ports", "wait_until"]

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
PORTS = range(15000, 31000)
"""Beneath the range from which the kernel takes ports of outgoing connections."""
LEASE_CHECK_S = 0.1
EXIT_TIMEOUT_S = 12.0
REGION = "region-a"
ZONES = {"region-a": "zone-a", "region-b": "zone-b"}
"""Zone of each region."""
BOUNDS = {
    "drainMs": 2000,
    "graceS": 8,
    "version_ms": 8000,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 106,
    "retryWindowS": 10,
}
ENTRY_LIMITS = {
    "cpuShare": 0.537,
    "cores": 2,
    "memoryMb": 300,
    "maxFds": 4100,
    "linkMbps": 1000.0,
}
AGENT_LIMITS = {
    "cpuShare": 0.645,
    "cores": 2,
    "memoryMb": 168,
    "maxFds": 1124,
    "linkMbps": 3.65,
}

_taken_ports: set[int] = set()


def find_ports(count: int, host: str = HOST) -> list[int]:
    """Return free ports, none of them twice in this process."""
    found: list[int] = []
    while len(found) < count:
        port = random.choice(PORTS)
        if port in _taken_ports:
            continue
        _taken_ports.add(port)
        try:
            with socket.create_server((host, port)):
                found.append(port)
        except OSError:
            continue
    return found


async def wait_until(
    condition: Any, timeout_s: float, interval_s: float = 0.02
) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    ends_s = time.monotonic() + timeout_s
    while time.monotonic() < ends_s:
        if condition():
            return True
        await asyncio.sleep(interval_s)
    return bool(condition())


class Record:
    """Writes what was sent, answered and run to a file, with the time of each line."""

    def __init__(self, path: Path) -> None:
        self._start_s = time.monotonic()
        self._file = path.open("w")

    def now_s(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Daemon:
    """A process of the deploy file, and its settings."""

    def __init__(self, role: str, settings: Path, log_path: Path) -> None:
        self._settings = settings
        self._log_path = log_path
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = shlex.split(deploy["roles"][role]["run"])
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["REEDSPAR_BOOT"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.process.wait(EXIT_TIMEOUT_S)

    def peak_bytes(self) -> int:
        """Return the largest resident memory so far."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except FileNotFoundError:
            return 0
        found = re.search(r"VmHWM:\s+(\d+) kB", text)
        return int(found[1]) * 1024 if found else 0

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self._log_path.read_text(errors="replace")


class Deployment:
    """A store and daemons in a temporary folder."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = StandInStore()
        self._folder = tempfile.TemporaryDirectory(prefix="reedspar-review-")
        self.folder = Path(self._folder.name)
        (self._store_port,) = find_ports(1)
        self._daemons: list[Daemon] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._stop: anyio.Event | None = None
        self._config_version = 0
        self._names = 0

    async def start_store(self) -> None:
        """Serve the store."""
        self._stop = anyio.Event()
        application = PortDispatcher({self._store_port: self.store.application})
        server = serve_http(
            application, HOST, [self._store_port], self._stop, grace_s=0.1
        )
        self._tasks = [
            asyncio.create_task(server),
            asyncio.create_task(self._expire_leases()),
        ]
        await asyncio.sleep(0.2)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            self.store.expire_leases()

    def write_config(self, **fields: Any) -> int:
        """Write the next version of the operator's configuration."""
        self._config_version += 3
        document = {"version": self._config_version, **fields}
        self.store.put("op/config", json.dumps(document).encode())
        self.record.write(f"operator: configuration {self._config_version}")
        return self._config_version

    def name_version(self, model: str, version: int) -> None:
        """Name a version of a model's weights."""
        value = json.dumps({"model": model, "version": version}).encode()
        self.store.put(f"op/version/{model}", value)
        self.record.write(f"operator: version {version} of {model} is named")

    def add_entry(
        self, host: str, ports: list[int] | None = None, region: str = REGION
    ) -> tuple[Daemon, int, int]:
        """Return an entry, its port for callers and the port of its ready check."""
        callers, ready, directory, *internal = ports or find_ports(5, host)
        fields = self._fields("entry", host, internal, ENTRY_LIMITS, region) | {
            "listen": {
                "front": f"{host}:{callers}",
                "ready": f"{host}:{ready}",
                "directory": f"{host}:{directory}",
            }
        }
        return self._add("entry", fields), callers, ready

    def add_agent(
        self, host: str, app: str, service: str, ports: list[int] | None = None
    ) -> Daemon:
        """Return an agent beside the runner at `app`."""
        internal = ports or find_ports(2, host)
        fields = self._fields("agent", host, internal, AGENT_LIMITS)
        return self._add("agent", fields | {"app": app, "service": service})

    def _fields(
        self,
        role: str,
        host: str,
        internal: list[int],
        limits: dict[str, Any],
        region: str = REGION,
    ) -> dict[str, Any]:
        self._names += 1
        return {
            "nodeName": f"{role}-{self._names}",
            "ip": host,
            "zone": ZONES[region],
            "region": region,
            "zones": {zone: name for name, zone in ZONES.items()},
            "internalPorts": internal,
            "platform": {"addr": f"{HOST}:{self._store_port}"},
            "limits": limits,
            "bounds": BOUNDS,
        }

    def _add(self, role: str, fields: dict[str, Any]) -> Daemon:
        template = (ROOT / f"deploy/{role}.toml").read_text()
        name = fields["nodeName"]
        settings = self.folder / f"{name}.toml"
        settings.write_text(render(template, fields))
        daemon = Daemon(role, settings, self.folder / f"{name}.log")
        self._daemons.append(daemon)
        return daemon

    async def close(self) -> None:
        """End all daemons and the store."""
        for daemon in self._daemons:
            daemon.kill()
        self.store.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._folder.cleanup()


SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.@]+)(\|json)?\}\}")


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template as the platform does, so far as the deploy file needs it."""

    def expand(match: re.Match[str]) -> str:
        table = _find(fields, match[1])
        return "".join(
            match[2].replace("{{@}}", key).replace("{{.}}", str(value))
            for key, value in table.items()
        )

    def fill(match: re.Match[str]) -> str:
        value = _find(fields, match[1])
        return json.dumps(value) if match[2] else str(value)

    return PLACEHOLDER.sub(fill, SECTION.sub(expand, template))


def _find(fields: Any, path: str) -> Any:
    for part in path.split("."):
        fields = fields[int(part)] if isinstance(fields, list) else fields[part]
    return fields
