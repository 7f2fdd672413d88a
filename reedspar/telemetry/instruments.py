"""How a metric is declared, and how its instrument is made."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from opentelemetry.metrics import CallbackOptions, Meter, Observation

__all__ = [
    "InstrumentKind",
    "InstrumentSpec",
    "ObservableInstrument",
    "build_instrument",
    "counter",
    "histogram",
    "observed_counter",
    "observed_gauge",
]

Reading = tuple[float, dict[str, str]]
PREFIX = "reedspar."
SECONDS_BUCKETS = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05),
    *(0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0),
)
PROMETHEUS_UNITS = {"s": "_seconds", "By": "_bytes"}


class InstrumentKind(Enum):
    """How a metric behaves, and whether it is counted or read."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    OBSERVED_COUNTER = "observed counter"
    OBSERVED_GAUGE = "observed gauge"


COUNTERS = (InstrumentKind.COUNTER, InstrumentKind.OBSERVED_COUNTER)


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
        return base + "_total" if self.kind in COUNTERS else base


class ObservableInstrument:
    """A value, or one for each set of attributes, that is read with the metrics.

    Adding to a counter takes about ten microseconds, too much for each message
    of a relay.  There a plain number is kept, and read when an operator asks.
    """

    def __init__(self) -> None:
        self._read: Callable[[], float | Iterable[Reading]] | None = None

    def set_callback(self, read: Callable[[], float | Iterable[Reading]]) -> None:
        """Report what `read` returns from now on."""
        self._read = read

    def collect(self, options: CallbackOptions) -> Iterable[Observation]:
        """Return the observations, or none before `set_callback`."""
        if self._read is None:
            return []
        found = self._read()
        if isinstance(found, int | float):
            return [Observation(found)]
        return [Observation(value, attributes) for value, attributes in found]


def counter(name: str, unit: str, description: str, *attributes: str) -> InstrumentSpec:
    """Declare a count that is added to."""
    return InstrumentSpec(InstrumentKind.COUNTER, name, unit, description, attributes)


def histogram(
    name: str, unit: str, description: str, *attributes: str
) -> InstrumentSpec:
    """Declare a distribution of durations."""
    return InstrumentSpec(InstrumentKind.HISTOGRAM, name, unit, description, attributes)


def observed_counter(
    name: str, unit: str, description: str, *attributes: str
) -> InstrumentSpec:
    """Declare a count that is kept elsewhere and read."""
    return InstrumentSpec(
        InstrumentKind.OBSERVED_COUNTER, name, unit, description, attributes
    )


def observed_gauge(
    name: str, unit: str, description: str, *attributes: str
) -> InstrumentSpec:
    """Declare a value that rises and falls, and is read."""
    return InstrumentSpec(
        InstrumentKind.OBSERVED_GAUGE, name, unit, description, attributes
    )


def build_instrument(meter: Meter, spec: InstrumentSpec) -> Any:
    """Make the instrument that the declaration asks for."""
    name, unit, description = spec.full_name, spec.unit, spec.description
    if spec.kind is InstrumentKind.COUNTER:
        return meter.create_counter(name, unit, description)
    if spec.kind is InstrumentKind.HISTOGRAM:
        return meter.create_histogram(
            name,
            unit,
            description,
            explicit_bucket_boundaries_advisory=SECONDS_BUCKETS,
        )
    observed = ObservableInstrument()
    if spec.kind is InstrumentKind.OBSERVED_COUNTER:
        meter.create_observable_counter(name, [observed.collect], unit, description)
    else:
        meter.create_observable_gauge(name, [observed.collect], unit, description)
    return observed
