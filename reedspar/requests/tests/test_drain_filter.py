"""Tests of which requests a draining entry admits, in virtual time."""

import unittest
from dataclasses import dataclass, field, replace

import anyio

from reedspar.errors import Failure, Reason, Step
from reedspar.requests.drain_filter import DrainFilter
from reedspar.requests.draining import (
    DrainLoad,
    DrainOptions,
    DrainPhase,
    EntryDrain,
    run_drain,
)
from reedspar.requests.request import Answer, Outcome, Request
from reedspar.requests.tests.virtual_time import create_loop_timers, run_virtual

ADDRESS_TTL_S = 2.0
SIGNAL_S = 60.0
CALL_INTERVAL_S = 0.1


class NoResponder:
    is_started = False


@dataclass
class Call:
    """A request; times are seconds after the signal to stop."""

    at_s: float
    limit_s: float
    duration_s: float
    is_idempotent: bool = False
    route: str = "r"
    outcome: str = ""


@dataclass
class Entry:
    """A filter chain whose requests take a given time, up to their limit."""

    drain_timeout_s: float
    calls: list[Call]
    stopped_s: float = 0.0
    is_closing: bool = False
    arrives_until_s: float = 0.0
    """Until when a part of a request is on a connection."""
    in_flight: int = 0
    scopes: list[anyio.CancelScope] = field(default_factory=list)

    @property
    def is_closed(self) -> bool:
        return self.is_closing and not self.in_flight

    @property
    def pending_count(self) -> int:
        is_arriving = anyio.current_time() < SIGNAL_S + self.arrives_until_s
        return self.in_flight + is_arriving

    def begin_draining(self) -> None:
        self.is_draining = True

    def begin_closing(self) -> None:
        self.is_closing = True

    def abort(self) -> None:
        for scope in self.scopes:
            scope.cancel()

    async def run(self) -> None:
        self.timers = create_loop_timers()
        self.filter = DrainFilter(self.timers)
        options = DrainOptions(ADDRESS_TTL_S, self.drain_timeout_s)
        async with anyio.create_task_group() as tasks:
            for number, call in enumerate(self.calls):
                tasks.start_soon(self._serve, call, str(number))
            await anyio.sleep(SIGNAL_S)
            await run_drain(self, self, self.filter, options, self.timers.now_s)
            self.stopped_s = anyio.current_time() - SIGNAL_S
            tasks.cancel_scope.cancel()

    async def _serve(self, call: Call, name: str) -> None:
        await anyio.sleep(SIGNAL_S + call.at_s)
        now_s = self.timers.now_s()
        request = Request(
            *(name, name, "GET", "pool", "/", (), b""), NoResponder(), now_s
        )
        request.deadline_s = now_s + call.limit_s
        request.is_idempotent = call.is_idempotent
        request.route = call.route

        async def proceed(request: Request) -> Answer:
            with anyio.move_on_after(call.limit_s):
                await anyio.sleep(call.duration_s)
                return Answer(Outcome.ANSWERED, 200)
            failure = Failure(Reason.TIMEOUT, Step.RELAY)
            return Answer(Outcome.UNKNOWN, failure=failure)

        self.in_flight += 1
        call.outcome = "cut"
        with anyio.CancelScope() as scope:
            self.scopes.append(scope)
            answer = await self.filter.apply(request, proceed)
            call.outcome = answer.outcome.value
        self.in_flight -= 1


def run_calls(drain_timeout_s: float, calls: list[Call]) -> float:
    """Make calls, and return how long after the signal the entry stopped."""
    entry = Entry(drain_timeout_s, calls)
    run_virtual(entry.run)
    return entry.stopped_s


def make_calls(drain_timeout_s: float, limit_s: float, duration_s: float) -> list[Call]:
    """Return calls at every moment after the signal."""
    count = round(drain_timeout_s / CALL_INTERVAL_S)
    return [
        Call(number * CALL_INTERVAL_S, limit_s, duration_s) for number in range(count)
    ]


