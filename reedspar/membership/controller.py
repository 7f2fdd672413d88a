"""Maintains the view of daemons from the instance list and a gossip protocol.

It also decides which links this daemon opens.
"""

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
from reedspar.supervision import run_restarting
from reedspar.timers import TimerService
from reedspar.utils import sample_up_to

from .messages import MemberNews, MemberNotice, NoticeKind, make_notice
from .polling import InstanceListTracker, is_frequent_poller, poll_interval_s
from .subsets import choose_agents, choose_entries, choose_neighbours
from .view import Member, MembershipView

__all__ = ["Membership", "create_membership"]

GOSSIP_INTERVAL_S = 0.25
GOSSIP_FANOUT = 3
GOSSIP_ROUNDS_PER_NOTICE = 3
"""Intervals in which a notice is sent, each time to newly chosen random peers."""
NOTICES_PER_MESSAGE_MAX = 8
"""Bounds the bytes per second while all daemons of a zone start or stop."""
QUEUED_NOTICES_MAX = 4096
INITIAL_RETRY_DELAY_S = 1.0
POLL_JITTER_RATIO = 0.25

Spawn = Callable[..., Any]


@dataclass(slots=True)
class _QueuedNotice:
    notice: MemberNotice
    rounds_left: int = GOSSIP_ROUNDS_PER_NOTICE


