"""Tests of answers that go on and on without an event, in virtual time."""

import unittest
from collections.abc import AsyncIterator
from typing import Any

import anyio

from reedspar.attempts import AnswerProgress
from reedspar.direct.endless_news import EndlessNews
from reedspar.direct.loads import TargetLoads
from reedspar.direct.tests.cases import EVENT_STREAM_TYPE, Call, make_event
from reedspar.direct.tests.fakes import (
    FakeResponse,
    LoopClock,
    make_direct_service,
    make_engine_target,
)
from reedspar.errors import Failure
from reedspar.fleet import (
    DaemonChange,
    DaemonRecord,
    FleetView,
    TargetChange,
    TargetEndlessNews,
)
from reedspar.platform import TargetRequest
from reedspar.requests.tests.fakes import FakeNetwork
from reedspar.requests.tests.virtual_time import run_virtual
from reedspar.timers import TimerService, VirtualClock

WHOLE = [make_event(1), make_event(2)]
EVENTLESS_MAX_S = 1.0
"""What an answer may cost without an event."""
LOAD_S = 20.0
INTERVAL_S = 0.1
MEETINGS_MAX = 4
"""Requests that meet the faulty target in 20 s: the first, and one after each pause."""


class DrippingResponse(FakeResponse):
    """An answer that repeats its last piece at an interval, without end."""

    def __init__(self, pieces: list[bytes], interval_s: float) -> None:
        super().__init__([], content_type=EVENT_STREAM_TYPE)
        self._first = pieces
        self._interval_s = interval_s
        self.ended_s: float | None = None

    async def iterate(self) -> AsyncIterator[bytes | Failure]:
        for piece in self._first[:-1]:
            yield piece
        try:
            while True:
                yield self._first[-1]
                await anyio.sleep(self._interval_s)
        finally:
            self.ended_s = anyio.current_time()


