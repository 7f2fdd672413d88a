"""Tests that an order with a key runs at most once, whatever meets its claim."""

import random
import unittest
import uuid
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspar.attempts import Header
from reedspar.errors import Failure, Reason, Step
from reedspar.requests import Answer, EntryAddress, Outcome, Request
from reedspar.requests.claim_client import ClaimClient
from reedspar.requests.claim_ledger import ClaimLedger, LedgerOptions
from reedspar.requests.claim_table import ClaimTable
from reedspar.requests.deduplicate import Deduplicate
from reedspar.requests.endings import make_not_run, make_unknown
from reedspar.requests.messages import (
    ClaimRequest,
    ClaimState,
    ClaimUpdate,
    ClaimVerdict,
)
from reedspar.requests.tests.fakes import FakeEntries, FakeKeyValue, FakeNetwork
from reedspar.requests.tests.virtual import create_loop_timers, run_virtual

TTL_S = 60.0
EPOCH_S = 1_800_000_000.0
ENTRIES = ("e1", "e2", "e3")


def make_key(at_s: float, number: int) -> str:
    """Return a UUID of version 7 dated `at_s` after the history's start."""
    stamp = int((EPOCH_S + at_s) * 1000)
    bits = stamp << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=bits))


def make_order(request_id: str, key: str, body: bytes = b"") -> Request:
    return Request(
        request_id=request_id,
        caller_request_id=request_id,
        method="POST",
        pool="orders",
        path="/o",
        headers=(),
        body=body,
        responder=None,  # type: ignore[arg-type]
        arrived_s=0.0,
        workspace="shop",
        idempotency_key=key,
        fingerprint=body.hex(),
    )


@dataclass
class Shop:
    """What callers were told and what ran, by key."""

    ran: dict[str, list[str]] = field(default_factory=dict)
    told: dict[str, list[Answer]] = field(default_factory=dict)


class Mesh:
    """Networks of several entries that lose, delay and cross messages."""

    def __init__(self, rng: random.Random, is_faulty: bool) -> None:
        self.rng = rng
        self.is_faulty = is_faulty
        self.networks: dict[str, FakeNetwork] = {}

    def add(self, name: str) -> FakeNetwork:
        network = self.networks[name] = FakeNetwork()
        network.on_send = lambda peer, message: self._carry(name, peer, message)
        return network

    def _carry(self, sender: str, peer: str, message: Any) -> None:
        import asyncio

        draw = self.rng.random() if self.is_faulty else 1.0
        if draw < 0.08:
            return
        delay_s = self.rng.uniform(0.001, 0.01)
        if draw < 0.2:
            delay_s = self.rng.choice([0.3, 1.5, 6.0, 40.0, 2 * TTL_S])
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self.networks[peer].deliver, sender, message)


class History:
    """Three entries, one key-value service, and orders sent again and again."""

    def __init__(self, seed: int, is_faulty: bool = True) -> None:
        self.rng = random.Random(seed)
        self.is_faulty = is_faulty
        self.key_value = FakeKeyValue()
        self.shop = Shop()
        self.frozen_s = 0.0
        self.patience_s = 30.0
        self.filters: dict[str, Deduplicate] = {}
        if is_faulty:
            self.key_value.before_write = lambda key: self._fault(0.1)
            self.key_value.after_write = lambda key: self._fault(0.15, lost=True)
            self.key_value.is_stale = lambda: self.rng.random() < 0.2

    def _fault(self, share: float, lost: bool = False) -> Failure | None:
        if self.rng.random() >= share:
            return None
        is_lost = lost or self.rng.random() < 0.5
        reason = Reason.OUTCOME_UNKNOWN if is_lost else Reason.UNAVAILABLE
        return Failure(reason, Step.KEY_VALUE)

    def unix_time(self) -> float:
        return EPOCH_S + self.frozen_s + anyio.current_time()

    async def run(self, sendings: list[tuple[float, str, str]]) -> None:
        """Send (when, entry, key) and wait for every end."""
        mesh = Mesh(self.rng, self.is_faulty)
        entries = FakeEntries([EntryAddress(n, "a", "h", 1) for n in ENTRIES])
        async with anyio.create_task_group() as tasks:
            for name in ENTRIES:
                timers = create_loop_timers()
                terms = LedgerOptions(TTL_S, 35.0)
                ledger = ClaimLedger(self.key_value, timers, self.unix_time, terms)
                client = ClaimClient(name, mesh.add(name), timers, ledger, entries)
                self.filters[name] = Deduplicate(client, timers, self.unix_time, TTL_S)
                tasks.start_soon(ledger.run)
                tasks.start_soon(timers.run)
            async with anyio.create_task_group() as orders:
                for number, sending in enumerate(sendings):
                    orders.start_soon(self._send, number, *sending)
            await anyio.sleep(60)
            tasks.cancel_scope.cancel()

    async def _send(self, number: int, at_s: float, entry: str, key: str) -> None:
        await anyio.sleep(at_s)
        order = make_order(f"{entry}:1:{number}", key)
        order.deadline_s = anyio.current_time() + self.patience_s
        answer = await self.filters[entry].apply(order, self._proceed)
        self.shop.told.setdefault(key, []).append(answer)

    async def _proceed(self, request: Request) -> Answer:
        ending = self.rng.random()
        await anyio.sleep(self.rng.uniform(0.0, 3.0))
        if not self.is_faulty:
            ending = 1.0
        if ending < 0.25:
            return make_not_run(Failure(Reason.DRAINING, Step.AGENT_ADMIT))
        ran = self.shop.ran.setdefault(request.idempotency_key, [])
        ran.append(request.request_id)
        await anyio.sleep(self.rng.uniform(0.0, 3.0))
        if ending < 0.4:
            return make_unknown(Failure(Reason.OUTCOME_UNKNOWN, Step.RELAY))
        body = request.request_id.encode()
        return Answer(Outcome.ANSWERED, 200, (Header("a", "b"),), body, "d")


