"""Listener for the target loads that agents report."""

from reedspar.fleet import FleetView, TargetLoadNews
from reedspar.links import Network
from reedspar.messages import Sender

from .choice import DirectChooser
from .loads import LoadReport

__all__ = ["LoadListener", "create_load_listener"]


class LoadListener:
    """Passes the loads that agents report to the chooser."""

    def __init__(
        self, view: FleetView, chooser: DirectChooser, network: Network
    ) -> None:
        self._view = view
        self._chooser = chooser
        network.subscribe(TargetLoadNews, self._on_news)

    def _on_news(self, sender: Sender, news: TargetLoadNews) -> None:
        known = self._view.find_target(news.host, news.port)
        if known is None:
            return
        report = LoadReport(
            news.running, news.waiting, news.slots, news.is_taking, news.pace
        )
        self._chooser.note_report(known.record.id, report)


def create_load_listener(
    view: FleetView, chooser: DirectChooser, network: Network
) -> LoadListener:
    """Create a listener that is subscribed to the agents' reports."""
    return LoadListener(view, chooser, network)
