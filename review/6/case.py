"""Orders with any key run once the last tenant is taken out of the configuration."""

import asyncio

from entry_case import IS_TROUBLED, KEY, TENANTS, EntryCase, run_case
from http1 import Received

ORDERS = 10
NEVER_HELD_KEY = "a-key-that-no-configuration-ever-held"
OTHER_TENANT = {"name": "press", "apiKeys": ["press-key"]}
APPLIED_S = 4.0
"""Twice `configApplyMs`."""


class TenantsCase(EntryCase):
    """Takes a tenant's key away and goes on sending orders with it."""

    run: dict[str, str]

    async def serve(self, received: Received) -> bytes:
        """Run an order, and note the tenant that it names."""
        request_id = received.headers.get("request-id", "")
        if received.headers.get("expect-instance") != "runner-1":
            return b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
        tenant = received.headers.get("tenant", "")
        self.run[request_id] = tenant
        self.record.write(f"runner: runs {request_id} of the tenant {tenant!r}")
        text = f"placed {request_id}"
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Stamp: stamp"
        return f"{head}\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode()

    async def play(self) -> int:
        """Send orders before and after the change; return 1 if a wrong one has run."""
        self.run = {}
        self.configure(tenants=TENANTS if IS_TROUBLED else [*TENANTS, OTHER_TENANT])
        await self.add_runner("runner-1", self.serve)
        if not await self.start_entry():
            return 2
        await self.order("before-1", b"deposit")
        await self.order("before-2", b"deposit", key=NEVER_HELD_KEY)
        if self.run != {"before-1": "shop"}:
            self.record.write("the orders before the change did not run as they should")
            return 2
        self.configure(tenants=[] if IS_TROUBLED else [OTHER_TENANT])
        await asyncio.sleep(APPLIED_S)
        for number in range(1, ORDERS + 1):
            await self.order(f"revoked-{number}", b"deposit")
            await self.order(f"never-held-{number}", b"deposit", key=NEVER_HELD_KEY)
        return self.judge()

    def judge(self) -> int:
        """Return 1 if an order has run after its key was gone."""
        for name in self.run:
            if name.startswith("never-held"):
                self.record.write(f"ROUTE: {name} ran; no configuration held its key")
            elif name.startswith("revoked"):
                self.record.write(f"CONFIG: {name} ran; {KEY} was dropped")
        return 1 if len(self.run) > 1 else 0


if __name__ == "__main__":
    run_case(TenantsCase, __file__)
