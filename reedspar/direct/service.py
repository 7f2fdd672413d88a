"""Composition of an entry's request service, which sends directly to targets."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import anyio
from starlette.types import ASGIApp

from reedspar.admission import (
    AdmissionControl,
    AdmissionRules,
    DemandBoard,
    DemandMeter,
    create_admission_control,
    create_extrapolating_board,
)
from reedspar.fleet import DaemonChange, FleetChange, FleetView, TargetChange
from reedspar.links import Network, Role
from reedspar.requests.answer_buffers import (
    BYTES_PER_MB,
    AnswerBuffers,
    create_answer_buffers,
)
from reedspar.requests.application import RequestApplication, RequestIdGenerator
from reedspar.requests.caller_adapter import CallerAdapter
from reedspar.requests.crash_gossip import create_crash_gossip
from reedspar.requests.cut_log import CutLog
from reedspar.requests.drain_filter import DrainFilter
from reedspar.requests.filters import chain_filters
from reedspar.requests.protection_filters import QuarantineFilter
from reedspar.requests.quarantine import Quarantine
from reedspar.requests.relay import Relay
from reedspar.requests.relay_interfaces import RelayOptions
from reedspar.requests.request import Filter
from reedspar.requests.slow_readers import SlowReaders
from reedspar.requests.uploads import BodyLimit
from reedspar.settings import BoundSettings, SiteSettings
from reedspar.supervision import TaskSpawner
from reedspar.timers import TimerService

from .admission_filter import AdmissionFilter, RankedPools
from .attempt_checks import AttemptChecks
from .client import DirectAttemptClient, TargetDialer, create_direct_attempt_client
from .cold_limits import ColdLimits
from .crashes import create_crash_detector
from .endless_news import EndlessNews
from .filters import DeadlineFilter, RouteIdentificationFilter
from .late_arrivals import create_late_arrivals
from .leaving_targets_log import LeavingTargetsLog
from .loads import TargetLoads
from .notices import TargetNotices
from .pool_capacity import FleetCapacity
from .rate_limits import RateLimits
from .replaced_weights_log import ReplacedWeightsLog
from .retry_shares import ENTRIES_MIN, RetryShares, create_retry_shares
from .send_limits import SendLimits
from .shutdown_news import ShutdownNews
from .speed_news import SpeedNews
from .target_choice import DirectChooser
from .target_speeds import TargetSpeeds
from .versions import VersionRule

__all__ = ["DirectService", "create_direct_service"]

SLOW_READER_SWEEP_S = 0.25


@dataclass(frozen=True, slots=True)
class DirectService:
    """The request service and the components that a daemon accesses."""

    application: RequestApplication
    client: DirectAttemptClient
    chooser: DirectChooser
    loads: TargetLoads
    notices: TargetNotices
    rate_limits: RateLimits
    versions: VersionRule
    quarantine: Quarantine
    replaced_weights_log: ReplacedWeightsLog
    answer_buffers: AnswerBuffers
    slow_readers: SlowReaders
    follower: "_FleetFollower"
    retry_shares: RetryShares
    admission: AdmissionControl
    ranked_pools: RankedPools
    demand_meter: DemandMeter
    speeds: TargetSpeeds
    speed_news: SpeedNews
    drain_filter: DrainFilter
    cut_log: CutLog

    def needs_pool_state(self) -> bool:
        """Return whether decisions here need what other daemons know of the pools."""
        return self.ranked_pools.is_any_active or bool(self.speeds.pools())

    def read_memory_refusals(self) -> list[tuple[float, dict[str, str]]]:
        """Return how many requests were refused for want of memory, by cause."""
        refused = self.answer_buffers.refused
        return [
            (refused, {"cause": "entry_full"}),
            *self.chooser.memory_room.read_counts(),
        ]

    def record_process_start(self, started_s: float) -> None:
        """Record that the process started at a time of the timers' clock."""
        self.versions.record_process_start(started_s)

    def record_store_listing(self) -> None:
        """Record the initial listing of the store, before this entry registers."""
        self.versions.record_store_listing()
        self.retry_shares.record_listing()
        self.follower.begin_startup()

    def apply_bounds(self, bounds: BoundSettings) -> None:
        """Apply changed bounds."""
        self.versions.set_bound(bounds.version_ms / 1000)
        self.retry_shares.set_bounds(bounds)


class _FleetFollower:
    """Updates the components of the service when the fleet changes."""

    def __init__(
        self,
        view: FleetView,
        loads: TargetLoads,
        cold_limits: ColdLimits,
        retry_shares: RetryShares,
        timers: TimerService,
    ) -> None:
        self._view = view
        self._loads = loads
        self._cold_limits = cold_limits
        self._retry_shares = retry_shares
        self._boot_ids: dict[str, str] = {}
        self._timers = timers
        self._update_entries()

    def begin_startup(self) -> None:
        """Apply the startup limits for cold targets from now on."""
        self._cold_limits.set_target_count(self._view.target_count())
        self._cold_limits.begin_startup(self._timers.now_s())

    def apply_change(self, change: FleetChange) -> None:
        """Process a change of the fleet."""
        if isinstance(change, TargetChange):
            self._cold_limits.set_target_count(self._view.target_count())
            self._update_target(change)
        elif isinstance(change, DaemonChange):
            self._update_entries()
            self._cold_limits.record_entries_change(self._timers.now_s())

    def _update_target(self, change: TargetChange) -> None:
        record = change.record
        if record is None:
            self._boot_ids.pop(change.target_id, None)
            self._loads.remove(change.target_id)
        elif self._boot_ids.get(record.id) != record.boot_id:
            self._boot_ids[record.id] = record.boot_id
            self._loads.reset_after_restart(record.id)

    def _update_entries(self) -> None:
        entries = self._view.daemons(Role.ENTRY.value)
        self._cold_limits.set_entries(entry.name for entry in entries)
        self._loads.entry_count = max(ENTRIES_MIN, len(entries))
        self._retry_shares.set_entry_count(len(entries))


