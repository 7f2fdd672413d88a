"""An order that a runner has run is answered as one that was not run."""

import asyncio
import random

from entry_case import IS_TROUBLED, EntryCase, run_case
from http1 import Answer, Received

RUNNERS = ("runner-1", "runner-2", "runner-3")
GREY_RUNNER = "runner-2"
"""The one that fails part of its requests."""
FAILED_SHARE = 0.4
ORDERS = 120
WORK_S = 0.02
PAUSE_S = 0.05
PROMISES = (408, 421, 429, 503)
"""Statuses that say that a request has not run and never will."""


class RefusedCase(EntryCase):
    """Sends orders through one entry to three runners."""

    runs: dict[str, str]
    answers: dict[str, Answer]
    rng: random.Random

    async def run_order(self, name: str, received: Received) -> bytes:
        """Run an order, and answer with its result or with a failure."""
        request_id = received.headers.get("request-id", "")
        if received.headers.get("expect-instance") != name:
            return b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
        self.runs[request_id] = name
        self.record.write(f"{name}: runs {request_id}")
        await asyncio.sleep(WORK_S)
        is_grey = IS_TROUBLED and name == GREY_RUNNER
        if is_grey and self.rng.random() < FAILED_SHARE:
            self.record.write(f"{name}: answers 503 to {request_id}, after its run")
            head = "HTTP/1.1 503 Service Unavailable"
            text = "placed, but the receipt can't be made"
        else:
            head = "HTTP/1.1 200 OK\r\nResponse-Stamp: stamp"
            text = f"placed {request_id}"
        fields = f"Request-Id: {request_id}\r\nContent-Length: {len(text)}"
        return f"{head}\r\n{fields}\r\n\r\n{text}".encode()

    async def play(self) -> int:
        """Send the orders; return 1 if one that has run is answered as not run."""
        self.runs, self.answers, self.rng = {}, {}, random.Random(6)
        for name in RUNNERS:

            async def serve(received: Received, name: str = name) -> bytes:
                return await self.run_order(name, received)

            await self.add_runner(name, serve)
        self.configure()
        if not await self.start_entry():
            return 2
        for number in range(ORDERS):
            request_id = f"order-{number}"
            self.answers[request_id] = await self.order(request_id, b"deposit")
            await asyncio.sleep(PAUSE_S)
        return self.judge()

    def judge(self) -> int:
        """Return 1 if an order has run that was answered as not run."""
        if len(self.runs) < ORDERS / 2:
            self.record.write(f"only {len(self.runs)} of {ORDERS} orders have run")
            return 2
        broken = [
            name
            for name, answer in self.answers.items()
            if answer.status in PROMISES and name in self.runs
        ]
        for name in broken:
            status = self.answers[name].status
            runner = self.runs[name]
            self.record.write(f"REFUSED: {name} got {status} and has run at {runner}")
        return 1 if broken else 0


if __name__ == "__main__":
    run_case(RefusedCase, __file__)
