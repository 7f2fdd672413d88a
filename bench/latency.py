"""Measure the latency that entry and agent add to a call, and one entry's throughput.

The baseline of each result is the same call sent directly to the target's stand-in in
the same run.  Measures calls at 50 per second, alternating with direct ones; calls as
fast as 32 clients can send them; streams; and the memory of idle daemons.  Orders with
dated keys share writes to the key-value service, while those with plain keys need one
write each, so the two are measured separately.  The processor time per request is
given for the entry and for all agents of the pool together, without their use when
idle.
"""

import argparse
import os
import random
import time
import uuid
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx

from stand_ins.clients import create_trial_client
from stand_ins.keys import make_dated_key
from stand_ins.launcher import Daemon, Launcher, launch
from stand_ins.processes import exit_on_signals
from stand_ins.promises import compute_percentile

from .measuring import CpuMeter, print_result, read_resident_bytes
from .small_deployment import DEPLOYMENT, make_options, prepare
from .streams import measure_streams

__all__ = ["main"]

ENGINE_ARGUMENTS = ("--token-s", "0.002", "--sequence-s", "0")
RATE_PER_S = 50.0
WARM_UP_SHARE = 0.1
CLIENT_COUNT = 32


@dataclass
class Sample:
    """Latencies and failures of one kind of call."""

    latencies_ms: list[float] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)

    def describe(self) -> dict[str, Any]:
        """Return counts and percentiles without the warm-up calls."""
        skipped = int(len(self.latencies_ms) * WARM_UP_SHARE)
        counted = self.latencies_ms[skipped:]
        return {
            "count": len(counted),
            "failures": len(self.failures),
            "p50_ms": round(compute_percentile(counted, 0.5), 3),
            "p99_ms": round(compute_percentile(counted, 0.99), 3),
        }


Call = Callable[[Sample], Coroutine[Any, Any, None]]


class ComparisonClient:
    """Sends the same calls through the entry and directly to the targets."""

    def __init__(self, launcher: Launcher) -> None:
        self.entry_url = launcher.entries[0].http_url
        self.engine_urls = [a.target_url for a in launcher.agents_of("quotes")]
        self.service_url = launcher.agents_of("deposits")[0].target_url
        self._count = 0
        self._rng = random.Random(time.time_ns())
        self._client = create_trial_client(30.0)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def quote_direct(self, sample: Sample) -> None:
        """Send a quote to the engines in turn."""
        self._count += 1
        url = self.engine_urls[self._count % len(self.engine_urls)]
        await self._quote(f"{url}/v1/completions", sample)

    async def quote_through(self, sample: Sample) -> None:
        """Send a quote to the entry."""
        await self._quote(f"{self.entry_url}/v1/pools/quotes/v1/completions", sample)

    async def order_direct(self, sample: Sample) -> None:
        """Send an order to the service."""
        url = f"{self.service_url}/orders"
        await self._order(url, sample, make_dated_key(self._rng))

    async def order_through(self, sample: Sample) -> None:
        """Send an order with a dated key to the entry."""
        url = f"{self.entry_url}/v1/pools/deposits/orders"
        await self._order(url, sample, make_dated_key(self._rng))

    async def order_plain_through(self, sample: Sample) -> None:
        """Send an order with an undated key to the entry."""
        url = f"{self.entry_url}/v1/pools/deposits/orders"
        await self._order(url, sample, str(uuid.uuid4()))

    async def _quote(self, url: str, sample: Sample) -> None:
        self._count += 1
        body = {"model": "m", "prompt": f"quote {self._count}", "max_tokens": 1}
        await self._post(url, body, {}, sample)

    async def _order(self, url: str, sample: Sample, key: str) -> None:
        self._count += 1
        await self._post(url, {"deposit": 1}, {"idempotency-key": key}, sample)

    async def _post(
        self, url: str, body: dict[str, Any], headers: dict[str, str], sample: Sample
    ) -> None:
        sent = {"x-workspace": f"workspace-{self._count % 10}", **headers}
        start_s = time.perf_counter()
        try:
            response = await self._client.post(url, json=body, headers=sent)
        except httpx.HTTPError as error:
            sample.failures.append(repr(error))
            return
        if response.status_code != httpx.codes.OK:
            sample.failures.append(response.text[:200])
            return
        sample.latencies_ms.append(1000 * (time.perf_counter() - start_s))


async def run_at_rate(calls: dict[str, Call], seconds: float) -> dict[str, Any]:
    """Start the calls alternately at `RATE_PER_S` each, under the same machine load."""
    samples = {name: Sample() for name in calls}
    start_s = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for i in range(int(seconds * RATE_PER_S)):
            for position, (name, call) in enumerate(calls.items()):
                due_s = start_s + (i + position / len(calls)) / RATE_PER_S
                await anyio.sleep_until(due_s)
                tasks.start_soon(call, samples[name])
    figures = {name: sample.describe() for name, sample in samples.items()}
    for name, sample in samples.items():
        for failure in sample.failures[:2]:
            print(f"{name} failed: {failure}", flush=True)
    return figures


