"""Requests begin on replaced weights while versions are named in quick succession."""

import asyncio
import json

from deployment import HOST, find_ports
from entry_case import IS_TROUBLED, KEY, LIMITS, TENANTS, EntryCase, run_case
from http1 import HttpServer, call
from weights import LAYERS, Origin, Runner

MODEL = "m"
POOL = "pool"
HOST_NAME = "quotes.example"
RUNNERS = 2
HEARTBEAT_S = 1.2
ASK_INTERVAL_S = 0.05
VERSION_S = 8.0
"""`version_ms`."""
NAMED = range(2, 10) if IS_TROUBLED else range(2, 3)
"""Versions that are named."""
NAMED_INTERVAL_S = 1.5
PLAYED_S = 22.0
"""Time from the first version's ack until the end."""


class VersionsCase(EntryCase):
    """Names versions while a caller asks for quotes."""

    runners: list[Runner]
    addresses: dict[str, str]
    acked_s: dict[int, float]
    statuses: dict[int, int]

    async def play(self) -> int:
        """Play the case; return 1 if a request began on weights replaced before."""
        self.runners, self.addresses = [], {}
        self.acked_s, self.statuses = {}, {}
        origin = Origin(MODEL)
        (origin_port,) = find_ports(1)
        await HttpServer(HOST, origin_port, origin.serve).start()
        self.configure_pool(origin_port)
        await self.start_runners(origin)
        tasks = [asyncio.create_task(self.beat())]
        if not await self.start_entry():
            return 2
        await asyncio.sleep(3.0)
        tasks.append(asyncio.create_task(self.ask()))
        await asyncio.sleep(2.0)
        started_s = self.record.now_s()
        for version in NAMED:
            self.deployment.name_version(MODEL, version)
            self.acked_s[version] = self.record.now_s()
            await asyncio.sleep(NAMED_INTERVAL_S)
        await asyncio.sleep(max(0.0, started_s + PLAYED_S - self.record.now_s()))
        for task in tasks:
            task.cancel()
        self.record.write(f"callers: answers by status {self.statuses}")
        return self.judge()

    def configure_pool(self, origin_port: int) -> None:
        """Write the configuration of a pool of model engines."""
        engine = {
            "slots": 16,
            "models": [{"name": MODEL, "warmS": 0.3}],
            "step_ms": 9.27,
            "read_per_s": 20700.0,
            "chunk": 2048,
            "layers": LAYERS,
            "stride": 5,
            "usual": {"prompt": 979, "answer": 92},
        }
        origin = {
            "name": "origin",
            "origin": f"{HOST}:{origin_port}",
            "zone": "zone-a",
            "linkMbps": 7.3,
            "maxConns": 48,
        }
        route = {
            "name": "quotes",
            "host": HOST_NAME,
            "prefix": "/quotes/",
            "kind": "streaming",
            "timeoutMs": 6000,
            "targetLatencyMs": 506,
            "targetGapMs": 400,
            "priority": 1,
            "service": POOL,
            "maxAttempts": 2,
            "streamResume": True,
        }
        pool = {"name": POOL, "maxConns": 434, "engine": engine}
        self.deployment.write_config(
            routes=[route], services=[pool, origin], limits=LIMITS, tenants=TENANTS
        )

    async def start_runners(self, origin: Origin) -> None:
        """Start the runners, and the agents beside them."""
        (app_port,) = find_ports(1)
        internal = find_ports(2)
        for number in range(1, RUNNERS + 1):
            host = f"127.0.0.{20 + number}"
            runner = Runner(f"runner-{number}", MODEL, self.record, origin)
            await HttpServer(host, app_port, runner.serve).start()
            self.runners.append(runner)
            address = self.addresses[runner.name] = f"{host}:{app_port}"
            self.deployment.add_agent(host, address, POOL, internal).start()
        self.register()

    def register(self) -> None:
        """Write the runners' entries."""
        for runner in self.runners:
            entry = {
                "service": POOL,
                "addr": self.addresses[runner.name],
                "zone": "zone-a",
                "slots": 16,
                "state": "ready",
                "coldLeftMs": 0,
            }
            value = json.dumps(entry | runner.describe()).encode()
            self.deployment.store.put(f"servers/{runner.name}", value)

    async def beat(self) -> None:
        """Write the runners' entries at each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def ask(self) -> None:
        """Ask for quotes all the time."""
        number = 0
        while True:
            number += 1
            headers = {
                "Host": HOST_NAME,
                "Request-Id": f"quote-{number}",
                "Model": MODEL,
                "Token-Count": "200,15",
                "Prompt-Prefix": f"{number:x}:200",
                "Deadline-Ms": "6000",
                "Authorization": f"Bearer {KEY}",
            }
            answer = await call(HOST, self.port, "POST", "/quotes/a", headers, b"frame")
            self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
            text = answer.error or answer.headers.get("weight-versions", "-")
            self.record.write(f"caller: quote-{number} gets {answer.status}, {text}")
            await asyncio.sleep(ASK_INTERVAL_S)

    def judge(self) -> int:
        """Return 1 if a request began on an older version too late."""
        if not any(runner.runs for runner in self.runners):
            self.record.write("no request has run")
            return 2
        broken = 0
        for runner in self.runners:
            for request_id, began_s, version in runner.runs:
                newer = [s for v, s in self.acked_s.items() if v > version]
                late_s = began_s - min(newer, default=began_s) - VERSION_S
                if late_s > 0:
                    broken += 1
                    self.record.write(
                        f"VERSION: {request_id} began at {began_s:.3f} s on version"
                        f" {version} of {runner.name}, {late_s:.3f} s too late"
                    )
        self.record.write(f"{broken} requests began on an older version too late")
        return 1 if broken else 0


if __name__ == "__main__":
    run_case(VersionsCase, __file__)
