"""Tests that an order with an idempotency key runs at most once despite faults."""

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
from reedspar.requests.deduplication import DeduplicationFilter
from reedspar.requests.messages import (
    ClaimRequest,
    ClaimState,
    ClaimUpdate,
    ClaimVerdict,
)
from reedspar.requests.outcome_encoding import make_not_run, make_unknown
from reedspar.requests.tests.fakes import FakeEntries, FakeKeyValue, FakeNetwork
from reedspar.requests.tests.virtual_time import create_loop_timers, run_virtual

TTL_S = 60.0
EPOCH_S = 1_800_000_000.0
ENTRIES = ("e1", "e2", "e3")


def make_key(at_s: float, number: int) -> str:
    """Return a version 7 UUID dated `at_s` seconds after the start."""
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
class OrderRecorder:
    """Records the orders that ran and the answers to callers, by idempotency key."""

    ran: dict[str, list[str]] = field(default_factory=dict)
    answers: dict[str, list[Answer]] = field(default_factory=dict)


class FaultyMesh:
    """Networks of several entries that lose, delay and reorder messages."""

    def __init__(self, rng: random.Random, is_faulty: bool) -> None:
        self.rng = rng
        self.is_faulty = is_faulty
        self.networks: dict[str, FakeNetwork] = {}

    def add(self, name: str) -> FakeNetwork:
        network = self.networks[name] = FakeNetwork()
        network.on_send = lambda peer, message: self._transmit(name, peer, message)
        return network

    def _transmit(self, sender: str, peer: str, message: Any) -> None:
        import asyncio

        fault = self.rng.random() if self.is_faulty else 1.0
        if fault < 0.08:
            return
        delay_s = self.rng.uniform(0.001, 0.01)
        if fault < 0.2:
            delay_s = self.rng.choice([0.3, 1.5, 6.0, 40.0, 2 * TTL_S])
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self.networks[peer].deliver, sender, message)


class History:
    """Simulation of three entries, a key-value service and repeated orders."""

    def __init__(self, seed: int, is_faulty: bool = True) -> None:
        self.rng = random.Random(seed)
        self.is_faulty = is_faulty
        self.key_value = FakeKeyValue()
        self.recorder = OrderRecorder()
        self.paused_s = 0.0
        self.timeout_s = 30.0
        self.filters: dict[str, DeduplicationFilter] = {}
        if is_faulty:
            self.key_value.before_write = lambda key: self._make_random_failure(0.1)
            self.key_value.after_write = lambda key: self._make_random_failure(
                0.15, lost=True
            )
            self.key_value.is_stale = lambda: self.rng.random() < 0.2

    def _make_random_failure(self, share: float, lost: bool = False) -> Failure | None:
        if self.rng.random() >= share:
            return None
        is_outcome_lost = lost or self.rng.random() < 0.5
        reason = Reason.OUTCOME_UNKNOWN if is_outcome_lost else Reason.UNAVAILABLE
        return Failure(reason, Step.KEY_VALUE)

    def unix_time(self) -> float:
        return EPOCH_S + self.paused_s + anyio.current_time()

    async def run(self, submissions: list[tuple[float, str, str]]) -> None:
        """Submit (time, entry, key) orders, and wait for all outcomes."""
        mesh = FaultyMesh(self.rng, self.is_faulty)
        entries = FakeEntries([EntryAddress(n, "a", "h", 1) for n in ENTRIES])
        async with anyio.create_task_group() as tasks:
            for name in ENTRIES:
                timers = create_loop_timers()
                options = LedgerOptions(TTL_S, 35.0)
                ledger = ClaimLedger(self.key_value, timers, self.unix_time, options)
                client = ClaimClient(name, mesh.add(name), timers, ledger, entries)
                self.filters[name] = DeduplicationFilter(
                    client, timers, self.unix_time, TTL_S
                )
                tasks.start_soon(ledger.run)
                tasks.start_soon(timers.run)
            async with anyio.create_task_group() as orders:
                for number, submission in enumerate(submissions):
                    orders.start_soon(self._send, number, *submission)
            await anyio.sleep(60)
            tasks.cancel_scope.cancel()

    async def _send(self, number: int, at_s: float, entry: str, key: str) -> None:
        await anyio.sleep(at_s)
        order = make_order(f"{entry}:1:{number}", key)
        order.deadline_s = anyio.current_time() + self.timeout_s
        answer = await self.filters[entry].apply(order, self._proceed)
        self.recorder.answers.setdefault(key, []).append(answer)

    async def _proceed(self, request: Request) -> Answer:
        ending = self.rng.random()
        await anyio.sleep(self.rng.uniform(0.0, 3.0))
        if not self.is_faulty:
            ending = 1.0
        if ending < 0.25:
            return make_not_run(Failure(Reason.DRAINING, Step.AGENT_ADMIT))
        ran = self.recorder.ran.setdefault(request.idempotency_key, [])
        ran.append(request.request_id)
        await anyio.sleep(self.rng.uniform(0.0, 3.0))
        if ending < 0.4:
            return make_unknown(Failure(Reason.OUTCOME_UNKNOWN, Step.RELAY))
        body = request.request_id.encode()
        return Answer(Outcome.ANSWERED, 200, (Header("a", "b"),), body, "d")


