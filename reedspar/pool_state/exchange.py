"""The exchange of demands, loads and pressure at an entry."""

import logging
from collections.abc import Callable, Mapping, Sequence

from reedspar.admission import DemandBoard, PoolDemand
from reedspar.fleet import FleetView
from reedspar.links import LinkChange, LinkEvent, Network
from reedspar.messages import Sender
from reedspar.timers import TimerService
from reedspar.utils import TokenBucket

from .board import StateBoard
from .collecting import (
    OWN_ROWS_MAX,
    WHOLE_INTERVAL_S,
    Collector,
    compute_stretch,
    subscribe_collector,
)
from .collectors import STANDBY_INTERVAL_S, CollectorSelection
from .interfaces import (
    EntryContribution,
    EntrySource,
    PressureBoard,
    TargetLoadListener,
    TargetLoadRow,
)
from .members import FleetMembers
from .messages import (
    EntryNews,
    PoolStateNews,
    WholeRequest,
    decode_targets,
    encode_demands,
    encode_pressure,
)
from .relay_tree import list_receivers
from .rows import DemandTable, DemandTeller, flatten_demands, sum_by_pool
from .schedule import SendSchedule
from .target_table import TargetTable
from .traffic import CountedSender
from .turns import TurnCounter

__all__ = ["NoDemands", "PoolStateExchange", "create_pool_state_exchange"]

TICK_INTERVAL_S = 0.1
CONTRIBUTION_INTERVAL_S = 0.5
"""Interval of an entry's contributions without a considerable change."""
CONSIDERABLE_PART = 0.5
"""Change of an entry's demand, relative to the mean demand of an entry, that is told at
once."""
DAMAGE_LINES_PER_S = 0.2

_logger = logging.getLogger(__name__)


class NoDemands:
    """The source of an entry that measures no demand."""

    def read_contribution(self, now_s: float) -> EntryContribution:
        """Return an empty contribution."""
        return EntryContribution()


