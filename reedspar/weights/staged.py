"""Reading staged chunks, and recovering them when an agent starts."""

import logging
from collections.abc import Callable
from typing import Protocol

import anyio

from reedspar.errors import Failure
from reedspar.utils import digest_bytes

from .manifest import Manifest

__all__ = ["StagedReader", "StagedRecovery"]

RETRY_S = 0.2

_logger = logging.getLogger(__name__)


class StagedReader(Protocol):
    """Reads back what an engine was given; it may have been spoilt there."""

    async def list_staged(self, model: str) -> tuple[int, ...] | Failure:
        """Return the places of a model's version for which a chunk lies there."""
        ...

    async def read_staged(self, model: str, index: int) -> bytes | Failure:
        """Return the chunk that lies at a place."""
        ...


class StagedRecovery:
    """Recovers the valid staged chunks when an agent starts.

    An agent that has just started holds nothing.  Without this its peers would
    draw from the origin what lies beside its engine.
    """

    def __init__(
        self, reader: StagedReader | None, hold: Callable[[str, bytes], None]
    ) -> None:
        self._reader = reader
        self._hold = hold
        self._has_run = False

    async def run(self, manifest: Manifest, is_current: Callable[[], bool]) -> None:
        """Hold the staged chunks of the first version; retry while it is current."""
        has_run, self._has_run = self._has_run, True
        while self._reader and not has_run and is_current():
            found = await _hold_staged(self._reader, manifest, self._hold)
            if not isinstance(found, Failure):
                extra = {"version": manifest.sequence, "found": found}
                _logger.info("staged chunks read back", extra=extra)
                return
            await anyio.sleep(RETRY_S)


async def _hold_staged(
    reader: StagedReader, manifest: Manifest, hold: Callable[[str, bytes], None]
) -> int | Failure:
    """Hold the valid staged chunks of a version; return how many there are."""
    places = await reader.list_staged(manifest.model)
    if isinstance(places, Failure):
        return places
    count = 0
    for index in places:
        if index >= len(manifest.chunks):
            continue
        data = await reader.read_staged(manifest.model, index)
        digest = manifest.chunks[index].digest
        if not isinstance(data, Failure) and digest_bytes(data) == digest:
            hold(digest, data)
            count += 1
    return count