async def run_closed_loop(call: Call, seconds: float) -> dict[str, Any]:
    """Call from `CLIENT_COUNT` clients, each of which waits for its answer."""
    sample = Sample()
    until_s = time.monotonic() + seconds

    async def repeat() -> None:
        while time.monotonic() < until_s:
            await call(sample)

    async with anyio.create_task_group() as tasks:
        for _ in range(CLIENT_COUNT):
            tasks.start_soon(repeat)
    rate = len(sample.latencies_ms) / seconds
    return {**sample.describe(), "requests_per_s": round(rate, 1)}


def list_pids(launcher: Launcher, pool: str) -> dict[str, list[int]]:
    """Return the process IDs of the entry and of the pool's agents."""

    def find_pid(daemon: Daemon) -> int:
        return launcher.processes[daemon.name].popen.pid

    return {
        "entry": [find_pid(launcher.entries[0])],
        "agents": [find_pid(agent) for agent in launcher.agents_of(pool)],
    }


async def measure_idle(launcher: Launcher, idle_s: float) -> dict[str, Any]:
    """Return the resident memory and core share of daemons without requests."""
    pids = list_pids(launcher, "quotes")
    meter = CpuMeter(pids)
    await anyio.sleep(idle_s)
    shares = meter.shares()
    return {
        role: {
            "resident_mb": round(read_resident_bytes(pids[role][0]) / 1e6, 1),
            "core_share": round(shares[role] / len(pids[role]), 4),
        }
        for role in pids
    }


class Measurement:
    """The phases of one run, each with its processor time."""

    def __init__(self, launcher: Launcher, idle: dict[str, Any]) -> None:
        self._launcher = launcher
        self._idle = idle

    def start_meter(self, pool: str) -> CpuMeter:
        """Return a meter of the entry and the pool's agents."""
        pids = list_pids(self._launcher, pool)
        shares = {r: self._idle[r]["core_share"] * len(pids[r]) for r in pids}
        return CpuMeter(pids, shares)

    async def compare(
        self, pool: str, direct: Call, through: Call, seconds: float
    ) -> dict[str, Any]:
        """Return both calls' figures, the added latency, and the processor time."""
        meter = self.start_meter(pool)
        calls = {"direct": direct, "through": through}
        figures = await run_at_rate(calls, seconds)
        figures.update(meter.per_unit_ms(int(seconds * RATE_PER_S)))
        for key in ("p50_ms", "p99_ms"):
            added = figures["through"][key] - figures["direct"][key]
            figures[f"added_{key}"] = round(added, 3)
        figures["load_average"] = os.getloadavg()[0]
        return figures

    async def measure_throughput(self, call: Call, seconds: float) -> dict[str, Any]:
        """Return the throughput of quotes and the processor time."""
        meter = self.start_meter("quotes")
        figures = await run_closed_loop(call, seconds)
        figures.update(meter.per_unit_ms(figures["requests_per_s"] * seconds))
        return figures


async def measure(launcher: Launcher, arguments: argparse.Namespace) -> dict[str, Any]:
    """Run all measurements except that of streams."""
    seconds = arguments.seconds
    result: dict[str, Any] = {"bench": "latency", "rate_per_s": RATE_PER_S}
    await prepare(launcher)
    result["idle"] = await measure_idle(launcher, arguments.idle_seconds)
    print(f"idle: {result['idle']}", flush=True)
    measurement = Measurement(launcher, result["idle"])
    client = ComparisonClient(launcher)
    result["quotes"] = await measurement.compare(
        "quotes", client.quote_direct, client.quote_through, seconds
    )
    result["dated_orders"] = await measurement.compare(
        "deposits", client.order_direct, client.order_through, seconds
    )
    result["plain_orders"] = await measurement.compare(
        "deposits", client.order_direct, client.order_plain_through, seconds
    )
    for name in ("quotes", "dated_orders", "plain_orders"):
        print(f"{name}: {result[name]}", flush=True)
    result["flat_out"] = {
        "direct": await run_closed_loop(client.quote_direct, seconds / 2),
        "through": await measurement.measure_throughput(
            client.quote_through, seconds / 2
        ),
    }
    print(f"flat out: {result['flat_out']}", flush=True)
    await client.aclose()
    return result


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--idle-seconds", type=float, default=30.0)
    parser.add_argument("--streams", type=int, default=400)
    arguments = parser.parse_args()
    exit_on_signals()
    with launch(DEPLOYMENT, make_options(ENGINE_ARGUMENTS)) as launcher:
        result = anyio.run(measure, launcher, arguments)
    result["streams"] = measure_streams(arguments.streams, arguments.seconds)
    print_result(result)


if __name__ == "__main__":
    main()
