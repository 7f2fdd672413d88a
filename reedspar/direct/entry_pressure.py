"""This entry's pressure: the use of its scarcest resource by its limit."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

__all__ = ["EntryLimits", "EntryPressure", "ResourceReader", "ResourceReadings"]

PROCESSOR_WINDOW_S = 1.0
"""Time over which the use of the processor is measured."""
SAMPLES_MAX = 32


@dataclass(frozen=True, slots=True)
class ResourceReadings:
    """What the process uses now; None: could not be read."""

    processor_s: float
    """Processor time since the start of the process."""
    memory_bytes: float | None = None
    descriptors: int | None = None
    requests: int = 0
    """Requests in flight."""


class ResourceReader(Protocol):
    """Reads what the process uses."""

    def read(self) -> ResourceReadings:
        """Return the present readings."""
        ...


@dataclass(frozen=True, slots=True)
class EntryLimits:
    """Limits of the process; None: unknown, so that the resource doesn't count."""

    processor_cores: float | None = None
    """Seconds of processor time that the process may use in a second."""
    memory_bytes: float | None = None
    descriptors: int | None = None
    requests: int | None = None

    @property
    def has_any(self) -> bool:
        """Return whether a limit is known."""
        limits = (
            self.processor_cores,
            self.memory_bytes,
            self.descriptors,
            self.requests,
        )
        return any(limit is not None for limit in limits)


class EntryPressure:
    """Computes the pressure from successive readings."""

    def __init__(self, limits: EntryLimits) -> None:
        self._limits = limits
        self._samples: deque[tuple[float, float]] = deque(maxlen=SAMPLES_MAX)
        """Times and processor times of the last readings."""
        self._by_resource: dict[str, float] = {}

    @property
    def has_limits(self) -> bool:
        """Return whether any resource has a limit."""
        return self._limits.has_any

    @property
    def pressure(self) -> float:
        """Return the use of the scarcest resource by its limit, 0 without limits."""
        return max(self._by_resource.values(), default=0.0)

    def record(self, readings: ResourceReadings, now_s: float) -> None:
        """Process readings that were made now."""
        self._samples.append((now_s, readings.processor_s))
        while len(self._samples) > 2 and now_s - self._samples[1][0] >= (
            PROCESSOR_WINDOW_S
        ):
            self._samples.popleft()
        limits = self._limits
        uses = {
            "processor": (self._processor_use(), limits.processor_cores),
            "memory": (readings.memory_bytes, limits.memory_bytes),
            "descriptors": (readings.descriptors, limits.descriptors),
            "requests": (readings.requests, limits.requests),
        }
        self._by_resource = {
            name: use / limit
            for name, (use, limit) in uses.items()
            if use is not None and limit
        }

    def read_pressures(self) -> Iterable[tuple[float, dict[str, str]]]:
        """Return the use of each resource by its limit, for the metrics."""
        return [
            (value, {"resource": name}) for name, value in self._by_resource.items()
        ]

    def _processor_use(self) -> float | None:
        """Return the processor time used per second over the window."""
        (first_s, first_used_s), (last_s, last_used_s) = (
            self._samples[0],
            self._samples[-1],
        )
        if last_s <= first_s:
            return None
        return (last_used_s - first_used_s) / (last_s - first_s)
