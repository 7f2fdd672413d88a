"""Decide when a link to a peer is silent, is replaced, or is down.

A connection can go silent for good while new ones work, because a middlebox
has lost track of it.  So silence alone never condemns the peer: a second
connection is dialled first, and only its failure does.
"""

import random
from dataclasses import dataclass, field
from enum import Enum

from reedspar.errors import Reason

__all__ = [
    "CloseConnection",
    "Dial",
    "LinkAction",
    "LinkChange",
    "LinkMonitor",
    "LinkTimings",
    "Notify",
    "SendHeartbeat",
]

FIRST_BACKOFF_S = 0.1
CONNECTIONS_MAX = 2


@dataclass(frozen=True, slots=True)
class LinkTimings:
    """The bounds that a link is judged by."""

    heartbeat_s: float
    """Between heartbeats while the link carries traffic."""
    idle_heartbeat_s: float
    """Between heartbeats while it carries none; both ends must agree on it."""
    silence_s: float
    """Silence after which a busy link is suspect."""
    dial_timeout_s: float
    backoff_max_s: float = 2.0

    @property
    def redial_window_s(self) -> float:
        """Return the further silence after which the peer is judged."""
        return 2 * self.dial_timeout_s


class LinkChange(Enum):
    """What subscribers are told of a link."""

    UP = "up"
    REPLACED = "replaced"
    """Frames may have been lost; the peer is the same incarnation."""
    DOWN = "down"
    REFUSED = "refused"
    """The peer's machine refused a dial while no link was up."""


