"""Gossip between entries about crashes of targets, as input of the quarantine.

A crash is reported to a few entries at once.  Recent crashes are also reported to
a random entry at intervals, so that entries that were unreachable or started later
receive the reports, too.
"""

import random
from collections.abc import Callable, Iterable

from reedspar.attempts import CrashNotice
from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService
from reedspar.utils import sample_up_to

from .messages import CrashNews
from .quarantine import Crash, Quarantine

__all__ = ["CrashGossip", "create_crash_gossip"]

REPORT_FANOUT = 4
"""Number of entries to which a new crash is reported at once."""
REPEAT_INTERVAL_S = 2.0
REPEATED_REPORTS_MAX = 16
"""Maximum number of recent crashes reported in one repetition."""


class CrashGossip:
    """Exchanges crash reports with other entries and updates the quarantine."""

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
        network.subscribe(CrashNews, self._on_report)
        timers.call_every(REPEAT_INTERVAL_S, self._repeat_recent)

    def report_crash(
        self, crash_id: str, fingerprints: tuple[str, ...], age_s: float
    ) -> None:
        """Add a crash that this entry detected itself, and report it to others."""
        self._handle_report(CrashNews(crash_id, fingerprints, round(age_s * 1000)))

    def _on_notice(self, sender: Sender, notice: CrashNotice) -> None:
        crash_id = f"{notice.target}/{notice.boot_id}"
        self._handle_report(CrashNews(crash_id, notice.fingerprints, 0))

    def _on_report(self, sender: Sender, report: CrashNews) -> None:
        self._handle_report(report)

    def _handle_report(self, report: CrashNews) -> None:
        now_s = self._timers.now_s()
        at_s = now_s - report.age_ms / 1000
        is_new = self._quarantine.on_crash(
            report.crash_id, report.fingerprints, at_s, now_s
        )
        if is_new:
            for peer in self._pick_entries(REPORT_FANOUT):
                self._network.send(peer, report)

    def _repeat_recent(self) -> None:
        now_s = self._timers.now_s()
        crashes = self._quarantine.list_recent(now_s)[:REPEATED_REPORTS_MAX]
        if not crashes:
            return
        for peer in self._pick_entries(1):
            for crash in crashes:
                self._network.send(peer, _make_report(crash, now_s))

    def _pick_entries(self, count: int) -> list[str]:
        peers = [name for name in self._list_entries() if name != self._name]
        return sample_up_to(self._rng, peers, count)


def _make_report(crash: Crash, now_s: float) -> CrashNews:
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
    """Create the gossip of entry `name` and subscribe it to crash notices.

    Crashes are reported to the entries that `list_entries` returns, by default to those
    with an open link.
    """
    return CrashGossip(name, quarantine, network, timers, rng, list_entries)
