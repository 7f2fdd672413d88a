"""Tests of the bounds on what is held for slow readers, without network."""

import unittest

from reedspar.requests.answer_buffers import (
    ANSWER_BOUND_MIN_BYTES,
    SOCKET_BUFFER_BYTES,
    UNREAD_CUT_LAG_S,
    UNREAD_CUT_MIN_S,
    AnswerBuffers,
    GiveUpLimit,
    HoldUps,
    create_answer_buffers,
)
from reedspar.requests.slow_readers import SlowReaders, find_exceeded_limit

BUDGET_BYTES = 30_000_000
PIECE_BYTES = 64 * 1024
IDLE_TIMEOUT_S = 15.0


class AnswerBuffersTest(unittest.TestCase):
    def test_many_slow_readers_stay_within_the_budget(self) -> None:
        # Load: 200 readers that take nothing of endless answers.
        buffers = AnswerBuffers(BUDGET_BYTES)
        holds = [buffers.open_hold() for _ in range(200)]
        for pieces in range(1, 400):
            for hold in holds:
                if not hold.is_full:
                    hold.set_pending(pieces * PIECE_BYTES)
        self.assertLessEqual(buffers.held_bytes, BUDGET_BYTES)
        self.assertTrue(all(hold.is_full for hold in holds))
        fast = buffers.open_hold()
        self.assertTrue(fast.add_body(4_000))
        self.assertFalse(fast.is_full)
        for hold in (*holds, fast):
            hold.close()
        self.assertEqual(buffers.held_bytes, 0)

    def test_bound_never_stops_an_answer_for_good(self) -> None:
        buffers = AnswerBuffers(ANSWER_BOUND_MIN_BYTES)
        buffers.open_hold().set_pending(10 * BUDGET_BYTES)
        hold = buffers.open_hold()
        self.assertFalse(hold.is_full)
        hold.set_pending(ANSWER_BOUND_MIN_BYTES)
        self.assertTrue(hold.is_full)
        hold.set_pending(0)
        self.assertFalse(hold.is_full)

    def test_single_body_leaves_room_for_its_copies(self) -> None:
        # Guards against a daemon that exceeds its memory while it puts a large body
        # together that takes all of the budget.
        buffers = AnswerBuffers(3_000_000)
        for size_bytes, fits in ((2_000_000, True), (2_000_001, False)):
            hold = buffers.open_hold()
            self.assertEqual(hold.add_body(size_bytes), fits)
            hold.close()

    def test_bodies_beyond_the_budget_are_refused_until_others_end(self) -> None:
        # Load: targets that read the bodies of many requests slowly.
        buffers = AnswerBuffers(1_000_000)
        holds = [buffers.open_hold() for _ in range(20)]
        taken = [hold.add_body(100_000) for hold in holds]
        self.assertEqual(taken, [True] * 10 + [False] * 10)
        self.assertLessEqual(buffers.body_bytes, 1_000_000)
        self.assertEqual(buffers.refused, 10)
        holds[0].close()
        self.assertTrue(buffers.open_hold().add_body(100_000))

    def test_requests_in_progress_are_bounded_by_the_memory(self) -> None:
        # Guards against a process that ends for want of memory, as each request needs
        # some beside its body and answer.
        buffers = create_answer_buffers(128.0, 0.2)
        holds = [buffers.open_hold() for _ in range(400)]
        taken = [hold.add_body(0) for hold in holds]
        self.assertEqual(sum(taken), 78)
        for hold in holds:
            hold.close()
        self.assertTrue(buffers.open_hold().add_body(0))

    def test_requests_with_others_behind_them_leave_room(self) -> None:
        # Guards against refusals of clients that wait for each answer, as others send
        # their requests ahead.
        buffers = create_answer_buffers(128.0, 0.2)
        ahead = []
        for _ in range(100):
            ahead.append(buffers.open_hold())
            ahead[-1].add_body(0)
            ahead[-1].refuse_in_crowd()
        self.assertEqual(sum(not hold.is_refused for hold in ahead), 39)
        self.assertEqual(sum(hold.ends_connection for hold in ahead), 61)
        patient = [buffers.open_hold() for _ in range(39)]
        self.assertTrue(all(hold.add_body(0) for hold in patient))

    def test_without_a_limit_nothing_is_bounded(self) -> None:
        buffers = create_answer_buffers(None, 0.2)
        hold = buffers.open_hold()
        self.assertTrue(hold.add_body(10**9))
        hold.set_pending(10**9)
        self.assertFalse(hold.is_full)

    def test_bytes_on_the_connection_count(self) -> None:
        buffers = AnswerBuffers(BUDGET_BYTES)
        hold = buffers.open_hold()
        hold.begin_send(1_000, 0.0)
        self.assertEqual(buffers.answer_bytes, 1_000 + SOCKET_BUFFER_BYTES)
        hold.end_send()
        self.assertEqual(buffers.answer_bytes, 0)


