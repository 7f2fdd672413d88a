"""An event loop whose time jumps to the next timer, so that hours take no time.

Histories of many tasks run the same way each time, whatever the machine does.
"""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from reedspar.timers import TimerService

__all__ = ["LoopClock", "create_loop_timers", "run_virtual"]


TICK_S = 0.25


class JumpSelector(selectors.SelectSelector):
    """Takes a wait for timers as a jump of the loop's time."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("every task waits and no timer is left")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self._jumps = JumpSelector()
        super().__init__(self._jumps)

    def time(self) -> float:
        return self._jumps.now_s


class LoopClock:
    """The running loop's time."""

    def now_s(self) -> float:
        return anyio.current_time()


def create_loop_timers() -> TimerService:
    return TimerService(LoopClock(), tick_s=TICK_S, pause_threshold_s=2 * TICK_S)


def run_virtual(function: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run an async function to its end in virtual time."""
    options = {"loop_factory": VirtualLoop}
    return anyio.run(function, *arguments, backend_options=options)
