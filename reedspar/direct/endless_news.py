"""News between entries of targets that send answers without end.

Each entry would otherwise meet such an answer itself before it leaves the target.
"""

from collections import Counter

from reedspar.fleet import FleetView, TargetEndlessNews
from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .loads import TargetLoads

__all__ = ["EndlessNews"]


class EndlessNews:
    """Lets all entries leave a target that has sent one of them such an answer."""

    def __init__(
        self,
        name: str,
        loads: TargetLoads,
        view: FleetView,
        network: Network,
        timers: TimerService,
    ) -> None:
        self._name = name
        self._loads = loads
        self._view = view
        self._network = network
        self._timers = timers
        self._counts: Counter[str] = Counter()
        network.subscribe(TargetEndlessNews, self._handle_news)

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the number of answers without end by pool."""
        return [(count, {"pool": pool}) for pool, count in self._counts.items()]

    def record(self, pool: str, target_id: str, boot_id: str) -> None:
        """Record an answer without end, and tell the others of the first one."""
        self._counts[pool] += 1
        if not self._begin_backoff(target_id):
            return
        news = TargetEndlessNews(target_id, boot_id)
        for peer in self._view.peer_names(Role.ENTRY.value, None, self._name):
            self._network.send(peer, news)

    def _handle_news(self, sender: Sender, news: TargetEndlessNews) -> None:
        known = self._view.target(news.target_id)
        if known is not None and known.record.boot_id == news.boot_id:
            self._begin_backoff(news.target_id)

    def _begin_backoff(self, target_id: str) -> bool:
        load = self._loads.for_target(target_id)
        return load.endless.record_endless(self._timers.now_s())
