"""Carrying out what a distribution decides: messages, reads of the origin, pacing."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from reedspar.errors import is_failure
from reedspar.links import LinkChange, LinkEvent, Network, Priority
from reedspar.platform import WeightSource
from reedspar.timers import TimerService

from .distribution import Distribution, ObjectReady, ReadOrigin, SendMessage
from .messages import ChunkPiece

__all__ = ["TICK_S", "DistributionPump"]

TICK_S = 0.05
PACE_MIN_S = 0.002


class DistributionPump:
    """Turns actions into messages and reads, and goes on when links are free."""

    def __init__(
        self,
        distribution: Distribution,
        network: Network,
        origin: WeightSource,
        timers: TimerService,
        tasks: TaskGroup,
        take_object: Callable[[str], None],
    ) -> None:
        self._distribution = distribution
        self._network = network
        self._origin = origin
        self._timers = timers
        self._tasks = tasks
        self._take_object = take_object
        self._is_pacing = False
        self.origin_reads = 0
        network.on_link_event(self._note_link)

    def run(self) -> None:
        """Carry out what the distribution has decided."""
        while actions := self._distribution.take_actions():
            for action in actions:
                if isinstance(action, SendMessage):
                    self.send(action)
                elif isinstance(action, ReadOrigin):
                    self._tasks.start_soon(self._read_origin, action.digest)
                elif isinstance(action, ObjectReady):
                    self._take_object(action.digest)
        now_s = self._timers.now_s()
        delay_s = self._distribution.due_s(now_s) - now_s
        if delay_s < TICK_S and not self._is_pacing:
            self._is_pacing = True
            self._tasks.start_soon(self._pace, max(delay_s, PACE_MIN_S))

    def send(self, action: SendMessage) -> None:
        """Send a message; one that can't go is given back to the distribution."""
        now_s = self._timers.now_s()
        is_bulk = isinstance(action.message, ChunkPiece)
        priority = Priority.BULK if is_bulk else Priority.LIVE
        failure = self._network.send(action.peer, action.message, priority)
        if is_failure(failure):
            self._distribution.handle_send_failure(action.peer, action.message, now_s)

    def _note_link(self, event: LinkEvent) -> None:
        if event.change in (LinkChange.DOWN, LinkChange.REFUSED):
            self._distribution.handle_link_lost(event.peer, self._timers.now_s())
            self.run()

    async def _pace(self, delay_s: float) -> None:
        """Go on between two ticks of the timers, which are too far apart for links."""
        await anyio.sleep(delay_s)
        self._is_pacing = False
        self._distribution.tick(self._timers.now_s())
        self.run()

    async def _read_origin(self, digest: str) -> None:
        self.origin_reads += 1
        result = await self._origin.read(digest, 0, 0)
        self._distribution.complete_read(digest, result, self._timers.now_s())
        self.run()
