"""Decision: how many bytes senders may have under way to this agent.

Prompts for the target beside an agent come over the same link as chunks.  What
several senders have under way together queues before that link, and a prompt waits
behind it: at 4.7 Mbit/s, half a second behind six chunks of 48 KB.  So the receiver
grants bytes and not chunks, at the rate of its link over all senders together: the
link stays busy, and little queues before it, whatever the size of a chunk is.
"""

from reedspar.utils import TokenBucket

from .distribution import Action, SendMessage
from .fetches import ORIGIN, FetchBook, Request
from .limits import SwarmLimits
from .messages import ChunkGrant

__all__ = ["InboundCredit"]

BURST_PIECES = 2
GRANT_PIECES = 2
"""Granted at a time, so that grants take little of the link the other way."""


class InboundCredit:
    """Grants to the senders of all open requests, within the machine's link."""

    def __init__(
        self, limits: SwarmLimits, fetches: FetchBook, actions: list[Action]
    ) -> None:
        self._limits = limits
        self._fetches = fetches
        self._actions = actions
        self._bucket = TokenBucket(
            limits.machine_bytes_per_s, BURST_PIECES * limits.piece_bytes
        )

    def note_arrived(self, size_bytes: int, now_s: float) -> None:
        """Count bytes for which no grant was given: a first piece, or the origin's."""
        self._bucket.take(size_bytes, now_s)

    def grant(self, now_s: float) -> None:
        """Let senders go on, those of the oldest requests first."""
        begun = self._begun_requests()
        under_way_bytes = sum(request.expected_bytes for request in begun)
        for request in filter(_wants_more, begun):
            step_bytes = GRANT_PIECES * self._limits.piece_bytes
            if request.expected_bytes >= step_bytes:
                continue
            if under_way_bytes >= self._limits.under_way_bytes:
                return
            if not self._bucket.is_ready(now_s):
                return
            under_way_bytes += self._raise(request, step_bytes, now_s)

    def due_s(self, now_s: float) -> float | None:
        """Return when the next grant may be given, or None if none is wanted."""
        step_bytes = GRANT_PIECES * self._limits.piece_bytes
        begun = self._begun_requests()
        if sum(r.expected_bytes for r in begun) >= self._limits.under_way_bytes:
            return None
        if any(_wants_more(r) and r.expected_bytes < step_bytes for r in begun):
            return self._bucket.ready_at_s(now_s)
        return None

    def _begun_requests(self) -> list[Request]:
        """Return the requests to peers of which a part has arrived."""
        return [
            request
            for _, request in self._fetches.iterate()
            if request.peer != ORIGIN and request.has_begun
        ]

    def _raise(self, request: Request, step_bytes: int, now_s: float) -> int:
        request.granted_bytes += step_bytes
        size_bytes = request.assembly.size_bytes or 0
        excess_bytes = max(0, request.granted_bytes - size_bytes)
        self._bucket.take(step_bytes - excess_bytes, now_s)
        self._actions.append(
            SendMessage(
                request.peer,
                ChunkGrant(
                    request.assembly.digest, request.request_id, request.granted_bytes
                ),
            )
        )
        return step_bytes - excess_bytes


def _wants_more(request: Request) -> bool:
    """Tell whether a part of the object has not been granted yet."""
    return request.granted_bytes < (request.assembly.size_bytes or 0)
