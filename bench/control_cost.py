"""Measure the cost of the control plane per daemon by fleet size, with real processes.

``python -m bench.control_cost [--sizes 9,18,27] [--seconds N]``

The daemons exchange no requests and no weights, only the traffic of links, membership,
configuration and reports.  Prints the processor time, resident memory and bytes per
second of a daemon, the rate of key-value calls, the time from a version's acceptance
until it is in force, and the slopes of the costs by fleet size.
"""

import argparse
import statistics
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import httpx

from bench.measuring import print_result, read_cpu_s, read_resident_bytes
from reedspar.settings import TargetKind
from reedspar.timeline.events import EventKind, event_from_json
from stand_ins.deployments import Deployment, Pool, Zone
from stand_ins.launcher import Daemon, Launcher, LauncherOptions, launch

__all__ = ["main"]

ZONES = tuple(Zone(f"zone-{i}", f"region-{i}") for i in range(3))
ENTRY_FRACTION = 590 / 2490
"""Share of entries in the full fleet of `bench.configuration`."""
POOL = "orders"
WARM_UP_S = 8.0
MEBIBYTE = 1024 * 1024
MEMORY_FRACTION_MAX = 0.5
DAEMON_MEMORY_BYTES = 100 * MEBIBYTE
PATCH_COUNT = 5
ADOPTION_WAIT_S = 4.0
CLIENT_TIMEOUT_S = 20.0
TRAFFIC_METRIC = "links_traffic"
MESSAGES_METRIC = "reedspar_messages"
DIRECTIONS = ("sent", "received")


def check_memory(count: int) -> None:
    """Exit if the daemons would need more than half of the available memory."""
    with open("/proc/meminfo") as file:
        lines = dict(line.split(":") for line in file)
    free_bytes = int(lines["MemAvailable"].split()[0]) * 1024
    if count * DAEMON_MEMORY_BYTES > free_bytes * MEMORY_FRACTION_MAX:
        raise SystemExit(
            f"{count} daemons do not fit into half of the {free_bytes} bytes available"
        )


def make_deployment(count: int) -> Deployment:
    """Return a fleet of `count` daemons with entries in the ratio `ENTRY_FRACTION`."""
    entries = max(3, round(count * ENTRY_FRACTION))
    pool = Pool(POOL, TargetKind.PLAIN_SERVICE, count - entries)
    return Deployment(f"control-{count}", ZONES, (pool,), entries)


def read_traffic(client: httpx.Client, daemon: Daemon) -> dict[str, float]:
    """Return a daemon's bytes by direction and its messages by kind."""
    traffic: dict[str, float] = {}
    for line in client.get(f"{daemon.http_url}/metrics").text.splitlines():
        if line.startswith("#"):
            continue
        if TRAFFIC_METRIC in line:
            direction = line.split('direction="')[1].split('"')[0]
            traffic[direction] = float(line.rsplit(" ", 1)[1])
        elif MESSAGES_METRIC in line:
            kind = line.split('kind="')[1].split('"')[0]
            traffic[kind] = traffic.get(kind, 0.0) + float(line.rsplit(" ", 1)[1])
    return traffic


def submit_patch(client: httpx.Client, daemon: Daemon, version: int) -> float:
    """Submit a version to a daemon and return the wall-clock time of the answer."""
    body = {
        "base_version": version - 1,
        "patch_id": f"control-cost-{version}",
        "patch": {"pools": {POOL: {"kind": "plain"}}},
    }
    url = f"{daemon.http_url}/admin/configuration/patches"
    answer = client.post(url, json=body)
    if answer.is_error:
        raise SystemExit(f"version {version} was refused: {answer.text}")
    return time.time()


def read_adoptions(client: httpx.Client, daemon: Daemon) -> dict[int, float]:
    """Return the wall-clock time at which a daemon adopted each version."""
    page = client.get(f"{daemon.http_url}/admin/events").json()
    events = [event_from_json(data) for data in page["events"]]
    return {
        int(event.version): event.time_s
        for event in events
        if event.kind is EventKind.CONFIG_ADOPTED
    }


def measure_adoption(client: httpx.Client, launcher: Launcher) -> dict[str, Any]:
    """Return statistics of the times from acceptance until in force."""
    accepted = {}
    for version in range(2, PATCH_COUNT + 2):
        accepted[version] = submit_patch(client, launcher.entries[0], version)
        time.sleep(ADOPTION_WAIT_S)
    times = []
    missing = 0
    for daemon in launcher.daemons:
        adoptions = read_adoptions(client, daemon)
        for version, accepted_s in accepted.items():
            if version in adoptions:
                times.append(max(adoptions[version] - accepted_s, 0.0))
            else:
                missing += 1
    times.sort()
    return {
        "p50_s": round(statistics.median(times), 3),
        "p99_s": round(times[int(len(times) * 0.99)], 3),
        "max_s": round(times[-1], 3),
        "not_in_force": missing,
    }


