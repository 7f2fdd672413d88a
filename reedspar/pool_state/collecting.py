"""The part of the exchange that an entry takes while it is a collector."""

from collections.abc import Callable, Mapping

from reedspar.fleet import TargetLoadNews
from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .collectors import STANDBY_INTERVAL_S, CollectorSelection
from .contributions import ContributionTable, RegionTable
from .interfaces import EntryContribution, TargetLoadRow
from .members import FleetMembers
from .messages import (
    EntryNews,
    LoadSubscription,
    PoolStateNews,
    RegionNews,
    WholeRequest,
    decode_demands,
    decode_targets,
    encode_demands,
    encode_pressure,
    encode_targets,
    identify_entry,
    identify_target,
)
from .relay_tree import list_receivers
from .rows import DemandTable, DemandTeller, flatten_demands, sum_by_pool
from .schedule import SendSchedule
from .sums import NEWS_TTL_S, ToldSums
from .target_table import TargetTable
from .traffic import CountedSender
from .turns import TurnCounter

__all__ = [
    "ACTIVE_INTERVAL_S",
    "REGION_SIZE_USUAL",
    "Collector",
    "compute_stretch",
    "subscribe_collector",
]

ACTIVE_INTERVAL_S = 0.3
"""Interval of the messages of the active collector without a considerable change."""
WHOLE_INTERVAL_S = 3.0
"""Interval of whole tables, from which a receiver that missed a message recovers."""
SUBSCRIPTION_INTERVAL_S = 2.0
REPORT_INTERVAL_S = 0.25
"""Interval of the reports of an agent whose load changes."""
REGION_SIZE_USUAL = 10
"""Number of entries, or agents, of a region up to which intervals are not extended."""
CONSIDERABLE_FRACTION = 0.1
"""Change of a sum, relative to the demand for its pool, that is told at once."""
OWN_ROWS_MAX = 64
"""Maximum number of rows in an entry's contribution."""

LoadRecorder = Callable[[int, TargetLoadRow, float], None]
"""Called with a target's id, its load and the age of the load in seconds."""


def compute_stretch(member_count: int) -> float:
    """Return the factor of intervals, so that a collector's traffic is bounded."""
    return max(1.0, member_count / REGION_SIZE_USUAL)


