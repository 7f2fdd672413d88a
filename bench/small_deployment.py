"""Deployment of one entry, four engines and a plain service, for measurements."""

import anyio

from reedspar.settings import TargetKind
from stand_ins.deployments import Deployment, Pool, Zone
from stand_ins.launcher import Launcher, LauncherOptions
from stand_ins.operations import Operator

__all__ = ["DEPLOYMENT", "make_options", "prepare"]

ENGINE_COUNT = 4
CONCURRENCY_LIMIT = 512
DEPLOYMENT = Deployment(
    "bench",
    (Zone("zone-a", "region-a"),),
    (
        Pool(
            "quotes",
            TargetKind.MODEL_ENGINE,
            ENGINE_COUNT,
            ("m",),
            ("/v1/completions",),
        ),
        Pool("deposits", TargetKind.PLAIN_SERVICE, 1),
    ),
    entry_count=1,
)
WARM_ENGINE_ARGUMENTS = (
    "--max-batch",
    str(CONCURRENCY_LIMIT),
    "--cold-completions",
    "0",
)
WEIGHTS_BYTES = 256 * 1024
LOAD_TIMEOUT_S = 30.0
WAIT_AFTER_LOAD_S = 2.0


def make_options(engine_arguments: tuple[str, ...]) -> LauncherOptions:
    """Return the launcher options for engines that are never cold."""
    return LauncherOptions(
        engine_arguments=(*WARM_ENGINE_ARGUMENTS, *engine_arguments),
        daemon_settings={"target": {"concurrency_limit": CONCURRENCY_LIMIT}},
    )


async def prepare(launcher: Launcher) -> None:
    """Configure the deployment and load a small version into every engine."""
    operator = Operator(launcher)
    await operator.configure()
    publication = await operator.publish(
        "m", "v1", 1, bytes(WEIGHTS_BYTES), WEIGHTS_BYTES
    )
    agents = launcher.agents_of("quotes")
    loaded = await operator.wait_for_replicas(
        agents, "m", publication.version.root_digest, LOAD_TIMEOUT_S
    )
    await operator.aclose()
    if len(loaded) < len(agents):
        raise TimeoutError(f"only {sorted(loaded)} loaded the version")
    await anyio.sleep(WAIT_AFTER_LOAD_S)
