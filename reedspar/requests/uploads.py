"""Reading of requests' bodies within the limit in force."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import anyio
from starlette.types import Receive, Scope

from reedspar.errors import Failure, Reason, Step

from .answer_buffers import RequestHold

__all__ = ["BodyEnd", "BodyLimit", "Upload"]

LENGTH_HEADER = b"content-length"
LENGTH_DIGITS_MAX = 19
DISCARD_MAX_S = 5.0
"""Time for which the rest of a refused body is read."""
OUTDATED_RETRY_S = 1.0
"""Retry delay while a newer limit may be in force."""


def _never() -> bool:
    return False


@dataclass(frozen=True, slots=True)
class BodyLimit:
    """The limit on the size of bodies that is in force."""

    read_bytes: Callable[[], int]
    may_be_outdated: Callable[[], bool] = _never
    """Returns whether a newer limit may be in force that is not known here."""

    def refuse(self) -> Failure:
        """Return the refusal of a body above the limit."""
        detail = f"the body has more than {self.read_bytes()} bytes"
        if not self.may_be_outdated():
            return Failure(Reason.OVERLOADED, Step.BOUND, detail=detail)
        detail += ", but another limit may be in force"
        return Failure(
            Reason.STALE, Step.BOUND, detail=detail, retry_after_s=OUTDATED_RETRY_S
        )


class BodyEnd(Enum):
    """Why a request has no body that can be forwarded."""

    DISCONNECTED = "disconnected"
    TOO_LARGE = "too-large"


class Upload:
    """The body of one request while it arrives."""

    def __init__(
        self, scope: Scope, receive: Receive, limit: BodyLimit, hold: RequestHold
    ) -> None:
        self._declared_bytes = _read_length(scope.get("headers", ()))
        self._receive = receive
        self._limit = limit
        self._hold = hold
        self._is_whole = False

    async def read(self) -> bytes | BodyEnd:
        """Return the whole body, or why it has none that may be forwarded.

        The limit may change while the body arrives.  A body that does not fit the
        daemon's memory is read and dropped; `hold` tells that it was refused.
        """
        pieces: list[bytes] = []
        size_bytes = 0
        while not self._is_whole:
            if max(size_bytes, self._declared_bytes) > self._limit.read_bytes():
                return self._refuse()
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return BodyEnd.DISCONNECTED
            piece = message.get("body", b"")
            size_bytes += len(piece)
            self._is_whole = not message.get("more_body", False)
            if self._hold.add_body(len(piece)):
                pieces.append(piece)
            else:
                pieces.clear()
        if size_bytes > self._limit.read_bytes():
            return self._refuse()
        return b"".join(pieces)

    async def discard(self) -> None:
        """Read and drop what still arrives.

        A connection that closes with unread bytes is reset, and its caller would miss
        the refusal.
        """
        with anyio.move_on_after(DISCARD_MAX_S):
            while not self._is_whole:
                message = await self._receive()
                is_over = message["type"] == "http.disconnect"
                self._is_whole = is_over or not message.get("more_body", False)

    def _refuse(self) -> BodyEnd:
        self._hold.drop()
        return BodyEnd.TOO_LARGE


def _read_length(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """Return the declared size of the body in bytes, 0 without one."""
    values = [value for name, value in headers if name.lower() == LENGTH_HEADER]
    if not values or not values[0].isdigit():
        return 0
    # A length of many digits is slow to parse.
    return int(values[0]) if len(values[0]) < LENGTH_DIGITS_MAX else math.inf
