"""Reading staged chunks, and recovering them when an agent starts."""

import logging
from collections.abc import Callable
from typing import Protocol

import anyio

from reedspar.errors import Failure
from reedspar.utils import digest_bytes

from .staged_version import StagedVersion

__all__ = ["StagedReader", "StagedRecovery"]

RECOVERY_RETRY_DELAY_S = 0.2

_logger = logging.getLogger(__name__)


class StagedReader(Protocol):
    """Reads staged chunks back from an engine; they may be corrupt."""

    async def list_staged(self, model: str) -> tuple[int, ...] | Failure:
        """Return the indexes of the staged chunks of a model's version."""
        ...

    async def read_staged(self, model: str, index: int) -> bytes | Failure:
        """Return the staged chunk at an index."""
        ...


class StagedRecovery:
    """Recovers the valid staged chunks when an agent starts.

    An agent holds no chunks when it starts.  Without the recovery, its region would
    fetch chunks from the origin that are already staged at the engine.
    """

    def __init__(
        self,
        reader: StagedReader | None,
        add_object: Callable[[str, bytes], None],
        now_s: Callable[[], float],
        boot_id: Callable[[], str],
    ) -> None:
        self._reader = reader
        self._add_object = add_object
        self._now_s = now_s
        self._boot_id = boot_id
        self._has_run = False

    async def run(self, staged: StagedVersion, is_current: Callable[[], bool]) -> None:
        """Recover the staged chunks of the first version; retry while it is current."""
        has_run, self._has_run = self._has_run, True
        while self._reader and not has_run and is_current():
            found = await self._recover_chunks(self._reader, staged)
            if not isinstance(found, Failure):
                extra = {"version": staged.version.sequence, "found": found}
                _logger.info("staged chunks recovered", extra=extra)
                return
            await anyio.sleep(RECOVERY_RETRY_DELAY_S)

    async def _recover_chunks(
        self, reader: StagedReader, staged: StagedVersion
    ) -> int | Failure:
        """Add the valid staged chunks and mark them as staged; return their count."""
        indexes = await reader.list_staged(staged.model)
        if isinstance(indexes, Failure):
            return indexes
        digests = staged.chunk_digests
        count = 0
        for index in indexes:
            if index >= len(digests):
                continue
            read_s, boot_id = self._now_s(), self._boot_id()
            data = await reader.read_staged(staged.model, index)
            if not isinstance(data, Failure) and digest_bytes(data) == digests[index]:
                if boot_id == self._boot_id():
                    staged.record_staged(index, read_s)
                self._add_object(digests[index], data)
                count += 1
        return count