class ClaimHistoryTest(unittest.TestCase):
    # An order is submitted repeatedly to three entries while messages between them
    # are lost, reordered and delayed by minutes, two of them own its claim at once,
    # writes to the key-value service fail or lose their responses, and reads are
    # stale.  If it ran twice, a customer would pay the deposit twice.
    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.integers(min_value=0, max_value=2**32), st.booleans())
    def test_runs_at_most_once_and_repeats_the_first_answer(
        self, seed: int, is_dated: bool
    ) -> None:
        history = History(seed)
        rng = history.rng
        keys = [make_key(i, i) if is_dated else f"order-{i}" for i in range(6)]
        times = [0.5, 1.0, 4.0, 10.0, 60.0, TTL_S - 30, TTL_S + 30, 2 * TTL_S]
        submissions = [
            (rng.uniform(0, rng.choice(times)), rng.choice(ENTRIES), rng.choice(keys))
            for _ in range(40)
        ]
        run_virtual(history.run, submissions)
        for key in keys:
            self.check(history.recorder, key)

    def check(self, recorder: OrderRecorder, key: str) -> None:
        ran = recorder.ran.get(key, [])
        self.assertLessEqual(len(ran), 1, f"{key} ran {ran}")
        bodies = {
            answer.body
            for answer in recorder.answers.get(key, [])
            if answer.outcome is Outcome.ANSWERED
        }
        self.assertLessEqual(bodies, {item.encode() for item in ran})


