"""Telling from time to time how much of a version is still to come."""

import logging
from collections.abc import Callable, Iterable

from .staging import StagedVersion

__all__ = ["ProgressLog"]

INTERVAL_S = 1.0
"""Between two lines on a version that is on its way: ten lines a copy at most."""

_logger = logging.getLogger(__name__)


class ProgressLog:
    """Writes a line a second while a version is on its way."""

    def __init__(self, left_s: Callable[[str], float]) -> None:
        self._left_s = left_s
        self._written_s = float("-inf")

    def note(
        self, versions: Iterable[StagedVersion], origin_reads: int, now_s: float
    ) -> None:
        """Write how long the missing chunks of each version take over the link."""
        if now_s - self._written_s < INTERVAL_S:
            return
        for staged in versions:
            left_s = self._left_s(staged.root_digest)
            if staged.is_whole or not left_s:
                continue
            self._written_s = now_s
            extra = {
                "version": staged.version.sequence,
                "left_s": round(left_s, 2),
                "origin_reads": origin_reads,
            }
            _logger.info("weights on their way", extra=extra)
