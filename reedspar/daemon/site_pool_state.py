"""The exchange of pool state of an entry, joined with the parts that use it."""

from collections.abc import Callable

from reedspar.admission import DemandSource
from reedspar.direct.entry_pressure import EntryPressure
from reedspar.fleet import FleetView
from reedspar.pool_state import (
    EntryContribution,
    PoolStateExchange,
    TargetLoadRow,
    create_pool_state_exchange,
)
from reedspar.settings import SiteSettings
from reedspar.timers import TimerService

from .site_links import SiteLinks

__all__ = ["EntryReport", "SitePoolState", "create_site_pool_state"]

LoadRecorder = Callable[[str, int, TargetLoadRow, float], None]
"""Called with a target's host, port and load, and the age of the load in seconds."""


class EntryReport:
    """What an entry tells of itself (see `EntrySource`)."""

    def __init__(self, demands: DemandSource, pressure: EntryPressure) -> None:
        self._demands = demands
        self._pressure = pressure

    def read_contribution(self, now_s: float) -> EntryContribution:
        """Return the demands that arrive here and the pressure of this entry."""
        return EntryContribution(
            self._demands.read_demands(now_s), self._pressure.pressure
        )


class SitePoolState:
    """An exchange that is idle until the parts that use it are attached."""

    def __init__(self) -> None:
        self._is_needed: Callable[[], bool] = lambda: False
        self._record_load: LoadRecorder = lambda host, port, row, age_s: None

    def attach(self, is_needed: Callable[[], bool], record_load: LoadRecorder) -> None:
        """Set who decides whether to exchange, and who is told of targets' loads."""
        self._is_needed = is_needed
        self._record_load = record_load

    def is_needed(self) -> bool:
        """Return whether any part asks for the state now."""
        return self._is_needed()

    def record_load(
        self, host: str, port: int, row: TargetLoadRow, age_s: float
    ) -> None:
        """Pass a target's load on."""
        self._record_load(host, port, row, age_s)


def create_site_pool_state(
    settings: SiteSettings,
    view: FleetView,
    links: SiteLinks,
    timers: TimerService,
    report: EntryReport,
) -> tuple[PoolStateExchange, SitePoolState]:
    """Create an entry's exchange, and the handle to attach what uses it."""
    handle = SitePoolState()
    exchange = create_pool_state_exchange(
        name=settings.name,
        region=settings.region,
        source=report,
        view=view,
        network=links.create_network("pool-state"),
        timers=timers,
        is_needed=handle.is_needed,
        listen_load=handle.record_load,
    )
    return exchange, handle
