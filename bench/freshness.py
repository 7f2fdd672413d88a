"""Compare rules for how fresh the configuration must be to start work during faults.

``python -m bench.freshness [--seed N]``

Simulates three faults of 60 s each in virtual time, with 59 entries and 190 agents.
For each of three rules, counts over all daemons the seconds in which new work is
refused although no zone is out, and the seconds in which work may start in a zone
more than 5 s after that zone was taken out:

- `serve_on`: the current version is valid without a time limit;
- `confirmed_only`: the key-value service must have confirmed it within 4 s;
- `product`: a confirmation, or an attestation of every zone, within 4 s.
"""

import argparse
from collections import Counter
from typing import Any

from bench.configuration import SIZES, make_document, make_fleet
from bench.measuring import print_result
from reedspar.configuration.tests.fleet import Fleet, Node
from reedspar.configuration.watching import WATCHERS_PER_ZONE

__all__ = ["main"]

ZONE = "zone-00"
CONFIRMATION_AGE_MAX_S = 4.0
ZONE_OUT_LIMIT_S = 5.0
WARM_UP_S = 12.0
ZONE_OUT_DELAY_S = 5.0
FAULT_DURATION_S = 60.0
SAMPLE_INTERVAL_S = 0.5


def is_work_allowed(rule: str, node: Node) -> bool:
    """Return whether a rule lets a daemon start work in its zone."""
    controller = node.controller
    document = controller.current()
    if document is None or not document.is_zone_in(node.zone):
        return False
    if rule == "serve_on":
        return True
    if rule == "product":
        return controller.check_work_allowed(node.zone) is None
    confirmed_s = controller.confirmed_age_s
    return confirmed_s <= CONFIRMATION_AGE_MAX_S


def measure(fault: str, seed: int) -> dict[str, Any]:
    """Return the daemon-seconds of refused and late work for each rule in one fault."""
    fleet = make_fleet(SIZES["middle"], seed, WATCHERS_PER_ZONE)
    fleet.key_value.write(make_document(1, ""))
    fleet.start()
    fleet.run_for(WARM_UP_S)
    start_fault(fleet, fault)
    refused: Counter[str] = Counter()
    late: Counter[str] = Counter()
    zone_out_at_s = float("inf")
    for i in range(int(FAULT_DURATION_S / SAMPLE_INTERVAL_S)):
        if i * SAMPLE_INTERVAL_S == ZONE_OUT_DELAY_S and fault == "zone_cut_off":
            fleet.key_value.write(make_document(2, ZONE))
            zone_out_at_s = fleet.clock.now_s()
        fleet.run_for(SAMPLE_INTERVAL_S)
        since_out_s = fleet.clock.now_s() - zone_out_at_s
        for node in fleet.nodes.values():
            if node.is_frozen:
                continue
            for rule in ("serve_on", "confirmed_only", "product"):
                is_allowed = is_work_allowed(rule, node)
                if node.zone == ZONE and since_out_s > ZONE_OUT_LIMIT_S:
                    late[rule] += is_allowed
                elif since_out_s < 0:
                    refused[rule] += not is_allowed
    return {
        rule: {
            "refused_daemon_s": refused[rule] * SAMPLE_INTERVAL_S,
            "late_daemon_s": late[rule] * SAMPLE_INTERVAL_S,
        }
        for rule in ("serve_on", "confirmed_only", "product")
    }


def start_fault(fleet: Fleet, fault: str) -> None:
    """Start a fault that lasts until the end of the run."""
    zone_daemons = {node.name for node in fleet.nodes.values() if node.zone == ZONE}
    if fault == "zone_cut_off":
        fleet.key_value.unreachable_from = zone_daemons
        fleet.is_partitioned = lambda a, b: (
            (a.name in zone_daemons) != (b.name in zone_daemons)
        )
        return
    fleet.key_value.is_down = True
    if fault == "service_and_zone_down":
        for name in zone_daemons:
            fleet.freeze(fleet.nodes[name], FAULT_DURATION_S * 2)


def main() -> None:
    """Measure each fault and print one JSON line last."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    result: dict[str, Any] = {"seed": options.seed, "fault_s": FAULT_DURATION_S}
    for fault in ("service_down", "zone_cut_off", "service_and_zone_down"):
        result[fault] = measure(fault, options.seed)
        print(fault, result[fault], flush=True)
    print_result(result)


if __name__ == "__main__":
    main()
