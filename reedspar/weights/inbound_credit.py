"""Credit-based flow control of the chunks that an agent receives.

Prompts for the agent's target arrive over the same link as chunks.  Data in flight from
several senders queues before that link and delays prompts: at 4.7 Mbit/s, six chunks of
48 KB take half a second.  The receiver therefore grants senders credit in bytes, at the
total rate of its link.  The link stays busy with a short queue for any chunk size.
"""

from collections.abc import Callable

from reedspar.utils import TokenBucket

from .distribution import Action, SendMessage
from .fetches import ORIGIN, FetchTable, Request
from .limits import SwarmLimits
from .messages import ChunkGrant

__all__ = ["InboundCredit"]

INBOUND_BURST_PIECES = 2
PIECES_PER_GRANT = 2
"""Number of pieces per grant, so that grants use little of the outbound link."""


class InboundCredit:
    """Grants credit to the senders of open requests at the rate of the link."""

    def __init__(
        self, limits: SwarmLimits, fetches: FetchTable, actions: list[Action]
    ) -> None:
        self._limits = limits
        self._fetches = fetches
        self._actions = actions
        self._bucket = TokenBucket(
            limits.machine_bytes_per_s, INBOUND_BURST_PIECES * limits.piece_bytes
        )

    def record_arrival(self, size_bytes: int, now_s: float) -> None:
        """Count bytes sent without a grant: first pieces, and reads from the origin."""
        self._bucket.consume(size_bytes, now_s)

    def grant(self, now_s: float, rank_of: Callable[[str], int]) -> None:
        """Grant credit to senders, by the rank of the object and then by age."""
        started = self._list_started()
        started.sort(key=lambda request: rank_of(request.assembly.digest))
        in_flight_bytes = sum(request.outstanding_bytes for request in started)
        for request in filter(_needs_grant, started):
            step_bytes = PIECES_PER_GRANT * self._limits.piece_bytes
            if request.outstanding_bytes >= step_bytes:
                continue
            if in_flight_bytes >= self._limits.in_flight_limit_bytes:
                return
            if not self._bucket.is_ready(now_s):
                return
            in_flight_bytes += self._extend_grant(request, step_bytes, now_s)

    def due_s(self, now_s: float) -> float | None:
        """Return the time of the next grant, or None if none is needed."""
        step_bytes = PIECES_PER_GRANT * self._limits.piece_bytes
        started = self._list_started()
        if (
            sum(r.outstanding_bytes for r in started)
            >= self._limits.in_flight_limit_bytes
        ):
            return None
        if any(_needs_grant(r) and r.outstanding_bytes < step_bytes for r in started):
            return self._bucket.ready_at_s(now_s)
        return None

    def _list_started(self) -> list[Request]:
        """Return the requests to peers that have delivered a part."""
        return [
            request
            for _, request in self._fetches.iterate_requests()
            if request.peer != ORIGIN and request.has_data
        ]

    def _extend_grant(self, request: Request, step_bytes: int, now_s: float) -> int:
        request.granted_bytes += step_bytes
        size_bytes = request.assembly.size_bytes or 0
        excess_bytes = max(0, request.granted_bytes - size_bytes)
        self._bucket.consume(step_bytes - excess_bytes, now_s)
        self._actions.append(
            SendMessage(
                request.peer,
                ChunkGrant(
                    request.assembly.digest, request.request_id, request.granted_bytes
                ),
            )
        )
        return step_bytes - excess_bytes


def _needs_grant(request: Request) -> bool:
    """Return whether a part of the object has not been granted yet."""
    return request.granted_bytes < (request.assembly.size_bytes or 0)
