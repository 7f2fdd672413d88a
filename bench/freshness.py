"""What it costs to stop starting work without fresh evidence, and what to serve on.

``python -m bench.freshness [--seed N]``

Three faults of 60 s each, under virtual time, at 59 + 190 daemons.  For three
rules it counts, over all daemons, the seconds in which new work is refused
though nothing was taken out, and in which it starts in a zone more than 5 s
after that zone was taken out:

- *serve on*: the version at hand counts for ever;
- *confirmed only*: the key-value service must have confirmed it within 4 s;
- *product*: confirmed, or the word of every zone, within 4 s.
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
FRESHNESS_S = 4.0
LATE_S = 5.0
WARM_UP_S = 12.0
OUT_AFTER_S = 5.0
FAULT_S = 60.0
STEP_S = 0.5


def may_start(rule: str, node: Node) -> bool:
    """Tell whether a daemon of the zone starts work in it under a rule."""
    controller = node.controller
    document = controller.current()
    if document is None or not document.is_zone_in(node.zone):
        return False
    if rule == "serve_on":
        return True
    if rule == "product":
        return controller.check_work_allowed(node.zone) is None
    confirmed_s = controller.confirmed_age_s
    return confirmed_s <= FRESHNESS_S


def measure(fault: str, seed: int) -> dict[str, Any]:
    """Return refused and late daemon-seconds for each rule under one fault."""
    fleet = make_fleet(SIZES["middle"], seed, WATCHERS_PER_ZONE)
    fleet.key_value.write(make_document(1, ""))
    fleet.start()
    fleet.run_for(WARM_UP_S)
    start_fault(fleet, fault)
    refused: Counter[str] = Counter()
    late: Counter[str] = Counter()
    out_s = float("inf")
    for i in range(int(FAULT_S / STEP_S)):
        if i * STEP_S == OUT_AFTER_S and fault == "zone_cut_off":
            fleet.key_value.write(make_document(2, ZONE))
            out_s = fleet.clock.now_s()
        fleet.run_for(STEP_S)
        since_out_s = fleet.clock.now_s() - out_s
        for node in fleet.nodes.values():
            if node.is_frozen:
                continue
            for rule in ("serve_on", "confirmed_only", "product"):
                starts = may_start(rule, node)
                if node.zone == ZONE and since_out_s > LATE_S:
                    late[rule] += starts
                elif since_out_s < 0:
                    refused[rule] += not starts
    return {
        rule: {
            "refused_daemon_s": refused[rule] * STEP_S,
            "late_daemon_s": late[rule] * STEP_S,
        }
        for rule in ("serve_on", "confirmed_only", "product")
    }


def start_fault(fleet: Fleet, fault: str) -> None:
    """Begin a fault that lasts to the end."""
    inside = {node.name for node in fleet.nodes.values() if node.zone == ZONE}
    if fault == "zone_cut_off":
        fleet.key_value.unreachable_from = inside
        fleet.is_partitioned = lambda a, b: (a.name in inside) != (b.name in inside)
        return
    fleet.key_value.is_down = True
    if fault == "service_and_zone_down":
        for name in inside:
            fleet.freeze(fleet.nodes[name], FAULT_S * 2)


def main() -> None:
    """Measure each fault and print one JSON line last."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    result: dict[str, Any] = {"seed": options.seed, "fault_s": FAULT_S}
    for fault in ("service_down", "zone_cut_off", "service_and_zone_down"):
        result[fault] = measure(fault, options.seed)
        print(fault, result[fault], flush=True)
    print_result(result)


if __name__ == "__main__":
    main()
