"""Composition of an entry whose requests go straight to targets."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from anyio.abc import TaskGroup
from starlette.types import ASGIApp

from reedspar.fleet import DaemonChange, FleetChange, FleetView, TargetChange
from reedspar.links import Network, Role
from reedspar.requests.application import RequestApplication, RequestIdGenerator
from reedspar.requests.attempting import RelayOptions
from reedspar.requests.caller_adapter import CallerAdapter
from reedspar.requests.crash_gossip import create_crash_gossip
from reedspar.requests.filters import chain_filters
from reedspar.requests.guards import QuarantineFilter
from reedspar.requests.quarantine import Quarantine
from reedspar.requests.relay import Relay
from reedspar.requests.request import Filter
from reedspar.requests.retries import RetryBudgets
from reedspar.routes import CallerLimits
from reedspar.settings import BoundSettings, SiteSettings
from reedspar.timers import TimerService

from .choice import DirectChooser
from .client import DirectAttemptClient, TargetDialer, create_direct_attempt_client
from .cold import ColdLimits
from .crashes import CrashDetector
from .filters import BoundByRoute, IdentifyRoute
from .limits import AttemptLimits
from .loads import TargetLoads
from .replaced import ReplacedWeightsLog
from .versions import VersionRule

__all__ = ["DirectService", "create_direct_service"]

SLACK_PART = 0.7
"""Part of the slack for retries that the entries share out among themselves.

The rest is for entries that don't know of each other yet."""
ENTRIES_MIN = 3
"""Entries reckoned with at least: one that has just started may know of no other."""


@dataclass(frozen=True, slots=True)
class DirectService:
    """The parts that a daemon needs to reach."""

    application: RequestApplication
    client: DirectAttemptClient
    chooser: DirectChooser
    loads: TargetLoads
    versions: VersionRule
    replaced: ReplacedWeightsLog
    follower: "_FleetFollower"

    def note_store_listed(self) -> None:
        """Note that the store has been listed, before this entry registers."""
        self.versions.note_store_listed()
        self.follower.note_started()

    def apply_bounds(self, bounds: BoundSettings) -> None:
        """Take bounds that have changed."""
        self.versions.set_bound(bounds.version_ms / 1000)
        self.follower.set_retries(bounds.retry_share, bounds.retry_slack)


class _FleetFollower:
    """Tells the parts of the service what they need of the fleet's changes."""

    def __init__(
        self,
        view: FleetView,
        loads: TargetLoads,
        cold: ColdLimits,
        budgets: RetryBudgets,
        retry_slack: float,
        timers: TimerService,
    ) -> None:
        self._view = view
        self._loads = loads
        self._cold = cold
        self._budgets = budgets
        self._retry_slack = retry_slack
        self._boots: dict[str, str] = {}
        self._timers = timers
        self._note_entries()

    def note_started(self) -> None:
        """Apply the startup limits for cold targets from now on."""
        self._cold.set_target_count(self._view.target_count())
        self._cold.note_started(self._timers.now_s())

    def set_retries(self, share: float, slack: float) -> None:
        """Take the retries that all entries may make together."""
        self._retry_slack = slack
        self._budgets.set_share(share)
        self._note_entries()

    def note(self, change: FleetChange) -> None:
        """Take in a change."""
        if isinstance(change, TargetChange):
            self._cold.set_target_count(self._view.target_count())
            self._note_target(change)
        elif isinstance(change, DaemonChange):
            self._note_entries()
            self._cold.note_entries_changed(self._timers.now_s())

    def _note_target(self, change: TargetChange) -> None:
        record = change.record
        if record is None:
            self._boots.pop(change.target_id, None)
            self._loads.forget(change.target_id)
        elif self._boots.get(record.id) != record.boot_id:
            self._boots[record.id] = record.boot_id
            self._loads.forget_restarted(record.id)

    def _note_entries(self) -> None:
        entries = self._view.daemons(Role.ENTRY.value)
        self._cold.set_entries(entry.name for entry in entries)
        count = max(ENTRIES_MIN, len(entries))
        self._budgets.set_burst(SLACK_PART * self._retry_slack / count)


def _note_crash(crashes: CrashDetector, view: FleetView, change: FleetChange) -> None:
    if isinstance(change, TargetChange):
        crashes.note_change(change, view.target(change.target_id))


def create_direct_service(
    *,
    settings: SiteSettings,
    incarnation: int,
    view: FleetView,
    timers: TimerService,
    tasks: TaskGroup,
    network: Network,
    dialer: TargetDialer,
    adapter: CallerAdapter,
    others: ASGIApp,
    is_store_slow: Callable[[], bool],
    rng: random.Random,
    first_filters: tuple[Filter, ...] = (),
) -> DirectService:
    """Build the entry side on the daemon's view of the fleet."""
    bounds = settings.bounds
    loads = TargetLoads()
    cold = ColdLimits(settings.name)
    versions = VersionRule(view, timers, bounds.version_ms / 1000)
    replaced = ReplacedWeightsLog(versions, timers)
    quarantine = Quarantine()
    gossip = create_crash_gossip(
        settings.name,
        quarantine,
        network,
        timers,
        rng,
        lambda: [entry.name for entry in view.daemons(Role.ENTRY.value)],
    )
    crashes = CrashDetector(settings.name, timers, gossip.report_crash)
    chooser = DirectChooser(
        view,
        loads,
        cold,
        versions,
        timers,
        settings.zones,
        settings.region,
        crashes,
        replaced,
        rng,
    )
    limits = AttemptLimits(view, loads, versions, timers)
    client = create_direct_attempt_client(
        dialer, timers, tasks, chooser.note_report, limits
    )
    budgets = RetryBudgets(bounds.retry_share)
    follower = _FleetFollower(view, loads, cold, budgets, bounds.retry_slack, timers)
    view.on_change(follower.note)
    view.on_change(lambda change: _note_crash(crashes, view, change))
    terms = RelayOptions(retry_wait_s=0.0, deadline_margin_s=0.0)
    filters: list[Filter] = [
        *first_filters,
        IdentifyRoute(view, is_store_slow, rng),
        BoundByRoute(),
        QuarantineFilter(quarantine, timers),
        Relay(client, chooser, budgets, quarantine, timers, terms),
    ]
    application = RequestApplication(
        chain_filters(filters),
        adapter,
        RequestIdGenerator(settings.name, incarnation),
        timers,
        CallerLimits().body_bytes,
        others,
    )
    return DirectService(
        application, client, chooser, loads, versions, replaced, follower
    )
