"""Tests of how the messages of one attempt are put together."""

import random
import unittest
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
)
from reedspar.errors import Reason
from reedspar.requests.assembly import AnswerAssembly, Progress, Verdict
from reedspar.requests.tests.fakes import make_answer, make_refusal

ROOM_BYTES = 1024
START = AttemptStart(
    "e:1:1", 0, "orders", "POST", "/o", (), b"", 5.0, False, 1, "w", "f", "", 7
)


def feed(assembly: AnswerAssembly, message: Any) -> Progress:
    if isinstance(message, AttemptHead):
        return assembly.on_head(message)
    if isinstance(message, AttemptData):
        return assembly.on_data(message, ROOM_BYTES)
    assert isinstance(message, AttemptEnd)
    return assembly.on_end(message)


def cut_again(body: bytes, rng: random.Random) -> list[AttemptData]:
    """Return pieces of `body` that overlap, repeat and leave gaps."""
    pieces = []
    for _ in range(rng.randrange(12)):
        offset = rng.randrange(len(body))
        data = body[offset : offset + rng.randrange(1, 9)]
        pieces.append(AttemptData(START.request_id, START.attempt, offset, data))
    return pieces


class AssemblyTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.binary(min_size=1, max_size=60), st.integers(0, 2**32), st.booleans())
    def test_crossed_repeated_and_missing_pieces(
        self, body: bytes, seed: int, is_damaged: bool
    ) -> None:
        # A link is replaced under a running answer: pieces come twice, late,
        # overlapping, or not at all, and the agent sends again from where it
        # is asked to.  The caller must read each byte once, or no whole answer.
        rng = random.Random(seed)
        messages = make_answer(START, body, cut=rng.randrange(1, 9))
        if is_damaged:
            wrong = bytes([body[0] ^ 1]) + body[1:]
            messages[-1] = make_answer(START, wrong)[-1]
        crossed = [*messages, *cut_again(body, rng)]
        rng.shuffle(crossed)
        assembly = AnswerAssembly(START, "t1")
        taken = b""
        for message in crossed:
            feed(assembly, message)
            taken += assembly.read_available()
        again = make_answer(START, body)
        resumed = AttemptData(
            START.request_id, START.attempt, len(taken), body[len(taken) :]
        )
        for message in (again[0], resumed, messages[-1]):
            feed(assembly, message)
        taken += assembly.read_available()
        if is_damaged:
            self.assertIs(assembly.verdict, Verdict.UNKNOWN)
            return
        self.assertIs(assembly.verdict, Verdict.WHOLE)
        self.assertEqual(taken, body)

    def test_refusal_of_a_late_cancel_is_no_proof(self) -> None:
        # An entry is frozen for longer than the agent remembers an order that
        # ran.  Thawed, it asks, the agent knows nothing and revokes what it
        # takes for unseen.  The shop must not hear that its order did not run.
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

    def test_forgotten_attempt_is_unknown_an_unseen_one_is_asked_for(self) -> None:
        status = AttemptStatus("e:1:1", 0, AttemptPhase.UNKNOWN, 0)
        unseen = AnswerAssembly(START, "t1")
        self.assertIs(unseen.on_status(status, 7), Progress.MISSING)
        self.assertTrue(unseen.is_open)
        begun = AnswerAssembly(START, "t1")
        begun.on_head(make_answer(START, b"x")[0])
        begun.on_status(status, 7)
        self.assertIs(begun.verdict, Verdict.UNKNOWN)

    def test_slow_caller_bounds_what_is_kept(self) -> None:
        assembly = AnswerAssembly(START, "t1")
        assembly.on_head(make_answer(START, b"x")[0])
        piece = AttemptData("e:1:1", 0, 0, bytes(ROOM_BYTES))
        self.assertIs(assembly.on_data(piece, ROOM_BYTES), Progress.NEWS)
        more = AttemptData("e:1:1", 0, ROOM_BYTES, b"more")
        self.assertIs(assembly.on_data(more, ROOM_BYTES), Progress.FULL)
        assembly.read_available()
        self.assertIs(assembly.on_data(more, ROOM_BYTES), Progress.NEWS)


if __name__ == "__main__":
    unittest.main()
