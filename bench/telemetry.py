"""Measure the cost of telemetry for a daemon: the time per call and resident memory.

The baseline is the same loop with a call without telemetry, in the same run.
"""

import argparse
import os
import time
from collections.abc import Callable
from typing import Any

from reedspar.attempts import AttemptData
from reedspar.links import Priority
from reedspar.observation import AttemptObserver, ObservedNetwork
from reedspar.telemetry import check_invariant, create_metrics
from reedspar.timeline import EventKind, create_event_recorder

from .measuring import print_result, read_resident_bytes

__all__ = ["main"]

MICROSECONDS_PER_S = 1e6
MEGABYTE = 1e6
SENDS_PER_S = 14_000


class NullNetwork:
    """Network that ignores all calls, as the baseline of `ObservedNetwork`."""

    def send(self, peer: str, message: Any, priority: Priority) -> None:
        """Ignore the message."""

    def subscribe(self, message_class: type, handler: Any) -> None:
        """Ignore the handler."""

    def on_link_event(self, listener: Any) -> None:
        """Ignore the listener."""

    def peers(self, role: Any = None) -> tuple[str, ...]:
        """Return no peers."""
        return ()


def time_calls(call: Callable[[], Any], count: int) -> float:
    """Return the mean microseconds per call of the fastest of three rounds."""
    rounds = []
    for _ in range(3):
        started_s = time.perf_counter()
        for _ in range(count):
            call()
        rounds.append((time.perf_counter() - started_s) / count)
    return min(rounds) * MICROSECONDS_PER_S


def main() -> None:
    """Run the measurements and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=20_000)
    count: int = parser.parse_args().count
    before_bytes = read_resident_bytes(os.getpid())
    metrics = create_metrics("bench")
    recorder = create_event_recorder("bench", 1)
    inner = NullNetwork()
    network = ObservedNetwork(inner, metrics, recorder)
    AttemptObserver(network, metrics, recorder)
    data = AttemptData("entry-1:1:1", 0, 0, bytes(40))
    labels = {"outcome": "answered", "pool": "quotes"}
    pool = {"pool": "quotes"}
    calls: dict[str, Callable[[], Any]] = {
        "empty_call_us": lambda: None,
        "event_us": lambda: recorder.record(
            EventKind.ATTEMPT_SENT, request_id="entry-1:1:1", attempt=0, target="a"
        ),
        "counter_us": lambda: metrics.requests.add(1, labels),
        "histogram_us": lambda: metrics.first_byte.record(0.1, pool),
        "invariant_us": lambda: check_invariant(True, "bench.holds"),
        "send_us": lambda: inner.send("a", data, Priority.LIVE),
        "observed_send_us": lambda: network.send("a", data),
    }
    result: dict[str, Any] = {
        name: round(time_calls(call, count), 3) for name, call in calls.items()
    }
    added_us = result["observed_send_us"] - result["send_us"]
    share = added_us * SENDS_PER_S / MICROSECONDS_PER_S
    result["core_share_at_14000_sends_per_s"] = round(share, 4)
    grown_bytes = read_resident_bytes(os.getpid()) - before_bytes
    result["ring_and_metrics_mb"] = round(grown_bytes / MEGABYTE, 1)
    result["render_us"] = round(time_calls(metrics.render, 20), 1)
    print_result(result)


if __name__ == "__main__":
    main()