class ClaimHistoryTest(unittest.TestCase):
    # An order is sent again and again to three entries while messages between
    # them are lost, late by minutes and crossed, two of them own its claim at
    # once, writes to the key-value service fail, lose their answers, and reads
    # are stale.  Were it run twice, a customer would pay the deposit twice.
    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.integers(min_value=0, max_value=2**32), st.booleans())
    def test_runs_at_most_once_and_repeats_the_first_answer(
        self, seed: int, is_dated: bool
    ) -> None:
        history = History(seed)
        rng = history.rng
        keys = [make_key(i, i) if is_dated else f"order-{i}" for i in range(6)]
        times = [0.5, 1.0, 4.0, 10.0, 60.0, TTL_S - 30, TTL_S + 30, 2 * TTL_S]
        sendings = [
            (rng.uniform(0, rng.choice(times)), rng.choice(ENTRIES), rng.choice(keys))
            for _ in range(40)
        ]
        run_virtual(history.run, sendings)
        for key in keys:
            self.check(history.shop, key)

    def check(self, shop: Shop, key: str) -> None:
        ran = shop.ran.get(key, [])
        self.assertLessEqual(len(ran), 1, f"{key} ran {ran}")
        bodies = {
            answer.body
            for answer in shop.told.get(key, [])
            if answer.outcome is Outcome.ANSWERED
        }
        self.assertLessEqual(bodies, {item.encode() for item in ran})


