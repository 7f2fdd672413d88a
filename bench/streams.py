"""Measure the rate of streamed tokens that one entry relays."""

import json
import os
import subprocess
import sys
import time
from typing import Any

import anyio

from stand_ins.launcher import launch
from stand_ins.processes import REPOSITORY_ROOT

from .measuring import CpuMeter
from .small_deployment import DEPLOYMENT, make_options, prepare

__all__ = ["measure_streams"]

ENGINE_ARGUMENTS = ("--token-s", "0.02", "--sequence-s", "0")
DIRECT_WARM_UP_S = 2.0
THROUGH_WARM_UP_S = 12.0
"""Longer, as entry and agents raise their limits with each completed request.

For the same reason, the workers' streams are short for most of the warm-up.
"""


def measure_streams(streams: int, seconds: float) -> dict[str, Any]:
    """Measure streams directly from the engines, and through one entry."""
    with launch(DEPLOYMENT, make_options(ENGINE_ARGUMENTS)) as launcher:
        anyio.run(prepare, launcher)
        entry = launcher.entries[0]
        agents = launcher.agents_of("quotes")
        processes = launcher.processes
        pids = {
            "entry": [processes[entry.name].popen.pid],
            "agents": [processes[agent.name].popen.pid for agent in agents],
        }
        direct = [f"{agent.target_url}/v1/completions" for agent in agents]
        through = [f"{entry.http_url}/v1/pools/quotes/v1/completions"] * len(agents)
        return {
            "direct": run_workers(direct, streams, DIRECT_WARM_UP_S, seconds, pids),
            "through": run_workers(through, streams, THROUGH_WARM_UP_S, seconds, pids),
        }


def run_workers(
    urls: list[str],
    streams: int,
    warm_s: float,
    seconds: float,
    pids: dict[str, list[int]],
) -> dict[str, Any]:
    """Return the token rate of all workers, and the processor time of the daemons."""
    command = [sys.executable, "-m", "bench.stream_worker", "--model", "m"]
    command += ["--streams", str(streams // len(urls))]
    command += ["--seconds", str(seconds), "--warm-s", str(warm_s)]
    workers = [
        subprocess.Popen(
            [*command, "--url", url], cwd=REPOSITORY_ROOT, stdout=subprocess.PIPE
        )
        for url in urls
    ]
    time.sleep(warm_s)
    meter = CpuMeter(pids)
    time.sleep(seconds)
    shares = meter.shares()
    answers = [json.loads(worker.communicate()[0]) for worker in workers]
    for answer in answers:
        for failure in answer["first_failures"][:1]:
            print(f"stream failed: {failure}", flush=True)
    tokens = sum(answer["tokens"] for answer in answers)
    figures = {
        "tokens_per_s": round(tokens / seconds),
        "failures_while_counting": sum(a["failures"] for a in answers),
        "streams": streams,
        "load_average": os.getloadavg()[0],
    }
    for role, share in shares.items():
        figures[f"{role}_cores"] = round(share, 2)
        used_ms = 1000 * share * seconds
        per_thousand = used_ms / max(tokens / 1000, 1)
        figures[f"{role}_cpu_ms_per_1000_tokens"] = round(per_thousand, 1)
    return figures
