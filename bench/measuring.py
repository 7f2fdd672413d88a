"""What the measurements share: processes' memory and time, and the last line."""

import json
import os
from pathlib import Path
from typing import Any

__all__ = ["print_result", "read_cpu_s", "read_resident_bytes"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIBIBYTE = 1024


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIBIBYTE
    raise ValueError(f"process {pid} has no resident memory")


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / TICKS_PER_S


def print_result(result: dict[str, Any]) -> None:
    """Print the JSON object that ends a measurement's output."""
    print(json.dumps(result, sort_keys=True), flush=True)
