"""A target's response whose body is checked for completeness while it is read."""

import re
from collections.abc import AsyncIterator

import anyio
import httpx

from reedspar.errors import Failure, Reason, Step
from reedspar.utils import HOP_BY_HOP_HEADERS

from .http_client import has_marked_end

__all__ = ["CONNECTION_HEADERS", "HttpTargetResponse"]

CONNECTION_HEADERS = HOP_BY_HOP_HEADERS | {"host"}
"""Headers that apply to one connection and are not forwarded."""
STREAM_TYPE = "text/event-stream"
STREAM_END = b"data: [DONE]"
END_EVENT = re.compile(rb"(?:^|[\r\n])data: \[DONE\](\r\n|\r|\n)\1\Z")
"""The marker as a whole event, as the last one of a stream."""


class HttpTargetResponse:
    """A response with a streamed body (see `TargetResponse`)."""

    def __init__(
        self,
        response: httpx.Response,
        peer: str,
        deadline_s: float,
        *,
        must_end_with_done: bool,
    ) -> None:
        self._response = response
        self._peer = peer
        self._deadline_s = deadline_s
        self._must_end_with_done = must_end_with_done
        self.status = response.status_code
        self.headers: tuple[tuple[str, str], ...] = tuple(
            (name, value)
            for name, value in response.headers.multi_items()
            if name.lower() not in CONNECTION_HEADERS
        )
        self.weights_digest = response.headers.get("x-weights-digest", "")

    @property
    def _is_stream(self) -> bool:
        content_type = self._response.headers.get("content-type", "")
        return self._must_end_with_done and content_type.startswith(STREAM_TYPE)

    async def iterate(self) -> AsyncIterator[bytes | Failure]:
        """Yield the body; a `Failure` as the last item means that it is incomplete."""
        tail = b""
        pieces = self._response.aiter_raw()
        while True:
            piece = await self._next_piece(pieces)
            if piece is None:
                break
            yield piece
            if isinstance(piece, Failure):
                return
            tail = (tail + piece)[-2 * len(STREAM_END) :]
        detail = self._find_cut(tail)
        if detail:
            yield self._fail(detail)

    def _find_cut(self, tail: bytes) -> str:
        """Return what the body lacks by its last bytes, an empty string if nothing."""
        is_framed = has_marked_end(self._response)
        if not self._is_stream:
            return "" if is_framed else "the body's end is not marked"
        is_ended = STREAM_END in tail if is_framed else END_EVENT.search(tail)
        return "" if is_ended else "the stream ended before its end marker"

    async def _next_piece(self, pieces: AsyncIterator[bytes]) -> bytes | Failure | None:
        """Return the next part of the body, None at its end, or a failure."""
        # Runs once per token; `fail_after` would cost twice as much.
        try:
            with anyio.CancelScope(deadline=self._deadline_s):
                return await anext(pieces)
        except StopAsyncIteration:
            return None
        except (httpx.HTTPError, httpx.StreamError) as error:
            return self._fail(f"{type(error).__name__}: {error}")
        return self._fail("TimeoutError: ")

    def _fail(self, detail: str) -> Failure:
        step = Step.TARGET_CALL
        return Failure(Reason.OUTCOME_UNKNOWN, step, self._peer, detail)
