"""Tests of streams that a target breaks off while its connection ends regularly."""

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
from reedspar.direct.tests.fakes import FakeDialer, FakeResponse
from reedspar.fleet import FleetView

PARTIAL_EVENT = b"id: 2\nda"
SUCCESS_STATUS = 200


def make_answer(pieces: list[Any], *, is_delimited: bool = False) -> FakeResponse:
    """Return a stream whose connection ends regularly after the pieces."""
    return FakeResponse(
        pieces, content_type=EVENT_STREAM_TYPE, is_delimited=is_delimited
    )


class TruncatedStreamTest(DirectTestCase):
    def call(self, path: str, answers: list[FakeResponse]) -> Call:
        """Return a call that targets answer with each of the answers in turn."""
        call = Call(path, x_model="m")

        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            dialer.script = lambda target_id, request: answers[len(dialer.sent) - 1]
            await service.application(call.scope, call.receive, call.send)
            self.sent = dialer.sent

        self.run_with(script)
        return call

    def test_stream_that_ends_inside_an_event_is_not_complete(self) -> None:
        # Guards against passing on a stream as complete that its target broke off.
        cases: list[list[Any]] = [
            [make_event(1), PARTIAL_EVENT],
            [make_event(1), STREAM_PAUSE_S, PARTIAL_EVENT],
            [make_event(1), STREAM_PAUSE_S, PARTIAL_EVENT, STREAM_PAUSE_S],
            [PARTIAL_EVENT],
            [make_event(1)[:-1]],
            [STREAM_PAUSE_S, b"id: 1\r\ndata: x\r\n"],
        ]
        taken_for_complete = []
        for path in ("/q/1", "/once/1"):
            for pieces in cases:
                for is_delimited in (False, True):
                    answer = make_answer(pieces, is_delimited=is_delimited)
                    call = self.call(path, [answer, answer])
                    if call.status == SUCCESS_STATUS and call.is_whole:
                        taken_for_complete.append((path, pieces, is_delimited))
        self.assertEqual(taken_for_complete, [])

    def test_stream_that_ends_inside_an_event_resumes_at_another_target(self) -> None:
        # Guards against ending a stream that another target can complete.
        broken = make_answer([make_event(1), STREAM_PAUSE_S, PARTIAL_EVENT])
        rest = make_answer([make_event(2), make_event(3)])
        call = self.call("/q/1", [broken, rest])
        self.assertEqual(call.body, b"".join(map(make_event, (1, 2, 3))))
        self.assertTrue(call.is_whole)
        self.assertEqual(dict(self.sent[1][1].headers)["last-event-id"], "1")

    def test_stream_without_a_length_that_ends_after_an_event_is_complete(self) -> None:
        # Guards against breaking off whole answers that end with their connections.
        for end in (b"\n\n", b"\r\n\r\n", b"\r\r", b"\n\r\n"):
            event = b"id: 1\ndata: x" + end
            pieces = [event[:5], STREAM_PAUSE_S, event[5:-1], event[-1:]]
            call = self.call("/q/1", [make_answer(pieces)])
            self.assertEqual((call.body, call.is_whole), (event, True))


if __name__ == "__main__":
    unittest.main()
