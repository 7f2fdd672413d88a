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
        self._is_suspect = False

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
        self.cancel_call()

    def cancel_call(self) -> bool:
        """Cancel the call in progress; return whether there was one."""
        if self._scope is None:
            return False
        self._scope.cancel()
        return True

    def suspect_call(self) -> None:
        """Record that the call in progress may never be answered."""
        self._is_suspect = self._scope is not None

    def cancel_suspect_call(self) -> None:
        """Cancel the call in progress if it may never be answered."""
        if self._is_suspect:
            self.cancel_call()

    async def run(self, call: Callable[[], Awaitable[ResultT]]) -> ResultT | None:
        """Call once the gate is open; return None if the call is cancelled."""
        while not self._opened.is_set():
            await self._opened.wait()
        try:
            with anyio.CancelScope() as self._scope:
                return await call()
        finally:
            self._scope, self._is_suspect = None, False
        return None
