"""Measure the time until all engines have a version, with real processes.

Six engines run in three regions with the default rate limits: 12.5 MB/s per machine
and 1.25 MB/s between two regions.  The result also has the bytes that the origin sent
and two physical bounds: one copy over each link from the origin's region, and half of
that where regions exchange parts with each other.  The second version shares half of
its chunks with the first.
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

TARGET_COUNT = 6
REGIONS = ("region-a", "region-b", "region-c")
DEPLOYMENT = Deployment(
    "replicas",
    tuple(Zone(f"zone-{region}", region) for region in REGIONS),
    (
        Pool(
            "quotes",
            TargetKind.MODEL_ENGINE,
            TARGET_COUNT,
            ("m",),
            ("/v1/completions",),
        ),
    ),
    entry_count=1,
)
COPY_BYTES = 16 * 1024 * 1024
CHUNK_BYTES = 256 * 1024
REPLICATION_TIMEOUT_S = 120.0


def make_versions() -> list[bytes]:
    """Return the weights of two versions; the second shares half of the first."""
    first = random.Random(1).randbytes(COPY_BYTES)
    second = random.Random(2).randbytes(COPY_BYTES // 2)
    return [first, first[: COPY_BYTES // 2] + second]


def read_origin_bytes(launcher: Launcher) -> int:
    """Return the number of bytes that the origin has sent so far."""
    answer = httpx.get(f"{launcher.origin_url}/control/counts")
    return int(answer.json()["bytes_served"])


async def distribute(
    launcher: Launcher,
    operator: Operator,
    sequence: int,
    weights: bytes,
    new_bytes: int,
) -> dict[str, Any]:
    """Publish a version and wait for its replicas.

    `new_bytes` of the weights are not shared with an earlier version.
    """
    before = read_origin_bytes(launcher)
    publication = await operator.publish(
        "m", f"v{sequence}", sequence, weights, CHUNK_BYTES
    )
    started_s = time.monotonic()
    agents = launcher.agents_of("quotes")
    root_digest = publication.version.root_digest
    loaded = await operator.wait_for_replicas(
        agents, "m", root_digest, REPLICATION_TIMEOUT_S
    )
    star_s = new_bytes / LinkSettings().region_bytes_per_s
    return {
        "sequence": sequence,
        "replicas": len(loaded),
        "time_s": round(time.monotonic() - started_s, 2),
        "bound_star_s": round(star_s, 2),
        "bound_exchange_s": round(star_s / (len(REGIONS) - 1), 2),
        "origin_copies": round((read_origin_bytes(launcher) - before) / new_bytes, 3),
    }


async def run(launcher: Launcher) -> list[dict[str, Any]]:
    """Distribute two versions, one after the other, and return their figures."""
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
    """Run the deployment and print one JSON object last."""
    with launch(DEPLOYMENT) as launcher:
        results = anyio.run(run, launcher)
    print(json.dumps({"bench": "weights_replicas", "results": results}))


if __name__ == "__main__":
    main()
