"""Every metric of a daemon, declared once, and its Prometheus text.

Attributes come from closed sets (reasons, outcomes, pools and zones of the
configuration), never from callers' input: each new value costs memory for as
long as the process lives.
"""

from dataclasses import dataclass
from typing import Annotated, Any, get_args, get_type_hints

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram, UpDownCounter
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from .instruments import (
    InstrumentSpec,
    ObservedGauge,
    build_instrument,
    counter,
    gauge,
    histogram,
    up_down_counter,
)

__all__ = ["Metrics", "create_metrics", "list_instruments"]


@dataclass(frozen=True, slots=True)
class Metrics:
    """The instruments of one daemon."""

    registry: CollectorRegistry
    requests: Annotated[
        Counter,
        counter(
            "requests",
            "{request}",
            "Requests of callers that ended, by outcome: answered, not_run, unknown.",
            "outcome",
            "pool",
        ),
    ]
    request_duration: Annotated[
        Histogram,
        histogram(
            "request.duration",
            "s",
            "Time from a request to the end of its answer.",
            "pool",
        ),
    ]
    first_byte: Annotated[
        Histogram,
        histogram(
            "request.first_byte",
            "s",
            "Time from a request to the first byte of its answer.",
            "pool",
        ),
    ]
    refusals: Annotated[
        Counter,
        counter(
            "refusals",
            "{request}",
            "Requests refused as not run, by reason and step.",
            "reason",
            "step",
        ),
    ]
    attempts: Annotated[
        Counter,
        counter(
            "attempts",
            "{attempt}",
            "Attempts that ended, by outcome.",
            "outcome",
            "pool",
        ),
    ]
    in_flight: Annotated[
        UpDownCounter,
        up_down_counter(
            "in_flight", "{request}", "Requests in progress in this process.", "pool"
        ),
    ]
    relayed_bytes: Annotated[
        Counter, counter("relayed", "By", "Bytes of answers passed on.", "pool")
    ]
    unmatched: Annotated[
        Counter,
        counter(
            "messages.unmatched",
            "{message}",
            "Messages dropped since no open attempt matched them.",
            "kind",
        ),
    ]
    links_up: Annotated[
        ObservedGauge,
        gauge("links.up", "{link}", "Links to other daemons that are open."),
    ]
    heartbeats_missed: Annotated[
        Counter,
        counter(
            "heartbeats.missed", "{heartbeat}", "Heartbeats without a reply in time."
        ),
    ]
    config_version: Annotated[
        ObservedGauge,
        gauge(
            "config.version", "{version}", "Number of the configuration in force here."
        ),
    ]
    freshness_age: Annotated[
        ObservedGauge,
        gauge(
            "config.freshness_age", "s", "Time since the configuration was confirmed."
        ),
    ]
    gossip_messages: Annotated[
        Counter,
        counter(
            "gossip.messages",
            "{message}",
            "Gossip messages, by direction.",
            "direction",
        ),
    ]
    gossip_bytes: Annotated[
        Counter,
        counter("gossip.size", "By", "Bytes of gossip, by direction.", "direction"),
    ]
    chunk_bytes: Annotated[
        Counter,
        counter(
            "chunks.received",
            "By",
            "Bytes of chunks received, by source: origin, region (another one), "
            "zone (another one of this region), local (this zone).",
            "source",
        ),
    ]
    chunk_bytes_sent: Annotated[
        Counter, counter("chunks.sent", "By", "Bytes of chunks sent to other daemons.")
    ]
    corrupt_chunks: Annotated[
        Counter,
        counter(
            "chunks.corrupt",
            "{chunk}",
            "Chunks whose digest did not match, by source.",
            "source",
        ),
    ]
    chunk_memory: Annotated[
        ObservedGauge, gauge("chunks.memory", "By", "Memory that held chunks take up.")
    ]
    offers: Annotated[
        Counter,
        counter(
            "weights.offers",
            "{change}",
            "Versions offered (change: offered) and taken back (withdrawn).",
            "model",
            "change",
        ),
    ]
    loads: Annotated[
        Counter,
        counter(
            "weights.loads",
            "{order}",
            "Orders to load that ended, by outcome.",
            "outcome",
        ),
    ]
    gate_limit: Annotated[
        ObservedGauge,
        gauge(
            "gate.limit",
            "{request}",
            "Requests that the agent lets to its target at once.",
        ),
    ]
    key_value_calls: Annotated[
        Counter,
        counter(
            "key_value.calls",
            "{call}",
            "Calls of the key-value service, by operation and outcome.",
            "operation",
            "outcome",
        ),
    ]
    pauses: Annotated[
        Counter,
        counter(
            "pauses", "{pause}", "Times that this process noticed it had been paused."
        ),
    ]
    invariant_violations: Annotated[
        Counter,
        counter(
            "invariant.violations", "{violation}", "Broken invariants, by name.", "name"
        ),
    ]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def list_instruments() -> dict[str, InstrumentSpec]:
    """Return the declaration of each metric by its attribute of `Metrics`."""
    specs: dict[str, InstrumentSpec] = {}
    for attribute, hint in get_type_hints(Metrics, include_extras=True).items():
        for extra in get_args(hint)[1:]:
            specs[attribute] = extra
    return specs


def create_metrics(name: str = "", zone: str = "", role: str = "") -> Metrics:
    """Make a daemon's instruments in a registry of their own."""
    registry = CollectorRegistry()
    # Scope information would add a label to every line of every daemon.
    reader = PrometheusMetricReader(registry=registry, scope_info_enabled=False)
    resource = Resource(
        {
            "service.name": "reedspar",
            "service.instance.id": name,
            "reedspar.zone": zone,
            "reedspar.role": role,
        }
    )
    provider = MeterProvider(
        [reader],
        resource=resource,
        exemplar_filter=AlwaysOffExemplarFilter(),
        shutdown_on_exit=False,
    )
    meter = provider.get_meter("reedspar")
    instruments: dict[str, Any] = {
        attribute: build_instrument(meter, spec)
        for attribute, spec in list_instruments().items()
    }
    return Metrics(registry, **instruments)