@dataclass(frozen=True, slots=True)
class Dial:
    """Open another connection to the peer."""


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close one connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat."""


@dataclass(frozen=True, slots=True)
class Notify:
    """Tell subscribers."""

    change: LinkChange
    reason: Reason | None = None


LinkAction = Dial | CloseConnection | SendHeartbeat | Notify


@dataclass
class LinkMonitor:
    """The state of the link to one peer incarnation."""

    timings: LinkTimings
    rng: random.Random
    is_desired: bool = False
    is_up: bool = False
    is_dialling: bool = False
    _connections: list[int] = field(default_factory=list)
    _last_heard_s: float = 0.0
    _last_sent_s: float = 0.0
    _last_traffic_s: float = float("-inf")
    _busy_since_s: float = float("-inf")
    _lost_s: float | None = None
    _next_dial_s: float = 0.0
    _backoff_s: float = FIRST_BACKOFF_S

    @property
    def connections(self) -> tuple[int, ...]:
        """Return the open connections, oldest first; the last is sent on."""
        return tuple(self._connections)

    def handle_opened(self, connection: int, now_s: float) -> list[LinkAction]:
        """Take in a connection on which the peer has said hello."""
        self._connections.append(connection)
        self._last_heard_s = now_s
        self._last_sent_s = now_s
        self._lost_s = None
        self._backoff_s = FIRST_BACKOFF_S
        change = LinkChange.REPLACED if self.is_up else LinkChange.UP
        self.is_up = True
        actions: list[LinkAction] = [Notify(change)]
        if len(self._connections) > CONNECTIONS_MAX:
            actions.append(CloseConnection(self._connections[0]))
        return actions

    def handle_closed(self, connection: int, now_s: float) -> list[LinkAction]:
        """Take in that a connection has ended, by whichever end."""
        if connection not in self._connections:
            return []
        self._connections.remove(connection)
        if self._connections:
            return [Notify(LinkChange.REPLACED)]
        self._lost_s = now_s
        self._next_dial_s = now_s
        return []

    def record_received(self, now_s: float) -> None:
        """Take in that a frame came."""
        self._last_heard_s = now_s

    def record_sent(self, now_s: float, *, is_traffic: bool = True) -> None:
        """Take in that a frame was sent."""
        self._last_sent_s = now_s
        if is_traffic:
            self.record_traffic(now_s)

    def record_traffic(self, now_s: float) -> None:
        """Take in that the link carries more than heartbeats."""
        if not self._is_busy(now_s):
            self._busy_since_s = now_s
        self._last_traffic_s = now_s

    def handle_pause(self, gap_s: float) -> None:
        """Take in that this process was paused: its peers were not silent.

        Without this, a daemon that was stopped for ten seconds would judge
        every peer dead when it wakes, and all its links would drop at once.
        """
        self._last_heard_s += gap_s
        self._last_traffic_s += gap_s
        if self._lost_s is not None:
            self._lost_s += gap_s

    def handle_dial_failure(self, reason: Reason, now_s: float) -> list[LinkAction]:
        """Take in that a dial was refused (`UNAVAILABLE`) or timed out."""
        self.is_dialling = False
        self._next_dial_s = now_s + self._backoff_s * self.rng.uniform(0.5, 1.5)
        self._backoff_s = min(2 * self._backoff_s, self.timings.backoff_max_s)
        if reason is not Reason.UNAVAILABLE:
            return []
        if self.is_up:
            return self._go_down(reason)
        return [Notify(LinkChange.REFUSED, reason)]

    def tick(self, now_s: float) -> list[LinkAction]:
        """Return what is due."""
        if self._connections:
            return self._tick_connected(now_s)
        actions = self._judge_lost(now_s)
        if self._may_dial(now_s):
            actions.append(self._start_dial())
        return actions

    def _tick_connected(self, now_s: float) -> list[LinkAction]:
        actions: list[LinkAction] = []
        if now_s - self._last_sent_s >= self._heartbeat_s(now_s):
            actions.append(SendHeartbeat())
        quiet_s = now_s - self._heard_since_s()
        limit_s = self._silence_s(now_s)
        if quiet_s <= limit_s:
            return actions
        if not self.is_desired:
            # The other end dials.  Closing tells it, if it can still hear.
            return [*actions, *self._close_all()]
        if quiet_s > limit_s + self.timings.redial_window_s:
            return [*actions, *self._go_down(Reason.TIMEOUT)]
        if self._may_dial(now_s):
            actions.append(self._start_dial())
        return actions

    def _judge_lost(self, now_s: float) -> list[LinkAction]:
        if not self.is_up or self._lost_s is None:
            return []
        if (
            now_s - self._lost_s
            <= self.timings.silence_s + self.timings.redial_window_s
        ):
            return []
        return self._go_down(Reason.TIMEOUT)

    def _heard_since_s(self) -> float:
        """Return from when on the peer's silence counts.

        On an idle link the peer beats slowly.  Counted from its last beat, it would
        be silent too long at the moment at which traffic starts; both ends dialled
        again, and what was on its way over the oldest connection was lost.
        """
        return max(self._last_heard_s, self._busy_since_s)

    def _is_busy(self, now_s: float) -> bool:
        return now_s - self._last_traffic_s < 2 * self.timings.idle_heartbeat_s

    def _heartbeat_s(self, now_s: float) -> float:
        busy = self._is_busy(now_s)
        return self.timings.heartbeat_s if busy else self.timings.idle_heartbeat_s

    def _silence_s(self, now_s: float) -> float:
        # The other end may see an idle link where this one sees a busy one,
        # and so beat slowly: a busy link is suspect early only if something
        # that expects an answer was sent, which makes both ends busy.
        idle_limit_s = self.timings.idle_heartbeat_s + self.timings.silence_s
        return self.timings.silence_s if self._is_busy(now_s) else idle_limit_s

    def _may_dial(self, now_s: float) -> bool:
        return self.is_desired and not self.is_dialling and now_s >= self._next_dial_s

    def _start_dial(self) -> Dial:
        self.is_dialling = True
        return Dial()

    def _close_all(self) -> list[LinkAction]:
        return [CloseConnection(connection) for connection in self._connections]

    def _go_down(self, reason: Reason) -> list[LinkAction]:
        actions = self._close_all()
        self._connections.clear()
        self._lost_s = None
        if self.is_up:
            self.is_up = False
            actions.append(Notify(LinkChange.DOWN, reason))
        return actions