class PoolStateExchange(DemandBoard, PressureBoard):
    """Tells this entry's contribution, and learns the state of all."""

    def __init__(
        self,
        own_name: str,
        region: str,
        source: EntrySource,
        members: FleetMembers,
        network: Network,
        timers: TimerService,
        is_needed: Callable[[], bool],
        listen_load: TargetLoadListener,
    ) -> None:
        self._own_name = own_name
        self._region = region
        self._source = source
        self._members = members
        self._timers = timers
        self._is_needed = is_needed
        self._listen_load = listen_load
        now_s = timers.now_s()
        self._is_running = False
        self._selection = CollectorSelection(region, own_name)
        self._collectors: tuple[str, ...] = ()
        self._own = EntryContribution()
        self._own_read_s = float("-inf")
        self._board = StateBoard()
        self._demands: dict[str, PoolDemand] = {}
        self._loads = TargetTable()
        self._turns = TurnCounter(now_s)
        self._teller = DemandTeller()
        self._schedule = SendSchedule(CONTRIBUTION_INTERVAL_S)
        self._standby_teller = DemandTeller()
        self._standby_schedule = SendSchedule(STANDBY_INTERVAL_S)
        self._told: tuple[tuple[str, ...], ...] = ()
        self._down: set[str] = set()
        self._damage_bucket = TokenBucket(DAMAGE_LINES_PER_S, 1.0)
        self.sender = CountedSender(network)
        self._collector = Collector(
            own_name,
            region,
            members,
            self.sender,
            self._turns,
            self._record_load,
            self._loads,
        )
        network.subscribe(PoolStateNews, self._on_state)
        network.subscribe(WholeRequest, self._on_whole_request)
        network.on_link_event(self._on_link_event)
        subscribe_collector(
            self._collector,
            network,
            timers,
            lambda: self._is_running,
            self._turns,
            self._report_damage,
        )
        timers.on_pause(lambda paused_s: self._clear())
        timers.call_every(TICK_INTERVAL_S, self._tick)

    @property
    def is_collecting(self) -> bool:
        """Return whether this entry is a collector of its region."""
        return self._is_running and self._own_name in self._collectors

    @property
    def contribution_count(self) -> int:
        """Return the number of entries whose demands this entry knows."""
        sums = self._board.sums(self._timers.now_s())
        return sums.contribution_count if sums is not None else 0

    @property
    def state_age_s(self) -> float:
        """Return the age of the oldest part of the state, 0 without any."""
        now_s = self._timers.now_s()
        sums = self._board.sums(now_s)
        return now_s - sums.received_s + sums.age_s if sums is not None else 0.0

    def total_demand(self, pool: str, now_s: float) -> PoolDemand:
        """Return the demand for a pool at all entries (see `DemandBoard`)."""
        self._timers.check_pause()
        if now_s - self._own_read_s >= TICK_INTERVAL_S:
            self._read_own(now_s)
        demand = self._demands.get(pool)
        if demand is None:
            regions = self._members.entries_by_region().values()
            count = sum(len(names) for names in regions)
            demand = self._demands[pool] = self._board.total_demand(
                pool, self._own, count, self._turns.turn, now_s
            )
        return demand

    def pressure(self, entry: str, now_s: float) -> float | None:
        """Return the last known pressure of an entry (see `PressureBoard`)."""
        return self._board.pressure(entry, now_s)

    def _read_own(self, now_s: float) -> None:
        self._own = self._source.read_contribution(now_s)
        self._own_read_s = now_s
        self._demands.clear()

    def _clear(self) -> None:
        """Drop what was known before a pause, as its age is unknown."""
        now_s = self._timers.now_s()
        self._board.clear()
        self._loads.clear()
        self._demands.clear()
        self._collector.clear(now_s)
        self._selection.reset(now_s)
        self._told = ()

    def _tick(self) -> None:
        is_needed = self._is_needed()
        if is_needed != self._is_running:
            self._is_running = is_needed
            self._clear()
        if not is_needed:
            return
        now_s = self._timers.now_s()
        entries = self._members.entries_by_region().get(self._region, ())
        self._selection.update_entries(entries, now_s)
        self._board.drop_old(now_s)
        self._read_own(now_s)
        self._update_collectors(now_s)
        self._tell_collectors(now_s)
        if self.is_collecting:
            states = self._collector.run(
                self._own, self._selection, frozenset(self._down), now_s
            )
            for state in states:
                self._board.record(state, now_s)
                self._demands.clear()

    def _update_collectors(self, now_s: float) -> None:
        collectors = self._selection.collectors(now_s)
        if collectors != self._collectors:
            self._collectors = collectors
            _logger.info(
                "collectors of pool state changed",
                extra={"collectors": collectors, "is_collecting": self.is_collecting},
            )

    def _tell_collectors(self, now_s: float) -> None:
        """Send this entry's contribution to the collectors.

        The active one is told of changes at once, the others once a second.
        """
        table = flatten_demands(self._own.demands, OWN_ROWS_MAX)
        stretch = compute_stretch(len(self._selection.entries))
        active = self._selection.active(now_s)
        others = [name for name in self._collectors if name != self._own_name]
        told = tuple([name for name in others if active in (name, None)])
        standbys = tuple([name for name in others if name not in told])
        if (told, standbys) != self._told:
            self._told = (told, standbys)
            self._teller.reset()
            self._standby_teller.reset()
        thresholds = self._compute_thresholds(now_s)
        has_changed = self._teller.has_changed(table, thresholds)
        if told and self._schedule.take(now_s, has_changed, stretch):
            self._send_news(self._teller, table, thresholds, told)
        if standbys and self._standby_schedule.take(now_s, False, stretch):
            self._send_news(self._standby_teller, table, thresholds, standbys)

    def _send_news(
        self,
        teller: DemandTeller,
        table: DemandTable,
        thresholds: Mapping[str, float],
        receivers: Sequence[str],
    ) -> None:
        now_s = self._timers.now_s()
        stretch = compute_stretch(len(self._selection.entries))
        rows, is_whole = teller.take(
            table, thresholds, WHOLE_INTERVAL_S * stretch, now_s
        )
        pressure = encode_pressure(self._own.pressure)
        demands = encode_demands(rows, is_whole)
        self.sender.send(EntryNews(demands, pressure, self._turns.turn), *receivers)

    def _compute_thresholds(self, now_s: float) -> dict[str, float]:
        """Return the smallest considerable change of this entry's demand by pool."""
        sums = self._board.sums(now_s)
        if sums is None or not sums.contribution_count:
            return {}
        factor = CONSIDERABLE_PART / sums.contribution_count
        totals = sum_by_pool(sums.table)
        return {pool: factor * offered for pool, offered in totals.items()}

    def _on_state(self, sender: Sender, news: PoolStateNews) -> None:
        now_s = self._timers.now_s()
        is_own = news.collector == self._own_name
        if not self._is_running or is_own or not self._board.is_new(news, now_s):
            return
        order = self._selection.relay_order(news.collector)
        receivers = list_receivers(order, self._own_name, self._down)
        self.sender.send(news, *receivers)
        try:
            is_known = self._board.record(news, now_s)
            rows = decode_targets(news.targets)
        except ValueError as error:
            self._report_damage(sender.name, error)
            return
        if not is_known:
            self.sender.send(WholeRequest(), news.collector)
        self._selection.record_heard(news.collector, now_s)
        self._turns.adopt(news.turn, now_s)
        self._demands.clear()
        for target_id, row, age_s in rows:
            self._record_load(target_id, row, age_s)

    def _on_whole_request(self, sender: Sender, request: WholeRequest) -> None:
        self._told = ()
        self._collector.tell_whole()

    def _record_load(self, target_id: int, row: TargetLoadRow, age_s: float) -> None:
        """Pass a target's load on if it is newer than the known one."""
        address = self._members.find_address(target_id)
        now_s = self._timers.now_s()
        if address is not None and self._loads.record(target_id, row, age_s, now_s):
            self._listen_load(*address, row, age_s)

    def _on_link_event(self, event: LinkEvent) -> None:
        if event.change is LinkChange.DOWN:
            self._down.add(event.peer)
        else:
            self._down.discard(event.peer)
            if event.peer in self._collectors:
                # Messages may have been lost with the former connection.
                self._told = ()

    def _report_damage(self, peer: str, error: ValueError) -> None:
        if self._damage_bucket.try_consume(1.0, self._timers.now_s()):
            _logger.warning("pool state is unreadable: %s", error, extra={"peer": peer})


def create_pool_state_exchange(
    *,
    name: str,
    region: str,
    source: EntrySource,
    view: FleetView,
    network: Network,
    timers: TimerService,
    is_needed: Callable[[], bool],
    listen_load: TargetLoadListener,
) -> PoolStateExchange:
    """Create an entry's exchange, which runs while `is_needed` returns true."""
    members = FleetMembers(view, name, region)
    return PoolStateExchange(
        name, region, source, members, network, timers, is_needed, listen_load
    )
