"""Shared parts of the tests of direct requests: callers and an entry."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from reedspar.direct.tests.fakes import (
    make_direct_service,
    make_engine_target,
)
from reedspar.fleet import (
    TargetRecord,
)
from reedspar.timers import create_timer_service

__all__ = [
    "EVENT_STREAM_TYPE",
    "STREAM_PAUSE_S",
    "Call",
    "DirectTestCase",
    "make_event",
    "make_order_target",
]

EVENT_STREAM_TYPE = "text/event-stream"
STREAM_PAUSE_S = 0.02
DEFAULT_HEADERS = {"authorization": "Bearer key", "host": "shop.example"}


def make_order_target(target_id: str, **changes: Any) -> TargetRecord:
    return make_engine_target(target_id, pool="orders", weights={}, **changes)


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: x%d\n\n" % (number, number)


class Call:
    """One caller's request and the response to it, as an ASGI connection."""

    def __init__(self, path: str, method: str = "POST", **headers: str) -> None:
        self.messages: list[dict] = []
        self.disconnected = anyio.Event()
        all_headers = {
            **DEFAULT_HEADERS,
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        self.scope = {
            "type": "http",
            "http_version": "1.1",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": [(k.encode(), v.encode()) for k, v in all_headers.items()],
        }
        self._is_read = False

    async def receive(self) -> dict:
        if not self._is_read:
            self._is_read = True
            return {"type": "http.request", "body": b"", "more_body": False}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: Any) -> None:
        self.messages.append(message)

    @property
    def status(self) -> int:
        return self.messages[0]["status"]

    @property
    def headers(self) -> dict[str, str]:
        pairs = self.messages[0]["headers"]
        return {name.decode(): value.decode() for name, value in pairs}

    @property
    def outcome(self) -> str:
        return self.headers["x-reedspar-outcome"]

    @property
    def body(self) -> bytes:
        return b"".join(message.get("body", b"") for message in self.messages)

    @property
    def is_whole(self) -> bool:
        return self.messages[-1].get("more_body") is False


class DirectTestCase(unittest.TestCase):
    targets = [
        make_engine_target("q1"),
        make_engine_target("q2"),
        make_order_target("o1"),
        make_order_target("o2"),
    ]

    def run_with(self, script: Callable[..., Awaitable[None]]) -> None:
        async def run() -> None:
            timers = create_timer_service()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(timers.run)
                made = make_direct_service(timers, tasks, self.targets)
                with anyio.fail_after(5):
                    await script(*made)
                tasks.cancel_scope.cancel()

        anyio.run(run)