class Membership:
    """Keeps the view of daemons up to date and exchanges notices with peers."""

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
        self._min_poll_interval_s = settings.platform.instance_poll_s
        self._network = network
        self._timers = timers
        self._instance_list = instance_list
        self._spawn = spawn
        self._incarnation = incarnation
        self._rng = rng
        self._wall_clock_s = wall_clock_s
        self._view = MembershipView(self._own)
        self._list_tracker = InstanceListTracker()
        self._queued_notices: deque[_QueuedNotice] = deque(maxlen=QUEUED_NOTICES_MAX)
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._desired_links: tuple[InstanceRecord, ...] | None = None
        self._view.on_change(self._invalidate_desired_links)

    @property
    def is_initialized(self) -> bool:
        """Return whether the instance list was ever read."""
        return self._view.is_initialized

    @property
    def own(self) -> InstanceRecord:
        """Return this daemon's record."""
        return self._own

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the known daemons."""
        self._view.on_change(listener)

    def start(self) -> None:
        """Subscribe, start reading the instance list, and announce this daemon."""
        self._network.subscribe(MemberNews, self._handle_notices)
        self._timers.call_every(GOSSIP_INTERVAL_S, self._send_notices)
        self._queue_notice(self._make_own_notice(NoticeKind.JOINED))
        self._poll()

    def announce_leaving(self) -> None:
        """Announce that this daemon accepts no new work and stops soon."""
        self._view.mark_own_leaving(self._incarnation)
        self._queue_notice(self._make_own_notice(NoticeKind.LEAVING))
        self._send_notices()

    def member(self, name: str) -> Member | None:
        """Return a daemon, None if it is unknown."""
        return self._view.member(name)

    def members(self) -> tuple[Member, ...]:
        """Return every daemon that may be alive, this one included."""
        return self._view.members()

    def entries(self) -> tuple[InstanceRecord, ...]:
        """Return the entries whose addresses callers may be given, sorted by name."""
        return self._view.list_eligible(Role.ENTRY.value, self._timers.now_s())

    def agents(self, pool: str = "") -> tuple[InstanceRecord, ...]:
        """Return the agents (of a pool) that may be given work, sorted by name."""
        agents = self._view.list_eligible(Role.AGENT.value, self._timers.now_s())
        return tuple(record for record in agents if pool in ("", record.pool))

    def zones(self) -> frozenset[str]:
        """Return every zone that may hold a daemon."""
        return self._view.zones()

    def zone_members(self, zone: str) -> tuple[str, ...]:
        """Return the names of the daemons in a zone that are not leaving."""
        return self._view.zone_members(zone)

    def desired_links(self) -> tuple[InstanceRecord, ...]:
        """Return the daemons that this daemon should keep a dialled link to.

        Other daemons also dial this one.  A link that is no longer desired stays open
        while attempts are in flight on it.
        """
        if self._desired_links is None:
            chosen = self._choose_links(self.entries(), self.agents())
            # A daemon that restarts at its address announces itself to only a few
            # others.  If daemons with a refused dial stopped dialling it, callers would
            # be told for many seconds that there is no target.  The link's back-off
            # limits the cost of further dials.
            chosen += self._choose_links(
                self._view.list_dialable(Role.ENTRY.value),
                self._view.list_dialable(Role.AGENT.value),
            )
            by_name = {record.name: record for record in chosen}
            self._desired_links = tuple(by_name.values())
        return self._desired_links

    def _choose_links(
        self, entries: tuple[InstanceRecord, ...], agents: tuple[InstanceRecord, ...]
    ) -> list[InstanceRecord]:
        if self._own.role == Role.AGENT.value:
            return choose_entries(self._own, entries)
        chosen = choose_agents(self._own, agents)
        return chosen + choose_neighbours(self._own, entries)

    def handle_sender(self, sender: Sender) -> None:
        """Record the incarnation in the sender header of a frame."""
        self._view.record_incarnation(sender.name, sender.incarnation)

    def handle_link_up(self, peer: str, incarnation: int) -> None:
        """Record that a link to a daemon is open."""
        self._view.record_link_up(peer, incarnation)

    def handle_link_down(self, peer: str) -> None:
        """Record that the last link to a daemon was closed or has timed out."""
        self._view.record_link_down(peer, self._timers.now_s())

    def handle_refused_dial(self, peer: str) -> None:
        """Record that a daemon's machine has refused a connection."""
        self._view.record_refused_dial(peer, self._timers.now_s())

    def _invalidate_desired_links(self) -> None:
        self._desired_links = None

    def _make_own_notice(self, kind: NoticeKind) -> MemberNotice:
        return make_notice(kind, self._own, self._incarnation, self._wall_clock_ms())

    def _wall_clock_ms(self) -> int:
        return int(self._wall_clock_s() * 1000)

    def _poll(self) -> None:
        # A daemon whose dial was refused some time ago may be dialled again.
        self._invalidate_desired_links()
        self._spawn(run_restarting, self._read_list)

    async def _read_list(self) -> None:
        result = await self._instance_list.fetch()
        if isinstance(result, Failure):
            self._timers.call_after(self._jitter(self._retry_delay_s), self._poll)
            self._retry_delay_s = min(
                self._retry_delay_s * 2, max(INITIAL_RETRY_DELAY_S, 10.0)
            )
            return
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._apply_list(result)
        is_frequent = is_frequent_poller(
            self._own, self._view.zone_members(self._own.zone)
        )
        interval_s = poll_interval_s(
            self._min_poll_interval_s, len(result), is_frequent
        )
        self._timers.call_after(self._jitter(interval_s), self._poll)

    def _apply_list(self, records: tuple[InstanceRecord, ...]) -> None:
        if not records and len(self._view.members()) > 1:
            # An instance list that has lost its state is empty, though the daemons are
            # alive.  If it were applied, callers would be given no addresses.
            return
        notices = self._list_tracker.update(records, self._wall_clock_ms())
        self._view.apply_list(records, self._timers.now_s())
        if is_frequent_poller(self._own, self._view.zone_members(self._own.zone)):
            for notice in notices:
                self._queue_notice(notice)

    def _jitter(self, interval_s: float) -> float:
        return interval_s * (1 + POLL_JITTER_RATIO * (2 * self._rng.random() - 1))

    def _queue_notice(self, notice: MemberNotice) -> None:
        self._queued_notices.append(_QueuedNotice(notice))

    def _send_notices(self) -> None:
        peers = self._network.peers()
        if not self._queued_notices or not peers:
            return
        batch = [
            self._queued_notices.popleft()
            for _ in range(min(NOTICES_PER_MESSAGE_MAX, len(self._queued_notices)))
        ]
        message = MemberNews(tuple(queued.notice for queued in batch))
        for peer in sample_up_to(self._rng, peers, GOSSIP_FANOUT):
            self._network.send(peer, message)
        for queued in batch:
            queued.rounds_left -= 1
            if queued.rounds_left:
                self._queued_notices.append(queued)

    def _handle_notices(self, sender: Sender, message: MemberNews) -> None:
        now_s = self._timers.now_s()
        for notice in message.notices:
            if self._view.apply_notice(notice, now_s):
                self._queue_notice(notice)


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
    """Create the view of daemons; `spawn` is a task group's `start_soon`.

    Call `start` once, `handle_sender` with the sender of every frame, and the other
    `handle_` methods when links open or close or dials are refused.
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
