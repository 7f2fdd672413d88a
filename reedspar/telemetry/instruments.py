"""How a metric is declared, and how its instrument is made."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from opentelemetry.metrics import CallbackOptions, Meter, Observation

__all__ = [
    "InstrumentKind",
    "InstrumentSpec",
    "ObservedGauge",
    "build_instrument",
    "counter",
    "gauge",
    "histogram",
    "up_down_counter",
]

PREFIX = "reedspar."
SECONDS_BUCKETS = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05),
    *(0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0),
)
PROMETHEUS_UNITS = {"s": "_seconds", "By": "_bytes"}


class InstrumentKind(Enum):
    """How a metric behaves."""

    COUNTER = "counter"
    UP_DOWN_COUNTER = "up-down counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class InstrumentSpec:
    """A metric's name, unit (UCUM), meaning and attributes."""

    kind: InstrumentKind
    name: str
    unit: str
    description: str
    attributes: tuple[str, ...]

    @property
    def full_name(self) -> str:
        """Return the name in OpenTelemetry."""
        return PREFIX + self.name

    @property
    def prometheus_name(self) -> str:
        """Return the name of the family that ``/metrics`` shows."""
        base = self.full_name.replace(".", "_") + PROMETHEUS_UNITS.get(self.unit, "")
        return base + "_total" if self.kind is InstrumentKind.COUNTER else base


class ObservedGauge:
    """A value that is read when the metrics are.

    `set` keeps a number until the next one; `observe` reads it anew each time,
    as an age needs.
    """

    def __init__(self) -> None:
        self._read: Callable[[], float] | None = None

    def set(self, value: float) -> None:
        """Report this value from now on."""
        self._read = lambda: value

    def observe(self, read: Callable[[], float]) -> None:
        """Report what `read` returns from now on."""
        self._read = read

    def collect(self, options: CallbackOptions) -> Iterable[Observation]:
        """Return the observation, or none before the first value."""
        return [Observation(self._read())] if self._read else []


def counter(name: str, unit: str, description: str, *attributes: str) -> InstrumentSpec:
    """Declare a count that only grows."""
    return InstrumentSpec(InstrumentKind.COUNTER, name, unit, description, attributes)


def up_down_counter(
    name: str, unit: str, description: str, *attributes: str
) -> InstrumentSpec:
    """Declare a count that grows and falls."""
    return InstrumentSpec(
        InstrumentKind.UP_DOWN_COUNTER, name, unit, description, attributes
    )


def gauge(name: str, unit: str, description: str) -> InstrumentSpec:
    """Declare a value that is read when the metrics are."""
    return InstrumentSpec(InstrumentKind.GAUGE, name, unit, description, ())


def histogram(
    name: str, unit: str, description: str, *attributes: str
) -> InstrumentSpec:
    """Declare a distribution of durations."""
    return InstrumentSpec(InstrumentKind.HISTOGRAM, name, unit, description, attributes)


def build_instrument(meter: Meter, spec: InstrumentSpec) -> Any:
    """Make the instrument that the declaration asks for."""
    name, unit, description = spec.full_name, spec.unit, spec.description
    if spec.kind is InstrumentKind.COUNTER:
        return meter.create_counter(name, unit, description)
    if spec.kind is InstrumentKind.UP_DOWN_COUNTER:
        return meter.create_up_down_counter(name, unit, description)
    if spec.kind is InstrumentKind.HISTOGRAM:
        return meter.create_histogram(
            name,
            unit,
            description,
            explicit_bucket_boundaries_advisory=SECONDS_BUCKETS,
        )
    observed = ObservedGauge()
    meter.create_observable_gauge(name, [observed.collect], unit, description)
    return observed
