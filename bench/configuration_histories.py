"""Check the freshness guarantees of the configuration under random faults.

``python -m bench.configuration_histories [--seed N] [--seconds N]``

Runs random histories of faults until the time is over.  Each history has its own
seed, which is printed if a check fails in it.
"""

import argparse
import random
import time

from bench.measuring import print_result
from reedspar.configuration.tests.test_histories import FAULTS, FaultSimulation

__all__ = ["main"]

FAULTS_MAX = 25
WAIT_MAX_S = 10.0


def run_history(seed: int) -> str:
    """Run one history and return what failed, or an empty string."""
    rng = random.Random(seed)
    try:
        simulation = FaultSimulation(seed)
        for _ in range(rng.randint(3, FAULTS_MAX)):
            simulation.apply(rng.choice(FAULTS))
            simulation.fleet.run_for(rng.uniform(0.5, WAIT_MAX_S))
        simulation.heal()
    except AssertionError as error:
        return str(error)
    newest = simulation.key_value.version
    behind = [
        node.name for node in simulation.nodes if node.controller.version < newest
    ]
    return f"not healed: {behind}" if behind else ""


def main() -> None:
    """Run histories until the time is over and print one JSON line last."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    end_s = time.monotonic() + options.seconds
    seed = options.seed * 1_000_000
    count = 0
    failures = {}
    while time.monotonic() < end_s:
        if failure := run_history(seed + count):
            failures[seed + count] = failure
            print(seed + count, failure, flush=True)
        count += 1
    print_result({"seed": options.seed, "histories": count, "failures": failures})


if __name__ == "__main__":
    main()
