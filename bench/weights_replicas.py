"""Time until a version has N replicas over real processes, and the origin's bytes.

Six engines in three regions, with the default budgets: 12.5 MB/s a machine and
1.25 MB/s between two regions.  Beside the times stand the physical bounds: one
copy over each link from the origin's region, and the half of it where regions
hand on parts to each other.  The second version shares half of the first.
"""

import json
import random
import time
from typing import Any

import anyio
import httpx

from reedspar.settings import LinkSettings, TargetKind
from stand_ins.deployments import Deployment, Pool, Zone
from stand_ins.launcher import Launcher, launch
from stand_ins.operations import Operator

__all__ = ["main"]

TARGETS = 6
REGIONS = ("region-a", "region-b", "region-c")
DEPLOYMENT = Deployment(
    "replicas",
    tuple(Zone(f"zone-{region}", region) for region in REGIONS),
    (Pool("quotes", TargetKind.MODEL_ENGINE, TARGETS, ("m",), ("/v1/completions",)),),
    entry_count=1,
)
COPY_BYTES = 16 * 1024 * 1024
CHUNK_BYTES = 256 * 1024
LIMIT_S = 120.0


def make_versions() -> list[bytes]:
    """Return the weights of two versions that share a half."""
    first = random.Random(1).randbytes(COPY_BYTES)
    second = random.Random(2).randbytes(COPY_BYTES // 2)
    return [first, first[: COPY_BYTES // 2] + second]


def read_origin_bytes(launcher: Launcher) -> int:
    """Return what the origin has sent so far."""
    answer = httpx.get(f"{launcher.origin_url}/control/counts")
    return int(answer.json()["bytes_served"])


async def distribute(
    launcher: Launcher, operator: Operator, sequence: int, weights: bytes, new: int
) -> dict[str, Any]:
    """Publish a version and wait for its replicas; `new` bytes are not shared."""
    before = read_origin_bytes(launcher)
    publication = await operator.publish(
        "m", f"v{sequence}", sequence, weights, CHUNK_BYTES
    )
    started_s = time.monotonic()
    agents = launcher.agents_of("quotes")
    root_digest = publication.version.root_digest
    loaded = await operator.wait_for_replicas(agents, "m", root_digest, LIMIT_S)
    star_s = new / LinkSettings().region_bytes_per_s
    return {
        "sequence": sequence,
        "replicas": len(loaded),
        "time_s": round(time.monotonic() - started_s, 2),
        "bound_star_s": round(star_s, 2),
        "bound_exchange_s": round(star_s / (len(REGIONS) - 1), 2),
        "origin_copies": round((read_origin_bytes(launcher) - before) / new, 3),
    }


async def run(launcher: Launcher) -> list[dict[str, Any]]:
    """Distribute two versions, one after the other."""
    operator = Operator(launcher)
    await operator.configure()
    first, second = make_versions()
    results = [
        await distribute(launcher, operator, 1, first, COPY_BYTES),
        await distribute(launcher, operator, 2, second, COPY_BYTES // 2),
    ]
    await operator.aclose()
    return results


def main() -> None:
    """Run it, and print one JSON object in the last line."""
    with launch(DEPLOYMENT) as launcher:
        results = anyio.run(run, launcher)
    print(json.dumps({"bench": "weights_replicas", "results": results}))


if __name__ == "__main__":
    main()
