"""Declarations of metrics, and creation of their OpenTelemetry instruments."""

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
"""A value and its attributes."""

NAME_PREFIX = "reedspar."
DURATION_BUCKETS_S = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05),
    *(0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0),
)
PROMETHEUS_UNIT_SUFFIXES = {"s": "_seconds", "By": "_bytes"}


class InstrumentKind(Enum):
    """Type of a metric; observed ones are read by a callback at each scrape."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    OBSERVED_COUNTER = "observed counter"
    OBSERVED_GAUGE = "observed gauge"


COUNTER_KINDS = (InstrumentKind.COUNTER, InstrumentKind.OBSERVED_COUNTER)


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
        return NAME_PREFIX + self.name

    @property
    def prometheus_name(self) -> str:
        """Return the name of the metric family in ``/metrics``."""
        base = self.full_name.replace(".", "_") + PROMETHEUS_UNIT_SUFFIXES.get(
            self.unit, ""
        )
        return base + "_total" if self.kind in COUNTER_KINDS else base


class ObservableInstrument:
    """An instrument whose values are read by a callback when metrics are scraped.

    Adding to a counter takes about ten microseconds, too much for each relayed
    message.  Such code keeps a plain number instead, which the callback returns.
    """

    def __init__(self) -> None:
        self._callback: Callable[[], float | Iterable[Reading]] | None = None

    def set_callback(self, callback: Callable[[], float | Iterable[Reading]]) -> None:
        """Set the function that returns a value, or one per set of attributes."""
        self._callback = callback

    def collect(self, options: CallbackOptions) -> Iterable[Observation]:
        """Return the current observations; none before `set_callback`."""
        if self._callback is None:
            return []
        found = self._callback()
        if isinstance(found, int | float):
            return [Observation(found)]
        return [Observation(value, attributes) for value, attributes in found]


def counter(name: str, unit: str, description: str, *attributes: str) -> InstrumentSpec:
    """Declare a counter that the code increments."""
    return InstrumentSpec(InstrumentKind.COUNTER, name, unit, description, attributes)


def histogram(
    name: str, unit: str, description: str, *attributes: str
) -> InstrumentSpec:
    """Declare a histogram of durations."""
    return InstrumentSpec(InstrumentKind.HISTOGRAM, name, unit, description, attributes)


def observed_counter(
    name: str, unit: str, description: str, *attributes: str
) -> InstrumentSpec:
    """Declare a counter whose value is read by a callback."""
    return InstrumentSpec(
        InstrumentKind.OBSERVED_COUNTER, name, unit, description, attributes
    )


def observed_gauge(
    name: str, unit: str, description: str, *attributes: str
) -> InstrumentSpec:
    """Declare a gauge whose value is read by a callback."""
    return InstrumentSpec(
        InstrumentKind.OBSERVED_GAUGE, name, unit, description, attributes
    )


def build_instrument(meter: Meter, spec: InstrumentSpec) -> Any:
    """Create the declared instrument."""
    name, unit, description = spec.full_name, spec.unit, spec.description
    if spec.kind is InstrumentKind.COUNTER:
        return meter.create_counter(name, unit, description)
    if spec.kind is InstrumentKind.HISTOGRAM:
        return meter.create_histogram(
            name,
            unit,
            description,
            explicit_bucket_boundaries_advisory=DURATION_BUCKETS_S,
        )
    observed = ObservableInstrument()
    if spec.kind is InstrumentKind.OBSERVED_COUNTER:
        meter.create_observable_counter(name, [observed.collect], unit, description)
    else:
        meter.create_observable_gauge(name, [observed.collect], unit, description)
    return observed
