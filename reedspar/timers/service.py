"""A timer service that detects when the process was paused."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from reedspar.supervision import call_contained

from .clock import Clock, MonotonicClock

__all__ = ["PauseListener", "Timer", "TimerService", "create_timer_service"]

DEFAULT_TICK_INTERVAL_S = 0.1
DEFAULT_PAUSE_THRESHOLD_S = 1.0

PauseListener = Callable[[float], None]


@dataclass(order=True, slots=True)
class Timer:
    """A scheduled callback."""

    due_s: float
    sequence: int
    """Orders timers that are due at the same time."""
    callback: Callable[[], None] = field(compare=False)
    interval_s: float | None = field(compare=False, default=None)
    is_cancelled: bool = field(compare=False, default=False)

    def cancel(self) -> None:
        """Cancel the timer; further calls have no effect."""
        self.is_cancelled = True


class TimerService:
    """Runs timers when they are due, after the pause listeners.

    A process that was stopped and continued (by SIGSTOP or a hypervisor) must not act
    on leases and confirmations that expired in the meantime.  A pause is detected as a
    jump of the local clock between two ticks.  The pause listeners run before any
    timer, so that they discard such leases and confirmations before they are used.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        tick_interval_s: float = DEFAULT_TICK_INTERVAL_S,
        pause_threshold_s: float = DEFAULT_PAUSE_THRESHOLD_S,
    ) -> None:
        self._clock = clock
        self._tick_interval_s = tick_interval_s
        self._pause_threshold_s = pause_threshold_s
        self._heap: list[Timer] = []
        self._sequence_numbers = itertools.count()
        self._pause_listeners: list[PauseListener] = []
        self._last_tick_s = clock.now_s()
        self._pause_count = 0

    @property
    def clock(self) -> Clock:
        """Return the clock that determines when timers are due."""
        return self._clock

    @property
    def pause_count(self) -> int:
        """Return the number of pauses detected so far."""
        return self._pause_count

    def now_s(self) -> float:
        """Return the clock's time in seconds."""
        return self._clock.now_s()

    def on_pause(self, listener: PauseListener) -> None:
        """Call `listener` with the length in seconds of each pause."""
        self._pause_listeners.append(listener)

    def call_every(self, interval_s: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` every `interval_s`, starting one interval from now."""
        return self._schedule(self.now_s() + interval_s, callback, interval_s)

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once, `delay_s` from now."""
        return self._schedule(self.now_s() + delay_s, callback, None)

    def check_pause(self) -> bool:
        """Return whether there was a pause since the last check; call the listeners.

        Also call this before relying on a lease or a confirmation, since it may be
        used before the next tick.
        """
        now_s = self.now_s()
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if gap_s < self._pause_threshold_s:
            return False
        self._pause_count += 1
        for listener in self._pause_listeners:
            call_contained("pause listener", listener, gap_s)
        return True

    def run_due(self) -> None:
        """Check for a pause, then run all timers that are due."""
        self.check_pause()
        now_s = self.now_s()
        while self._heap and self._heap[0].due_s <= now_s:
            timer = heapq.heappop(self._heap)
            if timer.is_cancelled:
                continue
            call_contained("timer", timer.callback)
            if timer.interval_s is not None and not timer.is_cancelled:
                timer.due_s = max(timer.due_s + timer.interval_s, now_s)
                heapq.heappush(self._heap, timer)

    async def run(self) -> None:
        """Run timers until cancelled."""
        while True:
            self.run_due()
            await anyio.sleep(self._tick_interval_s)

    def _schedule(
        self, due_s: float, callback: Callable[[], None], interval_s: float | None
    ) -> Timer:
        timer = Timer(due_s, next(self._sequence_numbers), callback, interval_s)
        heapq.heappush(self._heap, timer)
        return timer


def create_timer_service(clock: Clock | None = None) -> TimerService:
    """Create a timer service, by default with the machine's clock."""
    return TimerService(clock or MonotonicClock())
