"""Verification of staged chunks before an engine loads them.

Chunks can be corrupted after they are staged, and an engine that loads them answers
from corrupted weights.  A target whose older version has expired serves nothing while
they are read back, so verification starts before the last chunks arrive.
"""

import logging
from collections.abc import Callable, Mapping

import anyio

from reedspar.errors import Failure
from reedspar.timers import TimerService
from reedspar.utils import digest_bytes

from .staged_recovery import StagedReader
from .staged_version import StagedVersion

__all__ = ["StagedVerifier"]

VERIFICATION_TTL_S = 2.0
"""Before a load, chunks staged or read back within this time are not read again."""
VERIFY_AHEAD_TTL_S = 1.2
"""The same while chunks are missing; shorter, so that few are left for the load."""
VERIFY_AHEAD_S = 1.5
"""Verification starts when the missing chunks need at most this long on the link."""
READ_INTERVAL_S = 0.001
"""Delay between two reads, which lets arriving chunks be processed."""
VERIFICATION_PASSES_MAX = 3
"""Limits the passes before a load; verifications expire in a slow pass or a pause."""

_logger = logging.getLogger(__name__)


class StagedVerifier:
    """Reads back the staged chunks of versions that are nearly complete."""

    def __init__(
        self,
        reader: StagedReader | None,
        timers: TimerService,
        versions: Mapping[str, StagedVersion],
        left_s: Callable[[str], float],
        on_corrupt: Callable[[StagedVersion, int], None],
    ) -> None:
        self._reader = reader
        self._timers = timers
        self._versions = versions
        self._left_s = left_s
        self._on_corrupt = on_corrupt
        self._wakeup = anyio.Event()

    def record_staged(self, staged: StagedVersion) -> None:
        """Start verification if the missing chunks of a version are due soon."""
        if self._reader is None or staged.is_fully_staged:
            return
        if self._left_s(staged.root_digest) <= VERIFY_AHEAD_S:
            self._wakeup.set()

    async def run(self) -> None:
        """Verify nearly complete versions until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup = anyio.Event()
            for staged in list(self._versions.values()):
                await self._verify_ahead(staged)

    async def find_corrupt(self, staged: StagedVersion) -> list[int]:
        """Return the indexes of chunks missing, corrupt or of another version."""
        if self._reader is None:
            return []
        corrupt: list[int] = []
        for _ in range(VERIFICATION_PASSES_MAX):
            time_s = self._timers.now_s() - VERIFICATION_TTL_S
            indexes = [i for i in staged.unverified_since(time_s) if i not in corrupt]
            if not indexes:
                break
            for index in indexes:
                if not await self._verify(self._reader, staged, index):
                    corrupt.append(index)
        return corrupt

    async def _verify_ahead(self, staged: StagedVersion) -> None:
        if self._reader is None or staged.is_fully_staged:
            return
        for index in staged.unverified_since(self._timers.now_s() - VERIFY_AHEAD_TTL_S):
            if staged.is_fully_staged or not self._is_current(staged):
                return
            is_good = await self._verify(self._reader, staged, index)
            if not is_good and self._is_current(staged):
                extra = {"version": staged.version.sequence, "index": index}
                _logger.warning("staged chunk is corrupt", extra=extra)
                self._on_corrupt(staged, index)
            await anyio.sleep(READ_INTERVAL_S)

    def _is_current(self, staged: StagedVersion) -> bool:
        return self._versions.get(staged.model) is staged

    async def _verify(
        self, reader: StagedReader, staged: StagedVersion, index: int
    ) -> bool:
        """Read a chunk back, and return whether it matches the manifest."""
        if staged.manifest is None:
            return False
        read_s = self._timers.now_s()
        data = await reader.read_staged(staged.model, index)
        digest = staged.manifest.chunks[index].digest
        if isinstance(data, Failure) or digest_bytes(data) != digest:
            return False
        staged.record_verified(index, read_s)
        return True
