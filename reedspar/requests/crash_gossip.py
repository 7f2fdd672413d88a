"""Gossip between entries about crashes of targets, as input of the quarantine.

A crash is reported to a few entries at once.  Recent crashes and verdicts are also
reported to a random entry at intervals.  With a crash, entries tell each other what was
answered, since each may know few answers.  An entry that starts, was paused, or has a
link again to another entry asks for what it may have missed.
"""

import random
from collections.abc import Callable, Iterable

from reedspar.attempts import CrashNotice, CrashSuspect
from reedspar.links import LinkChange, LinkEvent, Network, Role
from reedspar.messages import Sender
from reedspar.timers import TimerService
from reedspar.utils import TokenBucket, sample_up_to

from .answer_history import AnswerShares, Scope
from .crash_records import Cause, Crash
from .messages import (
    AnswerCounts,
    AnswerCountsNews,
    CrashNews,
    CrashNewsRequest,
    CrashVerdictNews,
)
from .quarantine import Quarantine, Verdict

__all__ = ["CrashGossip", "create_crash_gossip"]

REPORT_FANOUT = 4
"""Number of entries to which a new crash is reported at once."""
REPEAT_INTERVAL_S = 2.0
REPEATED_REPORTS_MAX = 16
"""Maximum number of recent crashes reported in one repetition."""
REPEAT_AGE_MAX_S = 20.0
"""Age up to which crashes and verdicts are repeated."""
CATCH_UP_INTERVAL_S = 0.5
CATCH_UP_FANOUT = 2
"""Number of entries that are asked at once for missed reports."""
LINK_REQUESTS_PER_S = 1.0
LINK_REQUESTS_BURST = 3.0
"""Limit of requests for missed reports as links come up; links come up all the time."""
COUNTS_FANOUT = 16
"""Number of entries that are told at once what was answered."""
COUNTS_PER_S = 1.0
COUNTS_BURST = 2.0
"""Limit of telling what was answered; targets may crash one after the other."""
COUNTED_SCOPES_MAX = 16
"""Maximum number of pools and zones in one message."""


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
        self._list_registered = list_entries or (lambda: ())
        self._name = name
        self._quarantine = quarantine
        self._network = network
        self._timers = timers
        self._rng = rng
        self._link_requests = TokenBucket(LINK_REQUESTS_PER_S, LINK_REQUESTS_BURST)
        self._counts = TokenBucket(COUNTS_PER_S, COUNTS_BURST)
        network.subscribe(AnswerCountsNews, self._on_counts)
        network.subscribe(CrashNotice, self._on_notice)
        network.subscribe(CrashNews, self._on_report)
        network.subscribe(CrashNewsRequest, self._on_request)
        network.subscribe(CrashVerdictNews, self._on_verdict_news)
        quarantine.on_verdict(self._tell_verdict)
        network.on_link_event(self._on_link_event)
        timers.call_every(REPEAT_INTERVAL_S, self._repeat_recent)
        timers.on_pause(self._on_pause)
        self._catch_up_timer = timers.call_every(
            CATCH_UP_INTERVAL_S, self._catch_up_after_start
        )

    def report_crash(
        self,
        crash_id: str,
        scope: Scope,
        suspects: tuple[CrashSuspect, ...],
        age_s: float,
    ) -> None:
        """Add a crash that this entry detected itself, and report it to others."""
        self._handle_report(CrashNews(crash_id, *scope, suspects, round(age_s * 1000)))

    def _on_notice(self, sender: Sender, notice: CrashNotice) -> None:
        crash_id = f"{notice.target}/{notice.boot_id}"
        self._handle_report(
            CrashNews(crash_id, notice.pool, notice.zone, notice.suspects, 0)
        )

    def _on_report(self, sender: Sender, report: CrashNews) -> None:
        self._handle_report(report)

    def _on_request(self, sender: Sender, request: CrashNewsRequest) -> None:
        now_s = self._timers.now_s()
        for crash in self._quarantine.list_recent(now_s):
            self._network.send(sender.name, _make_report(crash, now_s))
        for verdict in self._list_verdicts(now_s):
            self._network.send(sender.name, _make_verdict_news(verdict, now_s))

    def _on_verdict_news(self, sender: Sender, news: CrashVerdictNews) -> None:
        at_s = self._timers.now_s() - news.age_ms / 1000
        cause = Cause(news.fingerprint, frozenset(news.prompt_parts))
        verdict = Verdict(cause, at_s, news.is_blamed, news.is_replaced)
        replacement = self._quarantine.adopt_verdict(verdict)
        if replacement is not None:
            # Otherwise the sender would go on telling others of stale blame.
            self._network.send(
                sender.name, _make_verdict_news(replacement, self._timers.now_s())
            )

    def _on_counts(self, sender: Sender, news: AnswerCountsNews) -> None:
        shares = {
            (item.pool, item.zone): AnswerShares(
                item.answered, dict(zip(item.traits, item.counts, strict=False))
            )
            for item in news.scopes[:COUNTED_SCOPES_MAX]
        }
        self._quarantine.adopt_shares(sender.name, shares)

    def _tell_counts(self, pool: str) -> None:
        """Tell other entries what targets of a pool have answered."""
        shares = self._quarantine.history.list_shares(pool)
        if not shares or not self._counts.try_consume(1, self._timers.now_s()):
            return
        scopes = [
            AnswerCounts(
                *scope, item.answered, tuple(item.counts), (*item.counts.values(),)
            )
            for scope, item in shares.items()
        ]
        news = AnswerCountsNews(tuple(scopes[:COUNTED_SCOPES_MAX]))
        for peer in self._pick_entries(COUNTS_FANOUT):
            self._network.send(peer, news)

    def _tell_verdict(self, verdict: Verdict) -> None:
        """Pass a verdict on that is new to this entry, its own or another entry's."""
        news = _make_verdict_news(verdict, self._timers.now_s())
        for peer in self._pick_entries(REPORT_FANOUT):
            self._network.send(peer, news)

    def _on_link_event(self, event: LinkEvent) -> None:
        # Reports to this entry may have been lost with an earlier link.
        if event.change is not LinkChange.UP or event.peer not in self._list_entries():
            return
        if self._link_requests.try_consume(1, self._timers.now_s()):
            self._network.send(event.peer, CrashNewsRequest())

    def _on_pause(self, gap_s: float) -> None:
        self._request_missed()

    def _catch_up_after_start(self) -> None:
        """Ask for the crashes before the start once other entries are known."""
        if self._request_missed():
            self._catch_up_timer.cancel()

    def _request_missed(self) -> bool:
        """Ask a few entries for all recent crashes; return whether there are any."""
        peers = self._pick_entries(CATCH_UP_FANOUT)
        for peer in peers:
            self._network.send(peer, CrashNewsRequest())
        return bool(peers)

    def _handle_report(self, report: CrashNews) -> None:
        now_s = self._timers.now_s()
        at_s = now_s - report.age_ms / 1000
        is_new = self._quarantine.on_crash(
            report.crash_id, report.suspects, at_s, now_s, (report.pool, report.zone)
        )
        if is_new:
            for peer in self._pick_entries(REPORT_FANOUT):
                self._network.send(peer, report)
            self._tell_counts(report.pool)

    def _repeat_recent(self) -> None:
        now_s = self._timers.now_s()
        oldest_s = now_s - REPEAT_AGE_MAX_S
        crashes = [c for c in self._quarantine.list_recent(now_s) if c.at_s >= oldest_s]
        crashes = crashes[:REPEATED_REPORTS_MAX]
        verdicts = [v for v in self._list_verdicts(now_s) if v.at_s >= oldest_s]
        if not crashes and not verdicts:
            return
        for peer in self._pick_entries(1):
            for crash in crashes:
                self._network.send(peer, _make_report(crash, now_s))
            for verdict in verdicts:
                self._network.send(peer, _make_verdict_news(verdict, now_s))

    def _list_verdicts(self, now_s: float) -> list[Verdict]:
        blamed = self._quarantine.list_blamed(now_s)
        return [*blamed, *self._quarantine.list_replaced(now_s)]

    def _list_entries(self) -> list[str]:
        """Return the other entries that are registered or have an open link.

        An entry may serve callers while the store refuses its registration.
        """
        names = {*self._list_registered(), *self._network.peers(Role.ENTRY)}
        return sorted(names - {self._name})

    def _pick_entries(self, count: int) -> list[str]:
        return sample_up_to(self._rng, self._list_entries(), count)


def _make_report(crash: Crash, now_s: float) -> CrashNews:
    suspects = sorted(crash.suspects, key=lambda s: (s.fingerprint, s.arrival))
    return CrashNews(
        crash.crash_id, *crash.scope, tuple(suspects), _encode_age(crash.at_s, now_s)
    )


def _make_verdict_news(verdict: Verdict, now_s: float) -> CrashVerdictNews:
    return CrashVerdictNews(
        verdict.cause.fingerprint,
        tuple(sorted(verdict.cause.prompt_parts)),
        verdict.is_blamed,
        _encode_age(verdict.at_s, now_s),
        verdict.is_replaced,
    )


def _encode_age(at_s: float, now_s: float) -> int:
    return max(0, round((now_s - at_s) * 1000))


def create_crash_gossip(
    name: str,
    quarantine: Quarantine,
    network: Network,
    timers: TimerService,
    rng: random.Random,
    list_entries: Callable[[], Iterable[str]] | None = None,
) -> CrashGossip:
    """Create the gossip of entry `name` and subscribe it to crash notices.

    Crashes are reported to the entries that `list_entries` returns, and to those with
    an open link.
    """
    return CrashGossip(name, quarantine, network, timers, rng, list_entries)
