"""Fakes of the components that a target controller uses."""

from collections import defaultdict
from collections.abc import Iterable
from contextlib import asynccontextmanager

import anyio

from reedspar.attempts import (
    AttemptStart,
    LeaveConfirmation,
    LeaveNotice,
    LoadedWeights,
)
from reedspar.errors import Failure, Reason, Step
from reedspar.messages import Sender
from reedspar.platform import EngineState, TargetRequest
from reedspar.settings import DaemonSettings

DIGEST = "d" * 64
ENTRY = Sender("entry-1", 1, 1)


def make_settings(**target) -> DaemonSettings:
    url = "http://127.0.0.1:9000"
    return DaemonSettings.model_validate(
        {
            "name": "agent-1",
            "role": "agent",
            "zone": "zone-a",
            "region": "region-a",
            "port": 7001,
            "http_port": 7002,
            "platform": {
                "key_value_url": url,
                "instance_list_url": url,
                "origin_url": url,
            },
            "target": {
                "kind": "model_engine",
                "pool": "quotes",
                "url": url,
                "concurrency_limit": 4,
                "cold_concurrency": 1,
                **target,
            },
        }
    )


def make_start(request_id: str, *, attempt: int = 1, **fields) -> AttemptStart:
    values = {
        "pool": "quotes",
        "method": "POST",
        "path": "/v1/completions",
        "headers": (),
        "body": b"{}",
        "timeout_s": 10.0,
        "is_idempotent": True,
        "priority": 1,
        "workspace": "w",
        "fingerprint": f"f-{request_id}",
        "agent_incarnation": 1,
        **fields,
    }
    return AttemptStart(request_id, attempt, **values)


class FakeNetwork:
    """Network that delivers on request and keeps the messages sent."""

    def __init__(self) -> None:
        self.sent: list = []
        self.handlers = defaultdict(list)

    def subscribe(self, message_class, handler) -> None:
        self.handlers[message_class].append(handler)

    def on_link_event(self, listener) -> None:
        pass

    def peers(self, role=None):
        return ("entry-1",)

    def send(self, peer, message, priority=0):
        self.sent.append(message)
        if isinstance(message, LeaveNotice):
            self.deliver(LeaveConfirmation(message.number))

    def deliver(self, message, sender: Sender = ENTRY) -> None:
        for handler in self.handlers[type(message)]:
            handler(sender, message)

    def sent_of(self, message_class) -> list:
        return [message for message in self.sent if type(message) is message_class]


class FakeResponse:
    def __init__(self, target: "FakeTarget", digest: str) -> None:
        self.status = target.status
        self.headers = (
            ("content-type", target.content_type),
            ("transfer-encoding", "chunked"),
            *target.headers,
        )
        self.target = target
        self.weights_digest = digest

    async def iterate(self):
        for piece in self.target.pieces:
            yield piece
        yield b"begin "
        await self.target.release.wait()
        if self.target.breaks:
            yield Failure(Reason.OUTCOME_UNKNOWN, Step.TARGET_CALL, detail="reset")
            return
        yield b"end"


class FakeTarget:
    """Target whose answers complete once the test sets `release`."""

    def __init__(self) -> None:
        self.state = EngineState("boot-1", loaded={"quotes": DIGEST})
        self.release = anyio.Event()
        self.breaks = False
        self.content_type = "text/plain"
        self.pieces: Iterable[bytes] = ()
        """Pieces of the answer's body before the usual ones."""
        self.status = 200
        self.headers: tuple[tuple[str, str], ...] = ()
        self.digest = DIGEST
        self.runs: list[str] = []
        self.polls = 0
        self.may_answer_polls = anyio.Event()
        self.may_answer_polls.set()
        self.in_flight = 0
        self.max_in_flight = 0

    async def read_state(self):
        self.polls += 1
        await self.may_answer_polls.wait()
        return self.state

    @asynccontextmanager
    async def send(self, request: TargetRequest):
        self.runs.append(request.request_id)
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            yield FakeResponse(self, self.digest)
        finally:
            self.in_flight -= 1

    async def cancel(self, request_id: str):
        return None


class FakeOffers:
    """Source that always offers the same weights."""

    def offered(self):
        return (LoadedWeights("quotes", DIGEST),)

    def is_offering(self) -> bool:
        return True

    def record_engine_state(self, state) -> None:
        pass
