"""Read memory and processor time of processes, and print results of measurements."""

import json
import os
import time
from pathlib import Path
from typing import Any

__all__ = ["CpuMeter", "print_result", "read_cpu_s", "read_resident_bytes"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIBIBYTE = 1024


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIBIBYTE
    raise ValueError(f"process {pid} has no resident memory")


def read_cpu_s(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / TICKS_PER_S


class CpuMeter:
    """Measures the processor time of processes by role since its creation.

    Processor time varies far less than latency if the machine has other load.
    `idle_shares` are the shares of a core that the daemons use when idle, which
    `per_unit_ms` subtracts.
    """

    def __init__(
        self, pids: dict[str, list[int]], idle_shares: dict[str, float] | None = None
    ) -> None:
        self._pids = pids
        self._idle_shares = idle_shares or {}
        self._start_s = time.monotonic()
        self._before = self._read()

    def shares(self) -> dict[str, float]:
        """Return the share of a core that all processes of each role used together."""
        took_s = time.monotonic() - self._start_s
        now = self._read()
        return {role: (now[role] - self._before[role]) / took_s for role in now}

    def per_unit_ms(self, count: float) -> dict[str, float]:
        """Return processor milliseconds per request or token, without idle use.

        `count` is the number of requests or tokens since the creation.
        """
        took_s = time.monotonic() - self._start_s
        return {
            f"{role}_cpu_ms": round(
                1000
                * (share - self._idle_shares.get(role, 0.0))
                * took_s
                / max(count, 1),
                3,
            )
            for role, share in self.shares().items()
        }

    def _read(self) -> dict[str, float]:
        return {
            role: sum(read_cpu_s(pid) for pid in pids)
            for role, pids in self._pids.items()
        }


def print_result(result: dict[str, Any]) -> None:
    """Print the result as JSON, which is the last line of a measurement's output."""
    print(json.dumps(result, sort_keys=True), flush=True)
