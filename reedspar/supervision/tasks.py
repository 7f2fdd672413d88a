"""Tasks whose unexpected errors end at most themselves."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from .unexpected_errors import report_unexpected_error

__all__ = ["ContainedTasks", "TaskSpawner", "run_restarting"]

RESTART_DELAY_S = 0.5
"""Pause before a service is run again, so that a permanent error costs little."""
SUBJECT_MAX_CHARACTERS = 120


class TaskSpawner(Protocol):
    """Starts tasks in the background."""

    def start_soon(
        self, func: Callable[..., Awaitable[Any]], /, *args: Any, name: object = None
    ) -> None:
        """Start a task, and return at once."""
        ...


class ContainedTasks:
    """Starts tasks in a group that goes on if one of them fails.

    Use it for all work on behalf of one peer, target, request or key.  Tasks without
    which the daemon is useless, such as its servers, belong in the group itself.
    """

    def __init__(self, tasks: TaskGroup) -> None:
        self._tasks = tasks

    def start_soon(
        self, func: Callable[..., Awaitable[Any]], /, *args: Any, name: object = None
    ) -> None:
        """Start a task; an exception in it is reported and ends that task alone."""
        self._tasks.start_soon(_run_contained, func, args, name=name)


async def run_restarting(function: Callable[[], Awaitable[Any]]) -> None:
    """Run a service until it returns, and again after each unexpected error."""
    while True:
        try:
            await function()
        except Exception as error:
            report_unexpected_error(_name_of(function), error)
        else:
            return
        await anyio.sleep(RESTART_DELAY_S)


async def _run_contained(
    function: Callable[..., Awaitable[Any]], args: tuple[Any, ...]
) -> None:
    try:
        await function(*args)
    except Exception as error:
        subject = ", ".join(str(arg) for arg in args if isinstance(arg, str))
        report_unexpected_error(
            _name_of(function), error, subject[:SUBJECT_MAX_CHARACTERS]
        )


def _name_of(function: Callable[..., Any]) -> str:
    function = getattr(function, "func", function)
    return str(getattr(function, "__qualname__", type(function).__name__))
