"""Start, monitor and stop the processes of a deployment."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from types import FrameType

import httpx

__all__ = ["ManagedProcess", "ProcessGroup", "StartError", "exit_on_signals"]

REPOSITORY_ROOT = Path(__file__).resolve().parent.parent
READY_POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 10.0
"""Longer than a stopping entry serves callers that still have its address."""
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


class StartError(Exception):
    """A process did not become ready; the message has the end of its log."""


@dataclass
class ManagedProcess:
    """One process and what a restart needs."""

    name: str
    arguments: list[str]
    log_path: Path
    ready_url: str
    popen: subprocess.Popen[bytes] = field(repr=False)
    should_run: bool = True

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.popen.poll() is None

    def read_log_tail(self, size_bytes: int = 2000) -> str:
        """Return the end of the log."""
        return self.log_path.read_bytes()[-size_bytes:].decode(errors="replace")


class ProcessGroup:
    """Starts processes that the kernel kills when this one dies, and stops them.

    Use it from the main thread: the kernel sends the parent-death signal when
    the thread that started a process ends.
    """

    def __init__(self, log_folder: Path) -> None:
        self._log_folder = log_folder
        self._processes: dict[str, ManagedProcess] = {}

    def __getitem__(self, name: str) -> ManagedProcess:
        """Return the process of that name."""
        return self._processes[name]

    @property
    def names(self) -> tuple[str, ...]:
        """Return the process names in start order."""
        return tuple(self._processes)

    def start(self, name: str, module: str, *arguments: str, ready_url: str) -> None:
        """Start ``python -m module`` as process `name`."""
        command = [sys.executable, "-m", "stand_ins.run", str(os.getpid()), module]
        command.extend(arguments)
        log_path = self._log_folder / f"{name}.log"
        popen = self._spawn(command, log_path)
        self._processes[name] = ManagedProcess(
            name, command, log_path, ready_url, popen
        )

    def wait_ready(self, names: list[str], timeout_s: float) -> None:
        """Wait until each answers at its URL; raise `StartError` on exit or timeout."""
        deadline_s = time.monotonic() + timeout_s
        with httpx.Client(trust_env=False, verify=False, timeout=1.0) as client:
            for name in names:
                self._wait_until_ready(client, self._processes[name], deadline_s)

    def kill(self, name: str, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal, SIGKILL by default, to a running process."""
        process = self._processes[name]
        if process.is_running:
            process.popen.send_signal(number)

    def stop(self, name: str, timeout_s: float) -> int | None:
        """Send SIGTERM and return the exit code, or None after `timeout_s`."""
        process = self._processes[name]
        process.should_run = False
        self.kill(name, signal.SIGTERM)
        try:
            return process.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def restart(self, name: str) -> None:
        """Start a process again, after killing it if it still runs."""
        process = self._processes[name]
        if process.is_running:
            self.kill(name)
        process.popen.wait()
        process.should_run = True
        process.popen = self._spawn(process.arguments, process.log_path)

    def find_unexpected_exits(self) -> list[ManagedProcess]:
        """Return the processes that ended without being stopped."""
        return [
            p for p in self._processes.values() if p.should_run and not p.is_running
        ]

    def stop_all(
        self, names: Iterable[str] = (), timeout_s: float = STOP_TIMEOUT_S
    ) -> list[str]:
        """Stop the named processes, or all; return the names of those killed."""
        chosen = [self._processes[name] for name in names or self.names]
        running = [process for process in chosen if process.is_running]
        for process in running:
            process.should_run = False
            process.popen.send_signal(signal.SIGCONT)
            process.popen.send_signal(signal.SIGTERM)
        deadline_s = time.monotonic() + timeout_s
        killed = []
        for process in running:
            try:
                process.popen.wait(max(0.0, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.popen.kill()
                process.popen.wait()
                killed.append(process.name)
        return killed

    def _spawn(self, command: list[str], log_path: Path) -> subprocess.Popen[bytes]:
        environment = {**os.environ, "PYTHONPATH": str(REPOSITORY_ROOT)}
        with log_path.open("ab") as log:
            return subprocess.Popen(
                command,
                cwd=REPOSITORY_ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                process_group=0,
            )

    def _wait_until_ready(
        self, client: httpx.Client, process: ManagedProcess, deadline_s: float
    ) -> None:
        while time.monotonic() < deadline_s:
            if not process.is_running:
                code = process.popen.returncode
                tail = process.read_log_tail()
                raise StartError(f"{process.name} exited with {code}:\n{tail}")
            try:
                answer = client.get(process.ready_url)
            except httpx.HTTPError:
                time.sleep(READY_POLL_INTERVAL_S)
                continue
            if answer.status_code < httpx.codes.INTERNAL_SERVER_ERROR:
                return
            time.sleep(READY_POLL_INTERVAL_S)
        tail = process.read_log_tail()
        raise StartError(f"{process.name} did not become ready in time:\n{tail}")


def exit_on_signals(numbers: tuple[signal.Signals, ...] = STOP_SIGNALS) -> None:
    """Raise `SystemExit` on stop signals, so that cleanup code runs."""
    handler: Callable[[int, FrameType | None], None] = _raise_exit
    for number in numbers:
        signal.signal(number, handler)


def _raise_exit(number: int, frame: FrameType | None) -> None:
    for other in STOP_SIGNALS:
        signal.signal(other, signal.SIG_IGN)
    raise SystemExit(128 + number)
