"""Failure detection for the link to a peer, by heartbeats and replacement dials.

A connection can become permanently silent while new ones work, when a middlebox has
lost its state.  Silence alone therefore doesn't mark the peer as down: a second
connection is dialled first, and the peer is down only if that fails.
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

INITIAL_BACKOFF_S = 0.1
CONNECTIONS_MAX = 2


@dataclass(frozen=True, slots=True)
class LinkTimings:
    """Intervals and timeouts of failure detection."""

    heartbeat_s: float
    """Interval of heartbeats while the link carries traffic."""
    idle_heartbeat_s: float
    """Interval of heartbeats on an idle link; must be the same at both ends."""
    silence_s: float
    """Silence after which a replacement for a busy link is dialled."""
    dial_timeout_s: float
    backoff_max_s: float = 2.0

    @property
    def redial_timeout_s(self) -> float:
        """Return the time allowed for replacement dials before the link is down."""
        return 2 * self.dial_timeout_s


class LinkChange(Enum):
    """A change of a link that listeners are notified of."""

    UP = "up"
    REPLACED = "replaced"
    """The incarnation of the peer is the same, but frames may have been lost."""
    DOWN = "down"
    REFUSED = "refused"
    """The peer's machine refused a connection while no link was up."""


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
    """Notify listeners of a change."""

    change: LinkChange
    reason: Reason | None = None


LinkAction = Dial | CloseConnection | SendHeartbeat | Notify


