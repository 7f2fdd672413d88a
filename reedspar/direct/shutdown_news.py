"""News between entries of shutdowns that targets announce in their answers.

While the store does not answer, an entry that sends little to a target would learn of
its shutdown last, from an answer of its own or from a broken connection.
"""

from reedspar.fleet import FleetView, TargetLeavingNews
from reedspar.links import Network, Role
from reedspar.messages import Sender

from .notices import TargetNotices

__all__ = ["ShutdownNews"]


class ShutdownNews:
    """Tells the other entries of announced shutdowns, and records what they tell."""

    def __init__(
        self, name: str, notices: TargetNotices, view: FleetView, network: Network
    ) -> None:
        self._name = name
        self._notices = notices
        self._view = view
        self._network = network
        notices.on_shutdown(self._announce)
        network.subscribe(TargetLeavingNews, self._handle_news)

    def _announce(self, target_id: str, boot_id: str) -> None:
        news = TargetLeavingNews(target_id, boot_id)
        for peer in self._view.peer_names(Role.ENTRY.value, None, self._name):
            self._network.send(peer, news)

    def _handle_news(self, sender: Sender, news: TargetLeavingNews) -> None:
        self._notices.record_shutdown(news.target_id, news.boot_id, sender.name)
