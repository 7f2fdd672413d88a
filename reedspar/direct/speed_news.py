"""News between entries of targets that have become slow, or usual again.

An entry of many receives an answer of a given target every few seconds only, and a
figure holds for a fraction of a second.
"""

from collections import Counter
from collections.abc import Callable, Mapping

from reedspar.fleet import FleetView, SpeedRow, TargetRecord, TargetSpeedNews
from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.speeds import SpeedFigure, SpeedNewsQueue, SpeedSource
from reedspar.timers import TimerService
from reedspar.utils import rank_by_rendezvous

from .target_speeds import TargetSpeeds

__all__ = ["PEERS_MAX", "SpeedNews"]

PEERS_MAX = 64
"""Maximum number of entries that one entry tells."""
AGE_MAX_S = 1.0
"""Age from which the news of another entry is dropped."""
PERCENT = 100
AGE_MAX_MS = 65_535

CallLater = Callable[[float, Callable[[], None]], None]
"""Calls a function after a delay in seconds."""


class SpeedNews:
    """Tells other entries of figures that are news, and records what they tell.

    Targets with an agent are left out: it reports their speed more often.  The entries
    of the target's region are told, and those of this entry's region.
    Entries of a third region send little to the target, and links between regions
    are narrow.
    """

    def __init__(
        self,
        name: str,
        region: str,
        region_by_zone: Mapping[str, str],
        speeds: TargetSpeeds,
        view: FleetView,
        network: Network,
        timers: TimerService,
        call_later: CallLater,
    ) -> None:
        self._name = name
        self._region = region
        self._region_by_zone = region_by_zone
        self._speeds = speeds
        self._view = view
        self._network = network
        self._timers = timers
        self._call_later = call_later
        self._queue = SpeedNewsQueue()
        self._is_flush_due = False
        self._counts: Counter[str] = Counter(sent=0, received=0, stale=0)
        self._ranked: dict[frozenset[str], list[str]] = {}
        speeds.on_news(self._announce)
        network.subscribe(TargetSpeedNews, self._handle_news)

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the number of figures told and heard, for the metrics."""
        counts = {**self._counts, "left_out": self._queue.dropped_count}
        return [(count, {"direction": name}) for name, count in counts.items()]

    def _announce(self, record: TargetRecord, figure: SpeedFigure) -> None:
        if self._has_agent(record):
            return
        region = self._region_by_zone.get(record.zone, self._region)
        now_s = self._timers.now_s()
        if not self._queue.add(region, record.pool, figure, now_s):
            return
        wait_s = self._queue.wait_s(now_s)
        if not wait_s:
            self._flush()
        elif not self._is_flush_due:
            self._is_flush_due = True
            self._call_later(wait_s, self._flush)

    def _has_agent(self, record: TargetRecord) -> bool:
        routes = self._view.routes
        service = routes.services.get(record.pool) if routes is not None else None
        return service is not None and service.engine is not None

    def _flush(self) -> None:
        self._is_flush_due = False
        for region, pool, figures in self._queue.take(self._timers.now_s()):
            news = TargetSpeedNews(pool, tuple(_make_row(item) for item in figures))
            for peer in self._list_peers(region):
                self._network.send(peer, news)
                self._counts["sent"] += len(figures)

    def _list_peers(self, region: str) -> list[str]:
        """Return the entries to tell, those that rank first for this one."""
        role = Role.ENTRY.value
        names = frozenset(
            name
            for each in {region, self._region}
            for name in self._view.peer_names(role, each, self._name)
        )
        if len(names) <= PEERS_MAX:
            return sorted(names)
        ranked = self._ranked.get(names)
        if ranked is None:
            if len(self._ranked) >= len(set(self._region_by_zone.values())):
                self._ranked.clear()
            ranked = rank_by_rendezvous(self._name, names)[:PEERS_MAX]
            self._ranked[names] = ranked
        return ranked

    def _handle_news(self, sender: Sender, news: TargetSpeedNews) -> None:
        for row in news.rows:
            age_s = row.age_ms / 1000
            if age_s > AGE_MAX_S or not row.percent:
                self._counts["stale"] += 1
                continue
            self._counts["received"] += 1
            figure = SpeedFigure(
                row.boot_id, row.percent / PERCENT, SpeedSource.PEER, age_s
            )
            self._speeds.record_peer(news.pool, figure)


def _make_row(figure: SpeedFigure) -> SpeedRow:
    return SpeedRow(
        figure.boot_id,
        round(figure.slowdown_factor * PERCENT),
        min(AGE_MAX_MS, round(figure.age_s * 1000)),
    )
