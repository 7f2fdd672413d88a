"""In-memory network between entries and real agents, with faulty links."""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

import anyio

from reedspar.errors import Failure, Reason, Step
from reedspar.links import LinkChange, LinkEvent, Role
from reedspar.messages import Sender
from reedspar.platform import EngineState
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.settings import DaemonSettings

__all__ = ["DaemonNetwork", "Mesh", "PlainOffers", "make_agent_settings"]

URL = "http://127.0.0.1:9"


def make_agent_settings(name: str, limit: int = 4, cold: int = 2) -> DaemonSettings:
    platform = {"key_value_url": URL, "instance_list_url": URL, "origin_url": URL}
    target = {"kind": "plain_service", "pool": "orders", "url": URL}
    return DaemonSettings.model_validate(
        {
            "name": name,
            "role": "agent",
            "zone": "a",
            "region": "r",
            "port": 7001,
            "http_port": 7002,
            "platform": platform,
            "target": {**target, "concurrency_limit": limit, "cold_concurrency": cold},
        }
    )


class PlainOffers:
    """Offers of a plain service, which needs no weights."""

    def offered(self) -> tuple:
        return ()

    def is_offering(self) -> bool:
        return True

    def record_engine_state(self, state: EngineState | None) -> None:
        pass


class DaemonNetwork(FakeNetwork):
    """The network of one daemon in a mesh."""

    def __init__(self, mesh: "Mesh", name: str, incarnation: int) -> None:
        super().__init__()
        self.mesh = mesh
        self.name = name
        self.incarnation = incarnation

    def send(self, peer: str, message: Any, priority: int = 0) -> Failure | None:
        return self.mesh.transmit(self, peer, message)

    def peers(self, role: Role | None = None) -> tuple[str, ...]:
        names = self.mesh.entries if role is Role.ENTRY else self.mesh.agents
        return tuple(
            name for name in names if name != self.name and name in self.mesh.daemons
        )


@dataclass
class Mesh:
    """Transmits messages over links that lose, delay and reorder some of them.

    Links can also go silent and be replaced.
    """

    entries: tuple[str, ...]
    agents: tuple[str, ...]
    rng: random.Random
    loss: float = 0.0
    delay_s: float = 0.002
    daemons: dict[str, DaemonNetwork] = field(default_factory=dict)
    silent_until_s: dict[frozenset[str], float] = field(default_factory=dict)

    def add(self, name: str, incarnation: int = 1) -> DaemonNetwork:
        self.daemons[name] = DaemonNetwork(self, name, incarnation)
        return self.daemons[name]

    def transmit(
        self, sender: DaemonNetwork, peer: str, message: Any
    ) -> Failure | None:
        if self.daemons.get(sender.name) is not sender or peer not in self.daemons:
            return Failure(Reason.UNAVAILABLE, Step.LINK, peer)
        pair = frozenset((sender.name, peer))
        is_silent = self.silent_until_s.get(pair, 0.0) > anyio.current_time()
        if is_silent or self.rng.random() < self.loss:
            return None
        is_delayed = self.rng.random() < self.loss
        delay_s = self.rng.uniform(0, 3.0) if is_delayed else self.delay_s
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._deliver, sender, peer, message)
        return None

    def _deliver(self, sender: DaemonNetwork, peer: str, message: Any) -> None:
        receiver = self.daemons.get(peer)
        if receiver is not None:
            for handler in receiver.handlers.get(type(message), []):
                handler(Sender(sender.name, sender.incarnation, 1), message)

    async def silence_link(self, first: str, second: str, for_s: float) -> None:
        """Drop all messages of a link for `for_s`, then report it as replaced."""
        self.silent_until_s[frozenset((first, second))] = anyio.current_time() + for_s
        await anyio.sleep(for_s)
        self.notify_link_change(first, second, LinkChange.REPLACED)
        self.notify_link_change(second, first, LinkChange.REPLACED)

    def notify_link_change(self, listener: str, peer: str, change: LinkChange) -> None:
        reason = Reason.UNAVAILABLE if change is LinkChange.DOWN else None
        incarnation = self.daemons[peer].incarnation if peer in self.daemons else 0
        event = LinkEvent(peer, incarnation, change, reason)
        if listener in self.daemons:
            for listen in self.daemons[listener].link_listeners:
                listen(event)
