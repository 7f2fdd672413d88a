"""Start and stop a deployment: platform stand-ins, targets and daemons."""

import os
import re
import shutil
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import httpx

from reedspar.platform import InstanceRecord, InstanceState
from reedspar.settings import TargetKind

from .deployments import Deployment, Pool, Zone
from .ports import PortAllocator
from .processes import ProcessGroup
from .settings_file import write_settings

__all__ = ["Daemon", "Launcher", "LauncherOptions", "launch"]

HOST = "127.0.0.1"
DAEMON_MODULE = "reedspar.daemon.main"
READY_TIMEOUT_S = 30.0
_FOLDER_NAME = re.compile(r"reedspar-.+-(\d+)-[a-z0-9_]{8}")
TARGET_MODULES = {
    TargetKind.MODEL_ENGINE: "stand_ins.engine",
    TargetKind.PLAIN_SERVICE: "stand_ins.plain_service",
}


@dataclass(frozen=True)
class LauncherOptions:
    """Options of a launch that trials vary."""

    targets_per_process: int = 1
    """Target stand-ins of a pool that share a process, to save memory."""
    key_value_arguments: tuple[str, ...] = ()
    origin_arguments: tuple[str, ...] = ()
    engine_arguments: tuple[str, ...] = ()
    plain_arguments: tuple[str, ...] = ()
    instance_lag_s: float = 1.0
    daemon_settings: dict[str, Any] = field(default_factory=dict)
    """Settings merged into those of each daemon, table by table."""
    has_daemons: bool = True
    has_relays: bool = False
    """Place a relay in front of the key-value service and of each target."""


@dataclass(frozen=True)
class Daemon:
    """A daemon of the deployment."""

    record: InstanceRecord
    settings_path: Path
    target_url: str = ""
    """Direct URL of an agent's target, not through a relay."""

    @property
    def name(self) -> str:
        """Return the daemon's name, which is also its process's name."""
        return self.record.name

    @property
    def http_url(self) -> str:
        """Return the URL for callers and operators."""
        return f"http://{HOST}:{self.record.http_port}"


