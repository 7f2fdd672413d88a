"""Shell around the quarantine: hears of crashes and passes the news on.

News goes at once to a few entries, and again now and then for as long as it
counts, so that entries that were cut off or started later hear of it, too.
"""

import random
from collections.abc import Callable, Iterable

from reedspar.attempts import CrashNotice
from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .messages import CrashNews
from .quarantine import Crash, Quarantine

__all__ = ["CrashGossip", "create_crash_gossip"]

FANOUT = 4
REPEAT_S = 2.0
REPEATED_MAX = 16


class CrashGossip:
    """Feeds one entry's quarantine."""

    def __init__(
        self,
        name: str,
        quarantine: Quarantine,
        network: Network,
        timers: TimerService,
        rng: random.Random,
        list_entries: Callable[[], Iterable[str]] | None = None,
    ) -> None:
        self._list_entries = list_entries or (lambda: network.peers(Role.ENTRY))
        self._name = name
        self._quarantine = quarantine
        self._network = network
        self._timers = timers
        self._rng = rng
        network.subscribe(CrashNotice, self._on_notice)
        network.subscribe(CrashNews, self._on_news)
        timers.call_every(REPEAT_S, self._repeat)

    def report_crash(self, crash_id: str, fingerprints: tuple[str, ...]) -> None:
        """Take in a crash that this entry has noticed by itself."""
        self._take(CrashNews(crash_id, fingerprints, 0))

    def _on_notice(self, sender: Sender, notice: CrashNotice) -> None:
        crash_id = f"{notice.target}/{notice.boot_id}"
        self._take(CrashNews(crash_id, notice.fingerprints, 0))

    def _on_news(self, sender: Sender, news: CrashNews) -> None:
        self._take(news)

    def _take(self, news: CrashNews) -> None:
        now_s = self._timers.now_s()
        at_s = now_s - news.age_ms / 1000
        is_new = self._quarantine.on_crash(
            news.crash_id, news.fingerprints, at_s, now_s
        )
        if is_new:
            for peer in self._pick_entries(FANOUT):
                self._network.send(peer, news)

    def _repeat(self) -> None:
        now_s = self._timers.now_s()
        crashes = self._quarantine.recent(now_s)[:REPEATED_MAX]
        if not crashes:
            return
        for peer in self._pick_entries(1):
            for crash in crashes:
                self._network.send(peer, _make_news(crash, now_s))

    def _pick_entries(self, count: int) -> list[str]:
        peers = [name for name in self._list_entries() if name != self._name]
        return self._rng.sample(peers, min(count, len(peers)))


def _make_news(crash: Crash, now_s: float) -> CrashNews:
    age_ms = max(0, round((now_s - crash.at_s) * 1000))
    fingerprints = tuple(sorted(crash.fingerprints))
    return CrashNews(crash.crash_id, fingerprints, age_ms)


def create_crash_gossip(
    name: str,
    quarantine: Quarantine,
    network: Network,
    timers: TimerService,
    rng: random.Random,
    list_entries: Callable[[], Iterable[str]] | None = None,
) -> CrashGossip:
    """Make the gossip of entry `name` and subscribe it to notices.

    News goes to the entries that a link is open to, or to those listed.
    """
    return CrashGossip(name, quarantine, network, timers, rng, list_entries)
