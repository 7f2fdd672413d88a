"""Fakes of the network, the key-value service and the views, and message makers."""

import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from reedspar.attempts import (
    AttemptData,
    AttemptEnd,
    AttemptHead,
    AttemptRefused,
    AttemptStart,
    EndKind,
    Header,
    LoadedWeights,
    TargetReport,
    TargetStatus,
)
from reedspar.configuration import ConfigurationDocument
from reedspar.errors import Failure, Reason, Step
from reedspar.messages import Sender
from reedspar.platform import KeyValueEntry
from reedspar.requests import EntryAddress, RequestService, create_request_service
from reedspar.settings import RequestSettings
from reedspar.timers import TimerService

DOCUMENT = ConfigurationDocument.model_validate(
    {
        "version": 1,
        "pools": {
            "quotes": {"kind": "model", "models": ["m"], "idempotent_paths": ["/v1/c"]},
            "orders": {"kind": "plain"},
        },
    }
)


class FakeNetwork:
    """Records sent messages, and delivers messages that a test passes to it."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []
        self.link_listeners: list[Callable] = []
        self.linked_peers: tuple[str, ...] = ()
        self.down: set[str] = set()
        self.handlers: dict[type, list[Callable]] = {}
        self.on_send: Callable[[str, Any], None] = lambda peer, message: None

    def send(self, peer: str, message: Any, priority: int = 0) -> Failure | None:
        if peer in self.down:
            return Failure(Reason.UNAVAILABLE, Step.LINK, peer)
        self.sent.append((peer, message))
        self.on_send(peer, message)
        return None

    def subscribe(self, message_class: type, handler: Callable) -> None:
        self.handlers.setdefault(message_class, []).append(handler)

    def peers(self, role: object = None) -> tuple[str, ...]:
        return self.linked_peers

    def on_link_event(self, listener: Callable) -> None:
        self.link_listeners.append(listener)

    def deliver(self, sender: str, *messages: Any, incarnation: int = 1) -> None:
        for message in messages:
            for handler in self.handlers.get(type(message), []):
                handler(Sender(sender, incarnation, 1), message)

    def sent_of(self, message_class: type) -> list[Any]:
        return [item for _, item in self.sent if isinstance(item, message_class)]


class FakeKeyValue:
    """In-memory key-value service, which can fail before or after each write."""

    def __init__(self) -> None:
        self.entries: dict[str, KeyValueEntry] = {}
        self.previous_entries: dict[str, KeyValueEntry] = {}
        self.revision = 0
        self.writes = 0
        self.before_write: Callable[[str], Failure | None] = lambda key: None
        self.after_write: Callable[[str], Failure | None] = lambda key: None
        self.is_stale: Callable[[], bool] = lambda: False
        self.delay_s = 0.0

    async def get(self, key: str) -> KeyValueEntry | Failure | None:
        await anyio.sleep(self.delay_s)
        if self.is_stale() and key in self.previous_entries:
            return self.previous_entries[key]
        return self.entries.get(key)

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str = ""
    ) -> int | Failure:
        await anyio.sleep(self.delay_s)
        failure = self.before_write(key)
        if failure is not None:
            return failure
        current = self.entries.get(key)
        if expected_revision != (current.revision if current else 0):
            return Failure(Reason.CONFLICT, Step.KEY_VALUE)
        if current is not None:
            self.previous_entries[key] = current
        self.revision += 1
        self.writes += 1
        self.entries[key] = KeyValueEntry(key, value, self.revision)
        return self.after_write(key) or self.revision

    async def grant_lease(self, ttl_s: float) -> str | Failure:
        return "lease"

    async def renew_lease(self, lease_id: str) -> Failure | None:
        return None

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueEntry | Failure | None:
        return None


@dataclass
class FakeConfiguration:
    document: ConfigurationDocument | None = DOCUMENT
    fresh: bool = True

    def is_fresh(self) -> bool:
        return self.fresh


@dataclass
class FakeEntries:
    addresses: list[EntryAddress] = field(default_factory=list)

    def entries(self) -> tuple[EntryAddress, ...]:
        return tuple(self.addresses)


def make_report(target: str, pool: str = "orders", **changes: Any) -> TargetReport:
    values: dict[str, Any] = {
        "target": target,
        "pool": pool,
        "zone": "a",
        "status": TargetStatus.READY,
        "boot_id": "b",
        "in_flight": 0,
        "queued": 0,
        "limit": 4,
        "offered": (LoadedWeights("m", "d1"),),
        "sequence": 1,
        "latency_s": 0.1,
    }
    return TargetReport(**{**values, **changes})


def make_answer(
    start: AttemptStart, body: bytes, content_type: str = "text/plain", cut: int = 1
) -> list[Any]:
    """Return the messages of a complete answer, with its body in `cut` pieces."""
    key = (start.request_id, start.attempt)
    step = max(1, -(-len(body) // cut))
    data = [
        AttemptData(*key, offset, body[offset : offset + step])
        for offset in range(0, len(body), step)
    ]
    headers = (Header("content-type", content_type),)
    digest = hashlib.sha256(body).hexdigest()
    end = AttemptEnd(*key, EndKind.COMPLETE, len(body), digest, Reason.UNAVAILABLE, "")
    return [AttemptHead(*key, 200, headers, "d1"), *data, end]


def make_refusal(start: AttemptStart, reason: Reason) -> AttemptRefused:
    return AttemptRefused(start.request_id, start.attempt, reason, "", 0.5)


def make_service(
    network: FakeNetwork, timers: TimerService, **changes: Any
) -> RequestService:
    values: dict[str, Any] = {
        "name": "entry-1",
        "incarnation": 7,
        "zone": "a",
        "network": network,
        "timers": timers,
        "configuration": FakeConfiguration(),
        "entries": FakeEntries(),
        "settings": RequestSettings(),
        "key_value": FakeKeyValue(),
        "rng": random.Random(1),
    }
    return create_request_service(**{**values, **changes})
