"""Event loop in virtual time, which jumps to the next timer instead of waiting.

Simulated hours take little real time, and simulations of many tasks are
deterministic whatever the load of the machine.
"""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from reedspar.timers import TimerService

__all__ = ["LoopClock", "create_loop_timers", "run_virtual"]


TICK_S = 0.25


class TimeJumpSelector(selectors.SelectSelector):
    """Advances the loop's time by the timeout instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self._time_selector = TimeJumpSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        return self._time_selector.now_s


class LoopClock:
    """Clock of the running event loop."""

    def now_s(self) -> float:
        return anyio.current_time()


def create_loop_timers() -> TimerService:
    return TimerService(
        LoopClock(), tick_interval_s=TICK_S, pause_threshold_s=2 * TICK_S
    )


def run_virtual(function: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run an async function in virtual time, and return its result."""
    options = {"loop_factory": VirtualLoop}
    return anyio.run(function, *arguments, backend_options=options)
