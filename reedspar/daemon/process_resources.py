"""Readings of what this process uses (see `ResourceReader`)."""

import logging
import os
import time
from collections.abc import Callable
from pathlib import Path

from reedspar.direct.entry_pressure import ResourceReadings

__all__ = ["ProcessResources"]

MEMORY_PATH = Path("/proc/self/statm")
DESCRIPTORS_PATH = "/proc/self/fd"
RESIDENT_FIELD = 1
_logger = logging.getLogger(__name__)


class ProcessResources:
    """Reads processor time, memory and descriptors from the operating system."""

    def __init__(self, count_requests: Callable[[], int]) -> None:
        self._count_requests = count_requests
        self._is_failure_logged = False

    def read(self) -> ResourceReadings:
        """Return the present readings."""
        memory_bytes: float | None = None
        descriptors: int | None = None
        try:
            pages = int(MEMORY_PATH.read_text().split()[RESIDENT_FIELD])
            memory_bytes = pages * os.sysconf("SC_PAGE_SIZE")
            descriptors = len(os.listdir(DESCRIPTORS_PATH))
        except (OSError, ValueError, IndexError) as error:
            self._log_failure(error)
        return ResourceReadings(
            time.process_time(), memory_bytes, descriptors, self._count_requests()
        )

    def _log_failure(self, error: Exception) -> None:
        if not self._is_failure_logged:
            self._is_failure_logged = True
            _logger.warning("resources can't be read", extra={"error": repr(error)})