def measure_cost(
    client: httpx.Client, launcher: Launcher, seconds: float
) -> dict[str, Any]:
    """Return mean and maximum costs by role while the configuration is unchanged."""
    daemons = launcher.daemons
    pids = {
        daemon.name: launcher.processes[daemon.name].popen.pid for daemon in daemons
    }

    def read_all() -> dict[str, tuple[float, dict[str, float]]]:
        with ThreadPoolExecutor(8) as pool:
            traffic = list(
                pool.map(lambda daemon: read_traffic(client, daemon), daemons)
            )
        return {
            daemon.name: (read_cpu_s(pids[daemon.name]), bytes_)
            for daemon, bytes_ in zip(daemons, traffic, strict=True)
        }

    counts_url = f"{launcher.key_value_url}/control/counts"
    before = read_all()
    calls = sum_counts(client.get(counts_url).json())
    started_s = time.monotonic()
    time.sleep(seconds)
    after = read_all()
    elapsed_s = time.monotonic() - started_s
    result: dict[str, Any] = {
        "key_value_calls_per_s": round(
            (sum_counts(client.get(counts_url).json()) - calls) / elapsed_s, 1
        )
    }
    for role, group in (("entry", launcher.entries), ("agent", launcher.agents)):
        cpu = [(after[d.name][0] - before[d.name][0]) / elapsed_s for d in group]
        link_bytes = [
            sum(after[d.name][1][key] - before[d.name][1][key] for key in DIRECTIONS)
            for d in group
        ]
        kinds = {key for d in group for key in after[d.name][1]} - {*DIRECTIONS}
        messages = {
            kind: sum(
                after[d.name][1].get(kind, 0) - before[d.name][1].get(kind, 0)
                for d in group
            )
            for kind in sorted(kinds)
        }
        resident = [read_resident_bytes(pids[d.name]) / MEBIBYTE for d in group]
        result[role] = {
            "cpu_share": round(statistics.fmean(cpu), 4),
            "cpu_share_max": round(max(cpu), 4),
            "resident_mib": round(statistics.fmean(resident), 1),
            "resident_mib_max": round(max(resident), 1),
            "link_bytes_per_s": round(statistics.fmean(link_bytes) / elapsed_s, 0),
            "link_bytes_per_s_max": round(max(link_bytes) / elapsed_s, 0),
            "messages_per_s": {
                kind: round(count / elapsed_s / len(group), 2)
                for kind, count in messages.items()
                if count
            },
        }
    return result


def sum_counts(counts: Any) -> int:
    """Return the sum of all integers in a nested object of counts."""
    if isinstance(counts, dict):
        return sum(sum_counts(value) for value in counts.values())
    return counts if isinstance(counts, int) else 0


def measure_size(count: int, seconds: float) -> dict[str, Any]:
    """Run a fleet of `count` daemons and return its figures."""
    check_memory(count)
    options = LauncherOptions(
        targets_per_process=count,
        daemon_settings={"platform": {"instance_poll_s": 5.0}},
    )
    with (
        launch(make_deployment(count), options) as launcher,
        httpx.Client(trust_env=False, timeout=CLIENT_TIMEOUT_S) as client,
    ):
        submit_patch(client, launcher.entries[0], 1)
        time.sleep(WARM_UP_S)
        cost = measure_cost(client, launcher, seconds)
        adoption = measure_adoption(client, launcher)
    return {"daemons": count, **cost, "in_force": adoption}


def fit_slope(xs: list[float], ys: list[float]) -> dict[str, float]:
    """Return a least-squares line, or an empty result for fewer than two points."""
    if len(xs) < 2:
        return {}
    line = statistics.linear_regression(xs, ys)
    return {"slope_per_daemon": line.slope, "intercept": line.intercept}


def main() -> None:
    """Measure each size and print one JSON line last."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="9,18,27")
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    figures = []
    for text in options.sizes.split(","):
        figures.append(measure_size(int(text), options.seconds))
        print(figures[-1], flush=True)
    sizes = [float(size["daemons"]) for size in figures]
    slopes: dict[str, Any] = {
        f"{role}_{key}": fit_slope(sizes, [size[role][key] for size in figures])
        for role in ("entry", "agent")
        for key in ("cpu_share", "resident_mib", "link_bytes_per_s")
    }
    calls = [size["key_value_calls_per_s"] for size in figures]
    slopes["key_value_calls_per_s"] = fit_slope(sizes, calls)
    print_result({"sizes": figures, "slopes": slopes})


if __name__ == "__main__":
    main()
