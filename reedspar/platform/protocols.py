"""Protocols of the outside systems; one adapter each speaks today's wire format.

A failure tells whether anything took effect: `Reason.UNAVAILABLE` means that
nothing did, `Reason.OUTCOME_UNKNOWN` that it may have.
"""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from reedspar.errors import Failure

from .models import (
    EngineState,
    InstanceRecord,
    KeyValueEntry,
    LoadOrder,
    TargetRequest,
)

__all__ = [
    "InstanceList",
    "KeyValueStore",
    "ModelEngine",
    "Target",
    "TargetResponse",
    "WeightSource",
]


class KeyValueStore(Protocol):
    """The platform's key-value service; each call, and each waiting watch, counts."""

    async def get(self, key: str) -> KeyValueEntry | Failure | None:
        """Return the entry, or None if there is none; it may be an older one."""
        ...

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str = ""
    ) -> int | Failure:
        """Write if the revision is the expected one (0: absent); return the new one.

        Fails with `CONFLICT` (not written), `UNAVAILABLE` (not written) or
        `OUTCOME_UNKNOWN` (the answer was lost).  An entry under a lease goes
        when the lease ends.
        """
        ...

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueEntry | Failure | None:
        """Return the entry once it is newer, or None when the time is over."""
        ...

    async def grant_lease(self, ttl_s: float) -> str | Failure:
        """Return the id of a new lease."""
        ...

    async def renew_lease(self, lease_id: str) -> Failure | None:
        """Start the lease's time to live again; `NOT_FOUND` once it has ended."""
        ...


class InstanceList(Protocol):
    """The platform's lagging list of instances."""

    async def fetch(self) -> tuple[InstanceRecord, ...] | Failure:
        """Return the list as it stands."""
        ...


class WeightSource(Protocol):
    """The origin of weights, or the weight store; both limit their rate."""

    async def read(self, name: str, offset: int, size_bytes: int) -> bytes | Failure:
        """Return a range of the object `name` (a digest); size 0 means to its end."""
        ...


class TargetResponse(Protocol):
    """A target's answer while it arrives."""

    status: int
    headers: tuple[tuple[str, str], ...]
    weights_digest: str
    """Root digest that the engine says it answered with; empty for plain services."""

    def iterate(self) -> AsyncIterator[bytes | Failure]:
        """Yield the body; a failure, if any, comes last: it was not whole."""
        ...


class Target(Protocol):
    """What every target offers: a model engine or a plain service."""

    async def read_state(self) -> EngineState | Failure:
        """Return the target's own report, never one older than returned before."""
        ...

    def send(
        self, request: TargetRequest
    ) -> AbstractAsyncContextManager[TargetResponse | Failure]:
        """Hand over a request; `UNAVAILABLE` only if nothing was handed over."""
        ...

    async def cancel(self, request_id: str) -> Failure | None:
        """Ask the target to stop working on a request."""
        ...


class ModelEngine(Target, Protocol):
    """A target that serves models."""

    async def stage_chunk(
        self, root_digest: str, index: int, data: bytes
    ) -> Failure | None:
        """Hand over one checked chunk of a version."""
        ...

    async def drop_staged(self, root_digest: str) -> Failure | None:
        """Let go of the chunks of a version that will not be loaded."""
        ...

    async def load(self, order: LoadOrder) -> Failure | None:
        """Order a load; `FENCED` if a newer fencing number was seen."""
        ...
