"""Tests that fencing numbers only grow, whatever the key-value service loses."""

import unittest
from collections import deque

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspar.errors import Failure, Reason, Step
from reedspar.platform import KeyValueEntry
from reedspar.weights import FencingRecord
from reedspar.weights.fencing import KeyValueFencing

FAULTS = ("", "", "lost", "away", "stale")


class FakeKeyValue:
    """One service for many agents; each call takes the next fault."""

    def __init__(self, faults: list[str]) -> None:
        self.entries: dict[str, KeyValueEntry] = {}
        self.older: dict[str, KeyValueEntry] = {}
        self.faults = deque(faults)
        self.writes = 0

    async def get(self, key: str) -> KeyValueEntry | Failure | None:
        fault = self._next_fault()
        if fault == "away":
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        return (self.older if fault == "stale" else self.entries).get(key)

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str = ""
    ) -> int | Failure:
        fault = self._next_fault()
        if fault == "away":
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        entry = self.entries.get(key)
        revision = entry.revision if entry else 0
        if revision != expected_revision:
            return Failure(Reason.CONFLICT, Step.KEY_VALUE)
        if entry:
            self.older[key] = entry
        self.entries[key] = KeyValueEntry(key, value, revision + 1)
        self.writes += 1
        if fault == "lost":
            return Failure(Reason.OUTCOME_UNKNOWN, Step.KEY_VALUE)
        return revision + 1

    def _next_fault(self) -> str:
        return self.faults.popleft() if self.faults else ""


def take(key_value: FakeKeyValue, sequence: int, target: str = "agent-1"):
    numbers = KeyValueFencing(target, key_value, 0.0)
    return anyio.run(numbers.next_number, "quotes", f"{sequence:064x}", sequence)


class FencingTest(unittest.TestCase):
    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(st.sampled_from(FAULTS), max_size=12))
    def test_numbers_grow_through_lost_answers_and_stale_reads(self, faults) -> None:
        # Answers are lost after the write took effect, reads are old, and the
        # agent is replaced between orders.  A number given twice would let a
        # paused agent's order pass for the newer one's.
        key_value = FakeKeyValue(faults)
        numbers = [take(key_value, 1) for _ in range(4)]
        given_out = [n for n in numbers if not isinstance(n, Failure)]
        self.assertEqual(given_out, sorted(set(given_out)))

    def test_newer_version_fences_an_older_one_of_another_incarnation(self) -> None:
        # An agent that was paused wakes with an old configuration and wants to
        # order the version before.  Callers would be taken back to it.
        key_value = FakeKeyValue([])
        take(key_value, 2)
        failure = take(key_value, 1)
        assert isinstance(failure, Failure)
        self.assertIs(failure.reason, Reason.FENCED)

    def test_record_tells_the_successor_what_may_be_served(self) -> None:
        key_value = FakeKeyValue([])
        for sequence in (1, 2, 3):
            take(key_value, sequence)
        record = anyio.run(KeyValueFencing("agent-1", key_value, 0.0).read)
        assert isinstance(record, FencingRecord)
        self.assertEqual([v.sequence for v in record.ordered], [2, 3])

    def test_outage_lets_the_same_version_be_ordered_again(self) -> None:
        # The engine restarts while the key-value service is away.  It would
        # stay empty until the service is back.
        key_value = FakeKeyValue([])
        numbers = KeyValueFencing("agent-1", key_value, 0.0)
        first = anyio.run(numbers.next_number, "quotes", "a" * 64, 1)
        key_value.faults = deque(["away"] * 20)
        self.assertEqual(anyio.run(numbers.next_number, "quotes", "a" * 64, 1), first)
        key_value.faults = deque(["away"] * 20)
        failure = anyio.run(numbers.next_number, "quotes", "b" * 64, 2)
        self.assertIsInstance(failure, Failure)