class Launcher:
    """Starts and stops the processes of one deployment."""

    def __init__(
        self, deployment: Deployment, options: LauncherOptions, folder: Path
    ) -> None:
        self.deployment = deployment
        self.options = options
        self.folder = folder
        self.processes = ProcessGroup(folder)
        self.entries: list[Daemon] = []
        self.agents: list[Daemon] = []
        self.key_value_url = ""
        self.origin_url = ""
        self.instance_list_url = ""
        self.relay_urls: dict[str, str] = {}
        """Control URL of each relay, by the URL of the server behind it."""
        self._relay_urls_by_server: dict[str, str] = {}
        self._ports = PortAllocator()
        self._http = httpx.Client(trust_env=False, verify=False, timeout=5.0)

    @property
    def daemons(self) -> list[Daemon]:
        """Return all entries and agents."""
        return [*self.entries, *self.agents]

    def agents_of(self, pool: str) -> list[Daemon]:
        """Return the agents of a pool."""
        return [agent for agent in self.agents if agent.record.pool == pool]

    def start(self) -> None:
        """Start all processes and wait until they answer."""
        self._start_platform()
        target_urls = self._start_targets()
        if self.options.has_relays:
            urls = [url for pool_urls in target_urls.values() for url in pool_urls]
            self._start_relays([self.key_value_url, *urls])
        self._wait_until_ready(self.processes.names)
        if not self.options.has_daemons:
            return
        self._make_entries()
        self._make_agents(target_urls)
        for daemon in self.daemons:
            self.start_daemon(daemon)
            self.set_instance(daemon, InstanceState.LIVE)
        self._wait_until_ready(tuple(daemon.name for daemon in self.daemons))

    def start_daemon(self, daemon: Daemon) -> None:
        """Start a daemon's process."""
        self.processes.start(
            daemon.name,
            DAEMON_MODULE,
            "--settings",
            str(daemon.settings_path),
            ready_url=f"{daemon.http_url}/admin/status",
        )

    def set_instance(self, daemon: Daemon, state: InstanceState) -> None:
        """Set the state of a daemon's instance, which the list shows after its lag."""
        body = {**asdict(daemon.record), "state": state.value}
        url = f"{self.instance_list_url}/control/instances/{daemon.name}"
        self._http.put(url, json=body).raise_for_status()

    def close(self) -> list[str]:
        """Stop the daemons, then the rest; return the names of processes killed."""
        self._http.close()
        started = self.processes.names
        daemons = [d.name for d in self.daemons if d.name in started]
        killed = self.processes.stop_all(daemons) if daemons else []
        return killed + self.processes.stop_all()

    def _wait_until_ready(self, names: tuple[str, ...]) -> None:
        self.processes.wait_ready(list(names), READY_TIMEOUT_S)

    def _start_platform(self) -> None:
        options = self.options
        self.key_value_url = self._start_stand_in(
            "key-value", "stand_ins.key_value", 1, options.key_value_arguments
        )[0]
        self.origin_url = self._start_stand_in(
            "origin", "stand_ins.origin", 1, options.origin_arguments
        )[0]
        lag = ("--lag-s", str(options.instance_lag_s))
        self.instance_list_url = self._start_stand_in(
            "instance-list", "stand_ins.instance_list", 1, lag
        )[0]

    def _start_stand_in(
        self, name: str, module: str, count: int, arguments: tuple[str, ...]
    ) -> list[str]:
        """Start one process that runs `count` stand-ins; return their URLs."""
        ports = [self._ports.allocate() for _ in range(count)]
        options = [part for port in ports for part in ("--port", str(port))]
        urls = [f"http://{HOST}:{port}" for port in ports]
        self.processes.start(
            name, module, *options, *arguments, ready_url=f"{urls[-1]}/control/ready"
        )
        return urls

    def _start_relays(self, urls: list[str]) -> None:
        """Start one process with a relay in front of each URL."""
        arguments: list[str] = []
        for url in urls:
            port, control_port = self._ports.allocate(), self._ports.allocate()
            server_port = url.rpartition(":")[2]
            arguments += ["--port", str(port), "--server-port", server_port]
            arguments += ["--control-port", str(control_port)]
            self._relay_urls_by_server[url] = f"http://{HOST}:{port}"
            self.relay_urls[url] = f"http://{HOST}:{control_port}"
        ready_url = f"{self.relay_urls[urls[-1]]}/control/ready"
        self.processes.start(
            "relays", "stand_ins.relay", *arguments, ready_url=ready_url
        )

    def _start_targets(self) -> dict[str, list[str]]:
        return {pool.name: self._start_pool(pool) for pool in self.deployment.pools}

    def _start_pool(self, pool: Pool) -> list[str]:
        is_engine = pool.kind is TargetKind.MODEL_ENGINE
        options = self.options
        arguments = options.engine_arguments if is_engine else options.plain_arguments
        urls: list[str] = []
        while len(urls) < pool.size:
            count = min(options.targets_per_process, pool.size - len(urls))
            name = f"target-{pool.name}-{len(urls)}"
            module = TARGET_MODULES[pool.kind]
            urls.extend(self._start_stand_in(name, module, count, arguments))
        return urls

    def _make_entries(self) -> None:
        zones = self.deployment.zones
        for i in range(self.deployment.entry_count):
            zone = zones[i % len(zones)]
            record = self._make_record(f"entry-{i}", "entry", zone, "")
            self.entries.append(self._make_daemon(record, {}))

    def _make_agents(self, target_urls: dict[str, list[str]]) -> None:
        zones = self.deployment.zones
        for pool in self.deployment.pools:
            for i, url in enumerate(target_urls[pool.name]):
                zone = zones[i % len(zones)]
                name = f"{pool.name}-{i}"
                record = self._make_record(name, "agent", zone, pool.name)
                checks_fencing = "--ignore-fencing" not in self.options.engine_arguments
                target = {
                    "kind": pool.kind.value,
                    "pool": pool.name,
                    "url": self._relay_urls_by_server.get(url, url),
                    "checks_fencing": checks_fencing,
                }
                self.agents.append(self._make_daemon(record, {"target": target}, url))

    def _make_record(
        self, name: str, role: str, zone: Zone, pool: str
    ) -> InstanceRecord:
        return InstanceRecord(
            name=name,
            role=role,
            zone=zone.name,
            region=zone.region,
            host=HOST,
            port=self._ports.allocate(),
            http_port=self._ports.allocate(),
            pool=pool,
        )

    def _make_daemon(
        self, record: InstanceRecord, tables: dict[str, Any], target_url: str = ""
    ) -> Daemon:
        document: dict[str, Any] = {
            "name": record.name,
            "role": record.role,
            "zone": record.zone,
            "region": record.region,
            "host": record.host,
            "port": record.port,
            "http_port": record.http_port,
            "platform": {
                "key_value_url": self._relay_urls_by_server.get(
                    self.key_value_url, self.key_value_url
                ),
                "instance_list_url": self.instance_list_url,
                "origin_url": self.origin_url,
                "instance_poll_s": 1.0,
            },
            "weights": {"origin_region": self.deployment.origin_region},
            **tables,
        }
        merge_tables(document, self.options.daemon_settings)
        path = self.folder / f"{record.name}.toml"
        write_settings(path, document)
        return Daemon(record, path, target_url)


def merge_tables(document: dict[str, Any], extra: dict[str, Any]) -> None:
    """Merge `extra` into the document; skip `target` if the document has none."""
    for key, value in extra.items():
        if not isinstance(value, dict):
            document[key] = value
        elif key != "target" or "target" in document:
            document[key] = {**document.get(key, {}), **value}


def remove_stale_folders() -> None:
    """Remove the folders of launchers that were killed before they removed them."""
    for path in Path(tempfile.gettempdir()).glob("reedspar-*"):
        match = _FOLDER_NAME.fullmatch(path.name)
        if match is not None and not Path(f"/proc/{match.group(1)}").exists():
            shutil.rmtree(path, ignore_errors=True)


@contextmanager
def launch(
    deployment: Deployment, options: LauncherOptions | None = None
) -> Iterator[Launcher]:
    """Run a deployment for the `with` block, then stop it and delete its folder."""
    remove_stale_folders()
    prefix = f"reedspar-{deployment.name}-{os.getpid()}-"
    folder = Path(tempfile.mkdtemp(prefix=prefix))
    launcher = Launcher(deployment, options or LauncherOptions(), folder)
    try:
        launcher.start()
        yield launcher
    finally:
        launcher.close()
        shutil.rmtree(folder, ignore_errors=True)
