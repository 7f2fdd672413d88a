"""A watch that may be broken off, and goes on when it is wanted again."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

__all__ = ["WatchGate"]

ResultT = TypeVar("ResultT")


class WatchGate:
    """Lets calls through while it is open, and breaks off the one under way."""

    def __init__(self, is_open: bool = True) -> None:
        self._opened = anyio.Event()
        if is_open:
            self._opened.set()
        self._scope: anyio.CancelScope | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether calls are let through."""
        return self._opened.is_set()

    def set_open(self, is_open: bool) -> None:
        """Let calls through from now on, or none."""
        if is_open:
            self._opened.set()
            return
        self._opened = anyio.Event()
        if self._scope is not None:
            self._scope.cancel()

    async def run(self, call: Callable[[], Awaitable[ResultT]]) -> ResultT | None:
        """Call once the gate is open; None if it was shut meanwhile."""
        while not self._opened.is_set():
            await self._opened.wait()
        with anyio.CancelScope() as self._scope:
            return await call()
        return None
