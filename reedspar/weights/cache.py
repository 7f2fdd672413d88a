"""Cache of weight chunks on an entry, for the agents of its region.

An entry's link has many times the bandwidth of the links of target machines.  Agents
that exchange chunks with each other fill their links in both directions and delay the
answers of their targets.  From a cache, all agents of a region can receive a copy at
the same time, each at the full rate of its own link.

A cache fetches a version as soon as it is named, because the origin may become
unavailable.  A version that was named before the cache started, or before it replaced
another cache, is fetched only when an agent requests it, since usually no agent still
needs it.
"""

import logging
import math
import random
from collections.abc import Callable
from typing import Any

import anyio

from reedspar.errors import Failure, Reason
from reedspar.fleet.named_versions import NamedVersions
from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.supervision import TaskSpawner
from reedspar.timers import TimerService

from .action_runner import TICK_INTERVAL_S, ActionRunner
from .distribution import Distribution, VersionStatus, WeightPeer
from .limits import create_swarm_limits
from .manifest import Manifest
from .manifest_exchange import CachePeers, VersionedOrigin
from .messages import DISTRIBUTION_MESSAGES, HaveMap
from .succession import DRAW_OVERHEAD, estimate_time_left_s
from .swarm import SwarmDistribution
from .views import AgentSettings

__all__ = ["WeightCache", "create_weight_cache"]

PEER_REFRESH_INTERVAL_S = 0.5
MANIFEST_RETRY_MIN_S = 0.1
MANIFEST_RETRY_MAX_S = 0.5
VERSIONS_PER_MODEL_MAX = 2
"""Number of the newest versions of a model that are transferred at the same time."""
REQUESTED_VERSIONS_MAX = 2
"""Maximum number of earlier ones that agents are still transferring."""

_logger = logging.getLogger(__name__)


