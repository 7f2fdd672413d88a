"""Reports of the load of this agent's target to the entries."""

from collections.abc import Callable

from reedspar.fleet import FleetView, TargetLoadNews
from reedspar.links import Network, Role
from reedspar.platform import EngineState

__all__ = ["LoadReporter"]

UNCHANGED_REPORT_INTERVAL_S = 1.0
"""Interval of reports of an unchanged load; without them, entries would consider the
target gone."""


class LoadReporter:
    """Sends a report to every entry when the load has changed, and periodically."""

    def __init__(
        self,
        host: str,
        port: int,
        view: FleetView,
        network: Network,
        now_s: Callable[[], float],
        is_taking: Callable[[], bool],
    ) -> None:
        self._host = host
        self._port = port
        self._view = view
        self._network = network
        self._now_s = now_s
        self._is_taking = is_taking
        self._last_report: TargetLoadNews | None = None
        self._last_sent_s = float("-inf")

    def report_state(self, state: EngineState) -> None:
        """Report the engine's state if it has changed or a report is due."""
        target = self._view.find_target(self._host, self._port)
        if target is None:
            return
        report = TargetLoadNews(
            self._host,
            self._port,
            state.in_flight,
            state.queued,
            target.record.slots,
            self._is_taking() and state.is_taking,
            state.pace,
        )
        is_due = self._now_s() - self._last_sent_s >= UNCHANGED_REPORT_INTERVAL_S
        if report == self._last_report and not is_due:
            return
        self._last_report = report
        self._last_sent_s = self._now_s()
        for entry in self._view.daemons(Role.ENTRY.value):
            self._network.send(entry.name, report)
