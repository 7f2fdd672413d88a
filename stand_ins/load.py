"""Load generator: quotes, streams, orders and status reads at fixed mean rates."""

import json
import random
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import TaskGroup

from reedspar.settings import TargetKind

from .caller import Call, Caller
from .deployments import Pool
from .keys import make_dated_key
from .launcher import Launcher
from .promises import TrialRecords

__all__ = ["LoadGenerator", "LoadPlan"]

REPEAT_DELAY_MAX_S = 0.6
PROMPT_FAMILY_COUNT = 12
"""Prompts of one family share a long prefix."""
PREFIX_CHARACTERS = 256


@dataclass(frozen=True)
class LoadPlan:
    """Mean call rates and call parameters of a load."""

    quotes_per_s: float = 20.0
    streams_per_s: float = 8.0
    orders_per_s: float = 10.0
    statuses_per_s: float = 4.0
    tokens: int = 16
    repeat_share: float = 0.3
    """Share of keyed orders that are sent twice."""
    keyless_share: float = 0.2
    """Share of orders without an idempotency key, which are never sent twice."""
    undated_share: float = 0.1
    """Share of orders whose key contains no timestamp."""
    deadline_s: float = 10.0


class LoadGenerator:
    """Starts calls at the plan's rates until `stop`, then waits for those in flight."""

    def __init__(
        self, launcher: Launcher, records: TrialRecords, plan: LoadPlan, seed: int
    ) -> None:
        deployment = launcher.deployment
        pools = deployment.pools
        self._model_pool = next(p for p in pools if p.kind is TargetKind.MODEL_ENGINE)
        plain = [p for p in pools if p.kind is TargetKind.PLAIN_SERVICE]
        self._order_pool: Pool = plain[0]
        self._status_pool: Pool = plain[-1]
        self._records = records
        self._plan = plan
        self._rng = random.Random(seed)
        self._is_stopped = False
        self._order_count = 0
        self._call_count = 0
        self.in_flight = 0
        urls = [entry.http_url for entry in launcher.entries]
        self._callers = [
            Caller(urls, workspace, seed + i, plan.deadline_s)
            for i, workspace in enumerate(deployment.workspaces)
        ]

    async def aclose(self) -> None:
        """Close the callers' connections."""
        for caller in self._callers:
            await caller.aclose()

    def stop(self) -> None:
        """Start no more calls; those in flight continue."""
        self._is_stopped = True

    async def run(self) -> None:
        """Start calls until stopped, then wait for the last one to end."""
        plan = self._plan
        async with anyio.create_task_group() as tasks:
            for rate, make_call in (
                (plan.quotes_per_s, self._quote),
                (plan.streams_per_s, self._stream),
                (plan.orders_per_s, self._order),
                (plan.statuses_per_s, self._status),
            ):
                if rate > 0:
                    tasks.start_soon(self._start_calls, tasks, rate, make_call)

    async def _start_calls(
        self,
        tasks: TaskGroup,
        rate: float,
        make_call: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        due_s = anyio.current_time()
        while not self._is_stopped:
            tasks.start_soon(make_call)
            due_s += self._rng.expovariate(rate)
            await anyio.sleep_until(due_s)

    async def _record(self, call: Awaitable[Call]) -> Call:
        self.in_flight += 1
        try:
            ended = await call
        finally:
            self.in_flight -= 1
        self._records.add(ended)
        return ended

    def _pick_caller(self) -> Caller:
        """Return a random caller; the first two workspaces get most calls."""
        weights = [8 if i < 2 else 1 for i in range(len(self._callers))]
        return self._rng.choices(self._callers, weights)[0]

    def _make_prompt(self) -> str:
        self._call_count += 1
        family = f"moulding {self._rng.randrange(PROMPT_FAMILY_COUNT)}; "
        prefix = (family * PREFIX_CHARACTERS)[:PREFIX_CHARACTERS]
        return f"{prefix}quote {self._call_count}"

    async def _quote(self) -> None:
        await self._request_completion(stream=False)

    async def _stream(self) -> None:
        await self._request_completion(stream=True)

    async def _request_completion(self, *, stream: bool) -> None:
        pool = self._model_pool
        await self._record(
            self._pick_caller().quote(
                pool.name,
                pool.models[0],
                self._make_prompt(),
                self._plan.tokens,
                stream=stream,
            )
        )

    async def _order(self) -> None:
        self._order_count += 1
        order_id = f"order-{self._order_count}"
        if self._rng.random() >= self._plan.undated_share:
            order_id = make_dated_key(self._rng)
        body = json.dumps({"deposit": self._order_count, "shop": order_id}).encode()
        has_key = self._rng.random() >= self._plan.keyless_share
        is_repeated = has_key and self._rng.random() < self._plan.repeat_share
        caller = self._pick_caller()
        async with anyio.create_task_group() as tasks:

            async def send() -> None:
                pool = self._order_pool.name
                await self._record(caller.order(pool, order_id, body, has_key=has_key))

            tasks.start_soon(send)
            if is_repeated:
                await anyio.sleep(self._rng.random() * REPEAT_DELAY_MAX_S)
                tasks.start_soon(send)

    async def _status(self) -> None:
        order_id = f"order-{self._rng.randint(1, max(1, self._order_count))}"
        self._call_count += 1
        name = f"{order_id}-{self._call_count}"
        pool = self._status_pool.name
        await self._record(self._pick_caller().read_status(pool, name))
