"""A gate that suspends calls while it is closed and cancels the one in progress."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

__all__ = ["WatchGate"]

ResultT = TypeVar("ResultT")


class WatchGate:
    """Runs calls while it is open; closing it cancels the call in progress."""

    def __init__(self, is_open: bool = True) -> None:
        self._opened = anyio.Event()
        if is_open:
            self._opened.set()
        self._scope: anyio.CancelScope | None = None

    @property
    def is_open(self) -> bool:
        """Return whether calls are run."""
        return self._opened.is_set()

    def set_open(self, is_open: bool) -> None:
        """Open the gate, or close it and cancel the call in progress."""
        if is_open:
            self._opened.set()
            return
        self._opened = anyio.Event()
        if self._scope is not None:
            self._scope.cancel()

    async def run(self, call: Callable[[], Awaitable[ResultT]]) -> ResultT | None:
        """Call once the gate is open; return None if it closes during the call."""
        while not self._opened.is_set():
            await self._opened.wait()
        with anyio.CancelScope() as self._scope:
            return await call()
        return None
