"""Weights of the simulated engine: staged chunks, loads, fencing numbers."""

import hashlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from reedspar.platform import LoadOrder

from .generation import make_root_digest

__all__ = ["EngineWeights", "LoadOutcome", "LoadRecord"]


class LoadOutcome:
    """Outcome of a load order."""

    DONE = "done"
    FENCED = "fenced"
    MISSING = "missing chunks"
    LOST = "lost in a crash"


@dataclass(frozen=True, slots=True)
class LoadRecord:
    """One load order and its outcome at the engine."""

    order_id: str
    model: str
    root_digest: str
    fencing_number: int
    at: float
    outcome: str


@dataclass
class EngineWeights:
    """Digests of staged chunks by root digest and index, and of loaded weights.

    Only digests are kept, as trials don't measure the engine's memory.
    """

    checks_fencing: bool
    load_s: float
    staged: dict[str, dict[int, str]] = field(default_factory=dict)
    loaded: dict[str, str] = field(default_factory=dict)
    fencing_number: int = 0
    records: list[LoadRecord] = field(default_factory=list)
    _generation: int = 0

    def stage(self, root_digest: str, index: int, data: bytes) -> None:
        """Record the digest of a chunk without a check against the root digest."""
        digest = hashlib.sha256(data).hexdigest()
        self.staged.setdefault(root_digest, {})[index] = digest

    def drop(self, root_digest: str) -> None:
        """Discard the staged chunks of a version."""
        self.staged.pop(root_digest, None)

    def reset(self) -> None:
        """Discard all state, as a restart of the process does."""
        self._generation += 1
        self.staged.clear()
        self.loaded.clear()
        self.fencing_number = 0

    async def load(self, order: LoadOrder, on_loaded: Callable[[], None]) -> str:
        """Load the staged chunks and return the outcome."""
        outcome = await self._load(order)
        if outcome == LoadOutcome.DONE:
            on_loaded()
        self.records.append(
            LoadRecord(
                order.order_id,
                order.model,
                order.root_digest,
                order.fencing_number,
                time.time(),
                outcome,
            )
        )
        return outcome

    async def _load(self, order: LoadOrder) -> str:
        if self._is_fenced(order):
            return LoadOutcome.FENCED
        if self.checks_fencing:
            self.fencing_number = order.fencing_number
        chunks = self.staged.get(order.root_digest, {})
        if sorted(chunks) != list(range(len(order.chunk_digests))):
            return LoadOutcome.MISSING
        digest = make_root_digest(chunks[i] for i in sorted(chunks))
        generation = self._generation
        await anyio.sleep(self.load_s)
        if generation != self._generation:
            return LoadOutcome.LOST
        if self._is_fenced(order):
            return LoadOutcome.FENCED
        self.loaded[order.model] = digest
        self.drop(order.root_digest)
        return LoadOutcome.DONE

    def _is_fenced(self, order: LoadOrder) -> bool:
        return self.checks_fencing and order.fencing_number < self.fencing_number
