"""Tests that fencing numbers always increase despite key-value service faults."""

import unittest
from collections import deque

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspar.errors import Failure, Reason, Step
from reedspar.platform import KeyValueEntry
from reedspar.weights import FencingRecord
from reedspar.weights.fencing import KeyValueFencing

FAULTS = ("", "", "lost", "unavailable", "stale")


class FakeKeyValue:
    """A key-value service for several agents; each call has the next fault."""

    def __init__(self, faults: list[str]) -> None:
        self.entries: dict[str, KeyValueEntry] = {}
        self.previous_entries: dict[str, KeyValueEntry] = {}
        self.faults = deque(faults)
        self.writes = 0

    async def get(self, key: str) -> KeyValueEntry | Failure | None:
        fault = self._next_fault()
        if fault == "unavailable":
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        return (self.previous_entries if fault == "stale" else self.entries).get(key)

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str = ""
    ) -> int | Failure:
        fault = self._next_fault()
        if fault == "unavailable":
            return Failure(Reason.UNAVAILABLE, Step.KEY_VALUE)
        entry = self.entries.get(key)
        revision = entry.revision if entry else 0
        if revision != expected_revision:
            return Failure(Reason.CONFLICT, Step.KEY_VALUE)
        if entry:
            self.previous_entries[key] = entry
        self.entries[key] = KeyValueEntry(key, value, revision + 1)
        self.writes += 1
        if fault == "lost":
            return Failure(Reason.OUTCOME_UNKNOWN, Step.KEY_VALUE)
        return revision + 1

    def _next_fault(self) -> str:
        return self.faults.popleft() if self.faults else ""


def request_number(key_value: FakeKeyValue, sequence: int, target: str = "agent-1"):
    numbers = KeyValueFencing(target, key_value, 0.0)
    return anyio.run(numbers.next_number, "quotes", f"{sequence:064x}", sequence)


class FencingTest(unittest.TestCase):
    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(st.sampled_from(FAULTS), max_size=12))
    def test_numbers_increase_despite_lost_answers_and_stale_reads(
        self, faults
    ) -> None:
        # Guards against a number issued twice, which would let an engine accept a
        # paused agent's order in place of a newer one.  Answers to successful writes
        # are lost, reads are stale, and the agent is replaced between orders.
        key_value = FakeKeyValue(faults)
        numbers = [request_number(key_value, 1) for _ in range(4)]
        issued_numbers = [n for n in numbers if not isinstance(n, Failure)]
        self.assertEqual(issued_numbers, sorted(set(issued_numbers)))

    def test_older_version_of_another_agent_process_is_fenced(self) -> None:
        # Guards against a return to the previous version, ordered by an agent that was
        # paused and resumes with an old configuration.
        key_value = FakeKeyValue([])
        request_number(key_value, 2)
        failure = request_number(key_value, 1)
        assert isinstance(failure, Failure)
        self.assertIs(failure.reason, Reason.FENCED)

    def test_record_contains_the_last_two_ordered_versions(self) -> None:
        key_value = FakeKeyValue([])
        for sequence in (1, 2, 3):
            request_number(key_value, sequence)
        record = anyio.run(KeyValueFencing("agent-1", key_value, 0.0).read)
        assert isinstance(record, FencingRecord)
        self.assertEqual([v.sequence for v in record.ordered], [2, 3])

    def test_same_version_can_be_ordered_again_during_an_outage(self) -> None:
        # Guards against an engine that restarts during an outage of the key-value
        # service and has no weights until the service returns.
        key_value = FakeKeyValue([])
        numbers = KeyValueFencing("agent-1", key_value, 0.0)
        first = anyio.run(numbers.next_number, "quotes", "a" * 64, 1)
        key_value.faults = deque(["unavailable"] * 20)
        self.assertEqual(anyio.run(numbers.next_number, "quotes", "a" * 64, 1), first)
        key_value.faults = deque(["unavailable"] * 20)
        failure = anyio.run(numbers.next_number, "quotes", "b" * 64, 2)
        self.assertIsInstance(failure, Failure)
