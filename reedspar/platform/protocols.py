"""Protocols of the external systems, each implemented by an adapter.

`Reason.UNAVAILABLE` means that a call had no effect, `Reason.OUTCOME_UNKNOWN`
that it may have had one.
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
    """The platform's key-value service, which charges each call and pending watch."""

    async def get(self, key: str) -> KeyValueEntry | Failure | None:
        """Return the entry, or None if there is none; the entry may be stale."""
        ...

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str = ""
    ) -> int | Failure:
        """Write if the revision is the expected one (0: absent); return the new one.

        Fails with `CONFLICT` (not written), `UNAVAILABLE` (not written) or
        `OUTCOME_UNKNOWN` (the response was lost).  An entry with a lease is
        removed when the lease ends.
        """
        ...

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueEntry | Failure | None:
        """Return the entry once it is newer, or None at the timeout."""
        ...

    async def grant_lease(self, ttl_s: float) -> str | Failure:
        """Return the id of a new lease."""
        ...

    async def renew_lease(self, lease_id: str) -> Failure | None:
        """Restart the lease's time to live; fails with `NOT_FOUND` once it ended."""
        ...


class InstanceList(Protocol):
    """The platform's list of instances, which may be out of date."""

    async def fetch(self) -> tuple[InstanceRecord, ...] | Failure:
        """Return the current list."""
        ...


class WeightSource(Protocol):
    """The origin of weights, or the weight store; both are rate-limited."""

    async def read(self, name: str, offset: int, size_bytes: int) -> bytes | Failure:
        """Return a range of the object `name` (a digest); size 0: up to its end."""
        ...


class TargetResponse(Protocol):
    """A target's response with a streamed body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    weights_digest: str
    """Root digest of the weights that the engine used; empty for plain services."""

    def iterate(self) -> AsyncIterator[bytes | Failure]:
        """Yield the body; a `Failure` as the last item means that it is incomplete."""
        ...


class Target(Protocol):
    """A back end that runs requests: a model engine or a plain service."""

    async def read_state(self) -> EngineState | Failure:
        """Return the target's report, never one older than a report returned before."""
        ...

    def send(
        self, request: TargetRequest
    ) -> AbstractAsyncContextManager[TargetResponse | Failure]:
        """Send a request; fails with `UNAVAILABLE` only if nothing was sent."""
        ...

    async def cancel(self, request_id: str) -> Failure | None:
        """Ask the target to stop working on a request."""
        ...


class ModelEngine(Target, Protocol):
    """A target that serves models."""

    async def stage_chunk(
        self, root_digest: str, index: int, data: bytes
    ) -> Failure | None:
        """Send one verified chunk of a version."""
        ...

    async def drop_staged(self, root_digest: str) -> Failure | None:
        """Discard the staged chunks of a version that will not be loaded."""
        ...

    async def load(self, order: LoadOrder) -> Failure | None:
        """Order a load; fails with `FENCED` if a newer fencing number was seen."""
        ...
