"""Fencing numbers out of the daemon's incarnation."""

import itertools

from reedspar.errors import Failure
from reedspar.platform import KeyValueStore
from reedspar.weights import FencingNumbers, FencingRecord

__all__ = ["create_fencing_numbers"]


class IncarnationNumbers:
    """Numbers that grow within an incarnation and with it."""

    def __init__(self, incarnation: int) -> None:
        self._numbers = itertools.count(incarnation * 1000 + 1)

    async def read(self) -> FencingRecord | Failure:
        """Return an empty record: nothing is kept of predecessors."""
        return FencingRecord()

    async def next_number(
        self, model: str, root_digest: str, sequence: int
    ) -> int | Failure:
        """Return a number above all before."""
        return next(self._numbers)


def create_fencing_numbers(
    incarnation: int, key_value: KeyValueStore
) -> FencingNumbers:
    """Make the fencing numbers of one target."""
    return IncarnationNumbers(incarnation)
