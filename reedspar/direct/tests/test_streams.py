"""Tests of streams sent directly to targets, over ASGI."""

import unittest
from typing import Any

from reedspar.direct import DirectService
from reedspar.direct.tests.cases import (
    EVENT_STREAM_TYPE,
    STREAM_PAUSE_S,
    Call,
    DirectTestCase,
    make_event,
)
from reedspar.direct.tests.fakes import (
    FakeDialer,
    FakeResponse,
    broken,
    make_engine_target,
)
from reedspar.fleet import (
    FleetView,
    TargetChange,
)


class StreamTest(DirectTestCase):
    def test_stream_resumes_at_another_target(self) -> None:
        # A target fails in the middle of an event.  The caller must get every event
        # exactly once, with the first target's headers.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            def answer(target_id: str, request: Any) -> Any:
                if len(dialer.sent) == 1:
                    pieces = [
                        make_event(1),
                        make_event(2) + b"id: 3\nda",
                        STREAM_PAUSE_S,
                        broken(target_id),
                    ]
                    return FakeResponse(pieces, content_type=EVENT_STREAM_TYPE)
                return FakeResponse(
                    [make_event(3), make_event(4)], content_type=EVENT_STREAM_TYPE
                )

            dialer.script = answer
            call = Call("/q/1", x_model="m")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.body, b"".join(map(make_event, (1, 2, 3, 4))))
            self.assertTrue(call.is_whole)
            second = dict(dialer.sent[1][1].headers)
            self.assertEqual(second["last-event-id"], "2")
            self.assertNotEqual(dialer.sent[0][0], dialer.sent[1][0])

        self.run_with(script)

    def test_stream_never_resumes_with_other_weights(self) -> None:
        # Guards against an answer combined from two versions: the only other target has
        # a newer version, so the caller must see that the stream is incomplete.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            newer = make_engine_target("q2", weights={"m": 2})
            older = make_engine_target("q1", weights={"m": 1})
            view.apply(TargetChange("q2", newer))

            def answer(target_id: str, request: Any) -> Any:
                version = {"q1": "1", "q2": "2"}[target_id]
                pieces = [make_event(1), STREAM_PAUSE_S, broken(target_id)]
                return FakeResponse(
                    pieces, content_type=EVENT_STREAM_TYPE, weights=version
                )

            dialer.script = answer
            self.assertEqual(older.weights, {"m": 1})
            call = Call("/q/1", x_model="m")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.body, make_event(1))
            self.assertFalse(call.is_whole)
            self.assertEqual(len(dialer.sent), 1)

        self.run_with(script)

    def test_stream_whose_next_target_breaks_before_its_head_is_cut(self) -> None:
        # Guards against sending the head of a refusal in the middle of a stream.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            def answer(target_id: str, request: Any) -> Any:
                if len(dialer.sent) > 1:
                    return broken(target_id)
                pieces = [make_event(1), STREAM_PAUSE_S, broken(target_id)]
                return FakeResponse(pieces, content_type=EVENT_STREAM_TYPE)

            dialer.script = answer
            call = Call("/q/1", x_model="m")
            await service.application(call.scope, call.receive, call.send)
            starts = [m for m in call.messages if m["type"] == "http.response.start"]
            self.assertEqual(len(starts), 1)
            self.assertEqual(call.body, make_event(1))
            self.assertFalse(call.is_whole)

        self.run_with(script)

    def test_stream_that_may_not_resume_is_cut(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: FakeResponse(
                [make_event(1), STREAM_PAUSE_S, broken(target_id)],
                content_type=EVENT_STREAM_TYPE,
            )
            call = Call("/once/1", x_model="m")
            await service.application(call.scope, call.receive, call.send)
            self.assertFalse(call.is_whole)
            self.assertEqual(len(dialer.sent), 1)

        self.run_with(script)

    def test_stream_that_breaks_before_its_first_event_restarts(self) -> None:
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            def answer(target_id: str, request: Any) -> Any:
                if len(dialer.sent) == 1:
                    return FakeResponse(
                        [b"id: 1\n", broken(target_id)], content_type=EVENT_STREAM_TYPE
                    )
                return FakeResponse([make_event(1)], content_type=EVENT_STREAM_TYPE)

            dialer.script = answer
            call = Call("/q/1", x_model="m")
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual((call.body, call.is_whole), (make_event(1), True))

        self.run_with(script)


if __name__ == "__main__":
    unittest.main()
