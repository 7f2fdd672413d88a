"""Telling the entries of the load of the target beside this agent."""

from collections.abc import Callable

from reedspar.fleet import FleetView, TargetLoadNews
from reedspar.links import Network, Role
from reedspar.platform import EngineState

__all__ = ["LoadNews"]

REPEAT_S = 1.0
"""Between two reports of an unchanged load, so that entries don't take it for gone."""


class LoadNews:
    """Sends a report to each entry when the load has changed."""

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
        self._last: TargetLoadNews | None = None
        self._sent_s = float("-inf")

    def note_state(self, state: EngineState) -> None:
        """Take the engine's own report."""
        target = self._view.find_target(self._host, self._port)
        if target is None:
            return
        news = TargetLoadNews(
            self._host,
            self._port,
            state.in_flight,
            state.queued,
            target.record.slots,
            self._is_taking() and state.is_taking,
            state.pace,
        )
        is_due = self._now_s() - self._sent_s >= REPEAT_S
        if news == self._last and not is_due:
            return
        self._last = news
        self._sent_s = self._now_s()
        for entry in self._view.daemons(Role.ENTRY.value):
            self._network.send(entry.name, news)
