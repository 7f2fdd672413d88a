"""A fleet of fake daemons for tests of the tool, without sockets."""

import io
import json
import unittest
from dataclasses import dataclass

import anyio
import cappa
import httpx

from reedspar.admin import AdminClient, AgentStatus, create_admin_app
from reedspar.admin.tests.fakes import FakeConfiguration, FakeDaemon
from reedspar.configuration import ConfigurationDocument
from reedspar.links.messages import Role
from reedspar.tool.main import Tool
from reedspar.tool.session import create_session

COMMAND = cappa.collect(Tool, completion=False)
ENTRY = "http://127.0.0.1:8001"
POOLS = {"quotes": {"kind": "model", "models": ["drafter"]}}


class UnreachableTransport(httpx.AsyncBaseTransport):
    """A daemon that refuses connections."""

    async def handle_async_request(self, request):
        raise httpx.ConnectError("connection refused")


class FrozenTransport(httpx.AsyncBaseTransport):
    """A frozen daemon: it accepts connections and never responds."""

    async def handle_async_request(self, request):
        await anyio.sleep_forever()


class LostResponseTransport(httpx.AsyncBaseTransport):
    """Forward requests, and lose the responses to the first patches."""

    def __init__(self, inner: httpx.AsyncBaseTransport, lost: int) -> None:
        self.inner = inner
        self.lost = lost

    async def handle_async_request(self, request):
        response = await self.inner.handle_async_request(request)
        if request.method == "POST" and self.lost:
            self.lost -= 1
            raise httpx.ReadTimeout("no answer")
        return response


@dataclass
class RunResult:
    """Exit code and output of a run of the tool."""

    code: int
    output: str
    errors: str

    @property
    def json(self):
        return json.loads(self.output)


async def skip_sleep(delay_s: float) -> None:
    await anyio.lowlevel.checkpoint()


class FleetTest(unittest.TestCase):
    """Two entries and two agents in two zones, with a common configuration."""

    def setUp(self) -> None:
        document = ConfigurationDocument.model_validate({"version": 4, "pools": POOLS})
        self.configuration = FakeConfiguration([document])
        self.daemons = [
            self.make_daemon("entry-1", Role.ENTRY, "kingston-a", 8001),
            self.make_daemon("entry-2", Role.ENTRY, "kingston-b", 8002),
            self.make_daemon("agent-1", Role.AGENT, "kingston-a", 8003),
            self.make_daemon("agent-2", Role.AGENT, "kingston-b", 8004),
        ]
        members = tuple(daemon.to_member_status() for daemon in self.daemons)
        self.transports: dict[str, httpx.AsyncBaseTransport] = {}
        for daemon in self.daemons:
            daemon.members = members
            app = create_admin_app(daemon.create_sources())
            address = f"http://127.0.0.1:{daemon.http_port}"
            self.transports[address] = httpx.ASGITransport(app)

    def make_daemon(self, name: str, role: Role, zone: str, port: int) -> FakeDaemon:
        agent = None
        if role is Role.AGENT:
            agent = AgentStatus(pool="quotes", target_status="ready", limit=4)
        return FakeDaemon(name, role, zone, port, self.configuration, agent=agent)

    def make_unreachable(self, address: str) -> None:
        self.transports[address] = UnreachableTransport()

    def run_tool(self, *arguments: str, entry: str = ENTRY) -> RunResult:
        tool = cappa.parse(COMMAND, argv=[*arguments, "--entry", entry])
        output, errors = io.StringIO(), io.StringIO()

        async def run() -> int:
            async with httpx.AsyncClient(mounts=self.transports, verify=False) as http:
                client = AdminClient(http, tool.urls, sleep=skip_sleep)
                session = create_session(
                    client, is_json=tool.is_json, output=output, errors=errors
                )
                return await tool.command.run(session)

        code = anyio.run(run)
        return RunResult(code, output.getvalue(), errors.getvalue())
