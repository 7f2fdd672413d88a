"""Compare two ways to claim orders: one write per order, and group commit.

Nine entries run the product's code in one process, in virtual time, with a key-value
service that answers after 3 ms and refuses writes above a rate limit.  Orders with
undated keys are claimed by one write each; those with dated keys are claimed by
their owner, which commits them in groups.  The processor time is real and covers all
nine entries.

Run ``python -m bench.claims [--seconds 5]``; the last line is one JSON object.
"""

import argparse
import json
import random
import statistics
import time
import uuid
from dataclasses import asdict, dataclass, field
from functools import partial
from typing import Any

import anyio

from reedspar.errors import Failure, Reason, Step
from reedspar.requests import Answer, EntryAddress, Outcome, Request
from reedspar.requests.claim_client import ClaimClient
from reedspar.requests.claim_ledger import ClaimLedger, LedgerOptions
from reedspar.requests.deduplication import DeduplicationFilter
from reedspar.requests.tests.fakes import FakeEntries, FakeKeyValue, FakeNetwork
from reedspar.requests.tests.virtual_time import create_loop_timers, run_virtual

ENTRY_NAMES = tuple(f"entry-{number}" for number in range(1, 10))
START_UNIX_TIME_S = 1_800_000_000.0
SERVICE_TIME_S = 0.2
LINK_DELAY_S = 0.001
KEY_VALUE_DELAY_S = 0.003
ANSWER = b"x" * 300


@dataclass
class ClaimResult:
    """Results of one way to claim orders at one offered load; printed as JSON."""

    way: str
    offered_per_s: int
    ran_per_s: float = 0.0
    refused_share: float = 0.0
    writes_per_s: float = 0.0
    writes_per_order: float = 0.0
    claim_p50_ms: float = 0.0
    claim_p99_ms: float = 0.0
    cpu_ms_per_order: float = 0.0


class RateLimitedKeyValue(FakeKeyValue):
    """Key-value service with a delay and a limit on the rate of writes."""

    def __init__(self, writes_per_s: int) -> None:
        super().__init__()
        self.delay_s = KEY_VALUE_DELAY_S
        self.calls = 0
        self._writes_per_s = writes_per_s
        self._second = 0
        self._writes_in_second = 0
        self.before_write = self._check_rate

    def _check_rate(self, key: str) -> Failure | None:
        self.calls += 1
        second = int(anyio.current_time())
        if second != self._second:
            self._second, self._writes_in_second = second, 0
        self._writes_in_second += 1
        if self._writes_in_second <= self._writes_per_s:
            return None
        return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE, detail="too many writes")


@dataclass
class Trial:
    """Run of one way to claim orders at one offered load."""

    result: ClaimResult
    seconds: float
    key_value: RateLimitedKeyValue
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    networks: dict[str, FakeNetwork] = field(default_factory=dict)
    filters: list[DeduplicationFilter] = field(default_factory=list)
    claim_times_s: list[float] = field(default_factory=list)
    refused: int = 0

    def unix_time(self) -> float:
        """Return the virtual time as Unix time."""
        return START_UNIX_TIME_S + anyio.current_time()

    async def run(self) -> None:
        """Offer the load, then wait until the orders have ended."""
        entries = FakeEntries([EntryAddress(n, "a", "h", 1) for n in ENTRY_NAMES])
        async with anyio.create_task_group() as tasks:
            for name in ENTRY_NAMES:
                timers = create_loop_timers()
                options = LedgerOptions(86_400.0, 35.0)
                ledger = ClaimLedger(
                    self.key_value,
                    timers,
                    self.unix_time,
                    options,
                    lambda: len(ENTRY_NAMES),
                )
                client = ClaimClient(
                    name, self._add_network(name), timers, ledger, entries
                )
                self.filters.append(
                    DeduplicationFilter(client, timers, self.unix_time, 86_400.0)
                )
                tasks.start_soon(ledger.run)
                tasks.start_soon(timers.run)
            async with anyio.create_task_group() as orders:
                count = round(self.result.offered_per_s * self.seconds)
                for number in range(count):
                    at_s = self.rng.uniform(0, self.seconds)
                    orders.start_soon(self._place_order, number, at_s)
            await anyio.sleep(5)
            tasks.cancel_scope.cancel()

    def _add_network(self, name: str) -> FakeNetwork:
        network = self.networks[name] = FakeNetwork()

        def deliver_later(peer: str, message: Any) -> None:
            network.sent.clear()
            deliver = partial(self.networks[peer].deliver, name, message)
            loop.call_later(LINK_DELAY_S, deliver)

        import asyncio

        loop = asyncio.get_running_loop()
        network.on_send = deliver_later
        return network

    def _make_key(self, number: int) -> str:
        if self.result.way == "write per order":
            return f"order-{number}"
        bits = int(self.unix_time() * 1000) << 80 | 7 << 76 | 2 << 62 | number
        return str(uuid.UUID(int=bits))

    async def _place_order(self, number: int, at_s: float) -> None:
        await anyio.sleep(at_s)
        started_s = anyio.current_time()

        async def run_order(request: Request) -> Answer:
            self.claim_times_s.append(anyio.current_time() - started_s)
            await anyio.sleep(SERVICE_TIME_S)
            return Answer(Outcome.ANSWERED, 200, (), ANSWER)

        request = Request(
            f"r{number}",
            "",
            "POST",
            "orders",
            "/o",
            (),
            b"",
            None,  # type: ignore[arg-type]
            0.0,
            idempotency_key=self._make_key(number),
        )
        answer = await self.rng.choice(self.filters).apply(request, run_order)
        self.refused += answer.outcome is not Outcome.ANSWERED


def measure(
    strategy: str, offered_per_s: int, seconds: float, limit: int
) -> ClaimResult:
    """Run one way to claim orders at one offered load and return its results."""
    result = ClaimResult(strategy, offered_per_s)
    trial = Trial(result, seconds, RateLimitedKeyValue(limit))
    started_s = time.process_time()
    run_virtual(trial.run)
    cpu_s = time.process_time() - started_s
    ran = len(trial.claim_times_s)
    result.ran_per_s = round(ran / seconds, 1)
    result.refused_share = round(trial.refused / (offered_per_s * seconds), 4)
    result.writes_per_s = round(trial.key_value.calls / seconds, 1)
    result.writes_per_order = round(trial.key_value.calls / max(1, ran), 3)
    if ran > 1:
        percentiles = statistics.quantiles(trial.claim_times_s, n=100)
        result.claim_p50_ms = round(percentiles[49] * 1000, 1)
        result.claim_p99_ms = round(percentiles[98] * 1000, 1)
    result.cpu_ms_per_order = round(cpu_s * 1000 / max(1, ran), 3)
    return result


def main() -> None:
    """Measure both ways at several loads and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--writes-per-s", type=int, default=300)
    arguments = parser.parse_args()
    rows = []
    for offered_per_s in (5, 50, 150, 500, 1500):
        for strategy in ("write per order", "group commit"):
            row = measure(
                strategy, offered_per_s, arguments.seconds, arguments.writes_per_s
            )
            print(row, flush=True)
            rows.append(asdict(row))
    print(json.dumps({"writes_limit_per_s": arguments.writes_per_s, "rows": rows}))


if __name__ == "__main__":
    main()