@dataclass
class LinkMonitor:
    """Monitors the link to one incarnation of a peer; returns the actions to take."""

    timings: LinkTimings
    rng: random.Random
    is_desired: bool = False
    is_up: bool = False
    is_dialling: bool = False
    _connections: list[int] = field(default_factory=list)
    _last_received_s: float = 0.0
    _last_sent_s: float = 0.0
    _last_traffic_s: float = float("-inf")
    _busy_since_s: float = float("-inf")
    _disconnected_s: float | None = None
    _next_dial_s: float = 0.0
    _backoff_s: float = INITIAL_BACKOFF_S

    @property
    def connections(self) -> tuple[int, ...]:
        """Return the open connections, oldest first; the last one is used to send."""
        return tuple(self._connections)

    def handle_opened(self, connection: int, now_s: float) -> list[LinkAction]:
        """Add a connection on which the peer has sent its hello."""
        self._connections.append(connection)
        self._last_received_s = now_s
        self._last_sent_s = now_s
        self._disconnected_s = None
        self._backoff_s = INITIAL_BACKOFF_S
        change = LinkChange.REPLACED if self.is_up else LinkChange.UP
        self.is_up = True
        actions: list[LinkAction] = [Notify(change)]
        if len(self._connections) > CONNECTIONS_MAX:
            actions.append(CloseConnection(self._connections[0]))
        return actions

    def handle_closed(self, connection: int, now_s: float) -> list[LinkAction]:
        """Remove a connection that either end has closed."""
        if connection not in self._connections:
            return []
        self._connections.remove(connection)
        if self._connections:
            return [Notify(LinkChange.REPLACED)]
        self._disconnected_s = now_s
        self._next_dial_s = now_s
        return []

    def record_received(self, now_s: float) -> None:
        """Record that a frame was received."""
        self._last_received_s = now_s

    def record_sent(self, now_s: float, *, is_traffic: bool = True) -> None:
        """Record that a frame was sent."""
        self._last_sent_s = now_s
        if is_traffic:
            self.record_traffic(now_s)

    def record_traffic(self, now_s: float) -> None:
        """Record traffic other than heartbeats."""
        if not self._is_busy(now_s):
            self._busy_since_s = now_s
        self._last_traffic_s = now_s

    def handle_pause(self, gap_s: float) -> None:
        """Exclude a pause of this process from the measured silence of the peer.

        Otherwise a daemon that was stopped for ten seconds would consider every peer
        dead when it continues, and drop all its links at once.
        """
        self._last_received_s += gap_s
        self._last_traffic_s += gap_s
        if self._disconnected_s is not None:
            self._disconnected_s += gap_s

    def handle_dial_failure(self, reason: Reason, now_s: float) -> list[LinkAction]:
        """Handle a dial that was refused (`UNAVAILABLE`) or timed out."""
        self.is_dialling = False
        self._next_dial_s = now_s + self._backoff_s * self.rng.uniform(0.5, 1.5)
        self._backoff_s = min(2 * self._backoff_s, self.timings.backoff_max_s)
        if reason is not Reason.UNAVAILABLE:
            return []
        if self.is_up:
            return self._mark_down(reason)
        return [Notify(LinkChange.REFUSED, reason)]

    def tick(self, now_s: float) -> list[LinkAction]:
        """Return the actions that are due."""
        if self._connections:
            return self._tick_connected(now_s)
        actions = self._check_disconnected(now_s)
        if self._may_dial(now_s):
            actions.append(self._start_dial())
        return actions

    def _tick_connected(self, now_s: float) -> list[LinkAction]:
        actions: list[LinkAction] = []
        if now_s - self._last_sent_s >= self._heartbeat_interval_s(now_s):
            actions.append(SendHeartbeat())
        silent_s = now_s - self._silence_start_s()
        limit_s = self._silence_limit_s(now_s)
        if silent_s <= limit_s:
            return actions
        if not self.is_desired:
            # Only the other end dials.  It does so at once if the close reaches it.
            return [*actions, *self._close_all()]
        if silent_s > limit_s + self.timings.redial_timeout_s:
            return [*actions, *self._mark_down(Reason.TIMEOUT)]
        if self._may_dial(now_s):
            actions.append(self._start_dial())
        return actions

    def _check_disconnected(self, now_s: float) -> list[LinkAction]:
        if not self.is_up or self._disconnected_s is None:
            return []
        if (
            now_s - self._disconnected_s
            <= self.timings.silence_s + self.timings.redial_timeout_s
        ):
            return []
        return self._mark_down(Reason.TIMEOUT)

    def _silence_start_s(self) -> float:
        """Return the time from which the silence of the peer is measured.

        Heartbeats on an idle link are rare.  If silence were measured from the last
        heartbeat, it would exceed the limit as soon as traffic starts.  Both ends would
        dial again, and messages in transit on the oldest connection would be lost.
        """
        return max(self._last_received_s, self._busy_since_s)

    def _is_busy(self, now_s: float) -> bool:
        return now_s - self._last_traffic_s < 2 * self.timings.idle_heartbeat_s

    def _heartbeat_interval_s(self, now_s: float) -> float:
        busy = self._is_busy(now_s)
        return self.timings.heartbeat_s if busy else self.timings.idle_heartbeat_s

    def _silence_limit_s(self, now_s: float) -> float:
        # The other end may consider the link idle, and send heartbeats rarely, while
        # this end considers it busy.  The short limit applies only after traffic
        # other than heartbeats, since that makes the link busy at both ends.
        idle_limit_s = self.timings.idle_heartbeat_s + self.timings.silence_s
        return self.timings.silence_s if self._is_busy(now_s) else idle_limit_s

    def _may_dial(self, now_s: float) -> bool:
        return self.is_desired and not self.is_dialling and now_s >= self._next_dial_s

    def _start_dial(self) -> Dial:
        self.is_dialling = True
        return Dial()

    def _close_all(self) -> list[LinkAction]:
        return [CloseConnection(connection) for connection in self._connections]

    def _mark_down(self, reason: Reason) -> list[LinkAction]:
        actions = self._close_all()
        self._connections.clear()
        self._disconnected_s = None
        if self.is_up:
            self.is_up = False
            actions.append(Notify(LinkChange.DOWN, reason))
        return actions
