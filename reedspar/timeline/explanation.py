"""Reconstruction of one request from the logs of all processes.

An explanation contains the lines that name the request, and the state that the
processes last logged before it ended.  Clocks differ between processes, so lines of
other processes are accepted up to `CLOCK_SKEW_MAX_S` after the end.  Their times are
not adjusted.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from .filters import EventFilter
from .log_lines import LogLine

__all__ = ["RequestExplanation", "count_unlogged_requests", "explain_request"]

STATE_LOOKBACK_S = 15.0
"""Search range for logged state before the request started.

It exceeds the time that a new version may take to arrive.
"""
CLOCK_SKEW_MAX_S = 2.0
"""Assumed bound on the difference between the clocks of two processes."""
PROCESS_STATE_MESSAGES = frozenset(
    {
        "admission threshold changed",
        "collectors of pool state changed",
        "heard from a peer",
        "history of the store is gone; listing again",
        "ready",
        "routes in force",
        "settings reloaded",
        "started",
        "stopping",
        "store lost",
        "store regained",
        "weights named",
        "zone",
    }
)
"""Messages with which a process logs a change of its state."""
TARGET_STATE_MESSAGES = frozenset(
    {"speed of a target changed", "target changed", "target crashed", "target gone"}
)
WEIGHT_STATE_MESSAGES = frozenset(
    {
        "engine lost",
        "engine regained",
        "load ended",
        "load ordered",
        "manifest was not read",
        "weights on their way",
        "weights staged",
        "weights wanted",
    }
)
"""Messages of agents, relevant to requests for a model."""
HINTS_BY_REASON = {
    "crashed": "Its targets crashed during the request: see `target crashed`.",
    "draining": "The entry was shutting down: see `stopping` in its log.",
    "no_target": "The last `target changed` of each target shows which targets were "
    "known and which versions they held; `weights named` and later messages of agents "
    "show whether a version was being distributed.",
    "not_found": "Compare `routes in force` with the operator's configuration.",
    "not_ready": "The entry had not received the routes yet: see its next `ready`.",
    "outcome_unknown": "The exchange with the last target was interrupted.  Only the "
    "target's own records show whether it ran the request.",
    "overloaded": "The targets that may serve the request had too much queued.  If "
    "admission refused it, `admission threshold changed` shows what was offered and "
    "what targets could bear; else the failure states when the first answer was "
    "expected.",
    "quarantined": "Requests of this kind crashed targets: see `target crashed`.",
    "stale": "This entry's information from the store was outdated: see `store lost`.",
    "superseded": "While the entry connected to the target, the target left, its zone "
    "was taken out, or its version was too old: see `target changed`, `zone` and "
    "`weights named`.",
    "timeout": "No complete answer arrived within the time limit.  See the target's "
    "last state, and whether it restarted.",
    "unauthenticated": "Compare the time of `routes in force` with when the key was "
    "issued.",
}
"""Advice on which log lines to read, by the reason of the last failure."""


@dataclass(frozen=True, slots=True)
class RequestExplanation:
    """A request's log lines, the state around it, and a summary.

    The field names are keys in the JSON output of ``reedspar explain``.
    """

    own: tuple[LogLine, ...]
    """The lines that name the request, in time order."""
    known: tuple[LogLine, ...]
    """The last relevant line per process, message and target before the end."""
    conclusion: str


def explain_request(
    lines: Sequence[LogLine], request_id: str
) -> RequestExplanation | None:
    """Return the explanation of a request, by its caller's id or the system's.

    None if no line names the request.
    """
    ids = {request_id} | _find_system_ids(lines, request_id)
    own = sorted(
        (line for line in lines if _request_id(line) in ids),
        key=lambda line: line.time_s,
    )
    if not own:
        return None
    return RequestExplanation(
        tuple(own), tuple(_find_known(lines, own)), _describe_outcome(own[-1])
    )


def count_unlogged_requests(lines: Iterable[LogLine]) -> int:
    """Return the sum of the counts that summary lines give of unlogged requests."""
    counts = (line.fields.get("left_out") for line in lines)
    return sum(count for count in counts if isinstance(count, int))


def _request_id(line: LogLine) -> str:
    if (event := line.event) is not None:
        return event.request_id
    return str(line.fields.get("request_id", ""))


def _find_system_ids(lines: Iterable[LogLine], request_id: str) -> set[str]:
    """Return the system's ids of the requests that `request_id` identifies."""
    events = [event for line in lines if (event := line.event) is not None]
    chosen = EventFilter(request_id=request_id).select(events)
    return {event.request_id for event in chosen}


def _find_known(lines: Sequence[LogLine], own: Sequence[LogLine]) -> list[LogLine]:
    """Return the last lines on state that is relevant to the request, in time order."""
    processes = {line.process for line in own}
    targets = {str(t) for line in own for t in line.fields.get("targets", ())}
    pools = {str(line.fields.get("pool", "")) for line in own} - {""}
    has_model = any(line.fields.get("model") for line in own)
    end_s = own[-1].time_s
    begin_s = own[0].time_s - _elapsed_s(own[0]) - STATE_LOOKBACK_S
    last: dict[tuple[str, str, str], LogLine] = {}
    for line in lines:
        is_own_process = line.process in processes
        clock_skew_s = 0.0 if is_own_process else CLOCK_SKEW_MAX_S
        if not begin_s <= line.time_s <= end_s + clock_skew_s:
            continue
        subject = ""
        if line.message in TARGET_STATE_MESSAGES and is_own_process:
            target = _parse_target(line)
            subject = target[0]
            is_relevant = subject in targets or (not targets and target[1] in pools)
        elif line.message in WEIGHT_STATE_MESSAGES:
            is_relevant = has_model
        else:
            is_relevant = line.message in PROCESS_STATE_MESSAGES and is_own_process
        key = (line.process, line.message, subject)
        if is_relevant and (key not in last or last[key].time_s <= line.time_s):
            last[key] = line
    return sorted(last.values(), key=lambda line: line.time_s)


def _parse_target(line: LogLine) -> tuple[str, str]:
    """Return the id and the pool of the target that a line concerns."""
    target: Any = line.fields.get("target", "")
    if isinstance(target, dict):
        return str(target.get("id", "")), str(target.get("pool", ""))
    return str(target), ""


def _elapsed_s(line: LogLine) -> float:
    elapsed_ms = line.fields.get("elapsed_ms", 0)
    return elapsed_ms / 1000 if isinstance(elapsed_ms, int | float) else 0.0


def _describe_outcome(ending: LogLine) -> str:
    """Return how the request ended, and advice on which log lines to read."""
    targets = ending.fields.get("targets")
    words = [f"{ending.process}: {ending.message}."]
    if targets == []:
        words.append("It was handed to no target, so it has not run.")
    elif isinstance(targets, list):
        words.append(f"It was handed to {', '.join(map(str, targets))}, in this order.")
    failure = ending.fields.get("failure")
    if failure:
        words.append(f"{failure}.")
    hint = HINTS_BY_REASON.get(ending.message.rpartition(" ")[2])
    if hint:
        words.append(hint)
    return " ".join(words)
