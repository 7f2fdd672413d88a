"""A TCP relay that injects faults: resets, delays, corruption, silence.

It runs between two processes.  HTTP control calls set what happens to the bytes
of each direction, for all connections or only for those open now.
"""

import argparse
import random
import socket
from enum import Enum

import anyio
from anyio.abc import SocketStream, TaskGroup
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .serving import HOST, serve_app

__all__ = ["Direction", "Relay", "RelayRule", "create_control_app"]

RECEIVE_MAX_BYTES = 64 * 1024
SILENCE_POLL_INTERVAL_S = 0.05


class Direction(Enum):
    """Direction of relayed bytes."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


class RelayRule(BaseModel):
    """Faults for the bytes of one direction."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    delay_s: float = Field(0.0, ge=0, description="Delay before each piece.")
    corrupt_share: float = Field(
        0.0, ge=0, le=1, description="Share of pieces corrupted."
    )
    silent: bool = Field(False, description="Forward nothing while set.")


class RelayRules(BaseModel):
    """Rules of both directions, and for new connections."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    to_server: RelayRule = RelayRule.model_validate({})
    to_client: RelayRule = RelayRule.model_validate({})
    only_open: bool = Field(
        False, description="Apply to open connections; new ones have no faults."
    )
    refuse: bool = Field(False, description="Reset new connections at once.")


class Connection:
    """One relayed connection and its current rules."""

    def __init__(self, rules: RelayRules) -> None:
        self.rules = rules
        self.cut = anyio.Event()
        self.bytes_forwarded = dict.fromkeys(Direction, 0)

    def rule(self, direction: Direction) -> RelayRule:
        """Return the current rule for a direction."""
        to_server = direction is Direction.TO_SERVER
        return self.rules.to_server if to_server else self.rules.to_client


class Relay:
    """Accepts connections on its port and relays them to the server's port."""

    def __init__(self, port: int, server_port: int, seed: int = 0) -> None:
        self._port = port
        self._server_port = server_port
        self._rng = random.Random(seed)
        self._next_rules = RelayRules()
        self._connections: set[Connection] = set()
        self._accepted = 0

    def set_rules(self, rules: RelayRules) -> None:
        """Apply rules to open connections and, unless `only_open`, to new ones."""
        for connection in self._connections:
            connection.rules = rules
        self._next_rules = RelayRules() if rules.only_open else rules

    def cut_all(self) -> int:
        """Reset the open connections and return their number."""
        for connection in self._connections:
            connection.cut.set()
        return len(self._connections)

    def describe(self) -> dict[str, object]:
        """Return connection counts and the rules for new connections."""
        return {
            "accepted": self._accepted,
            "open": len(self._connections),
            "rules": self._next_rules.model_dump(),
        }

    async def run(self) -> None:
        """Relay until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=HOST, local_port=self._port
        )
        async with listener:
            await listener.serve(self._relay)

    async def _relay(self, client: SocketStream) -> None:
        self._accepted += 1
        async with client:
            if self._next_rules.refuse:
                set_reset_on_close(client)
                return
            try:
                server = await anyio.connect_tcp(HOST, self._server_port)
            except OSError:
                set_reset_on_close(client)
                return
            async with server:
                await self._relay_both_directions(client, server)

    async def _relay_both_directions(
        self, client: SocketStream, server: SocketStream
    ) -> None:
        connection = Connection(self._next_rules)
        self._connections.add(connection)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._forward,
                    connection,
                    Direction.TO_SERVER,
                    client,
                    server,
                    tasks,
                )
                tasks.start_soon(
                    self._forward,
                    connection,
                    Direction.TO_CLIENT,
                    server,
                    client,
                    tasks,
                )
                await connection.cut.wait()
                set_reset_on_close(client)
                set_reset_on_close(server)
                tasks.cancel_scope.cancel()
        finally:
            self._connections.discard(connection)

    async def _forward(
        self,
        connection: Connection,
        direction: Direction,
        source: SocketStream,
        sink: SocketStream,
        tasks: TaskGroup,
    ) -> None:
        """Forward bytes until one end closes, then close both."""
        try:
            while True:
                piece = await source.receive(RECEIVE_MAX_BYTES)
                rule = connection.rule(direction)
                if rule.delay_s:
                    await anyio.sleep(rule.delay_s)
                while connection.rule(direction).silent:
                    await anyio.sleep(SILENCE_POLL_INTERVAL_S)
                await sink.send(self._corrupt(piece, rule))
                connection.bytes_forwarded[direction] += len(piece)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            # A silent path doesn't forward the end of a connection either.
            while connection.rule(direction).silent:
                await anyio.sleep(SILENCE_POLL_INTERVAL_S)
            tasks.cancel_scope.cancel()

    def _corrupt(self, piece: bytes, rule: RelayRule) -> bytes:
        if self._rng.random() >= rule.corrupt_share:
            return piece
        corrupted = bytearray(piece)
        corrupted[self._rng.randrange(len(corrupted))] ^= 0xFF
        return bytes(corrupted)


def set_reset_on_close(stream: SocketStream) -> None:
    """Make closing the stream send RST instead of FIN."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    reset = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)


def create_control_app(relay: Relay) -> Starlette:
    """Create the control app of a relay."""

    async def set_rules(request: Request) -> Response:
        try:
            rules = RelayRules.model_validate_json(await request.body())
        except ValidationError as error:
            return JSONResponse({"error": str(error)}, status_code=422)
        relay.set_rules(rules)
        return Response(status_code=204)

    async def cut(request: Request) -> Response:
        return JSONResponse({"cut": relay.cut_all()})

    async def describe(request: Request) -> Response:
        return JSONResponse(relay.describe())

    return Starlette(
        routes=[
            Route("/control/rules", set_rules, methods=["PUT"]),
            Route("/control/cut", cut, methods=["POST"]),
            Route("/control/counts", describe, methods=["GET"]),
            Route("/control/ready", describe, methods=["GET"]),
        ]
    )


async def run_relays(relays: list[tuple[Relay, int]]) -> None:
    """Run the relays and their control ports until killed."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        for relay, control_port in relays:
            tasks.start_soon(relay.run)
            tasks.start_soon(serve_app, create_control_app(relay), control_port, stop)


def main() -> None:
    """Run one relay for each triple of port, server port and control port."""
    parser = argparse.ArgumentParser(description=__doc__)
    for option in ("--port", "--server-port", "--control-port"):
        parser.add_argument(option, type=int, action="append", required=True)
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    relays = [
        (Relay(port, server_port, arguments.seed), control_port)
        for port, server_port, control_port in zip(
            arguments.port, arguments.server_port, arguments.control_port, strict=True
        )
    ]
    anyio.run(run_relays, relays)


if __name__ == "__main__":
    main()
