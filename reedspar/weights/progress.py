"""Periodic log messages about transfers in progress."""

import logging
from collections.abc import Callable, Iterable

from .staged_version import StagedVersion

__all__ = ["ProgressLog"]

PROGRESS_LOG_INTERVAL_S = 1.0
"""Yields at most ten messages per transferred version."""

_logger = logging.getLogger(__name__)


class ProgressLog:
    """Logs the remaining transfer time of versions once per second."""

    def __init__(self, left_s: Callable[[str], float]) -> None:
        self._left_s = left_s
        self._logged_s = float("-inf")

    def log(
        self, versions: Iterable[StagedVersion], origin_reads: int, now_s: float
    ) -> None:
        """Log the transfer time of the missing chunks of each version, if due."""
        if now_s - self._logged_s < PROGRESS_LOG_INTERVAL_S:
            return
        for staged in versions:
            left_s = self._left_s(staged.root_digest)
            if staged.is_fully_staged or not left_s:
                continue
            self._logged_s = now_s
            extra = {
                "version": staged.version.sequence,
                "left_s": round(left_s, 2),
                "origin_reads": origin_reads,
            }
            _logger.info("weights on their way", extra=extra)
