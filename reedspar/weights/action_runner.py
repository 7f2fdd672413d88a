"""Execution of a distribution's actions: messages, origin reads and timed calls."""

from collections.abc import Callable

import anyio

from reedspar.errors import Failure, Reason, Step, is_failure
from reedspar.links import LinkChange, LinkEvent, Network, Priority
from reedspar.platform import WeightSource
from reedspar.supervision import TaskSpawner, report_unexpected_error
from reedspar.timers import TimerService

from .distribution import Distribution, ObjectReady, ReadOrigin, SendMessage
from .messages import ChunkPiece

__all__ = ["TICK_INTERVAL_S", "ActionRunner"]

TICK_INTERVAL_S = 0.05
RUN_DELAY_MIN_S = 0.002


class ActionRunner:
    """Executes the actions of a distribution, and calls it when it is due."""

    def __init__(
        self,
        distribution: Distribution,
        network: Network,
        origin: WeightSource,
        timers: TimerService,
        tasks: TaskSpawner,
        on_object: Callable[[str], None],
    ) -> None:
        self._distribution = distribution
        self._network = network
        self._origin = origin
        self._timers = timers
        self._tasks = tasks
        self._on_object = on_object
        self._is_run_scheduled = False
        self.origin_reads = 0
        network.on_link_event(self._handle_link_event)

    def run(self) -> None:
        """Execute the pending actions of the distribution."""
        while actions := self._distribution.take_actions():
            for action in actions:
                if isinstance(action, SendMessage):
                    self.send(action)
                elif isinstance(action, ReadOrigin):
                    self._tasks.start_soon(self._read_origin, action.digest)
                elif isinstance(action, ObjectReady):
                    self._on_object(action.digest)
        now_s = self._timers.now_s()
        delay_s = self._distribution.due_s(now_s) - now_s
        if delay_s < TICK_INTERVAL_S and not self._is_run_scheduled:
            self._is_run_scheduled = True
            self._tasks.start_soon(self._run_after, max(delay_s, RUN_DELAY_MIN_S))

    def send(self, action: SendMessage) -> None:
        """Send a message, and report a failure to the distribution."""
        now_s = self._timers.now_s()
        is_bulk = isinstance(action.message, ChunkPiece)
        priority = Priority.BULK if is_bulk else Priority.LIVE
        failure = self._network.send(action.peer, action.message, priority)
        if is_failure(failure):
            self._distribution.handle_send_failure(action.peer, action.message, now_s)

    def _handle_link_event(self, event: LinkEvent) -> None:
        if event.change in (LinkChange.DOWN, LinkChange.REFUSED):
            self._distribution.handle_link_lost(event.peer, self._timers.now_s())
            self.run()

    async def _run_after(self, delay_s: float) -> None:
        """Call the distribution before the next timer tick, to keep the links busy."""
        await anyio.sleep(delay_s)
        self._is_run_scheduled = False
        self._distribution.tick(self._timers.now_s())
        self.run()

    async def _read_origin(self, digest: str) -> None:
        self.origin_reads += 1
        try:
            result = await self._origin.read(digest, 0, 0)
        except Exception as error:
            # The read must end in the distribution, or the chunk is never asked for
            # again.
            report_unexpected_error("origin read", error, digest)
            result = Failure(Reason.INVALID, Step.ORIGIN_DRAW, detail=digest)
        self._distribution.complete_read(digest, result, self._timers.now_s())
        self.run()