class WeightCache:
    """Holds chunks of the named versions and serves them to agents."""

    def __init__(
        self,
        network: Network,
        timers: TimerService,
        tasks: TaskSpawner,
        origin: VersionedOrigin,
        peers: CachePeers,
        distribution: Distribution,
        rng: random.Random,
        read_origin_bytes_per_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._read_origin_bytes_per_s = read_origin_bytes_per_s
        self._network = network
        self._timers = timers
        self._origin = origin
        self._peers = peers
        self._distribution = distribution
        self._rng = rng
        self._runner = ActionRunner(
            distribution, network, origin, timers, tasks, self._release
        )
        self._named: dict[str, list[int]] = {}
        """The newest versions of each model, in the order of naming."""
        self._naming_times: dict[str, NamedVersions] = {}
        self._named_while_caching: set[tuple[str, int]] = set()
        """Versions named while this daemon was a cache."""
        self._removed_from_origin: set[tuple[str, int]] = set()
        """Earlier versions that the origin no longer holds."""
        self._dropped: set[tuple[str, int]] = set()
        """Versions that agents have given up; they are not cached once more."""
        self._manifests: dict[str, list[Manifest]] = {}
        self._wakeup = anyio.Event()

    def start(self) -> None:
        """Subscribe to messages and timers."""
        for message_class in DISTRIBUTION_MESSAGES:
            self._network.subscribe(message_class, self._receive)
        self._timers.call_every(TICK_INTERVAL_S, self._tick)
        self._timers.call_every(PEER_REFRESH_INTERVAL_S, self._refresh_peers)
        self._timers.on_pause(
            lambda gap_s: self._distribution.handle_pause(self._now_s())
        )

    def set_named_version(self, model: str, version: int) -> None:
        """Set the version that targets are to serve; ignore older versions."""
        named = self._named.setdefault(model, [])
        if named and version <= named[-1]:
            return
        if named and self._peers.is_cache():
            self._named_while_caching.add((model, version))
        named.append(version)
        times = self._naming_times.setdefault(model, NamedVersions(model))
        times.add(version, self._now_s())
        self._choose_drawn(model)
        for old in named[:-VERSIONS_PER_MODEL_MAX]:
            for versions in (
                self._named_while_caching,
                self._removed_from_origin,
                self._dropped,
            ):
                versions.discard((model, old))
        del named[:-VERSIONS_PER_MODEL_MAX]
        self._wakeup.set()

    async def run(self) -> None:
        """Cache named versions until cancelled."""
        while True:
            self._wakeup = anyio.Event()
            failures = [
                await self._cache_version(model, version)
                for model, version in self._list_uncached()
            ]
            if not any(failures):
                await self._wakeup.wait()
                continue
            with anyio.move_on_after(
                self._rng.uniform(MANIFEST_RETRY_MIN_S, MANIFEST_RETRY_MAX_S)
            ):
                await self._wakeup.wait()

    def _list_uncached(self) -> list[tuple[str, int]]:
        """Return the named versions to be cached, if this daemon is one of the caches.

        Each region needs only a few.  The versions include earlier ones: a cache may
        replace another one during a transfer, and no other daemon would read the chunks
        assigned to that one.
        """
        if not self._peers.is_cache():
            return []
        held = {(m, k.sequence) for m, kept in self._manifests.items() for k in kept}
        named = {(m, version) for m, kept in self._named.items() for version in kept}
        return sorted(named - held - self._removed_from_origin - self._dropped)

    async def _cache_version(self, model: str, version: int) -> Failure | None:
        manifest = await self._origin.read_manifest(model, version)
        if isinstance(manifest, Failure):
            extra = {"model": model, "version": version, "failure": str(manifest)}
            _logger.warning("manifest was not read", extra=extra)
            if manifest.reason is Reason.NOT_FOUND and version < self._named[model][-1]:
                self._removed_from_origin.add((model, version))
            return manifest
        _logger.info("caching weights", extra={"model": model, "version": version})
        manifests = self._manifests.setdefault(model, [])
        manifests.append(manifest)
        manifests.sort(key=lambda kept: kept.sequence)
        now_s = self._now_s()
        self._drop_unneeded(model)
        self._set_peers(model)
        self._distribution.register_version(manifest, now_s)
        self._choose_drawn(model)
        if (model, version) in self._named_while_caching:
            self._distribution.fetch_chunks(manifest, now_s)
        self._runner.run()
        return None

    def _drop_unneeded(self, model: str) -> None:
        """Drop versions that agents have given up, or are not to load any more.

        What the origin still sends of them would delay the newest version.  Agents may
        finish an earlier version, which the origin no longer holds.
        """
        *older, newest = self._manifests[model]
        asked = [self._status_of(manifest).is_requested for manifest in older]
        kept = [m for m, is_asked in zip(older, asked, strict=True) if is_asked]
        del kept[REQUESTED_VERSIONS_MAX:]
        if older and asked[-1] is None:
            kept.append(older[-1])
        for manifest in older:
            if manifest not in kept:
                self._dropped.add((model, manifest.sequence))
                self._distribution.remove_version(manifest.root_digest, self._now_s())
        self._manifests[model] = [*kept, newest]
        self._choose_drawn(model)

    def _status_of(self, manifest: Manifest) -> VersionStatus:
        return self._distribution.status(manifest.root_digest, self._now_s())

    def _choose_drawn(self, model: str) -> None:
        """Choose the version that is read from the origin.

        That is the newest, unless agents wait for an earlier one that can be complete
        before the origin removes it.  Two versions would share the link, and none be
        complete.
        """
        named = self._naming_times[model].all()
        chosen = ""
        for manifest in self._manifests.get(model, []):
            root = manifest.root_digest
            if manifest.sequence == named[-1].version:
                chosen = chosen or root
                continue
            status = self._status_of(manifest)
            copy_s = status.lacking_bytes / self._read_origin_bytes_per_s()
            draw_s = DRAW_OVERHEAD * copy_s
            left_s = estimate_time_left_s(manifest.sequence, named, self._now_s())
            is_given_up = status.is_requested is False
            is_waited_for = status.lacking_bytes > 0 and not is_given_up
            if not chosen and is_waited_for and draw_s <= left_s:
                chosen = root
        self._distribution.set_drawn_version(model, chosen, self._now_s())

    def _release(self, digest: str) -> None:
        """Allow a chunk to be evicted when the chunk memory is full."""
        self._distribution.release(digest, self._now_s())

    def _receive(self, sender: Sender, message: Any) -> None:
        self._distribution.receive(sender.name, message, self._now_s())
        if isinstance(message, HaveMap):
            for model in self._manifests:
                self._choose_drawn(model)
        self._runner.run()

    def _tick(self) -> None:
        for model in self._manifests:
            self._choose_drawn(model)
        self._distribution.tick(self._now_s())
        self._runner.run()

    def _refresh_peers(self) -> None:
        for model in self._manifests:
            self._drop_unneeded(model)
            self._set_peers(model)
        if self._list_uncached():
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
    tasks: TaskSpawner,
    origin: VersionedOrigin,
    peers: CachePeers,
    rng: random.Random,
    read_origin_bytes_per_s: Callable[[], float] = lambda: math.inf,
) -> WeightCache:
    """Create the cache of an entry; call `start` next, and `run` in a task."""
    me = WeightPeer(settings.name, settings.region, settings.zone, is_cache=True)
    distribution = SwarmDistribution(
        me, create_swarm_limits(settings), random.Random(settings.name)
    )
    return WeightCache(
        network,
        timers,
        tasks,
        origin,
        peers,
        distribution,
        rng,
        read_origin_bytes_per_s,
    )