class GiveUpTest(unittest.TestCase):
    def test_reader_is_given_up_at_the_limits_of_the_operator(self) -> None:
        def find(unread_s: float, is_past_deadline: bool) -> GiveUpLimit | None:
            return find_exceeded_limit(
                unread_s,
                is_past_deadline=is_past_deadline,
                idle_timeout_s=IDLE_TIMEOUT_S,
            )

        self.assertIsNone(find(IDLE_TIMEOUT_S - 0.1, False))
        self.assertIs(find(IDLE_TIMEOUT_S, False), GiveUpLimit.IDLE)
        self.assertIsNone(find(0.2, True))
        self.assertIs(find(2.0, True), GiveUpLimit.DEADLINE)

    def test_given_up_reader_is_reported_once_with_its_request(self) -> None:
        buffers = AnswerBuffers(BUDGET_BYTES)
        readers = SlowReaders(buffers)
        hold = buffers.open_hold()
        hold.caller_request_id = "c-1"
        ended: list[int] = []
        hold.on_given_up = lambda: ended.append(1)
        hold.begin_send(5_000, 10.0)
        readers.sweep(20.0, IDLE_TIMEOUT_S)
        self.assertEqual(ended, [])
        with self.assertLogs("reedspar.requests.slow_readers") as logs:
            readers.sweep(25.0, IDLE_TIMEOUT_S)
            readers.sweep(26.0, IDLE_TIMEOUT_S)
        (record,) = logs.records
        self.assertEqual(record.__dict__["request_id"], "c-1")
        self.assertEqual(record.__dict__["held_bytes"], 5_000)
        self.assertEqual(record.__dict__["unread_s"], 15.0)
        self.assertEqual(ended, [1])


class HoldUpsTest(unittest.TestCase):
    def test_only_a_long_and_recent_hold_up_explains_a_cut(self) -> None:
        hold_ups = HoldUps()
        self.assertFalse(hold_ups.explains_cut(0.0))
        hold_ups.begin(0.0)
        self.assertFalse(hold_ups.explains_cut(UNREAD_CUT_MIN_S / 2))
        hold_ups.end(UNREAD_CUT_MIN_S / 2)
        self.assertFalse(hold_ups.explains_cut(UNREAD_CUT_MIN_S / 2))
        # One that follows closely continues the first.
        hold_ups.begin(UNREAD_CUT_MIN_S / 2 + UNREAD_CUT_LAG_S / 2)
        hold_ups.end(2 * UNREAD_CUT_MIN_S)
        self.assertTrue(hold_ups.explains_cut(2 * UNREAD_CUT_MIN_S))
        # A crash some time after the reader has caught up is the target's own.
        later_s = 2 * UNREAD_CUT_MIN_S + 2 * UNREAD_CUT_LAG_S
        self.assertFalse(hold_ups.explains_cut(later_s))


if __name__ == "__main__":
    unittest.main()
