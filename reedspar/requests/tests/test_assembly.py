"""Tests of the assembly of an attempt's messages into an answer."""

import random
import unittest
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspar.attempts import (
    AttemptData,
    AttemptEnd,
    AttemptHead,
    AttemptPhase,
    AttemptStart,
    AttemptStatus,
    Header,
)
from reedspar.errors import Reason
from reedspar.requests.assembly import AnswerAssembly, Progress, Verdict
from reedspar.requests.tests.fakes import make_answer, make_refusal

BUFFER_LIMIT_BYTES = 1024
START = AttemptStart(
    "e:1:1", 0, "orders", "POST", "/o", (), b"", 5.0, False, 1, "w", "f", "", 7
)


def feed(assembly: AnswerAssembly, message: Any) -> Progress:
    if isinstance(message, AttemptHead):
        return assembly.on_head(message)
    if isinstance(message, AttemptData):
        return assembly.on_data(message, BUFFER_LIMIT_BYTES)
    assert isinstance(message, AttemptEnd)
    return assembly.on_end(message)


def make_random_pieces(body: bytes, rng: random.Random) -> list[AttemptData]:
    """Return pieces of `body` that overlap, repeat and leave gaps."""
    pieces = []
    for _ in range(rng.randrange(12)):
        offset = rng.randrange(len(body))
        data = body[offset : offset + rng.randrange(1, 9)]
        pieces.append(AttemptData(START.request_id, START.attempt, offset, data))
    return pieces


class AssemblyTest(unittest.TestCase):
    def test_answer_without_a_valid_status_is_not_passed_on(self) -> None:
        # Guards against an answer behind a peer whose status no caller can read.
        for status in (0, 1, 42, 99, 100, 101, 199, 600, 700, 999):
            with self.subTest(status=status):
                assembly = AnswerAssembly(START, "t1")
                for message in make_answer(START, b"x"):
                    if isinstance(message, AttemptHead):
                        message = replace(message, status=status)
                    feed(assembly, message)
                self.assertIs(assembly.verdict, Verdict.UNKNOWN)
                self.assertIsNone(assembly.head)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.binary(min_size=1, max_size=60), st.integers(0, 2**32), st.booleans())
    def test_reordered_repeated_and_missing_pieces(
        self, body: bytes, seed: int, is_damaged: bool
    ) -> None:
        # A link is replaced during an answer: pieces arrive twice, late,
        # overlapping or not at all, and the agent sends again from the requested
        # offset.  Each byte must be read once, or the answer must not be complete.
        rng = random.Random(seed)
        messages = make_answer(START, body, cut=rng.randrange(1, 9))
        if is_damaged:
            wrong = bytes([body[0] ^ 1]) + body[1:]
            messages[-1] = make_answer(START, wrong)[-1]
        reordered = [*messages, *make_random_pieces(body, rng)]
        rng.shuffle(reordered)
        assembly = AnswerAssembly(START, "t1")
        received = b""
        for message in reordered:
            feed(assembly, message)
            received += assembly.read_available()
        repeated = make_answer(START, body)
        resumed = AttemptData(
            START.request_id, START.attempt, len(received), body[len(received) :]
        )
        for message in (repeated[0], resumed, messages[-1]):
            feed(assembly, message)
        received += assembly.read_available()
        if is_damaged:
            self.assertIs(assembly.verdict, Verdict.UNKNOWN)
            return
        self.assertIs(assembly.verdict, Verdict.COMPLETE)
        self.assertEqual(received, body)

    def test_refusal_of_a_late_cancel_is_no_proof(self) -> None:
        # An entry is paused for longer than the agent keeps the record of an order
        # that ran.  When it then cancels the order, the agent has no record and
        # revokes it.  The order must not be reported as not run.
        for incarnation, age_s, verdict in (
            (7, 5.0, Verdict.NOT_RUN),
            (7, 90.0, Verdict.UNKNOWN),
            (8, 5.0, Verdict.UNKNOWN),
        ):
            assembly = AnswerAssembly(START, "t1")
            assembly.is_cancelled = True
            refusal = make_refusal(START, Reason.CANCELLED)
            assembly.on_refused(refusal, incarnation, age_s)
            self.assertIs(assembly.verdict, verdict)

    def test_attempt_without_record_is_unknown_only_if_it_was_received(self) -> None:
        status = AttemptStatus("e:1:1", 0, AttemptPhase.UNKNOWN, 0)
        unseen = AnswerAssembly(START, "t1")
        self.assertIs(unseen.on_status(status, 7), Progress.MISSING)
        self.assertTrue(unseen.is_open)
        begun = AnswerAssembly(START, "t1")
        begun.on_head(make_answer(START, b"x")[0])
        begun.on_status(status, 7)
        self.assertIs(begun.verdict, Verdict.UNKNOWN)

    def test_stream_that_ends_inside_an_event_is_unknown(self) -> None:
        # Guards against an agent's confirmed end of a stream that its target broke off.
        for body, verdict in (
            (b"id: 1\n\nid: 2\nda", Verdict.UNKNOWN),
            (b"id: 1\n", Verdict.UNKNOWN),
            (b"id: 1\n\n", Verdict.COMPLETE),
            (b"", Verdict.COMPLETE),
        ):
            for is_reversed in (False, True):
                assembly = AnswerAssembly(START, "t1")
                messages = make_answer(START, body, "Text/Event-Stream", cut=2)
                if is_reversed:
                    messages = [messages[0], messages[-1], *messages[1:-1]]
                for message in messages:
                    feed(assembly, message)
                self.assertIs(assembly.verdict, verdict, body)

    def test_encoded_stream_is_not_searched_for_events(self) -> None:
        # Guards against breaking off a compressed stream, whose bytes have no lines.
        assembly = AnswerAssembly(START, "t1")
        head, *rest = make_answer(START, b"\x1f\x8b", "text/event-stream")
        encoding = Header("Content-Encoding", "gzip")
        assembly.on_head(replace(head, headers=(*head.headers, encoding)))
        for message in rest:
            feed(assembly, message)
        self.assertIs(assembly.verdict, Verdict.COMPLETE)

    def test_data_beyond_the_buffer_limit_is_not_accepted(self) -> None:
        assembly = AnswerAssembly(START, "t1")
        assembly.on_head(make_answer(START, b"x")[0])
        piece = AttemptData("e:1:1", 0, 0, bytes(BUFFER_LIMIT_BYTES))
        self.assertIs(assembly.on_data(piece, BUFFER_LIMIT_BYTES), Progress.CHANGED)
        more = AttemptData("e:1:1", 0, BUFFER_LIMIT_BYTES, b"more")
        self.assertIs(assembly.on_data(more, BUFFER_LIMIT_BYTES), Progress.FULL)
        assembly.read_available()
        self.assertIs(assembly.on_data(more, BUFFER_LIMIT_BYTES), Progress.CHANGED)


if __name__ == "__main__":
    unittest.main()
