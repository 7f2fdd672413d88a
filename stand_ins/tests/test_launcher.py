"""Tests of the launcher with real processes."""

import os
import shutil
import signal
import subprocess
import sys
import time
import unittest
from pathlib import Path

REPOSITORY_ROOT = Path(__file__).resolve().parents[2]
EXIT_TIMEOUT_S = 10.0
PARENT = """
import time
from stand_ins.deployments import MARCOS_CENTRAL
from stand_ins.launcher import LauncherOptions, launch
from stand_ins.processes import exit_on_signals

exit_on_signals()
options = LauncherOptions(targets_per_process=5, has_daemons=False)
with launch(MARCOS_CENTRAL, options) as launcher:
    processes = launcher.processes
    pids = [processes[name].popen.pid for name in processes.names]
    print(launcher.folder, *pids, flush=True)
    time.sleep(60)
"""


def is_alive(pid: int) -> bool:
    """Return whether the process runs; a zombie process does not."""
    try:
        status = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return False
    return status.rsplit(")", 1)[1].split()[0] != "Z"


def wait_until_gone(pids: list[int]) -> list[int]:
    deadline_s = time.monotonic() + EXIT_TIMEOUT_S
    while any(is_alive(pid) for pid in pids) and time.monotonic() < deadline_s:
        time.sleep(0.02)
    return [pid for pid in pids if is_alive(pid)]


class LauncherTest(unittest.TestCase):
    def start_parent(self) -> tuple[subprocess.Popen[str], Path, list[int]]:
        parent = subprocess.Popen(
            [sys.executable, "-c", PARENT],
            cwd=REPOSITORY_ROOT,
            env={**os.environ, "PYTHONPATH": str(REPOSITORY_ROOT)},
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(parent.wait)
        self.addCleanup(parent.kill)
        assert parent.stdout is not None
        self.addCleanup(parent.stdout.close)
        folder, *pids = parent.stdout.readline().split()
        return parent, Path(folder), [int(pid) for pid in pids]

    def test_hangup_of_launcher_stops_all_processes(self) -> None:
        # Closing the terminal of a trial sends SIGHUP to the launcher.  Servers that
        # keep running would hold their ports and memory.
        parent, folder, pids = self.start_parent()
        self.assertGreaterEqual(len(pids), 5)
        parent.send_signal(signal.SIGHUP)
        self.assertEqual(parent.wait(EXIT_TIMEOUT_S), 128 + signal.SIGHUP)
        self.assertEqual(wait_until_gone(pids), [])
        self.assertFalse(folder.exists())

    def test_kill_of_launcher_stops_all_processes(self) -> None:
        # A launcher killed with SIGKILL can't stop its processes itself.
        parent, folder, pids = self.start_parent()
        self.addCleanup(shutil.rmtree, folder, ignore_errors=True)
        parent.kill()
        parent.wait(EXIT_TIMEOUT_S)
        self.assertEqual(wait_until_gone(pids), [])
