"""Controller that connects the weight distribution to links, origin and engine."""

import logging
import random
from collections.abc import Callable
from typing import Any

from reedspar.attempts import LoadedWeights
from reedspar.configuration import ConfigurationDocument, ModelVersion
from reedspar.errors import Failure, Reason
from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.platform import EngineState, ModelEngine, WeightSource
from reedspar.supervision import TaskSpawner, run_restarting
from reedspar.timers import TimerService

from .action_runner import TICK_INTERVAL_S, ActionRunner
from .activation import SwitchGate
from .distribution import Distribution, WeightPeer
from .fencing import FencingNumbers
from .limits import create_swarm_limits
from .loading import Loader
from .manifest import decode_manifest
from .messages import DISTRIBUTION_MESSAGES, VersionNotice, VersionPhase
from .offers import OfferTracker
from .progress import ProgressLog
from .rollout import Rollout
from .staged_recovery import StagedReader, StagedRecovery
from .staged_version import StagedVersion, StagingOrder
from .stager import Stager
from .swarm import SwarmDistribution
from .verification import StagedVerifier
from .version_transfers import VersionTransfers
from .views import AgentSettings, ConfigurationView, PeerView, VersionDeadlines

__all__ = ["WeightController", "create_weight_controller"]

PEER_REFRESH_INTERVAL_S = 0.5
RESTAGE_REASONS = (Reason.INVALID, Reason.NOT_FOUND, Reason.CORRUPT)
"""Reasons of a failed load after which all chunks are staged again."""

_logger = logging.getLogger(__name__)