def _count_unregistered(view: FleetView, network: Network) -> int:
    """Return how many entries are linked to this one without being registered."""
    registered = {entry.name for entry in view.daemons(Role.ENTRY.value)}
    return len(set(network.peers(Role.ENTRY)) - registered)


def create_direct_service(
    *,
    settings: SiteSettings,
    incarnation: int,
    view: FleetView,
    timers: TimerService,
    tasks: TaskSpawner,
    network: Network,
    dialer: TargetDialer,
    adapter: CallerAdapter,
    fallback: ASGIApp,
    is_store_slow: Callable[[], bool],
    rng: random.Random,
    first_filters: tuple[Filter, ...] = (),
    demand_meter: DemandMeter | None = None,
    demand_board: DemandBoard | None = None,
) -> DirectService:
    """Create the request service of an entry on the daemon's view of the fleet.

    `demand_meter` measures the demand at this entry, `demand_board` knows that of all
    entries; without a board, this entry's own demand is extrapolated.
    """
    bounds = settings.bounds
    loads = TargetLoads()
    cold_limits = ColdLimits(settings.name)
    rate_limits = RateLimits(
        settings.name, cold_limits.ranking, loads, view, network, timers
    )
    notices = TargetNotices(loads, timers)
    dialer.on_notice(rate_limits.record_notice)
    dialer.on_notice(notices.record)
    ShutdownNews(settings.name, notices, view, network)
    send_limits = SendLimits(cold_limits, rate_limits)
    leaving_targets_log = LeavingTargetsLog(view, timers)
    dialer.on_notice(leaving_targets_log.record_notice)
    versions = VersionRule(view, timers, bounds.version_ms / 1000)
    replaced_weights_log = ReplacedWeightsLog(versions, timers)
    quarantine = Quarantine()
    gossip = create_crash_gossip(
        settings.name,
        quarantine,
        network,
        timers,
        rng,
        lambda: [entry.name for entry in view.daemons(Role.ENTRY.value)],
    )
    crashes = create_crash_detector(view, dialer, tasks, timers, gossip.report_crash)
    speeds = TargetSpeeds(timers)
    meter = demand_meter or DemandMeter()
    board = demand_board or create_extrapolating_board(
        meter, lambda: loads.entry_count, time.time() - timers.now_s()
    )
    admission = create_admission_control(
        AdmissionRules(settings.admission.floor, settings.admission.weights),
        meter,
        board,
        FleetCapacity(view, loads, notices, versions, speeds),
    )
    ranked_pools = RankedPools(view, settings.admission.mode, admission)

    def call_later(delay_s: float, callback: Callable[[], None]) -> None:
        async def wait() -> None:
            await anyio.sleep(delay_s)
            callback()

        tasks.start_soon(wait)

    speed_news = SpeedNews(
        settings.name,
        settings.region,
        settings.zones,
        speeds,
        view,
        network,
        timers,
        call_later,
    )
    chooser = DirectChooser(
        view,
        loads,
        notices,
        send_limits,
        versions,
        timers,
        settings.zones,
        settings.region,
        crashes,
        EndlessNews(settings.name, loads, view, network, timers),
        (replaced_weights_log, leaving_targets_log),
        rng,
        ranks=ranked_pools,
        speeds=speeds,
    )
    checks = AttemptChecks(view, loads, notices, versions, timers)
    client = create_direct_attempt_client(
        dialer,
        timers,
        tasks,
        chooser.record_report,
        checks,
        create_late_arrivals(view, timers),
        settings.limits.answer_mb * BYTES_PER_MB,
    )
    retry_shares = create_retry_shares(
        bounds, timers, partial(_count_unregistered, view, network)
    )
    follower = _FleetFollower(view, loads, cold_limits, retry_shares, timers)
    view.on_change(follower.apply_change)
    drain_filter = DrainFilter(timers)
    cut_log = CutLog(drain_filter, timers)
    relay_options = RelayOptions(retry_wait_s=0.0, deadline_margin_s=0.0)
    filters: list[Filter] = [
        *first_filters,
        RouteIdentificationFilter(view, is_store_slow, rng),
        DeadlineFilter(),
        drain_filter,
        QuarantineFilter(quarantine, timers),
        AdmissionFilter(ranked_pools, admission, timers),
        Relay(
            client,
            chooser,
            retry_shares.budgets,
            quarantine,
            timers,
            relay_options,
        ),
    ]
    buffers = create_answer_buffers(
        settings.limits.memory_mb, settings.limits.held_share
    )
    slow_readers = SlowReaders(buffers)

    def sweep_readers() -> None:
        slow_readers.sweep(timers.now_s(), view.caller_limits.idle_timeout_s)

    timers.call_every(SLOW_READER_SWEEP_S, sweep_readers)
    application = RequestApplication(
        chain_filters(filters),
        adapter,
        RequestIdGenerator(settings.name, incarnation),
        timers,
        BodyLimit(
            lambda: view.caller_limits.body_bytes,
            lambda: view.routes is None or is_store_slow(),
        ),
        fallback,
        buffers,
        cut_log,
    )
    return DirectService(
        application,
        client,
        chooser,
        loads,
        notices,
        rate_limits,
        versions,
        quarantine,
        replaced_weights_log,
        buffers,
        slow_readers,
        follower,
        retry_shares,
        admission,
        ranked_pools,
        meter,
        speeds,
        speed_news,
        drain_filter,
        cut_log,
    )
