"""What lies staged beside an engine: read back, and checked before an order."""

from collections.abc import Callable
from typing import Protocol

from reedspar.errors import Failure
from reedspar.utils import digest_bytes

from .manifest import Manifest

__all__ = ["StagedReader", "find_spoilt", "recover_staged"]


class StagedReader(Protocol):
    """Reads back what an engine was given; it may have been spoilt there."""

    async def list_staged(self, model: str) -> tuple[int, ...] | Failure:
        """Return the places of a model's version for which a chunk lies there."""
        ...

    async def read_staged(self, model: str, index: int) -> bytes | Failure:
        """Return the chunk that lies at a place."""
        ...


async def recover_staged(
    reader: StagedReader, manifest: Manifest, hold: Callable[[str, bytes], None]
) -> int | Failure:
    """Hold every good chunk of a version that lies staged; return how many.

    An agent that has just started holds nothing.  Without this its peers would
    draw from the origin what lies beside its engine.
    """
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


async def find_spoilt(reader: StagedReader, manifest: Manifest) -> list[int]:
    """Return the places whose chunk is missing, spoilt or of another version.

    Chunks turn bad where they lie.  An engine that was ordered to load them
    would answer callers from spoilt weights, and nothing else would show it.
    """
    spoilt = []
    for index, chunk in enumerate(manifest.chunks):
        data = await reader.read_staged(manifest.model, index)
        if isinstance(data, Failure) or digest_bytes(data) != chunk.digest:
            spoilt.append(index)
    return spoilt
