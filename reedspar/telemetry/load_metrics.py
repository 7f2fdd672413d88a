"""The metrics of decisions under load: admission, speeds, readers, pool state."""

from dataclasses import dataclass
from typing import Annotated

from .instruments import ObservableInstrument, observed_counter, observed_gauge

__all__ = ["LoadMetrics"]


@dataclass(frozen=True, slots=True)
class LoadMetrics:
    """The instruments of an entry's decisions under load."""

    admission_decisions: Annotated[
        ObservableInstrument,
        observed_counter(
            "admission.decisions",
            "{request}",
            "Requests on which admission decided, by outcome: admitted, refused.",
            "pool",
            "rank",
            "workspace",
            "outcome",
        ),
    ]
    admission_threshold: Annotated[
        ObservableInstrument,
        observed_gauge(
            "admission.threshold",
            "1",
            "Fraction of the requests of a rank that is admitted now.",
            "pool",
            "rank",
        ),
    ]
    admission_extrapolated: Annotated[
        ObservableInstrument,
        observed_gauge(
            "admission.extrapolated",
            "1",
            "1 while the demand of all entries is extrapolated from this entry's, 0 "
            "while it is news of the others.",
            "pool",
        ),
    ]
    held_bytes: Annotated[
        ObservableInstrument,
        observed_gauge(
            "requests.held",
            "By",
            "Bytes held for callers and targets that read slowly, by kind: answers "
            "(with the buffers of connections), bodies.",
            "kind",
        ),
    ]
    readers_given_up: Annotated[
        ObservableInstrument,
        observed_counter(
            "readers.given_up",
            "{reader}",
            "Callers given up because they took nothing of their answers, by the limit "
            "that they exceeded: idle, deadline.",
            "limit",
        ),
    ]
    memory_refusals: Annotated[
        ObservableInstrument,
        observed_counter(
            "requests.memory_refused",
            "{request}",
            "Requests refused for want of memory, by cause: entry_full (here), "
            "targets_full, too_large (for any target).",
            "cause",
        ),
    ]
    retries: Annotated[
        ObservableInstrument,
        observed_counter(
            "retries",
            "{retry}",
            "Retries by outcome: made, refused (the retry budget was used up).",
            "pool",
            "outcome",
        ),
    ]
    retries_left: Annotated[
        ObservableInstrument,
        observed_gauge(
            "retries.left",
            "{retry}",
            "Retries that the budget allows now.",
            "pool",
        ),
    ]
    retries_held: Annotated[
        ObservableInstrument,
        observed_gauge(
            "retries.held",
            "{retry}",
            "Retries that may still arrive at a target.",
            "pool",
        ),
    ]
    retries_settled: Annotated[
        ObservableInstrument,
        observed_counter(
            "retries.settled",
            "{retry}",
            "Retries that can't arrive any more, by why: answered, unsent, overtaken, "
            "expired, closed.",
            "pool",
            "settlement",
        ),
    ]
    retry_entries: Annotated[
        ObservableInstrument,
        observed_gauge(
            "retries.entries",
            "{entry}",
            "Entries among which the slack of retries is divided; 0: not known yet.",
        ),
    ]
    endless_answers: Annotated[
        ObservableInstrument,
        observed_counter(
            "answers.endless",
            "{answer}",
            "Answers of targets that were cut, as they went on without an event.",
            "pool",
        ),
    ]
    entry_pressure: Annotated[
        ObservableInstrument,
        observed_gauge(
            "entry.pressure",
            "{share}",
            "Use of this entry's resources by their limits, by resource: processor, "
            "memory, descriptors, requests.",
            "resource",
        ),
    ]
    selected_entries: Annotated[
        ObservableInstrument,
        observed_counter(
            "directory.addresses",
            "{address}",
            "Addresses of entries that callers were told otherwise than by zone, by "
            "change: left_out (short of a resource), joined (of other zones).",
            "change",
        ),
    ]
    target_slowdown: Annotated[
        ObservableInstrument,
        observed_gauge(
            "targets.slowdown",
            "1",
            "Estimated duration of work relative to the usual one, mean of the "
            "targets of a pool that tells its speed.",
            "pool",
        ),
    ]
    slow_targets: Annotated[
        ObservableInstrument,
        observed_gauge(
            "targets.slow",
            "{target}",
            "Targets whose estimated slowdown is 1.5 or more.",
            "pool",
        ),
    ]
    speed_age: Annotated[
        ObservableInstrument,
        observed_gauge(
            "targets.speed_age",
            "s",
            "Median age of the newest figures of speed, of targets that told one.",
            "pool",
        ),
    ]
    speed_figures: Annotated[
        ObservableInstrument,
        observed_counter(
            "targets.speed_figures",
            "{figure}",
            "Figures of speed, by source: answer, agent, peer, measured.",
            "source",
        ),
    ]
    speed_news: Annotated[
        ObservableInstrument,
        observed_counter(
            "targets.speed_news",
            "{figure}",
            "Figures of speed between entries, by direction: sent (once for each "
            "peer), received, stale (received too old), left_out (not sent, for the "
            "limit).",
            "direction",
        ),
    ]
    moved_requests: Annotated[
        ObservableInstrument,
        observed_counter(
            "requests.moved",
            "{request}",
            "Attempts whose target was chosen because another one is slow.",
            "pool",
        ),
    ]
    pool_state_messages: Annotated[
        ObservableInstrument,
        observed_counter(
            "pool_state.messages",
            "{message}",
            "Messages of the exchange of pool state that were sent, by kind.",
            "kind",
        ),
    ]
    pool_state_sent: Annotated[
        ObservableInstrument,
        observed_counter(
            "pool_state.sent",
            "By",
            "Approximate bytes of these messages, by kind.",
            "kind",
        ),
    ]
    pool_state_age: Annotated[
        ObservableInstrument,
        observed_gauge(
            "pool_state.age",
            "s",
            "Age of the oldest part of the known demands, 0 without any.",
        ),
    ]
    pool_state_entries: Annotated[
        ObservableInstrument,
        observed_gauge(
            "pool_state.entries",
            "{entry}",
            "Entries whose demands are in the sums that this entry uses.",
        ),
    ]
    pool_state_collecting: Annotated[
        ObservableInstrument,
        observed_gauge(
            "pool_state.collecting",
            "1",
            "Whether this entry is a collector of its region.",
        ),
    ]