class ClaimTest(unittest.TestCase):
    def send(
        self, *submissions: tuple[float, str, str], is_faulty: bool = False
    ) -> Any:
        history = History(3, is_faulty)
        run_virtual(history.run, list(submissions))
        return history

    def test_key_value_outage_refuses_and_releases_the_key(self) -> None:
        # An order arrives while the key-value service is down.  It must be refused
        # as not run, and a later repeat with the same key must run.
        history = History(1, is_faulty=False)
        down = Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        history.key_value.before_write = lambda key: (
            down if anyio.current_time() < 5 else None
        )
        key = make_key(0, 1)
        run_virtual(history.run, [(0.1, "e1", key), (8.0, "e2", key)])
        first, second = history.recorder.answers[key]
        assert first.failure is not None
        self.assertIs(first.outcome, Outcome.NOT_RUN)
        self.assertIs(first.failure.step, Step.CLAIM)
        self.assertIs(second.outcome, Outcome.ANSWERED)

    def test_repeat_after_the_time_to_live_is_refused(self) -> None:
        # A caller that was offline repeats an old order whose record has expired
        # or is about to.  The order must not run again.
        for key in (make_key(0, 1), "order-1"):
            with self.subTest(key=key):
                history = self.send((0, "e1", key), (TTL_S + 1, "e2", key))
                failure = history.recorder.answers[key][-1].failure
                self.assertIs(failure.reason, Reason.EXPIRED)
                self.assertEqual(len(history.recorder.ran[key]), 1)

    def test_write_paused_beyond_the_time_to_live_is_not_granted(self) -> None:
        # An entry is paused between the check of a key's date and the write of its
        # claim.  When it continues, the records of that date have expired, so the
        # write succeeds although the order may have run elsewhere.
        history = History(1, is_faulty=False)
        key = make_key(0, 1)

        def pause(location: str) -> None:
            history.paused_s = 2 * TTL_S

        history.key_value.before_write = pause
        run_virtual(history.run, [(0.1, "e1", key)])
        self.assertEqual(history.recorder.ran, {})
        failure = history.recorder.answers[key][0].failure
        assert failure is not None
        self.assertIs(failure.reason, Reason.EXPIRED)

    def test_repeat_while_the_first_runs_gets_the_first_answer(self) -> None:
        # A user submits an order twice.  If the repeat ended as "unknown" while
        # the first was about to be answered, a client that shows only the last
        # answer would report an unknown outcome.
        key = make_key(0, 1)
        history = self.send((0.0, "e1", key), (0.05, "e2", key), (0.1, "e1", key))
        answers = history.recorder.answers[key]
        self.assertEqual([a.outcome for a in answers], [Outcome.ANSWERED] * 3)
        self.assertEqual({a.body for a in answers}, {b"e1:1:0"})

    def test_repeat_that_cannot_wait_is_unknown_at_its_deadline(self) -> None:
        # The first order runs for longer than the repeat's deadline.
        history = History(3, is_faulty=False)
        history.timeout_s = 0.3
        key = make_key(0, 1)
        run_virtual(history.run, [(0.0, "e1", key), (0.05, "e2", key)])
        endings = {a.outcome for a in history.recorder.answers[key]}
        self.assertEqual(endings, {Outcome.ANSWERED, Outcome.UNKNOWN})

    def test_key_with_another_payload_is_refused(self) -> None:
        table = ClaimTable(TTL_S, 35.0)
        table.claim(ClaimRequest("k", "e1:1:1", "deposit of 10", "l"), EPOCH_S)
        repeat = ClaimRequest("k", "e2:1:1", "deposit of 99", "l")
        reply, is_changed = table.claim(repeat, EPOCH_S)
        self.assertIs(reply.verdict, ClaimVerdict.MISMATCH)
        self.assertFalse(is_changed)

    def test_late_claim_is_not_granted_after_its_release(self) -> None:
        # A claim request is delayed in the network until its entry has given up
        # and told the caller "not run".  If it were granted now, the key would be
        # blocked, and the next repeat would end as "unknown" instead of running.
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
        self.assertEqual(len(history.recorder.ran), 200)
        self.assertLess(history.key_value.writes, 150)

    def test_undated_keys_beyond_the_write_budget_are_refused_at_once(self) -> None:
        # A caller uses plain order numbers as keys and sends more orders than the
        # key-value service can write one by one.  Without a limit, each request
        # would wait for seconds, and nearly all would time out.
        history = self.send(*[(1.0, "e1", f"order-{i}") for i in range(200)])
        ran = len(history.recorder.ran)
        self.assertTrue(20 < ran < 150)
        self.assertEqual(history.key_value.writes, 2 * ran)
        refused = [
            answer.failure
            for answers in history.recorder.answers.values()
            for answer in answers
            if answer.outcome is Outcome.NOT_RUN
        ]
        self.assertEqual(len(refused), 200 - ran)
        for failure in refused:
            assert failure is not None
            self.assertIn("undated", failure.detail)


if __name__ == "__main__":
    unittest.main()
