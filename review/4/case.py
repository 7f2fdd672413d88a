"""A body within the configured limit reaches the runner cut, and the order runs."""

import asyncio
import hashlib
import random

from entry_case import IS_TROUBLED, EntryCase, run_case
from http1 import Received

MIB = 1024 * 1024
RAISED_LIMIT_BYTES = 8 * MIB
LARGE_BYTES = 6 * MIB
USUAL_BYTES = 4 * MIB
ORDERS = 6
TIMEOUT_MS = 10_000
APPLIED_S = 4.0
"""Twice `configApplyMs`."""


def describe(body: bytes) -> str:
    """Return the length and a short digest of a body."""
    return f"{len(body)} bytes, {hashlib.sha256(body).hexdigest()[:12]}"


class BodyCase(EntryCase):
    """Sends orders with large bodies, by turns with a length and in chunks."""

    sent: dict[str, bytes]
    run: dict[str, bytes]

    async def serve(self, received: Received) -> bytes:
        """Run an order, and tell what has arrived."""
        request_id = received.headers.get("request-id", "")
        if received.headers.get("expect-instance") != "runner-1":
            return b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
        self.run[request_id] = received.body
        text = describe(received.body)
        self.record.write(f"runner: runs {request_id}, {text}")
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Stamp: stamp"
        return f"{head}\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode()

    async def play(self) -> int:
        """Send the orders; return 1 if one has run with another body."""
        self.sent, self.run = {}, {}
        self.configure(timeout_ms=TIMEOUT_MS)
        await self.add_runner("runner-1", self.serve)
        if not await self.start_entry():
            return 2
        size_bytes = USUAL_BYTES
        if IS_TROUBLED:
            limits = {"maxBodyBytes": RAISED_LIMIT_BYTES}
            self.configure(limits=limits, timeout_ms=TIMEOUT_MS)
            size_bytes = LARGE_BYTES
        await asyncio.sleep(APPLIED_S)
        for number in range(1, ORDERS + 1):
            request_id = f"order-{number}"
            body = random.Random(number).randbytes(size_bytes)
            self.sent[request_id] = body
            self.record.write(f"{request_id} has {describe(body)}")
            is_chunked = number % 2 == 0
            await self.order(
                request_id, body, deadline_ms=TIMEOUT_MS, is_chunked=is_chunked
            )
        return self.judge()

    def judge(self) -> int:
        """Return 1 if the runner ran an order with a body that was not sent."""
        changed = [name for name, body in self.run.items() if body != self.sent[name]]
        for name in changed:
            ran, sent = describe(self.run[name]), describe(self.sent[name])
            self.record.write(f"UNASKED: {name} ran with {ran}; sent were {sent}")
        if not IS_TROUBLED and len(self.run) < ORDERS:
            self.record.write(f"only {len(self.run)} of {ORDERS} orders have run")
            return 2
        return 1 if changed else 0


if __name__ == "__main__":
    run_case(BodyCase, __file__)
