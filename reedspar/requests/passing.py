"""Passing a target's answer on to the caller while it arrives."""

from reedspar.attempts import AttemptHead, Header
from reedspar.errors import Failure, Reason, Step

from .assembly import Verdict
from .attempt_client import OpenAttempt
from .attempting import AttemptOpener
from .event_stream import EVENT_STREAM_TYPE, LAST_EVENT_ID_HEADER, EventCutter
from .request import Answer, Outcome, Request

__all__ = ["StreamForwarder", "is_streamed"]

STREAM_TYPES = (EVENT_STREAM_TYPE, "application/x-ndjson")
WHOLE_ANSWER_BYTES = 8 * 1024 * 1024
"""A larger answer is passed on while it arrives."""
STREAM_ROOM_BYTES = 1024 * 1024
SUCCESS_STATUS = 200
FAILED_FROM_STATUS = 300


def is_streamed(request: Request, head: AttemptHead, size_bytes: int) -> bool:
    """Tell whether an answer goes to the caller before it is whole."""
    if size_bytes > WHOLE_ANSWER_BYTES:
        return True
    if request.idempotency_key or head.status >= FAILED_FROM_STATUS:
        return False
    return _find_header(head.headers, "content-type").startswith(STREAM_TYPES)


class StreamForwarder:
    """One caller's stream, over as many targets as it takes.

    Where the stream may be resumed, only whole events go to the caller, so
    that the next target can go on after the last of them.
    """

    def __init__(self, request: Request, client: AttemptOpener) -> None:
        self._request = request
        self._client = client
        self._cutter = EventCutter(request.last_event_id)
        self._weights_digest = ""

    @property
    def is_begun(self) -> bool:
        """Tell whether the caller has got a part of the stream."""
        return self._request.responder.is_started

    @property
    def weights_digest(self) -> str:
        """Return the weights that made the part the caller has, empty if none."""
        return self._weights_digest if self.is_begun else ""

    def headers(self) -> tuple[Header, ...]:
        """Return the request's headers, with the place to go on from."""
        headers = self._request.headers
        if not self.is_begun:
            return headers
        kept = [item for item in headers if item.name != LAST_EVENT_ID_HEADER]
        return (*kept, Header(LAST_EVENT_ID_HEADER, self._cutter.last_event_id))

    async def forward(self, attempt: OpenAttempt, head: AttemptHead) -> Answer:
        """Pass an answer on; its end only once it proved whole."""
        attempt.buffer_limit_bytes = STREAM_ROOM_BYTES
        attempt.is_streamed = True
        if self.is_begun and head.status != SUCCESS_STATUS:
            return self._refuse_to_join(attempt, f"status {head.status}")
        if not self._request.can_resume:
            await self._start(head)
        assembly = attempt.assembly
        while assembly.is_open:
            if assembly.pieces:
                await self._send(head, self._client.read_available(attempt))
            else:
                await attempt.wait()
        if assembly.verdict is not Verdict.WHOLE:
            self._cutter.drop_pending()
            return self._make_broken(assembly.failure)
        last = self._client.read_available(attempt)
        if self._request.can_resume:
            last = self._cutter.feed(last) + self._cutter.pending
        await self._start(head)
        await self._request.responder.send(last, is_last=True)
        return Answer(Outcome.ANSWERED, head.status, is_sent=True)

    async def _send(self, head: AttemptHead, data: bytes) -> None:
        if self._request.can_resume:
            data = self._cutter.feed(data)
        if data:
            await self._start(head)
            await self._request.responder.send(data)

    async def _start(self, head: AttemptHead) -> None:
        if not self.is_begun:
            self._weights_digest = head.weights_digest
            responder = self._request.responder
            await responder.start(head.status, head.headers, head.weights_digest)

    def _refuse_to_join(self, attempt: OpenAttempt, detail: str) -> Answer:
        failure = Failure(
            Reason.OUTCOME_UNKNOWN, Step.TARGET_CALL, attempt.target, detail
        )
        return self._make_broken(failure)

    def _make_broken(self, failure: Failure | None) -> Answer:
        is_begun = self.is_begun
        return Answer(
            Outcome.UNKNOWN, failure=failure, is_sent=is_begun, is_truncated=is_begun
        )


def _find_header(headers: tuple[Header, ...], name: str) -> str:
    values = (item.value for item in headers if item.name.lower() == name)
    return next(values, "")
