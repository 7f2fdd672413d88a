"""Check that configuration versions reach every daemon in time and never revert."""

import time
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx

from stand_ins.launcher import Daemon, Launcher
from stand_ins.promises import Violation

__all__ = ["ConfigurationMonitor"]

POLL_INTERVAL_S = 0.5
ADOPTION_LIMIT_S = 4.0
POLL_TIMEOUT_S = 0.5
DISTURBANCE_GRACE_S = 6.0
"""Time after a kill, pause or start in which a daemon may exceed the limit."""


@dataclass
class ConfigurationMonitor:
    """Polls the configuration version of each daemon and records violations."""

    launcher: Launcher
    disturbed_at: dict[str, float]
    violations: list[Violation] = field(default_factory=list)
    _seen: dict[str, int] = field(default_factory=dict)
    _first_seen_at: dict[int, float] = field(default_factory=dict)
    _reported: set[tuple[str, int]] = field(default_factory=set)

    async def run(self) -> None:
        """Poll until cancelled."""
        async with httpx.AsyncClient(
            trust_env=False, verify=False, timeout=POLL_TIMEOUT_S
        ) as client:
            while True:
                async with anyio.create_task_group() as tasks:
                    for daemon in self.launcher.daemons:
                        tasks.start_soon(self._poll, client, daemon)
                await anyio.sleep(POLL_INTERVAL_S)

    async def _poll(self, client: httpx.AsyncClient, daemon: Daemon) -> None:
        asked_at = time.time()
        try:
            answer = await client.get(f"{daemon.http_url}/admin/status")
            status: dict[str, Any] = answer.json()
        except (httpx.HTTPError, ValueError):
            return
        if status.get("is_ready"):
            self._check(daemon, int(status["config_version"]), asked_at)

    def _check(self, daemon: Daemon, version: int, asked_at: float) -> None:
        now = time.time()
        before = self._seen.get(daemon.name, 0)
        if version < before:
            detail = f"{daemon.name} went from version {before} back to {version}"
            self._report(daemon, version, "a configuration never reverts", detail)
        self._seen[daemon.name] = max(version, before)
        self._first_seen_at.setdefault(version, now)
        is_disturbed = (
            asked_at - self.disturbed_at.get(daemon.name, 0.0) < DISTURBANCE_GRACE_S
        )
        newest_due = max(
            (
                v
                for v, at in self._first_seen_at.items()
                if asked_at - at > ADOPTION_LIMIT_S
            ),
            default=0,
        )
        if version < newest_due and not is_disturbed:
            detail = f"{daemon.name} is at {version}, not yet at {newest_due}"
            promise = "a configuration is in force everywhere within seconds"
            self._report(daemon, newest_due, promise, detail)

    def _report(self, daemon: Daemon, version: int, promise: str, detail: str) -> None:
        if (daemon.name, version) not in self._reported:
            self._reported.add((daemon.name, version))
            self.violations.append(Violation(time.time(), promise, detail))
