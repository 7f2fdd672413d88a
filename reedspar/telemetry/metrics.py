"""The metrics of a daemon, and their output in the Prometheus text format.

Attribute values come from closed sets (reasons, outcomes, pools and zones of the
configuration), never from callers' input: each new value takes memory for the lifetime
of the process.
"""

from dataclasses import dataclass
from typing import Annotated, Any, get_args, get_type_hints

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest

from .instruments import (
    InstrumentSpec,
    ObservableInstrument,
    build_instrument,
    counter,
    histogram,
    observed_counter,
    observed_gauge,
)
from .load_metrics import LoadMetrics

__all__ = ["Metrics", "create_metrics", "list_instruments"]


@dataclass(frozen=True, slots=True)
class Metrics(LoadMetrics):
    """The instruments of one daemon."""

    registry: CollectorRegistry
    requests: Annotated[
        Counter,
        counter(
            "requests",
            "{request}",
            "Requests of callers that ended, by outcome: answered, not-run, unknown.",
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
            "Time from a request to the head of its answer.",
            "pool",
        ),
    ]
    refusals: Annotated[
        Counter,
        counter(
            "refusals",
            "{request}",
            "Requests that were not run or are unknown, by reason and step.",
            "reason",
            "step",
        ),
    ]
    in_flight: Annotated[
        ObservableInstrument,
        observed_gauge(
            "in_flight", "{request}", "Requests of callers in progress in this process."
        ),
    ]
    connections_ended: Annotated[
        ObservableInstrument,
        observed_counter(
            "connections.ended",
            "{connection}",
            "Connections to this process that ended, by cause (peer, last-answer, "
            "idle-timeout, shutdown, crowded, error) and by what had arrived (fresh: "
            "nothing, idle: nothing unanswered, receiving: a part of a request, "
            "answering: a whole one, crossed: something after the last answer).",
            "end",
            "request",
        ),
    ]
    answers_cut: Annotated[
        ObservableInstrument,
        observed_counter(
            "answers.cut",
            "{answer}",
            "Answers that were begun and not ended, or that the end of a drain took, "
            "by the reason of the failure.",
            "reason",
        ),
    ]
    attempts: Annotated[
        Counter,
        counter(
            "attempts",
            "{attempt}",
            "Attempts that ended, by outcome: complete, not_run, broken, refused.",
            "outcome",
        ),
    ]
    attempt_faults: Annotated[
        ObservableInstrument,
        observed_counter(
            "attempts.faults",
            "{fault}",
            "What went wrong on the way: dropped (messages that no open attempt "
            "matched), gaps, resumed, corrupt, silent, lost.",
            "fault",
        ),
    ]
    relayed_bytes: Annotated[
        ObservableInstrument,
        observed_counter("relayed", "By", "Bytes of answers passed on."),
    ]
    messages: Annotated[
        ObservableInstrument,
        observed_counter(
            "messages",
            "{message}",
            "Messages between daemons, by kind and direction.",
            "kind",
            "direction",
        ),
    ]
    unreadable_frames: Annotated[
        ObservableInstrument,
        observed_counter(
            "frames.unreadable", "{frame}", "Frames that could not be read."
        ),
    ]
    link_bytes: Annotated[
        ObservableInstrument,
        observed_counter(
            "links.traffic",
            "By",
            "Bytes between daemons, by direction.",
            "direction",
        ),
    ]
    links_up: Annotated[
        ObservableInstrument,
        observed_gauge("links.up", "{link}", "Links to other daemons that are open."),
    ]
    link_changes: Annotated[
        Counter,
        counter(
            "links.changes",
            "{change}",
            "Links that came up, were replaced for silence, or went down.",
            "change",
        ),
    ]
    config_version: Annotated[
        ObservableInstrument,
        observed_gauge(
            "config.version",
            "{version}",
            "Number of the configuration in force here.",
        ),
    ]
    freshness_age: Annotated[
        ObservableInstrument,
        observed_gauge(
            "config.freshness_age",
            "s",
            "Time since the configuration was confirmed.",
        ),
    ]
    chunk_bytes: Annotated[
        ObservableInstrument,
        observed_counter(
            "chunks.received",
            "By",
            "Bytes of chunks received, by source: origin, region (another region), "
            "zone (another zone of this region), local (this zone).",
            "source",
        ),
    ]
    chunk_bytes_sent: Annotated[
        ObservableInstrument,
        observed_counter("chunks.sent", "By", "Bytes of chunks sent to other daemons."),
    ]
    staged_bytes: Annotated[
        ObservableInstrument,
        observed_counter(
            "chunks.staged",
            "By",
            "Bytes of checked chunks handed to the engine.",
        ),
    ]
    corrupt_draws: Annotated[
        Counter,
        counter(
            "chunks.corrupt",
            "{chunk}",
            "Reads of the origin that came damaged or short.",
        ),
    ]
    loads: Annotated[
        Counter,
        counter(
            "weights.loads",
            "{order}",
            "Orders to load that ended, by outcome: ok or the reason.",
            "outcome",
        ),
    ]
    offers: Annotated[
        Counter,
        counter(
            "weights.offers",
            "{change}",
            "Versions offered (offered) and taken back (withdrawn).",
            "model",
            "change",
        ),
    ]
    replaced_begun: Annotated[
        ObservableInstrument,
        observed_counter(
            "weights.replaced_begun",
            "{request}",
            "Requests that began on replaced weights, by when: in_time, near (the last "
            "second before the bound), past.",
            "when",
        ),
    ]
    removals_deferred: Annotated[
        ObservableInstrument,
        observed_counter(
            "fleet.removals_deferred",
            "{removal}",
            "Removals of entries that were deferred after an outage of the store, by "
            "outcome: confirmed (by a peer), expired, rewritten.",
            "outcome",
        ),
    ]
    watch_audit_age: Annotated[
        ObservableInstrument,
        observed_gauge(
            "fleet.watch_audit_age",
            "s",
            "Time since an audit has confirmed that no watch of the store was lost.",
        ),
    ]
    watches_lost: Annotated[
        ObservableInstrument,
        observed_counter(
            "fleet.watches_lost",
            "{watch}",
            "Watches of the store that had missed a change and were replaced.",
            "prefix",
        ),
    ]
    rate_limits: Annotated[
        ObservableInstrument,
        observed_counter(
            "targets.rate_limits",
            "{change}",
            "Rate limits of targets that this entry learned of, by change: named, "
            "ended.",
            "change",
        ),
    ]
    notices: Annotated[
        ObservableInstrument,
        observed_counter(
            "targets.notices",
            "{notice}",
            "Announcements in answers of targets, by notice: leaving (once for each "
            "run of a target), pause (each answer that asks for one).",
            "notice",
        ),
    ]
    gate_limit: Annotated[
        ObservableInstrument,
        observed_gauge(
            "gate.limit",
            "{request}",
            "Requests that the agent lets to its target at once.",
        ),
    ]
    gate_queued: Annotated[
        ObservableInstrument,
        observed_gauge("gate.queued", "{request}", "Requests that wait at the agent."),
    ]
    key_value_calls: Annotated[
        Counter,
        counter(
            "key_value.calls",
            "{call}",
            "Calls of the key-value service, by operation and outcome "
            "(ok or the reason).",
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
            "invariant.violations",
            "{violation}",
            "Broken invariants, by name.",
            "name",
        ),
    ]
    unexpected_errors: Annotated[
        ObservableInstrument,
        observed_counter(
            "errors.unexpected",
            "{error}",
            "Errors that no code was written for, by the task that they ended.",
            "task",
        ),
    ]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def list_instruments() -> dict[str, InstrumentSpec]:
    """Return the declaration of each metric by its attribute name in `Metrics`."""
    specs: dict[str, InstrumentSpec] = {}
    for attribute, hint in get_type_hints(Metrics, include_extras=True).items():
        for extra in get_args(hint)[1:]:
            specs[attribute] = extra
    return specs


def create_metrics(name: str = "", zone: str = "", role: str = "") -> Metrics:
    """Create the instruments of a daemon in a new registry."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    # Scope information would add a label to every line.
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
    return Metrics(registry=registry, **instruments)
