"""Copies of the named versions on an entry, for the agents of its region.

An entry's link is many times as wide as those of the machines beside targets.  Agents
that send each other chunks fill their narrow links in both directions, and the answers
of their targets wait there.  From a cache all agents of a region get a copy at the full
rate of their own links at the same time.

A cache gets a version as soon as it is named, for the origin may go away.  One that was
named before its own start, or before it took the place of another cache, it gets when
an agent asks: mostly nobody lacks it any more.
"""

import logging
import random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from reedspar.errors import Failure, Reason
from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .distribution import Distribution, WeightPeer
from .limits import create_swarm_limits
from .manifest import Manifest
from .manifest_exchange import CachePeers, VersionedOrigin
from .messages import DISTRIBUTION_MESSAGES
from .pump import TICK_S, DistributionPump
from .swarm import SwarmDistribution
from .views import AgentSettings

__all__ = ["WeightCache", "create_weight_cache"]

PEER_REFRESH_S = 0.5
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
VERSIONS_KEPT = 2
"""As many of a model as may be on their way at once."""

_logger = logging.getLogger(__name__)


class WeightCache:
    """Holds each named version, and serves its chunks."""

    def __init__(
        self,
        network: Network,
        timers: TimerService,
        tasks: TaskGroup,
        origin: VersionedOrigin,
        peers: CachePeers,
        distribution: Distribution,
        rng: random.Random,
    ) -> None:
        self._network = network
        self._timers = timers
        self._origin = origin
        self._peers = peers
        self._distribution = distribution
        self._rng = rng
        self._pump = DistributionPump(
            distribution, network, origin, timers, tasks, self._release
        )
        self._named: dict[str, list[int]] = {}
        """The newest versions by model, in the order in which they were named."""
        self._new: set[tuple[str, int]] = set()
        """Versions that were named while this daemon held copies."""
        self._gone: set[tuple[str, int]] = set()
        """Earlier versions that the origin does not hold any more."""
        self._manifests: dict[str, list[Manifest]] = {}
        self._wakeup = anyio.Event()

    def start(self) -> None:
        """Subscribe to messages and timers."""
        for message_class in DISTRIBUTION_MESSAGES:
            self._network.subscribe(message_class, self._receive)
        self._timers.call_every(TICK_S, self._tick)
        self._timers.call_every(PEER_REFRESH_S, self._refresh_peers)
        self._timers.on_pause(
            lambda gap_s: self._distribution.handle_pause(self._now_s())
        )

    def set_named_version(self, model: str, version: int) -> None:
        """Take the version of a model that targets are to serve; it only goes up."""
        named = self._named.setdefault(model, [])
        if named and version <= named[-1]:
            return
        if named and self._peers.is_cache():
            self._new.add((model, version))
        named.append(version)
        del named[:-VERSIONS_KEPT]
        self._wakeup.set()

    async def run(self) -> None:
        """Get what is named until cancelled."""
        while True:
            self._wakeup = anyio.Event()
            failures = [
                await self._get(model, version)
                for model, version in self._list_needed()
            ]
            if not any(failures):
                await self._wakeup.wait()
                continue
            with anyio.move_on_after(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)):
                await self._wakeup.wait()

    def _list_needed(self) -> list[tuple[str, int]]:
        """Return the versions to get; each region needs few caches.

        A cache takes the place of another one while versions are on their way.  The
        part that was the other's of an earlier one would be read by nobody.
        """
        if not self._peers.is_cache():
            return []
        held = {(m, k.sequence) for m, kept in self._manifests.items() for k in kept}
        named = {(m, version) for m, kept in self._named.items() for version in kept}
        return sorted(named - held - self._gone)

    async def _get(self, model: str, version: int) -> Failure | None:
        manifest = await self._origin.read_manifest(model, version)
        if isinstance(manifest, Failure):
            extra = {"model": model, "version": version, "failure": str(manifest)}
            _logger.warning("manifest was not read", extra=extra)
            if manifest.reason is Reason.NOT_FOUND and version < self._named[model][-1]:
                self._gone.add((model, version))
            return manifest
        _logger.info("weights cached", extra={"model": model, "version": version})
        manifests = self._manifests.setdefault(model, [])
        manifests.append(manifest)
        manifests.sort(key=lambda kept: kept.sequence)
        now_s = self._now_s()
        for older in manifests[:-VERSIONS_KEPT]:
            self._distribution.remove_version(older.root_digest, now_s)
        del manifests[:-VERSIONS_KEPT]
        self._set_peers(model)
        self._distribution.register_version(manifest, now_s)
        if (model, version) in self._new:
            self._distribution.fetch_chunks(manifest, now_s)
        self._pump.run()
        return None

    def _release(self, digest: str) -> None:
        """Let a chunk be evicted, if the memory for chunks is full."""
        self._distribution.release(digest, self._now_s())

    def _receive(self, sender: Sender, message: Any) -> None:
        self._distribution.receive(sender.name, message, self._now_s())
        self._pump.run()

    def _tick(self) -> None:
        self._distribution.tick(self._now_s())
        self._pump.run()

    def _refresh_peers(self) -> None:
        for model in self._manifests:
            self._set_peers(model)
        if self._list_needed():
            self._wakeup.set()

    def _set_peers(self, model: str) -> None:
        peers = self._peers.agents_of(model)
        self._distribution.set_peers(model, peers, self._now_s())

    def _now_s(self) -> float:
        return self._timers.now_s()


def create_weight_cache(
    settings: AgentSettings,
    *,
    network: Network,
    timers: TimerService,
    tasks: TaskGroup,
    origin: VersionedOrigin,
    peers: CachePeers,
    rng: random.Random,
) -> WeightCache:
    """Make the cache of an entry; call `start` next, and `run` in a task."""
    me = WeightPeer(settings.name, settings.region, settings.zone, is_cache=True)
    distribution = SwarmDistribution(
        me, create_swarm_limits(settings), random.Random(settings.name)
    )
    return WeightCache(network, timers, tasks, origin, peers, distribution, rng)
