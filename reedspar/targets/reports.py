"""Reports of a target's status to the entries, periodically and on changes."""

from collections.abc import Callable

from reedspar.attempts import TargetReport, TargetStatus
from reedspar.links import LinkChange, LinkEvent, Network, Role
from reedspar.timers import TimerService

__all__ = ["ReportPublisher"]

REPORT_INTERVAL_S = 2.0


class ReportPublisher:
    """Sends the target's report to every linked entry."""

    def __init__(
        self,
        network: Network,
        timers: TimerService,
        build_report: Callable[[int], TargetReport],
    ) -> None:
        self._network = network
        self._build_report = build_report
        self._sequence = 0
        self._last_significant_state: tuple[object, ...] = ()
        timers.call_every(REPORT_INTERVAL_S, self.publish)
        network.on_link_event(self._on_link_event)

    def publish(self) -> None:
        """Send a report to all linked entries."""
        report = self._next_report()
        for peer in self._network.peers(Role.ENTRY):
            self._network.send(peer, report)

    def publish_if_changed(self) -> None:
        """Send a report if a field that affects the choice of targets has changed."""
        report = self._build_report(self._sequence)
        if self._significant_state(report) != self._last_significant_state:
            self.publish()

    def _on_link_event(self, event: LinkEvent) -> None:
        if event.change is LinkChange.DOWN:
            return
        if event.peer in self._network.peers(Role.ENTRY):
            self._network.send(event.peer, self._next_report())

    def _next_report(self) -> TargetReport:
        self._sequence += 1
        report = self._build_report(self._sequence)
        self._last_significant_state = self._significant_state(report)
        return report

    @staticmethod
    def _significant_state(report: TargetReport) -> tuple[object, ...]:
        is_full = report.in_flight + report.queued >= report.limit
        is_serving = report.status in (TargetStatus.READY, TargetStatus.COLD)
        return (is_serving, report.boot_id, report.offered, is_full)
