"""Soft state about targets: agents' reports, and this entry's requests in flight."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from reedspar.attempts import TargetReport, TargetStatus
from reedspar.links import LinkChange, LinkEvent, Network
from reedspar.messages import Sender
from reedspar.timers import TimerService

__all__ = ["TargetDirectory", "TargetView", "create_target_directory"]

REPORT_TTL_S = 5.0
"""Time after its last report for which a target is used."""
VIEW_RETENTION_S = 60.0
"""Time after its last report for which a target is remembered."""
SPARE_CAPACITY_LOAD_MAX = 0.75
"""Load of a pool up to which it has spare capacity."""
RestartListener = Callable[[str, int], None]


@dataclass(slots=True)
class TargetView:
    """State of one target as known to this entry."""

    report: TargetReport
    incarnation: int
    received_s: float
    own_in_flight: int = 0
    own_in_flight_at_report: int = 0
    """Own requests in flight when the report arrived, which may count them."""
    backoff_until_s: float = 0.0
    """Time until which the target is not used, as it refused a request."""

    @property
    def name(self) -> str:
        """Return the target's name."""
        return self.report.target

    @property
    def zone(self) -> str:
        """Return the target's availability zone."""
        return self.report.zone

    @property
    def weights_digest(self) -> str:
        """Return an empty digest, as agents choose the weights that they offer."""
        return ""

    @property
    def request_count(self) -> float:
        """Return the estimated number of requests at the target."""
        report = self.report
        change = self.own_in_flight - self.own_in_flight_at_report
        return max(self.own_in_flight, report.in_flight + report.queued + change)

    @property
    def load(self) -> float:
        """Return the estimated number of requests relative to the target's limit.

        The report counts the requests of all entries but is delayed.  Requests
        that this entry has handed over since are added, and those answered since
        are subtracted.
        """
        return self.request_count / max(1, self.report.limit)


class TargetDirectory:
    """The targets that agents report to this entry."""

    def __init__(
        self, network: Network, timers: TimerService, report_ttl_s: float
    ) -> None:
        self._timers = timers
        self._report_ttl_s = report_ttl_s
        self._views: dict[str, TargetView] = {}
        self._by_pool: dict[str, dict[str, TargetView]] = {}
        self._listeners: list[RestartListener] = []
        self.stale_reports = 0
        network.subscribe(TargetReport, self._on_report)
        network.on_link_event(self._on_link_event)
        timers.call_every(VIEW_RETENTION_S, self._remove_unreported)

    def on_agent_restart(self, listener: RestartListener) -> None:
        """Call `listener` with name and incarnation when an agent has restarted."""
        self._listeners.append(listener)

    def get(self, target: str) -> TargetView | None:
        """Return the state of `target`, or None if it is not known."""
        return self._views.get(target)

    def usable_targets(self, pool: str) -> Iterator[TargetView]:
        """Yield the targets of `pool` that accept work now."""
        now_s = self._timers.now_s()
        for view in self._by_pool.get(pool, {}).values():
            if view.report.status not in (TargetStatus.READY, TargetStatus.COLD):
                continue
            if now_s - view.received_s > self._report_ttl_s:
                continue
            if now_s >= view.backoff_until_s:
                yield view

    def has_spare_capacity(self, pool: str) -> bool:
        """Return whether the pool is estimated to be well below its limit."""
        limit = 0
        count = 0.0
        for view in self.usable_targets(pool):
            limit += view.report.limit
            count += view.request_count
        return count + 1 <= SPARE_CAPACITY_LOAD_MAX * limit

    def target_count(self, pool: str) -> int:
        """Return the number of known targets of `pool`, usable or not."""
        return len(self._by_pool.get(pool, {}))

    def usable_target_count(self) -> int:
        """Return the number of targets of all pools that accept work now."""
        return sum(1 for pool in self._by_pool for _ in self.usable_targets(pool))

    def remove(self, target: str) -> None:
        """Remove a target whose agent left or whose link is down."""
        view = self._views.pop(target, None)
        if view is not None:
            self._by_pool[view.report.pool].pop(target, None)

    def _on_link_event(self, event: LinkEvent) -> None:
        if event.change in (LinkChange.DOWN, LinkChange.REFUSED):
            self.remove(event.peer)

    def _on_report(self, sender: Sender, report: TargetReport) -> None:
        now_s = self._timers.now_s()
        view = self._views.get(report.target)
        if view is None:
            view = TargetView(report, sender.incarnation, now_s)
            self._views[report.target] = view
            self._by_pool.setdefault(report.pool, {})[report.target] = view
            return
        known = (view.incarnation, view.report.sequence)
        # Two connections to an agent may deliver reports out of order.  An older
        # one would restore an outdated status, such as ready instead of leaving.
        if (sender.incarnation, report.sequence) <= known:
            self.stale_reports += 1
            return
        is_restarted = sender.incarnation > view.incarnation
        self._replace(view, report, sender.incarnation, now_s)
        if is_restarted:
            for listener in self._listeners:
                listener(report.target, sender.incarnation)

    def _replace(
        self, view: TargetView, report: TargetReport, incarnation: int, now_s: float
    ) -> None:
        if view.report.pool != report.pool:
            self._by_pool[view.report.pool].pop(report.target, None)
            self._by_pool.setdefault(report.pool, {})[report.target] = view
        if view.report.status is not report.status or incarnation != view.incarnation:
            view.backoff_until_s = 0.0
        view.report = report
        view.incarnation = incarnation
        view.received_s = now_s
        view.own_in_flight_at_report = view.own_in_flight

    def _remove_unreported(self) -> None:
        horizon_s = self._timers.now_s() - VIEW_RETENTION_S
        old = [
            name for name, view in self._views.items() if view.received_s < horizon_s
        ]
        for name in old:
            if not self._views[name].own_in_flight:
                self.remove(name)


def create_target_directory(
    network: Network, timers: TimerService, report_ttl_s: float = REPORT_TTL_S
) -> TargetDirectory:
    """Create a directory and subscribe it to the agents' reports."""
    return TargetDirectory(network, timers, report_ttl_s)