class Collector:
    """Collects what a region's entries and agents tell, and tells the sums."""

    def __init__(
        self,
        own_name: str,
        region: str,
        members: FleetMembers,
        sender: CountedSender,
        turns: TurnCounter,
        record_load: LoadRecorder,
        loads: TargetTable,
    ) -> None:
        self._own_name = own_name
        self._region = region
        self._members = members
        self._sender = sender
        self._turns = turns
        self._record_load = record_load
        self._loads = loads
        self._own_loads = TargetTable()
        self._contributions = ContributionTable()
        self._regions = RegionTable()
        self._selections: dict[str, CollectorSelection] = {}
        self._state_teller = DemandTeller()
        self._region_teller = DemandTeller()
        self._state_schedule = SendSchedule(ACTIVE_INTERVAL_S)
        self._standby_schedule = SendSchedule(STANDBY_INTERVAL_S)
        self._region_schedule = SendSchedule(ACTIVE_INTERVAL_S)
        self._told_pressures_s = float("-inf")
        self._told_standbys_s = float("-inf")
        self._subscribed_s = float("-inf")
        self._was_active = False
        self._told_entries: frozenset[str] = frozenset()
        self._active_peers: list[str] = []
        self._sequence = 0

    @property
    def contribution_count(self) -> int:
        """Return the number of the region's entries whose demands are known."""
        return len(self._contributions.entries)

    def clear(self, now_s: float) -> None:
        """Drop everything, as its age is unknown."""
        self._contributions.clear()
        self._regions.clear()
        self._own_loads.clear()
        for selection in self._selections.values():
            selection.reset(now_s)

    def tell_whole(self) -> None:
        """Tell whole tables next, as a receiver has missed one."""
        self._state_teller.reset()
        self._region_teller.reset()

    def record_entry(self, sender: str, news: EntryNews, now_s: float) -> None:
        """Record an entry's contribution; raise `ValueError` if it is damaged."""
        table = decode_demands(news.demands)
        pressure = news.pressure_percent / 100
        is_whole = news.demands.is_whole
        if not self._contributions.record(sender, table, is_whole, pressure, now_s):
            self._sender.send(WholeRequest(), sender)

    def record_region(self, sender: str, news: RegionNews, now_s: float) -> None:
        """Record another region's sums; raise `ValueError` if they are damaged."""
        table = decode_demands(news.demands)
        is_whole, count = news.demands.is_whole, news.contribution_count
        is_known = self._regions.record(
            news.region, sender, table, is_whole, count, now_s
        )
        if table and not is_known:
            self._sender.send(WholeRequest(), sender)
        if news.region in self._selections:
            self._selections[news.region].record_heard(sender, now_s)
        for target_id, row, age_s in decode_targets(news.targets):
            self._record_load(target_id, row, age_s)

    def record_target(self, news: TargetLoadNews, now_s: float) -> None:
        """Record the report of an agent of this region."""
        row = TargetLoadRow(news.running, news.waiting, news.is_taking, news.pace)
        target_id = identify_target(news.host, news.port)
        self._own_loads.record(target_id, row, 0.0, now_s)
        self._record_load(target_id, row, 0.0)

    def run(
        self,
        own: EntryContribution,
        selection: CollectorSelection,
        down: frozenset[str],
        now_s: float,
    ) -> list[PoolStateNews]:
        """Send what is due, and return the states that were sent."""
        stretch = compute_stretch(len(selection.entries))
        self._contributions.drop_old(now_s, NEWS_TTL_S * stretch)
        table = flatten_demands(own.demands, OWN_ROWS_MAX)
        self._contributions.record(self._own_name, table, True, own.pressure, now_s)
        self._turns.advance(now_s)
        self._update_selections(now_s)
        if not self._contributions.entries <= self._told_entries:
            # An entry that has just started or woken up knows no table.
            self._state_teller.reset()
        self._told_entries = self._contributions.entries
        is_active = selection.active(now_s) == self._own_name
        if is_active and not self._was_active:
            self._state_teller.reset()
            self._region_teller.reset()
            self._subscribed_s = float("-inf")
        self._was_active = is_active
        self._subscribe(is_active, now_s)
        sums = self._contributions.sums(now_s)
        total = self._regions.merge(sums, now_s)
        thresholds = {
            pool: CONSIDERABLE_FRACTION * offered
            for pool, offered in sum_by_pool(total.table).items()
        }
        self._tell_regions(sums, thresholds, is_active, now_s)
        state = self._make_state(total, thresholds, is_active, now_s)
        if state is None:
            return []
        order = selection.relay_order(self._own_name)
        strangers = self._contributions.entries - selection.entries - {self._own_name}
        receivers = {*list_receivers(order, self._own_name, down), *strangers}
        self._sender.send(state, *sorted(receivers))
        return [state]

    def _update_selections(self, now_s: float) -> None:
        """Follow the collectors of the other regions."""
        entries = self._members.entries_by_region()
        for region in [name for name in self._selections if name not in entries]:
            del self._selections[region]
        for region, names in entries.items():
            if region == self._region:
                continue
            if region not in self._selections:
                selection = CollectorSelection(region, self._own_name)
                self._selections[region] = selection
            self._selections[region].update_entries(names, now_s)

    def _subscribe(self, is_active: bool, now_s: float) -> None:
        if now_s - self._subscribed_s < SUBSCRIPTION_INTERVAL_S:
            return
        self._subscribed_s = now_s
        agents = self._members.agents()
        interval_s = STANDBY_INTERVAL_S
        if is_active:
            interval_s = REPORT_INTERVAL_S * compute_stretch(len(agents))
        self._sender.send(LoadSubscription(round(interval_s * 1000)), *agents)

    def _tell_regions(
        self,
        sums: ToldSums,
        thresholds: Mapping[str, float],
        is_active: bool,
        now_s: float,
    ) -> None:
        """Send the sums to the collectors of the other regions.

        The active collector tells the active ones at the full rate and the others once
        a second; a standby only shows once a second that it is there.
        """
        active: list[str] = []
        standbys: list[str] = []
        for selection in self._selections.values():
            chosen = selection.active(now_s) if is_active else None
            for name in selection.collectors(now_s):
                (active if name == chosen else standbys).append(name)
        if active != self._active_peers:
            self._active_peers = active
            self._region_teller.reset()
        has_changed = self._region_teller.has_changed(sums.table, thresholds)
        if active and self._region_schedule.take(now_s, has_changed):
            table, is_whole = self._region_teller.take(
                sums.table, thresholds, WHOLE_INTERVAL_S, now_s
            )
            rows = self._own_loads.take_untold(now_s)
            self._sender.send(self._make_region(sums, table, is_whole, rows), *active)
        is_due = now_s - self._told_standbys_s >= STANDBY_INTERVAL_S
        if standbys and is_due:
            self._told_standbys_s = now_s
            table = sums.table if is_active else {}
            # Standbys learn the loads of targets from their region's active collector.
            self._sender.send(self._make_region(sums, table, is_active, []), *standbys)

    def _make_region(
        self,
        sums: ToldSums,
        table: DemandTable,
        is_whole: bool,
        rows: list[tuple[int, TargetLoadRow, float]],
    ) -> RegionNews:
        return RegionNews(
            self._region,
            sums.contribution_count,
            self._turns.turn,
            encode_demands(table, is_whole),
            encode_targets(rows),
        )

    def _make_state(
        self,
        total: ToldSums,
        thresholds: Mapping[str, float],
        is_active: bool,
        now_s: float,
    ) -> PoolStateNews | None:
        """Return the state to send to the entries of the region if one is due."""
        teller = self._state_teller
        if is_active:
            has_changed = teller.has_changed(total.table, thresholds)
            is_due = self._state_schedule.take(now_s, has_changed)
        else:
            is_due = self._standby_schedule.take(now_s, has_changed=False)
        if not is_due:
            return None
        table, is_whole = teller.take(total.table, thresholds, WHOLE_INTERVAL_S, now_s)
        rows = self._loads.take_untold(now_s) if is_active else []
        pressures: Mapping[str, float] = {}
        if is_active and now_s - self._told_pressures_s >= STANDBY_INTERVAL_S:
            self._told_pressures_s = now_s
            pressures = self._contributions.pressures()
        self._sequence += 1
        return PoolStateNews(
            self._own_name,
            self._sequence,
            total.contribution_count,
            self._turns.turn,
            round(total.age_s * 1000),
            encode_demands(table, is_whole),
            encode_targets(rows),
            tuple([identify_entry(name) for name in pressures]),
            tuple([encode_pressure(value) for value in pressures.values()]),
        )


def subscribe_collector(
    collector: Collector,
    network: Network,
    timers: TimerService,
    is_running: Callable[[], bool],
    turns: TurnCounter,
    report_damage: Callable[[str, ValueError], None],
) -> None:
    """Pass the messages for collectors to `collector` while the exchange runs."""

    def on_entry(sender: Sender, news: EntryNews) -> None:
        if is_running():
            turns.adopt(news.turn, timers.now_s())
            try:
                collector.record_entry(sender.name, news, timers.now_s())
            except ValueError as error:
                report_damage(sender.name, error)

    def on_region(sender: Sender, news: RegionNews) -> None:
        if is_running():
            turns.adopt(news.turn, timers.now_s())
            try:
                collector.record_region(sender.name, news, timers.now_s())
            except ValueError as error:
                report_damage(sender.name, error)

    def on_target(sender: Sender, news: TargetLoadNews) -> None:
        if is_running():
            collector.record_target(news, timers.now_s())

    network.subscribe(EntryNews, on_entry)
    network.subscribe(RegionNews, on_region)
    network.subscribe(TargetLoadNews, on_target)
