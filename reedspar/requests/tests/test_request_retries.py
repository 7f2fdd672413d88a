"""Tests of the tokens that the retries of one request hold."""

import unittest
from unittest import mock

from reedspar.requests.hand_over import HandOver, Settlement
from reedspar.requests.request import Request
from reedspar.requests.request_retries import RequestRetries, RetryLog
from reedspar.requests.retry_budgets import RetryBudgets
from reedspar.timers import TimerService, VirtualClock

BURST = 4.0
WINDOW_S = 10.0


class RequestRetriesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budgets = RetryBudgets(0.2, BURST)
        self.budget = self.budgets.for_pool("p")
        self.retries = self.make_retries()

    def make_retries(self) -> RequestRetries:
        request = Request("r", "c", "POST", "p", "/", (), b"", mock.Mock(), 0.0)
        log = RetryLog(TimerService(VirtualClock()))
        return RequestRetries(request, self.budgets, log)

    def open(self) -> HandOver:
        hand_over = HandOver(0.0, 0.0)
        self.retries.on_opened("t", hand_over)
        return hand_over

    def assert_full_part(self, left: float) -> None:
        """Check how many retries first attempts can earn, beside those held."""
        for _ in range(100):
            self.budget.on_first_attempt()
        self.assertAlmostEqual(self.budget.left, left)

    def test_first_attempt_that_arrives_last_holds_the_token(self) -> None:
        # Guards against a budget that is full again while the first attempt waits in
        # front of a target that stands still, and the retry was answered elsewhere.
        first = self.open()
        self.assertTrue(self.retries.try_spend())
        second = self.open()
        second.settle(Settlement.ANSWERED, 1.0)
        self.retries.on_ended()
        self.assert_full_part(BURST - 1)
        first.settle(Settlement.OVERTAKEN, 5.0)
        self.assert_full_part(BURST)

    def test_last_of_several_attempts_holds_one_token(self) -> None:
        first = self.open()
        attempts = [first]
        for _ in range(2):
            self.assertTrue(self.retries.try_spend())
            attempts.append(self.open())
        self.assertEqual(self.budget.held, 2)
        attempts[1].settle(Settlement.ANSWERED, 1.0)
        self.assertEqual(self.budget.held, 2)
        attempts[0].settle(Settlement.ANSWERED, 1.0)
        self.assertEqual(self.budget.held, 1)
        attempts[2].settle(Settlement.EXPIRED, 120.0)
        self.assertEqual(self.budget.held, 0)

    def test_retry_that_was_not_handed_over_holds_nothing(self) -> None:
        # Guards against room in the budget that is lost for good with each target to
        # which nothing could be sent.
        self.open().settle(Settlement.ANSWERED, 1.0)
        self.assertTrue(self.retries.try_spend())
        self.retries.on_refused()
        self.assert_full_part(BURST)

    def test_budget_is_not_filled_for_what_has_just_arrived(self) -> None:
        # Guards against a whole part a window after the last choice, in which what was
        # chosen before has only just arrived.
        first = self.open()
        while self.budget.left >= 1:
            self.assertTrue(self.retries.try_spend())
            second = self.open()
        first.settle(Settlement.ANSWERED, 9.0)
        second.settle(Settlement.ANSWERED, 9.0)
        self.budget.refill_if_unused(9.0, WINDOW_S)
        self.budget.refill_if_unused(WINDOW_S + 8.9, WINDOW_S)
        self.assertLess(self.budget.left, 1.0)

    def test_pools_without_a_target_have_no_budget(self) -> None:
        # Guards against a register that grows with each pool that a client names.
        request = Request("r", "c", "POST", "none", "/", (), b"", mock.Mock(), 0.0)
        log = RetryLog(TimerService(VirtualClock()))
        RequestRetries(request, self.budgets, log).on_ended()
        self.assertEqual(len(self.budgets.read_left()), 1)

    def test_request_without_retries_is_not_followed(self) -> None:
        # Guards against a register that grows with each caller that leaves.
        first = self.open()
        self.retries.on_ended()
        self.assertFalse(first.is_awaited)


if __name__ == "__main__":
    unittest.main()