class DrainFilterTest(unittest.TestCase):
    def test_nothing_admitted_at_any_moment_is_cut(self) -> None:
        # Guards against orders and streams that are taken too late to be finished, and
        # against refusals of those that end in time.
        for drain_timeout_s in (1.5, 3.5, 7.0, 11.0, 19.0):
            for limit_s in (0.5, 1.5, 6.0, 12.0):
                for share in (0.01, 0.8, 1.5):
                    with self.subTest(timeout=drain_timeout_s, limit=limit_s, s=share):
                        calls = make_calls(drain_timeout_s, limit_s, share * limit_s)
                        run_calls(drain_timeout_s, calls)
                        self.check(drain_timeout_s, calls)

    def check(self, drain_timeout_s: float, calls: list[Call]) -> None:
        cut = [call.at_s for call in calls if call.outcome == "cut"]
        self.assertEqual(cut, [])
        fitting = [c for c in calls if c.at_s + c.limit_s < drain_timeout_s - 0.15]
        refused = [call.at_s for call in fitting if call.outcome in ("not-run", "")]
        self.assertEqual(refused, [])

    def test_answers_that_grow_with_the_stop_are_not_cut(self) -> None:
        # Guards against streams that a draining entry takes since earlier ones were
        # short, and cuts as the stop, or chance, makes them longer.
        earlier = [Call(-20 + n / 6, 6.0, 0.3, is_idempotent=True) for n in range(119)]
        for longest_s in (2.0, 4.4, 5.9):
            calls = [
                Call(t / 10, 6.0, longest_s if t % 3 else 0.3, is_idempotent=True)
                for t in range(70)
            ]
            run_calls(7.0, [*earlier, *calls])
            cut = [call.at_s for call in calls if call.outcome == "cut"]
            self.assertEqual(cut, [], longest_s)

    def test_earlier_answers_do_not_decide(self) -> None:
        # Guards against requests that are admitted, or refused, by what earlier ones
        # of their route took, and against others for what may be repeated.
        for is_idempotent in (False, True):
            for earlier_s in (0.3, 5.9):
                earlier = [
                    Call(-25 + n / 6, 6.0, earlier_s, is_idempotent) for n in range(113)
                ]
                calls = [
                    Call(t, limit_s, 0.3, is_idempotent)
                    for t, limit_s in (
                        *((0.5, 6.0), (0.85, 6.0), (3.0, 3.8), (6.0, 0.8)),
                        *((1.0, 6.0), (3.0, 4.0), (4.5, 6.0), (6.0, 1.0), (6.85, 0.1)),
                    )
                ]
                others = [Call(n / 2, 0.1, 0.01, route="other") for n in range(14)]
                run_calls(7.0, [*earlier, *calls, *others])
                outcomes = [call.outcome for call in calls]
                self.assertEqual(outcomes, ["answered"] * 4 + ["not-run"] * 5)

    def test_slow_answer_in_progress_holds_back_others(self) -> None:
        # Guards against streams that are admitted by the answers of quicker times.
        earlier = [Call(-20 + n / 2, 6.0, 1.0, True) for n in range(25)]
        slow = Call(-2.0, 6.0, 5.5, is_idempotent=True)
        calls = [Call(t, 6.0, 1.0, True) for t in (3.0, 3.2)]
        run_calls(7.0, [*earlier, slow, *calls])
        self.assertEqual([c.outcome for c in calls], ["not-run", "not-run"])

    def test_entry_stops_soon_after_the_last_caller(self) -> None:
        self.assertAlmostEqual(run_calls(7.0, []), 3.0, delta=0.1)
        quick = [Call(number / 2, 1.0, 0.01) for number in range(9)]
        self.assertAlmostEqual(run_calls(7.0, quick), 5.0, delta=0.1)


class EndTest(unittest.TestCase):
    def test_entry_stops_only_when_its_ports_are_closed(self) -> None:
        # Guards against requests that are cut as they arrive on a connection that was
        # waiting to be accepted when nothing else was open.
        drain = EntryDrain(0.0, DrainOptions(ADDRESS_TTL_S, 7.0, 0.25))
        load = DrainLoad(pending=0, is_closed=False, last_admitted_s=1.0)
        self.assertEqual(drain.phase_at(5.0, load), DrainPhase.CLOSE)
        load = replace(load, is_closed=True)
        self.assertEqual(drain.phase_at(5.0, load), DrainPhase.STOP)

    def test_final_answers_are_asked_for_by_a_process_that_stood_still(self) -> None:
        # Guards against requests that are cut without an answer, as the process was
        # paused when their time was over.
        drain = EntryDrain(0.0, DrainOptions(ADDRESS_TTL_S, 7.0, 0.25))
        load = DrainLoad(pending=1, is_closed=False, last_admitted_s=6.0)
        self.assertEqual(drain.phase_at(9.0, load), DrainPhase.ABORT)
        load = replace(load, aborted_s=9.0)
        self.assertEqual(drain.phase_at(9.2, load), DrainPhase.ABORT)
        self.assertEqual(drain.phase_at(9.3, load), DrainPhase.STOP)
        load = replace(load, pending=0, is_closed=True)
        self.assertEqual(drain.phase_at(9.2, load), DrainPhase.STOP)

    def test_entry_does_not_close_while_a_request_arrives(self) -> None:
        # Guards against an entry that is done as no request is in progress, while a
        # part of one is on a connection.
        entry = Entry(7.0, [], arrives_until_s=5.0)
        run_virtual(entry.run)
        self.assertAlmostEqual(entry.stopped_s, 5.1, delta=0.1)


if __name__ == "__main__":
    unittest.main()