class WeightController:
    """Loads the configured versions into the target's engine and offers them."""

    def __init__(
        self,
        settings: AgentSettings,
        network: Network,
        timers: TimerService,
        tasks: TaskSpawner,
        origin: WeightSource,
        engine: ModelEngine,
        peers: PeerView,
        configuration: ConfigurationView,
        fencing: FencingNumbers,
        gate: SwitchGate,
        distribution: Distribution,
        staged_reader: StagedReader | None = None,
        deadlines: VersionDeadlines | None = None,
    ) -> None:
        self._deadlines = deadlines
        if settings.target is None:
            raise ValueError("a weight controller requires the settings of a target")
        self._target = settings.target
        self._network = network
        self._timers = timers
        self._tasks = tasks
        self._engine = engine
        self._peers = peers
        self._configuration = configuration
        self._distribution = distribution
        self._offers = OfferTracker()
        self._staged: dict[str, StagedVersion] = {}
        self._verifier = StagedVerifier(
            staged_reader, timers, self._staged, distribution.left_s, self._on_corrupt
        )
        self._loader = Loader(
            settings.target,
            timers,
            engine,
            fencing,
            gate,
            self._offers,
            self.record_engine_state,
            self._notify,
            self._verifier,
        )
        self._recovery = StagedRecovery(
            staged_reader, self.add_object, timers.now_s, lambda: self._offers.boot_id
        )
        self._rollout = Rollout(
            settings.name, settings.weights.switch_share, self._phase_of
        )
        self._stager = Stager(
            engine,
            self._staged,
            self._distribution.object_bytes,
            lambda: self._offers.boot_id,
            self._on_staged,
            timers.now_s,
        )
        self._listeners: list[Callable[[], None]] = []
        self._runner = ActionRunner(
            distribution, network, origin, timers, tasks, self._on_object
        )
        self.transfers = VersionTransfers(
            distribution, self._staged, self._offers, self._runner.run, timers
        )
        self._progress = ProgressLog(distribution.left_s)
        self._last_offered: tuple[LoadedWeights, ...] = ()

    def offered(self) -> tuple[LoadedWeights, ...]:
        """Return the versions that may serve requests now."""
        return self._offers.offered()

    @property
    def is_switching(self) -> bool:
        """Return whether the engine is loading another version."""
        return self._loader.is_loading

    def on_offer_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the offered versions."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Subscribe to messages, timers and the configuration, and start the tasks."""
        for message_class in DISTRIBUTION_MESSAGES:
            self._network.subscribe(message_class, self._receive)
        self._network.subscribe(VersionNotice, self._on_notice)
        self._timers.call_every(TICK_INTERVAL_S, self._tick)
        self._timers.call_every(PEER_REFRESH_INTERVAL_S, self._refresh_peers)
        self._timers.on_pause(self._handle_pause)
        self._configuration.on_change(self._apply_configuration)
        for service in (self._stager.run, self._verifier.run, self._loader.recover):
            self._tasks.start_soon(run_restarting, service)
        if self._configuration.document is not None:
            self._apply_configuration(self._configuration.document)

    def add_object(self, digest: str, data: bytes) -> None:
        """Add a verified object from another source than a peer or the origin."""
        self._distribution.add_object(digest, data, self._timers.now_s())
        self._runner.run()

    def record_engine_state(self, state: EngineState) -> None:
        """Record a state that was read from the engine; call it after each read."""
        confirmed = {m for m in self._staged if self._offers.is_confirmed(m)}
        is_new_boot = self._offers.record_state(state)
        for staged in self._staged.values():
            is_lost = staged.model in confirmed
            is_lost = is_lost and not self._offers.is_confirmed(staged.model)
            if is_new_boot or is_lost:
                self._restage(staged)
        self._runner.run()
        self._start_switches()
        self._notify()

    def record_engine_lost(self) -> None:
        """Withdraw all offers because the engine does not answer."""
        self._offers.record_engine_lost()
        self._notify()

    def _apply_configuration(self, document: ConfigurationDocument) -> None:
        pool = document.pools.get(self._target.pool)
        models = pool.models if pool is not None else ()
        wanted = {m: document.models[m] for m in models if m in document.models}
        self._offers.set_wanted(wanted)
        for model, staged in list(self._staged.items()):
            version = wanted.get(model)
            if version != staged.version:
                self._abandon(staged)
                if version is None or version.root_digest != staged.root_digest:
                    self._tasks.start_soon(self._engine.drop_staged, staged.root_digest)
        for model, version in wanted.items():
            if model not in self._staged:
                self._start_version(model, version)
        self._runner.run()
        self._notify()

    def _start_version(self, model: str, version: ModelVersion) -> None:
        if not self._offers.is_not_older(model, version.sequence):
            _logger.error("version is older than the one served: %s %s", model, version)
            return
        staged = self._staged[model] = StagedVersion(model, version)
        self._rollout.set_version(staged)
        self._set_peers(model)
        now_s = self._timers.now_s()
        self._distribution.fetch_object(model, version.manifest_digest, now_s)

    def _abandon(self, staged: StagedVersion) -> None:
        del self._staged[staged.model]
        self._distribution.remove_version(staged.root_digest, self._timers.now_s())

    def _restage(self, staged: StagedVersion) -> None:
        """Stage a version again after the engine has lost its chunks."""
        staged.reset()
        self._fetch_chunks(staged)

    def _fetch_chunks(self, staged: StagedVersion) -> None:
        """Fetch the chunks, unless the engine has not reported yet or serves them."""
        is_needed = self._offers.boot_id and not self._offers.is_confirmed(staged.model)
        if staged.manifest is not None and is_needed:
            self._distribution.fetch_chunks(staged.manifest, self._timers.now_s())

    def _receive(self, sender: Sender, message: Any) -> None:
        self._distribution.receive(sender.name, message, self._timers.now_s())
        self._runner.run()

    def _tick(self) -> None:
        self._distribution.tick(self._timers.now_s())
        self._runner.run()
        self._start_switches()
        for action in self._rollout.tick(self._timers.now_s()):
            self._runner.send(action)
        self._progress.log(
            self._staged.values(), self._runner.origin_reads, self._timers.now_s()
        )

    def _refresh_peers(self) -> None:
        for model in self._staged:
            self._set_peers(model)

    def _set_peers(self, model: str) -> None:
        peers = self._peers.agents_of(model)
        self._distribution.set_peers(model, peers, self._timers.now_s())
        # Other pools may serve the same model.  If they were counted together, all
        # targets of a small pool could switch within the share of a large one.
        pool = self._target.pool
        same_pool = [
            peer.name for peer in peers if peer.pool in ("", pool) and not peer.is_cache
        ]
        self._rollout.set_peers(model, same_pool)

    def _handle_pause(self, gap_s: float) -> None:
        self._distribution.handle_pause(self._timers.now_s())
        for staged in self._staged.values():
            staged.expire_verified(self._timers.now_s())
        self._rollout.handle_pause(self._timers.now_s())

    def _on_object(self, digest: str) -> None:
        orders = []
        for staged in list(self._staged.values()):
            if staged.manifest is None and staged.version.manifest_digest == digest:
                self._decode_manifest(staged)
            orders += staged.orders_for(digest, self._offers.boot_id)
        if orders:
            self._stager.add(orders)
        else:
            self._distribution.release(digest, self._timers.now_s())

    def _decode_manifest(self, staged: StagedVersion) -> None:
        digest = staged.version.manifest_digest
        data = self._distribution.object_bytes(digest)
        if data is None:
            return
        manifest = decode_manifest(data, digest)
        if isinstance(manifest, Failure):
            staged.is_invalid = True
            _logger.error("manifest is invalid: %s", manifest)
        elif not staged.set_manifest(manifest):
            _logger.error("manifest belongs to another version: %s", digest)
        else:
            self._distribution.register_version(manifest, self._timers.now_s())
            self._tasks.start_soon(self._recover, staged)

    async def _recover(self, staged: StagedVersion) -> None:
        """Recover the staged chunks at startup, then fetch the others."""
        await self._recovery.run(staged, lambda: self._is_current(staged))
        if self._is_current(staged):
            self._fetch_chunks(staged)
            self._runner.run()

    def _is_current(self, staged: StagedVersion) -> bool:
        return self._staged.get(staged.model) is staged

    def _on_staged(self, order: StagingOrder) -> None:
        """Release a staged chunk that no version still needs."""
        staged = self._staged.get(order.model)
        if staged is not None:
            self._verifier.record_staged(staged)
        if staged is not None and staged.is_fully_staged:
            sequence, reads = staged.version.sequence, self._runner.origin_reads
            extra = {"version": sequence, "origin_reads": reads}
            _logger.info("weights staged", extra=extra)
        if not any(s.needs(order.digest) for s in self._staged.values()):
            self._distribution.release(order.digest, self._timers.now_s())
            self._runner.run()
        self._start_switches()

    def _on_corrupt(self, staged: StagedVersion, index: int) -> None:
        """Fetch a staged chunk again after it was found corrupt."""
        staged.mark_lost(index)
        self._fetch_chunks(staged)
        self._runner.run()

    def _start_switches(self) -> None:
        """Start the switch of each completely staged version that may switch."""
        for staged in self._staged.values():
            if self._may_switch(staged):
                self._loader.reserve(staged)
                self._tasks.start_soon(self._switch, staged)

    def _may_switch(self, staged: StagedVersion) -> bool:
        if not staged.is_fully_staged or not self._loader.may_start(staged):
            return False
        if not self._offers.is_serving(staged.model):
            return True
        deadline_s = float("inf")
        if self._deadlines is not None:
            served = self._offers.served_sequence(staged.model)
            deadline_s = self._deadlines.service_deadline_s(staged.model, served)
        return self._rollout.may_switch(staged, self._timers.now_s(), deadline_s)

    def _phase_of(self, model: str) -> VersionPhase:
        """Return the phase of a model that is announced to the cohort."""
        staged = self._staged.get(model)
        if self._loader.is_busy_with(model):
            return VersionPhase.SWITCHING
        if staged is None or self._offers.is_confirmed(model):
            return VersionPhase.SERVING
        if staged.is_fully_staged and self._offers.is_serving(model):
            return VersionPhase.WAITING
        return VersionPhase.FETCHING

    def _on_notice(self, sender: Sender, notice: VersionNotice) -> None:
        now_s = self._timers.now_s()
        for action in self._rollout.receive(sender.name, notice, now_s):
            self._runner.send(action)

    async def _switch(self, staged: StagedVersion) -> None:
        failure = await self._loader.load(staged)
        if failure is None:
            return
        _logger.warning(
            "%s %s was not loaded: %s", staged.model, staged.version, failure
        )
        if self._is_current(staged) and failure.reason in RESTAGE_REASONS:
            self._restage(staged)
            self._runner.run()

    def _notify(self) -> None:
        offered = self.offered()
        if offered == self._last_offered:
            return
        self._last_offered = offered
        for listener in self._listeners:
            listener()


def create_weight_controller(
    settings: AgentSettings,
    *,
    network: Network,
    timers: TimerService,
    tasks: TaskSpawner,
    origin: WeightSource,
    engine: ModelEngine,
    peers: PeerView,
    configuration: ConfigurationView,
    fencing: FencingNumbers,
    gate: SwitchGate,
    staged_reader: StagedReader | None = None,
    deadlines: VersionDeadlines | None = None,
) -> WeightController:
    """Create the controller of an agent with a model engine; call `start` next."""
    me = WeightPeer(settings.name, settings.region, settings.zone)
    distribution = SwarmDistribution(
        me, create_swarm_limits(settings), random.Random(settings.name)
    )
    return WeightController(
        settings,
        network,
        timers,
        tasks,
        origin,
        engine,
        peers,
        configuration,
        fencing,
        gate,
        distribution,
        staged_reader,
        deadlines,
    )
