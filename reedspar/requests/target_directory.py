"""Soft state of the targets: their agents' reports, and our own part of the load."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from reedspar.attempts import TargetReport, TargetStatus
from reedspar.links import LinkChange, LinkEvent, Network
from reedspar.messages import Sender
from reedspar.timers import TimerService

__all__ = ["TargetDirectory", "TargetView", "create_target_directory"]

REPORT_TTL_S = 5.0
FORGET_AFTER_S = 60.0
ROOMY_PART = 0.75
IncarnationListener = Callable[[str, int], None]


@dataclass(slots=True)
class TargetView:
    """What this entry knows of one target."""

    report: TargetReport
    incarnation: int
    received_s: float
    own_in_flight: int = 0
    own_at_report: int = 0
    """Our own part when the report came; the report may count it already."""
    refused_until_s: float = 0.0
    """The agent refused us for its state; it is left alone until then."""

    @property
    def name(self) -> str:
        """Return the target's name."""
        return self.report.target

    @property
    def weights_digest(self) -> str:
        """Return nothing: agents choose the weights that they offer."""
        return ""

    @property
    def count(self) -> float:
        """Return the estimated requests that it has."""
        report = self.report
        since = self.own_in_flight - self.own_at_report
        return max(self.own_in_flight, report.in_flight + report.queued + since)

    @property
    def load(self) -> float:
        """Return the estimated requests per place of its limit.

        The report counts everybody's requests with a lag; our own hand-overs
        since then are added, and our own answers since then taken off.
        """
        return self.count / max(1, self.report.limit)


class TargetDirectory:
    """The targets that agents report to this entry."""

    def __init__(
        self, network: Network, timers: TimerService, report_ttl_s: float
    ) -> None:
        self._timers = timers
        self._report_ttl_s = report_ttl_s
        self._views: dict[str, TargetView] = {}
        self._by_pool: dict[str, dict[str, TargetView]] = {}
        self._listeners: list[IncarnationListener] = []
        self.stale_reports = 0
        network.subscribe(TargetReport, self._on_report)
        network.on_link_event(self._on_link_event)
        timers.call_every(FORGET_AFTER_S, self._forget_old)

    def on_incarnation(self, listener: IncarnationListener) -> None:
        """Call `listener` with name and incarnation when an agent was restarted."""
        self._listeners.append(listener)

    def get(self, target: str) -> TargetView | None:
        """Return what is known of `target`."""
        return self._views.get(target)

    def usable(self, pool: str) -> Iterator[TargetView]:
        """Yield the targets of `pool` that may be given work now."""
        now_s = self._timers.now_s()
        for view in self._by_pool.get(pool, {}).values():
            if view.report.status not in (TargetStatus.READY, TargetStatus.COLD):
                continue
            if now_s - view.received_s > self._report_ttl_s:
                continue
            if now_s >= view.refused_until_s:
                yield view

    def has_spare_capacity(self, pool: str) -> bool:
        """Tell whether the pool's targets are, as far as known, far from full."""
        limit = 0
        count = 0.0
        for view in self.usable(pool):
            limit += view.report.limit
            count += view.count
        return count + 1 <= ROOMY_PART * limit

    def count(self, pool: str) -> int:
        """Return how many targets of `pool` are known, usable or not."""
        return len(self._by_pool.get(pool, {}))

    def usable_count(self) -> int:
        """Return how many targets of all pools may be given work now."""
        return sum(1 for pool in self._by_pool for _ in self.usable(pool))

    def forget(self, target: str) -> None:
        """Drop what is known, since its agent left or the link is gone."""
        view = self._views.pop(target, None)
        if view is not None:
            self._by_pool[view.report.pool].pop(target, None)

    def _on_link_event(self, event: LinkEvent) -> None:
        if event.change in (LinkChange.DOWN, LinkChange.REFUSED):
            self.forget(event.peer)

    def _on_report(self, sender: Sender, report: TargetReport) -> None:
        now_s = self._timers.now_s()
        view = self._views.get(report.target)
        if view is None:
            view = TargetView(report, sender.incarnation, now_s)
            self._views[report.target] = view
            self._by_pool.setdefault(report.pool, {})[report.target] = view
            return
        known = (view.incarnation, view.report.sequence)
        # Two connections to one agent may deliver reports crossed.  An older
        # one would bring back a status (ready, not leaving) that has ended.
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
            view.refused_until_s = 0.0
        view.report = report
        view.incarnation = incarnation
        view.received_s = now_s
        view.own_at_report = view.own_in_flight

    def _forget_old(self) -> None:
        horizon_s = self._timers.now_s() - FORGET_AFTER_S
        old = [
            name for name, view in self._views.items() if view.received_s < horizon_s
        ]
        for name in old:
            if not self._views[name].own_in_flight:
                self.forget(name)


def create_target_directory(
    network: Network, timers: TimerService, report_ttl_s: float = REPORT_TTL_S
) -> TargetDirectory:
    """Make a directory and subscribe it to the agents' reports."""
    return TargetDirectory(network, timers, report_ttl_s)
