"""Streaming of a target's answer to the caller while it arrives."""

from reedspar.attempts import AttemptHead, Header
from reedspar.errors import Failure, Reason, Step

from .assembly import Verdict
from .attempt_client import OpenAttempt
from .event_stream import EVENT_STREAM_TYPE, LAST_EVENT_ID_HEADER, EventSplitter
from .relay_interfaces import AttemptOpener
from .request import Answer, Outcome, Request

__all__ = ["StreamForwarder", "is_streamed"]

STREAM_TYPES = (EVENT_STREAM_TYPE, "application/x-ndjson")
BUFFERED_ANSWER_MAX_BYTES = 8 * 1024 * 1024
"""Maximum size of an answer that is buffered; larger ones are streamed."""
STREAM_BUFFER_BYTES = 1024 * 1024
"""Maximum size of the part of a stream that the caller has not read yet."""
SUCCESS_STATUS = 200
NON_SUCCESS_STATUS_MIN = 300


def is_streamed(
    request: Request,
    head: AttemptHead,
    size_bytes: int,
    *,
    is_held_up: bool = False,
) -> bool:
    """Return whether an answer is sent to the caller before it is complete.

    One that no longer fits its share of the memory can't be buffered to its end.
    """
    if is_held_up or size_bytes > BUFFERED_ANSWER_MAX_BYTES:
        return True
    if request.idempotency_key or head.status >= NON_SUCCESS_STATUS_MIN:
        return False
    return _find_header(head.headers, "content-type").startswith(STREAM_TYPES)


class StreamForwarder:
    """Forwards a stream to one caller, from several targets if necessary.

    If the stream can be resumed, only complete events are forwarded, so that the
    next target can continue after the last of them.
    """

    def __init__(self, request: Request, client: AttemptOpener) -> None:
        self._request = request
        self._client = client
        self._splitter = EventSplitter(request.last_event_id)
        self._weights_digest = ""

    @property
    def has_started(self) -> bool:
        """Return whether the caller has received a part of the stream."""
        return self._request.responder.is_started

    @property
    def weights_digest(self) -> str:
        """Return the weights that produced the part already sent; empty: none."""
        return self._weights_digest if self.has_started else ""

    def headers(self) -> tuple[Header, ...]:
        """Return the request's headers; a continuation has the last event's id."""
        headers = self._request.headers
        if not self.has_started:
            return headers
        kept = [item for item in headers if item.name != LAST_EVENT_ID_HEADER]
        return (*kept, Header(LAST_EVENT_ID_HEADER, self._splitter.last_event_id))

    async def forward(self, attempt: OpenAttempt, head: AttemptHead) -> Answer:
        """Forward an answer; end the response only if the answer is complete."""
        attempt.buffer_limit_bytes = STREAM_BUFFER_BYTES
        attempt.is_streamed = True
        if self.has_started and head.status != SUCCESS_STATUS:
            return self._refuse_continuation(attempt, f"status {head.status}")
        if not self._request.can_resume:
            await self._start(head)
        assembly = attempt.assembly
        while assembly.is_open:
            if assembly.pieces:
                await self._send(head, self._client.read_available(attempt))
            else:
                await attempt.wait()
        if assembly.verdict is not Verdict.COMPLETE:
            self._splitter.drop_pending()
            return self._make_broken(assembly.failure)
        last = self._client.read_available(attempt)
        if self._request.can_resume:
            last = self._splitter.feed(last) + self._splitter.pending
        await self._start(head)
        await self._request.responder.send(last, is_last=True)
        return Answer(Outcome.ANSWERED, head.status, is_sent=True)

    async def _send(self, head: AttemptHead, data: bytes) -> None:
        if self._request.can_resume:
            data = self._splitter.feed(data)
        if data:
            await self._start(head)
            await self._request.responder.send(data)

    async def _start(self, head: AttemptHead) -> None:
        if not self.has_started:
            self._weights_digest = head.weights_digest
            responder = self._request.responder
            await responder.start(head.status, head.headers, head.weights_digest)

    def _refuse_continuation(self, attempt: OpenAttempt, detail: str) -> Answer:
        failure = Failure(
            Reason.OUTCOME_UNKNOWN, Step.TARGET_CALL, attempt.target, detail
        )
        return self._make_broken(failure)

    def _make_broken(self, failure: Failure | None) -> Answer:
        has_started = self.has_started
        return Answer(
            Outcome.UNKNOWN,
            failure=failure,
            is_sent=has_started,
            is_truncated=has_started,
        )


def _find_header(headers: tuple[Header, ...], name: str) -> str:
    values = (item.value for item in headers if item.name.lower() == name)
    return next(values, "")
