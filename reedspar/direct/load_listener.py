"""Listener for the target loads that agents report."""

from reedspar.fleet import FleetView
from reedspar.pool_state import TargetLoadRow
from reedspar.speeds import SpeedSource

from .loads import LoadReport
from .target_choice import DirectChooser

__all__ = ["LoadListener"]


class LoadListener:
    """Passes the loads that agents report to the chooser."""

    def __init__(self, view: FleetView, chooser: DirectChooser) -> None:
        self._view = view
        self._chooser = chooser

    def record_load(
        self, host: str, port: int, row: TargetLoadRow, age_s: float
    ) -> None:
        """Record the load of the target at an address (see `TargetLoadListener`)."""
        known = self._view.find_target(host, port)
        if known is None:
            return
        report = LoadReport(
            row.running,
            row.waiting,
            known.record.slots,
            row.is_taking,
            row.slowdown_factor,
        )
        self._chooser.record_report(known.record.id, report, age_s, SpeedSource.AGENT)
