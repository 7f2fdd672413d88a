"""Keep the view of daemons: read the instance list, pass news on, tell who to dial."""

import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from reedspar.errors import Failure
from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.platform import InstanceList, InstanceRecord
from reedspar.settings import DaemonSettings
from reedspar.timers import TimerService

from .messages import MemberNews, MemberNotice, NoticeKind, make_notice
from .polling import ListDifferences, is_poller, poll_interval_s
from .subsets import choose_agents, choose_entries, choose_neighbours
from .view import Member, MembershipView

__all__ = ["Membership", "create_membership"]

TICK_S = 0.25
FANOUT = 3
PUSHES_PER_NOTICE = 3
"""Ticks in which a notice is passed on; each goes to other random peers."""
NOTICES_PER_FRAME = 8
"""Bounds the bytes a second while a whole zone comes or goes."""
NEWS_LIMIT = 4096
RETRY_FIRST_S = 1.0
JITTER = 0.25

Spawn = Callable[..., Any]


@dataclass(slots=True)
class _News:
    notice: MemberNotice
    pushes_left: int = PUSHES_PER_NOTICE


class Membership:
    """The view of daemons, and its shell."""

    def __init__(
        self,
        settings: DaemonSettings,
        network: Network,
        timers: TimerService,
        instance_list: InstanceList,
        spawn: Spawn,
        incarnation: int,
        rng: random.Random,
        wall_clock_s: Callable[[], float],
    ) -> None:
        self._own = InstanceRecord(
            settings.name,
            settings.role.value,
            settings.zone,
            settings.region,
            settings.host,
            settings.port,
            settings.http_port,
            pool=settings.target.pool if settings.target else "",
        )
        self._least_poll_s = settings.platform.instance_poll_s
        self._network = network
        self._timers = timers
        self._instance_list = instance_list
        self._spawn = spawn
        self._incarnation = incarnation
        self._rng = rng
        self._wall_clock_s = wall_clock_s
        self._view = MembershipView(self._own)
        self._differences = ListDifferences()
        self._news: deque[_News] = deque(maxlen=NEWS_LIMIT)
        self._retry_s = RETRY_FIRST_S
        self._wanted: tuple[InstanceRecord, ...] | None = None
        self._view.on_change(self._forget_wanted)

    @property
    def is_initialized(self) -> bool:
        """Tell whether the instance list was ever read."""
        return self._view.is_initialized

    @property
    def own(self) -> InstanceRecord:
        """Return this daemon as the others should know it."""
        return self._own

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of who is there."""
        self._view.on_change(listener)

    def start(self) -> None:
        """Subscribe, read the instance list, and tell of this start."""
        self._network.subscribe(MemberNews, self._on_news)
        self._timers.call_every(TICK_S, self._push_news)
        self._spread(self._make_own_notice(NoticeKind.JOINED))
        self._poll()

    def announce_leaving(self) -> None:
        """Tell the others that this daemon takes no new work and stops soon."""
        self._view.note_own_leaving(self._incarnation)
        self._spread(self._make_own_notice(NoticeKind.LEAVING))
        self._push_news()

    def member(self, name: str) -> Member | None:
        """Return what is known of a daemon."""
        return self._view.member(name)

    def members(self) -> tuple[Member, ...]:
        """Return every daemon that may be alive, this one included."""
        return self._view.members()

    def entries(self) -> tuple[InstanceRecord, ...]:
        """Return the entries that may be named to callers, by name."""
        return self._view.choosable(Role.ENTRY.value, self._timers.now_s())

    def agents(self, pool: str = "") -> tuple[InstanceRecord, ...]:
        """Return the agents (of a pool) that may be given work, by name."""
        agents = self._view.choosable(Role.AGENT.value, self._timers.now_s())
        return tuple(record for record in agents if pool in ("", record.pool))

    def zones(self) -> frozenset[str]:
        """Return every zone that may hold a daemon."""
        return self._view.zones()

    def zone_members(self, zone: str) -> tuple[str, ...]:
        """Return the names of the daemons in a zone that are not leaving."""
        return self._view.zone_members(zone)

    def desired_links(self) -> tuple[InstanceRecord, ...]:
        """Return the daemons that this one should keep a link dialled to.

        Others dial this one, too; a link that is no longer wanted stays open
        while attempts are in flight on it.
        """
        if self._wanted is None:
            chosen = self._choose_links(self.entries(), self.agents())
            # A daemon that starts again at its address tells but a few of the
            # others.  Were those that it refused once to dial no more, callers
            # would hear for many seconds that there is no target.  The link's
            # own back-off bounds what the further dials cost.
            chosen += self._choose_links(
                self._view.dialable(Role.ENTRY.value),
                self._view.dialable(Role.AGENT.value),
            )
            by_name = {record.name: record for record in chosen}
            self._wanted = tuple(by_name.values())
        return self._wanted

    def _choose_links(
        self, entries: tuple[InstanceRecord, ...], agents: tuple[InstanceRecord, ...]
    ) -> list[InstanceRecord]:
        if self._own.role == Role.AGENT.value:
            return choose_entries(self._own, entries)
        chosen = choose_agents(self._own, agents)
        return chosen + choose_neighbours(self._own, entries)

    def note_sender(self, sender: Sender) -> None:
        """Take in the incarnation that a frame has shown."""
        self._view.note_incarnation(sender.name, sender.incarnation)

    def note_link_up(self, peer: str, incarnation: int) -> None:
        """Take in that a link to a daemon is open."""
        self._view.note_link_up(peer, incarnation)

    def note_link_down(self, peer: str) -> None:
        """Take in that the last link to a daemon has closed or gone silent."""
        self._view.note_link_down(peer, self._timers.now_s())

    def note_refused_dial(self, peer: str) -> None:
        """Take in that the daemon's machine answered that nothing listens there."""
        self._view.note_refused_dial(peer, self._timers.now_s())

    def _forget_wanted(self) -> None:
        self._wanted = None

    def _make_own_notice(self, kind: NoticeKind) -> MemberNotice:
        return make_notice(kind, self._own, self._incarnation, self._observed_ms())

    def _observed_ms(self) -> int:
        return int(self._wall_clock_s() * 1000)

    def _poll(self) -> None:
        # A dial that was refused a while ago may be tried again by now.
        self._forget_wanted()
        self._spawn(self._read_list)

    async def _read_list(self) -> None:
        result = await self._instance_list.fetch()
        if isinstance(result, Failure):
            self._timers.call_after(self._jitter(self._retry_s), self._poll)
            self._retry_s = min(self._retry_s * 2, max(RETRY_FIRST_S, 10.0))
            return
        self._retry_s = RETRY_FIRST_S
        self._note_list(result)
        is_polling = is_poller(self._own, self._view.zone_members(self._own.zone))
        interval_s = poll_interval_s(self._least_poll_s, len(result), is_polling)
        self._timers.call_after(self._jitter(interval_s), self._poll)

    def _note_list(self, records: tuple[InstanceRecord, ...]) -> None:
        if not records and len(self._view.members()) > 1:
            # An instance list that lost its state names nobody.  Believed, it
            # would empty every address answer; the daemons are still there.
            return
        notices = self._differences.note_list(records, self._observed_ms())
        self._view.note_list(records, self._timers.now_s())
        if is_poller(self._own, self._view.zone_members(self._own.zone)):
            for notice in notices:
                self._spread(notice)

    def _jitter(self, interval_s: float) -> float:
        return interval_s * (1 + JITTER * (2 * self._rng.random() - 1))

    def _spread(self, notice: MemberNotice) -> None:
        self._news.append(_News(notice))

    def _push_news(self) -> None:
        peers = self._network.peers()
        if not self._news or not peers:
            return
        batch = [
            self._news.popleft() for _ in range(min(NOTICES_PER_FRAME, len(self._news)))
        ]
        message = MemberNews(tuple(news.notice for news in batch))
        for peer in self._rng.sample(peers, min(FANOUT, len(peers))):
            self._network.send(peer, message)
        for news in batch:
            news.pushes_left -= 1
            if news.pushes_left:
                self._news.append(news)

    def _on_news(self, sender: Sender, message: MemberNews) -> None:
        now_s = self._timers.now_s()
        for notice in message.notices:
            if self._view.note_notice(notice, now_s):
                self._spread(notice)


def create_membership(
    settings: DaemonSettings,
    network: Network,
    timers: TimerService,
    instance_list: InstanceList,
    spawn: Spawn,
    incarnation: int,
    rng: random.Random | None = None,
    wall_clock_s: Callable[[], float] = time.time,
) -> Membership:
    """Make the view of daemons; `spawn` is a task group's `start_soon`.

    Call `start` once, `note_sender` with every frame's sender, and the other
    `note_` methods as links open, close and are refused.
    """
    return Membership(
        settings,
        network,
        timers,
        instance_list,
        spawn,
        incarnation,
        rng or random.Random(),
        wall_clock_s,
    )
