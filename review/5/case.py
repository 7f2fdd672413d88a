"""Entries go on with a dropped key after the answers to their watches were lost."""

import asyncio
from typing import Any

from deployment import Record, find_ports
from entry_case import CALLER_HOST, IS_TROUBLED, EntryCase, run_case
from http1 import Received, call
from starlette.types import ASGIApp, Message, Receive, Scope, Send

ENTRIES = 3
FIRST_HOST = 41
OUTAGE_S = 0.25
BETWEEN_S = 4.0
"""Time from the version before until the key is taken away."""
CONTACT_S = 3.0
"""`contactMs`."""
APPLY_S = 2.0
"""`configApplyMs`."""
WATCHED_S = 14.0
ASK_INTERVAL_S = 0.5
LAST_ROUND_S = 62.0
OLD_KEY = "key-that-is-taken-away"
KEPT_KEY = "key-that-stays"


def make_tenants(keys: list[str]) -> list[dict[str, Any]]:
    """Return the tenants of a configuration."""
    return [{"name": "shop", "apiKeys": keys}]


class SilentStore:
    """Answers nothing while it is down; a lost answer is the last on its channel."""

    def __init__(self, application: ASGIApp) -> None:
        self._application = application
        self._never = asyncio.Event()
        self._is_down = False
        self.lost: list[str] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""

        async def send_or_lose(message: Message) -> None:
            if self._is_down:
                query = scope["query_string"].decode()
                self.lost.append(f"{scope['path']} {query}")
                await self._never.wait()
            await send(message)

        await self._application(scope, receive, send_or_lose)

    async def be_silent(self, outage_s: float) -> None:
        """Be down for some time."""
        self._is_down = True
        await asyncio.sleep(outage_s)
        self._is_down = False


class SilentCase(EntryCase):
    """Takes a key away while the store is silent for a moment."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        store = self.deployment.store
        self.silent_store = SilentStore(store.application)
        store.application = self.silent_store
        self.run: set[str] = set()
        self.asked = 0
        self.broken = 0
        """Orders with the dropped key that have run too late."""

    async def serve(self, received: Received) -> bytes:
        """Run an order."""
        request_id = received.headers.get("request-id", "")
        self.run.add(request_id)
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Stamp: stamp"
        return f"{head}\r\nContent-Length: 2\r\n\r\nok".encode()

    async def play(self) -> int:
        """Play rounds until the time is over or the rule is broken."""
        self.configure(tenants=make_tenants([KEPT_KEY, OLD_KEY]))
        await self.add_runner("runner-1", self.serve)
        ports = find_ports(5)
        for number in range(ENTRIES):
            entry, _, _ = self.deployment.add_entry(
                f"127.0.0.{FIRST_HOST + number}", ports
            )
            entry.start()
        self.port = ports[0]
        await asyncio.sleep(10.0)
        if not await self.are_served(KEPT_KEY):
            self.record.write("the entries did not become ready")
            return 2
        while self.record.now_s() < LAST_ROUND_S and not self.broken:
            await self.play_round()
        self.record.write(f"{len(self.run)} of {self.asked} orders have run")
        return 1 if self.broken else 0

    async def play_round(self) -> None:
        """Take a key away, and let the store be silent for a moment just after it."""
        self.configure(tenants=make_tenants([KEPT_KEY, OLD_KEY]))
        await asyncio.sleep(BETWEEN_S)
        self.configure(tenants=make_tenants([KEPT_KEY]))
        acked_s = self.record.now_s()
        if IS_TROUBLED:
            self.record.write(f"store: is silent for {OUTAGE_S} s")
            await self.silent_store.be_silent(OUTAGE_S)
        ends_s = self.record.now_s()
        for lost in self.silent_store.lost:
            self.record.write(f"store: its answer was lost: {lost}")
        self.silent_store.lost.clear()
        while self.record.now_s() < acked_s + WATCHED_S:
            sent_s = self.record.now_s()
            served = await self.ask_all(OLD_KEY)
            late_s = sent_s - max(acked_s + APPLY_S, ends_s + CONTACT_S)
            if served and late_s > 0:
                self.record.write(
                    f"CONFIG: {served} of {ENTRIES} entries ran an order with the"
                    f" dropped key, sent {sent_s - acked_s:.2f} s after the ack"
                )
                self.broken += served
            await asyncio.sleep(ASK_INTERVAL_S)

    async def are_served(self, key: str) -> bool:
        """Return whether each entry runs an order."""
        return await self.ask_all(key) == ENTRIES

    async def ask_all(self, key: str) -> int:
        """Send an order to each entry; return how many have run."""
        names = []
        for number in range(ENTRIES):
            self.asked += 1
            request_id = f"order-{self.asked}"
            names.append(request_id)
            headers = {
                "Host": CALLER_HOST,
                "Request-Id": request_id,
                "Deadline-Ms": "1500",
                "Authorization": f"Bearer {key}",
            }
            host = f"127.0.0.{FIRST_HOST + number}"
            answer = await call(host, self.port, "POST", "/orders/a", headers, b"x")
            self.record.write(
                f"caller: {request_id} with {key} at {host} gets {answer.status}"
            )
        return sum(name in self.run for name in names)


if __name__ == "__main__":
    run_case(SilentCase, __file__)
