"""Fencing numbers: each order to a target carries a higher one than those before."""

from dataclasses import dataclass
from typing import Protocol

from reedspar.errors import Failure

__all__ = ["FencingNumbers", "FencingRecord", "OrderedVersion"]


@dataclass(frozen=True, slots=True)
class OrderedVersion:
    """A version of a model that a target was ordered to load."""

    model: str
    root_digest: str
    sequence: int


@dataclass(frozen=True, slots=True)
class FencingRecord:
    """What outlives an agent: the last number, and what was ordered under it."""

    number: int = 0
    ordered: tuple[OrderedVersion, ...] = ()


class FencingNumbers(Protocol):
    """Gives out fencing numbers for one target."""

    async def read(self) -> FencingRecord | Failure:
        """Return the record as predecessors left it."""
        ...

    async def next_number(
        self, model: str, root_digest: str, sequence: int
    ) -> int | Failure:
        """Return a number above all before; `FENCED` if a newer version was ordered."""
        ...
