"""Shell around the quarantine: hears of crashes and passes the news on.

News goes at once to a few entries, and again now and then for as long as it
counts, so that entries that were cut off or started later hear of it, too.
"""

import random

from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .messages import CrashNotice
from .quarantine import Crash, Quarantine
from .views import EntryDirectory

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
        entries: EntryDirectory,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._quarantine = quarantine
        self._network = network
        self._timers = timers
        self._entries = entries
        self._rng = rng
        network.subscribe(CrashNotice, self._on_notice)
        timers.call_every(REPEAT_S, self._repeat)

    def _on_notice(self, sender: Sender, notice: CrashNotice) -> None:
        now_s = self._timers.now_s()
        at_s = now_s - notice.age_ms / 1000
        is_news = self._quarantine.on_crash(
            notice.crash_id, notice.fingerprints, at_s, now_s
        )
        if is_news:
            for peer in self._pick_entries(FANOUT):
                self._network.send(peer, notice)

    def _repeat(self) -> None:
        now_s = self._timers.now_s()
        crashes = self._quarantine.recent(now_s)[:REPEATED_MAX]
        if not crashes:
            return
        for peer in self._pick_entries(1):
            for crash in crashes:
                self._network.send(peer, _make_notice(crash, now_s))

    def _pick_entries(self, count: int) -> list[str]:
        linked = set(self._network.peers())
        names = [entry.name for entry in self._entries.entries()]
        peers = [name for name in names if name in linked and name != self._name]
        return self._rng.sample(peers, min(count, len(peers)))


def _make_notice(crash: Crash, now_s: float) -> CrashNotice:
    age_ms = max(0, round((now_s - crash.at_s) * 1000))
    fingerprints = tuple(sorted(crash.fingerprints))
    return CrashNotice(crash.crash_id, "", fingerprints, age_ms)


def create_crash_gossip(
    name: str,
    quarantine: Quarantine,
    network: Network,
    timers: TimerService,
    entries: EntryDirectory,
    rng: random.Random,
) -> CrashGossip:
    """Make the gossip of entry `name` and subscribe it to notices."""
    return CrashGossip(name, quarantine, network, timers, entries, rng)