class ClaimTest(unittest.TestCase):
    def send(self, *sendings: tuple[float, str, str], is_faulty: bool = False) -> Any:
        history = History(3, is_faulty)
        run_virtual(history.run, list(sendings))
        return history

    def test_outage_of_the_service_refuses_and_gives_the_key_back(self) -> None:
        # The key-value service is down while an order comes in.  The shop is
        # told that it was not run, and its repeat of the same key later runs.
        history = History(1, is_faulty=False)
        down = Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        history.key_value.before_write = lambda key: (
            down if anyio.current_time() < 5 else None
        )
        key = make_key(0, 1)
        run_virtual(history.run, [(0.1, "e1", key), (8.0, "e2", key)])
        first, second = history.shop.told[key]
        assert first.failure is not None
        self.assertIs(first.outcome, Outcome.NOT_RUN)
        self.assertIs(first.failure.step, Step.CLAIM)
        self.assertIs(second.outcome, Outcome.ANSWERED)

    def test_repeat_after_the_time_to_live_is_refused(self) -> None:
        # A shop's till comes back after a long weekend and sends an old order
        # again.  Its record is gone or about to go; it must not run.
        for key in (make_key(0, 1), "order-1"):
            with self.subTest(key=key):
                history = self.send((0, "e1", key), (TTL_S + 1, "e2", key))
                failure = history.shop.told[key][-1].failure
                self.assertIs(failure.reason, Reason.EXPIRED)
                self.assertEqual(len(history.shop.ran[key]), 1)

    def test_write_that_was_frozen_past_the_time_to_live_grants_nothing(self) -> None:
        # An entry is frozen between looking at a key's date and writing its
        # claim.  When it thaws, the records of that date are gone with their
        # lease, and the write succeeds although the order ran elsewhere.
        history = History(1, is_faulty=False)
        key = make_key(0, 1)

        def freeze(location: str) -> None:
            history.frozen_s = 2 * TTL_S

        history.key_value.before_write = freeze
        run_virtual(history.run, [(0.1, "e1", key)])
        self.assertEqual(history.shop.ran, {})
        failure = history.shop.told[key][0].failure
        assert failure is not None
        self.assertIs(failure.reason, Reason.EXPIRED)

    def test_repeat_while_the_first_runs_gets_the_first_answer(self) -> None:
        # A shop's clerk presses the button twice.  The second sending used to
        # end as "unknown" while the first was about to be answered, and the
        # till, which shows the last answer, told the clerk that nobody knew.
        key = make_key(0, 1)
        history = self.send((0.0, "e1", key), (0.05, "e2", key), (0.1, "e1", key))
        answers = history.shop.told[key]
        self.assertEqual([a.outcome for a in answers], [Outcome.ANSWERED] * 3)
        self.assertEqual({a.body for a in answers}, {b"e1:1:0"})

    def test_repeat_that_cannot_wait_is_unknown_at_its_deadline(self) -> None:
        # The first one runs for longer than the second one's caller waits.
        history = History(3, is_faulty=False)
        history.patience_s = 0.3
        key = make_key(0, 1)
        run_virtual(history.run, [(0.0, "e1", key), (0.05, "e2", key)])
        endings = {a.outcome for a in history.shop.told[key]}
        self.assertEqual(endings, {Outcome.ANSWERED, Outcome.UNKNOWN})

    def test_key_of_another_payload_is_refused(self) -> None:
        table = ClaimTable(TTL_S, 35.0)
        table.claim(ClaimRequest("k", "e1:1:1", "deposit of 10", "l"), EPOCH_S)
        repeat = ClaimRequest("k", "e2:1:1", "deposit of 99", "l")
        reply, is_changed = table.claim(repeat, EPOCH_S)
        self.assertIs(reply.verdict, ClaimVerdict.MISMATCH)
        self.assertFalse(is_changed)

    def test_late_claim_is_not_granted_after_its_release(self) -> None:
        # A claim request is held up in the network; its entry meanwhile gave
        # up and told the shop "not run".  Granted now, the key would be
        # blocked, and its next repeat would hear "unknown" instead of running.
        table = ClaimTable(TTL_S, 35.0)
        late = ClaimRequest("k", "e1:1:1", "p", "l")
        release = ClaimUpdate("k", "e1:1:1", "l", ClaimState.RELEASED, 0, (), b"", "")
        self.assertTrue(table.update(release, EPOCH_S))
        reply, _ = table.claim(late, EPOCH_S)
        self.assertIs(reply.verdict, ClaimVerdict.UNAVAILABLE)
        reply, _ = table.claim(replace(late, token="e2:1:1"), EPOCH_S)
        self.assertIs(reply.verdict, ClaimVerdict.GRANTED)

    def test_one_write_carries_the_claims_of_many_orders(self) -> None:
        keys = [make_key(1, number) for number in range(200)]
        history = self.send(*[(1.0, "e1", key) for key in keys])
        self.assertEqual(len(history.shop.ran), 200)
        self.assertLess(history.key_value.writes, 150)

    def test_undated_keys_beyond_the_write_budget_are_refused_at_once(self) -> None:
        # A shop's software sends plain order numbers as keys, and a busy hour
        # brings more than the key-value service can write one by one.  Each
        # caller used to wait for seconds, and nearly all in vain.
        history = self.send(*[(1.0, "e1", f"order-{i}") for i in range(200)])
        ran = len(history.shop.ran)
        self.assertTrue(20 < ran < 150)
        self.assertEqual(history.key_value.writes, 2 * ran)
        refused = [
            answer.failure
            for answers in history.shop.told.values()
            for answer in answers
            if answer.outcome is Outcome.NOT_RUN
        ]
        self.assertEqual(len(refused), 200 - ran)
        for failure in refused:
            assert failure is not None
            self.assertIn("undated", failure.detail)


if __name__ == "__main__":
    unittest.main()
