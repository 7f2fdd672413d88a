"""Operator actions in trials, through the daemons' HTTP interface."""

import time
import uuid
from dataclasses import dataclass
from typing import Any

import anyio
import httpx

from reedspar.platform import create_http_weight_source
from reedspar.settings import TargetKind
from reedspar.weights import Publication, publish_weights

from .launcher import Daemon, Launcher

__all__ = ["Operator", "OperatorError"]

POLL_INTERVAL_S = 0.05
PATCH_ATTEMPTS_MAX = 20


class OperatorError(Exception):
    """An operator action was refused; the message names it and the reason."""


@dataclass
class AcceptedPatch:
    """Version and time of an accepted patch."""

    version: int
    at: float


class Operator:
    """Patches the configuration, publishes versions and waits for replicas."""

    def __init__(self, launcher: Launcher) -> None:
        self._launcher = launcher
        self._client = httpx.AsyncClient(trust_env=False, verify=False, timeout=10.0)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def read_configuration(self) -> dict[str, Any]:
        """Return the newest configuration document that any entry has."""
        newest: dict[str, Any] = {"version": 0}
        for daemon in self._launcher.entries:
            try:
                answer = await self._client.get(
                    f"{daemon.http_url}/admin/configuration", timeout=2.0
                )
            except httpx.HTTPError:
                continue
            if answer.is_success and answer.json()["version"] >= newest["version"]:
                newest = answer.json()
        return newest

    async def patch(self, changes: dict[str, Any], summary: str) -> AcceptedPatch:
        """Patch the current version; after a conflict, read it again and retry."""
        detail = ""
        patch_id = uuid.uuid4().hex
        for attempt in range(PATCH_ATTEMPTS_MAX):
            document = await self.read_configuration()
            body = {
                "base_version": document["version"],
                "patch_id": patch_id,
                "author": "trial",
                "summary": summary,
                "patch": changes,
            }
            entries = self._launcher.entries
            url = entries[attempt % len(entries)].http_url
            try:
                answer = await self._client.post(
                    f"{url}/admin/configuration/patches", json=body
                )
            except httpx.HTTPError as error:
                detail = repr(error)
                continue
            if answer.is_success:
                return AcceptedPatch(answer.json()["version"], time.time())
            detail = answer.text
            await anyio.sleep(POLL_INTERVAL_S * (attempt + 1))
        raise OperatorError(f"patch {summary!r}: {detail}")

    async def configure(self) -> AcceptedPatch:
        """Write the initial configuration: pools and workspaces."""
        deployment = self._launcher.deployment
        pools = {}
        for pool in deployment.pools:
            is_model = pool.kind is TargetKind.MODEL_ENGINE
            pools[pool.name] = {
                "kind": "model" if is_model else "plain",
                "models": list(pool.models),
                "idempotent_paths": list(pool.idempotent_paths),
            }
        workspaces = {name: {"share": 1.0} for name in deployment.workspaces}
        changes = {"pools": pools, "workspaces": workspaces}
        return await self.patch(changes, "pools and workspaces")

    async def publish(
        self, model: str, label: str, sequence: int, weights: bytes, chunk_size: int
    ) -> Publication:
        """Publish a version to the origin and name it in the configuration."""
        origin = create_http_weight_source(self._launcher.origin_url)
        publication = await publish_weights(
            origin, model, label, sequence, weights, chunk_size
        )
        await origin.aclose()
        if not isinstance(publication, Publication):
            raise OperatorError(f"publish {label}: {publication}")
        version = publication.version.model_dump()
        await self.patch({"models": {model: version}}, f"publish {model} {label}")
        return publication

    async def set_zone(self, zone: str, state: str) -> AcceptedPatch:
        """Set the state of a zone, "in" or "out"."""
        return await self.patch({"zones": {zone: state}}, f"zone {zone} {state}")

    async def wait_for_replicas(
        self, agents: list[Daemon], model: str, root_digest: str, timeout_s: float
    ) -> dict[str, float]:
        """Return how long each engine took to load the version, in seconds from now.

        Reads the engines' own counts, not reports of the daemons under test.
        """
        start_s = time.monotonic()
        loaded: dict[str, float] = {}
        while len(loaded) < len(agents) and time.monotonic() - start_s < timeout_s:
            for agent in agents:
                if agent.name in loaded:
                    continue
                if await self._read_loaded(agent, model) == root_digest:
                    loaded[agent.name] = time.monotonic() - start_s
            await anyio.sleep(POLL_INTERVAL_S)
        return loaded

    async def _read_loaded(self, agent: Daemon, model: str) -> str:
        try:
            answer = await self._client.get(f"{agent.target_url}/control/counts")
        except httpx.HTTPError:
            return ""
        return str(answer.json()["loaded"].get(model, ""))