class EndlessAnswerTest(unittest.TestCase):
    def run_load(
        self,
        faulty: dict[str, FakeResponse],
        path: str,
        seconds: float,
        *,
        target_count: int = 4,
        since_s: float = 0.0,
        seed: int = 1,
    ) -> tuple[list[Call], list[str]]:
        """Return calls made at an interval, and the targets that got requests."""
        calls: list[Call] = []
        sent: list[str] = []

        async def run() -> None:
            timers = TimerService(LoopClock())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(timers.run)
                targets = [make_engine_target(f"q{i}") for i in range(target_count)]
                service, dialer, _ = make_direct_service(
                    timers, tasks, targets, seed=seed
                )

                def answer(target_id: str, request: TargetRequest) -> FakeResponse:
                    sent.append(target_id)
                    last_id = dict(request.headers).get("last-event-id", "0")
                    events = [make_event(n) for n in (1, 2) if n > int(last_id)]
                    whole = FakeResponse(events, content_type=EVENT_STREAM_TYPE)
                    is_faulty = anyio.current_time() >= since_s
                    return faulty.get(target_id, whole) if is_faulty else whole

                dialer.script = answer
                async with anyio.create_task_group() as callers:
                    for _ in range(max(1, round(seconds / INTERVAL_S))):
                        call = Call(path, x_model="m")
                        calls.append(call)
                        callers.start_soon(
                            service.application, call.scope, call.receive, call.send
                        )
                        await anyio.sleep(INTERVAL_S)
                tasks.cancel_scope.cancel()

        run_virtual(run)
        return calls, sent

    def test_stream_without_events_ends_within_a_second(self) -> None:
        # Guards against taking comments, or an event that never ends, for progress.
        cases = [[b": none\n\n"], [b"id: 1\n", b"data: x\n"], [b"x"], [WHOLE[0], b"x"]]
        for pieces in cases:
            for path in ("/q/1", "/once/1"):
                answers = {
                    f"q{i}": DrippingResponse(pieces, interval_s=0.05) for i in range(4)
                }
                _, sent = self.run_load(dict(answers), path, 0.0)
                ended_s = answers[sent[0]].ended_s
                with self.subTest(pieces=pieces, path=path):
                    self.assertIsNotNone(ended_s)
                    self.assertLessEqual(ended_s, EVENTLESS_MAX_S)

    def test_stream_that_pauses_inside_an_event_is_whole(self) -> None:
        # Guards against streams that are cut after a sound engine has interrupted them
        # between two tokens of an event.
        begun, rest = [WHOLE[0], b"id: 2\nda"], [b"ta: ", b"x2\n\n"]
        # After a longer silence, one that may be resumed goes on at another target.
        pauses_s = {"/q/1": (0.3, 0.5, 0.75, 1.0), "/once/1": (0.5, 1.0, 1.7)}
        cases = [(path, s) for path, values in pauses_s.items() for s in values]
        for path, pause_s in cases:
            pieces: list[Any] = [*begun, pause_s, *rest]
            paused = FakeResponse(pieces, content_type=EVENT_STREAM_TYPE)
            faulty = {f"q{i}": paused for i in range(4)}
            calls, sent = self.run_load(dict(faulty), path, 0.0)
            with self.subTest(pause_s=pause_s, path=path):
                self.assertEqual(calls[0].body, b"".join(WHOLE))
                self.assertTrue(calls[0].is_whole)
                self.assertEqual(len(sent), 1)

    def test_answer_that_declares_its_size_is_no_answer_without_end(self) -> None:
        # Guards against large answers that are thrown away after the order has run, and
        # targets that are avoided since they are sound.
        large = b"x" * 3_000_000
        for declared, status in ((str(len(large)), 200), ("", 502), ("9" * 30, 502)):
            length = {"content-length": declared} if declared else {}
            fields = (("content-type", "text/plain"), *length.items())
            answer = FakeResponse([large[:1_500_000], large[1_500_000:]])
            answer.headers = fields
            faulty = {f"q{i}": answer for i in range(4)}
            calls, _ = self.run_load(dict(faulty), "/once/1", 0.0)
            with self.subTest(declared=declared):
                is_whole = calls[0].status == 200 and calls[0].body == large
                self.assertEqual(is_whole, status == 200)

    def test_pauses_do_not_prolong_an_answer_without_end(self) -> None:
        # Guards against an answer without events that goes on since it pauses.
        progress = AnswerProgress(is_event_stream=True, plain_max_bytes=1e6)
        now_s, excess = 0.0, ""
        while not excess and now_s < 60.0:
            progress.feed(b"data: x\n", now_s)
            excess = progress.find_excess()
            now_s += 0.5
        self.assertLessEqual(now_s, 5.0)

    def test_target_without_events_is_left_by_the_requests_that_follow(self) -> None:
        # Guards against one more wasted second for each request that meets the target.
        for pieces in ([b"x" * 100_000], [b": none\n\n"]):
            answer = DrippingResponse(pieces, interval_s=0.01)
            calls, sent = self.run_load({"q1": answer}, "/q/1", LOAD_S)
            whole = sum(call.body == b"".join(WHOLE) for call in calls)
            with self.subTest(pieces=pieces[0][:10]):
                self.assertLessEqual(sent.count("q1"), MEETINGS_MAX)
                self.assertEqual(whole, len(calls))

    def test_streams_are_whole_as_three_of_twelve_targets_turn(self) -> None:
        # Guards against the second attempt at another target that has turned as well.
        broken = met = 0
        for seed in range(12):
            answer = DrippingResponse([b"x" * 300_000], interval_s=0.01)
            faulty: dict[str, FakeResponse] = dict.fromkeys(("q1", "q5", "q9"), answer)
            calls, sent = self.run_load(
                faulty, "/q/1", 8.0, target_count=12, since_s=3.0, seed=seed
            )
            broken += sum(call.body != b"".join(WHOLE) for call in calls)
            met += len(sent) - len(calls)
        self.assertGreater(met, 12)
        self.assertLessEqual(broken, 0.1 * met)

    def test_sound_streams_with_pauses_and_large_events_are_whole(self) -> None:
        # Guards against ending answers that are slow or large, but progress.
        large = b"id: 1\ndata: " + b"x" * 200_000 + b"\n\n"
        cases = [
            [make_event(1), 1.2, make_event(2)],
            [make_event(1)[:6], 0.5, make_event(1)[6:], 0.5, make_event(2)],
            [b": wait\n\n", 1.2, make_event(1), make_event(2)],
            [large[:90_000], 0.1, large[90_000:], make_event(2)],
            [piece for n in range(1, 18) for piece in (make_event(n), 0.1)],
            [b"id: 1\r", 0.2, b"\ndata: x\r\n\r", 0.6, b"\n", 0.6, b"id: 2\r\n\r\n"],
        ]
        for pieces in cases:
            sound = {
                f"q{i}": FakeResponse(pieces, content_type=EVENT_STREAM_TYPE)
                for i in range(4)
            }
            [call], sent = self.run_load(dict(sound), "/q/1", 0.0)
            body = b"".join(p for p in pieces if isinstance(p, bytes))
            with self.subTest(pieces=str(pieces)[:60]):
                self.assertEqual((call.body, len(sent)), (body, 1))


class EndlessNewsTest(unittest.TestCase):
    """Entry `e0` among three, with a network that records what it sends."""

    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        timers = TimerService(self.clock)
        self.network = FakeNetwork()
        self.loads = TargetLoads()
        view = FleetView(timers)
        for name in ("e0", "e1", "e2"):
            record = DaemonRecord(name, "entry", "a", "r", "10.0.0.1", 1, 2)
            view.apply(DaemonChange(name, record))
        view.apply(TargetChange("t1", make_engine_target("t1")))
        network: Any = self.network
        self.news = EndlessNews("e0", self.loads, view, network, timers)
        self.boot_id = next(iter(view.targets("quotes"))).record.boot_id

    def is_left(self) -> bool:
        return self.loads.for_target("t1").unavailable_until_s > self.clock.now_s()

    def test_first_answer_of_a_backoff_is_passed_on(self) -> None:
        for _ in range(2):
            self.news.record("quotes", "t1", self.boot_id)
        told = TargetEndlessNews("t1", self.boot_id)
        self.assertEqual(self.network.sent, [("e1", told), ("e2", told)])
        self.assertTrue(self.is_left())

    def test_target_that_another_entry_reports_is_left(self) -> None:
        # Guards against each entry that loses requests at the same target, against
        # passing on what is known everywhere, and against news of an earlier run.
        self.network.deliver("e1", TargetEndlessNews("t1", "an earlier run"))
        self.assertFalse(self.is_left())
        self.network.deliver("e1", TargetEndlessNews("t1", self.boot_id))
        self.assertTrue(self.is_left())
        self.assertEqual(self.network.sent, [])


if __name__ == "__main__":
    unittest.main()
