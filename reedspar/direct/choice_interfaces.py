"""Protocols of the parts that the choice of a target asks or tells."""

from typing import Protocol

from reedspar.requests.request import Request

from .loads import OwnAttempt

__all__ = ["BegunAttemptLog", "RankShares"]


class RankShares(Protocol):
    """Knows how requests of different ranks compete for a pool."""

    def share_ahead(self, request: Request, now_s: float) -> float | None:
        """Return the share of others' requests that an engine admits before one.

        None if ranks don't compete in the request's pool.
        """
        ...

    def occupancy(self, pool: str, now_s: float) -> float | None:
        """Return the occupancy of a pool's targets if ranks compete there."""
        ...


class BegunAttemptLog(Protocol):
    """Records attempts whose answers begin."""

    def record_begun(
        self, request_id: str, target_id: str, attempt: OwnAttempt
    ) -> None:
        """Record an answer that begins now."""
        ...
