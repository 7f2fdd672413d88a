"""Measure the streamed tokens a second that one entry daemon relays."""

import json
import subprocess
import sys
import time
from typing import Any

import anyio

from stand_ins.launcher import launch
from stand_ins.processes import TOP

from .measuring import read_cpu_s
from .small_deployment import DEPLOYMENT, make_options, prepare

__all__ = ["measure_streams"]

ENGINE_ARGUMENTS = ("--token-s", "0.02", "--sequence-s", "0")
DIRECT_WARM_S = 2.0
THROUGH_WARM_S = 20.0
"""Agents raise their limits by completions; long streams complete rarely."""


def measure_streams(streams: int, seconds: float) -> dict[str, Any]:
    """Return streams straight from the engines, and through one entry."""
    with launch(DEPLOYMENT, make_options(ENGINE_ARGUMENTS)) as launcher:
        anyio.run(prepare, launcher)
        entry = launcher.entries[0]
        agents = launcher.agents_of("quotes")
        names = [entry.name, *(agent.name for agent in agents)]
        pids = [launcher.processes[name].popen.pid for name in names]
        direct = [f"{agent.target_url}/v1/completions" for agent in agents]
        through = [f"{entry.http_url}/v1/pools/quotes/v1/completions"] * len(agents)
        return {
            "direct": run_workers(direct, streams, DIRECT_WARM_S, seconds, pids),
            "through": run_workers(through, streams, THROUGH_WARM_S, seconds, pids),
        }


def run_workers(
    urls: list[str], streams: int, warm_s: float, seconds: float, pids: list[int]
) -> dict[str, Any]:
    """Return tokens a second over all workers, and the daemons' processor time."""
    command = [sys.executable, "-m", "bench.stream_worker", "--model", "m"]
    command += ["--streams", str(streams // len(urls))]
    command += ["--seconds", str(seconds), "--warm-s", str(warm_s)]
    workers = [
        subprocess.Popen([*command, "--url", url], cwd=TOP, stdout=subprocess.PIPE)
        for url in urls
    ]
    time.sleep(warm_s)
    before = [read_cpu_s(pid) for pid in pids]
    start_s = time.monotonic()
    time.sleep(seconds)
    took_s = time.monotonic() - start_s
    used = [read_cpu_s(pid) - b for pid, b in zip(pids, before, strict=True)]
    answers = [json.loads(worker.communicate()[0]) for worker in workers]
    for answer in answers:
        for failure in answer["first_failures"][:1]:
            print(f"stream failed: {failure}", flush=True)
    return {
        "tokens_per_s": round(sum(a["tokens"] for a in answers) / seconds),
        "failures_while_counting": sum(a["failures"] for a in answers),
        "streams": streams,
        "entry_cores": round(used[0] / took_s, 2),
        "agent_cores": [round(cpu_s / took_s, 2) for cpu_s in used[1:]],
    }
