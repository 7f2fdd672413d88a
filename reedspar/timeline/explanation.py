"""What the logs of all processes tell of one request, and what was known then.

Clocks of processes differ.  The lines of one process are in its own order; those of
others are taken from a little before and after, and shown with their own times.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from .filters import EventFilter
from .log_lines import LogLine

__all__ = ["RequestExplanation", "count_unlogged_requests", "explain_request"]

BEFORE_S = 15.0
"""How far back to look for what a process believed: longer than a version may take."""
CLOCKS_DIFFER_S = 2.0
"""How far the clocks of two processes are taken to differ."""
OWN_STATE = frozenset(
    {
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
"""Messages by which a process tells what it believes from then on."""
TARGET_STATE = frozenset({"target changed", "target crashed", "target gone"})
WEIGHT_STATE = frozenset(
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
"""Messages of agents; they matter to requests that ask for a model."""
HINTS = {
    "crashed": "Its targets crashed under it: look for `target crashed`.",
    "draining": "The entry was stopping: look for `stopping` at it.",
    "no_target": "Which targets were there, and what they held, is told by the last "
    "`target changed` of each; `weights named` and what agents tell after it show "
    "whether a version was on its way.",
    "not_found": "Compare `routes in force` with the operator's configuration.",
    "not_ready": "The entry did not know the routes yet: look for `ready` after it.",
    "outcome_unknown": "The last target broke off.  Only its own records tell whether "
    "it ran the request.",
    "overloaded": "Every target that may serve had too much before it; the failure "
    "tells when the first answer would have come.",
    "quarantined": "Requests of this kind crashed targets: look for `target crashed`.",
    "stale": "News of the store was late at this entry: look for `store lost`.",
    "superseded": "While it connected, its target left, or its zone was taken out, or "
    "the version there was too old: see `target changed`, `zone` and `weights named`.",
    "timeout": "No whole answer came in the time that it had.  Look for the target's "
    "last state, and whether it started anew.",
    "unauthenticated": "Compare `routes in force` with the time the key was given.",
}
"""Where to read on, by the reason of the last failure."""


@dataclass(frozen=True, slots=True)
class RequestExplanation:
    """One request."""

    own: tuple[LogLine, ...]
    """The lines that name it, in time order."""
    known: tuple[LogLine, ...]
    """The last word of each process on each matter before it ended, in time order."""
    conclusion: str


def explain_request(
    lines: Sequence[LogLine], request_id: str
) -> RequestExplanation | None:
    """Return what the lines tell of a request, by its caller's id or the system's."""
    ids = {request_id} | _find_own_ids(lines, request_id)
    own = sorted((i for i in lines if _request_of(i) in ids), key=lambda i: i.time_s)
    if not own:
        return None
    return RequestExplanation(
        tuple(own), tuple(_find_known(lines, own)), _conclude(own[-1])
    )


def count_unlogged_requests(lines: Iterable[LogLine]) -> int:
    """Return how many requests ended without a line of their own, by the summaries."""
    counts = (line.fields.get("left_out") for line in lines)
    return sum(count for count in counts if isinstance(count, int))


def _request_of(line: LogLine) -> str:
    if (event := line.event) is not None:
        return event.request_id
    return str(line.fields.get("request_id", ""))


def _find_own_ids(lines: Iterable[LogLine], request_id: str) -> set[str]:
    """Return the system's ids of the requests that bear a caller's id."""
    events = [event for line in lines if (event := line.event) is not None]
    chosen = EventFilter(request_id=request_id).select(events)
    return {event.request_id for event in chosen}


def _find_known(lines: Sequence[LogLine], own: Sequence[LogLine]) -> list[LogLine]:
    processes = {line.process for line in own}
    targets = {str(t) for line in own for t in line.fields.get("targets", ())}
    pools = {str(line.fields.get("pool", "")) for line in own} - {""}
    has_model = any(line.fields.get("model") for line in own)
    end_s = own[-1].time_s
    begin_s = own[0].time_s - _elapsed_s(own[0]) - BEFORE_S
    last: dict[tuple[str, str, str], LogLine] = {}
    for line in lines:
        is_own_process = line.process in processes
        late_s = 0.0 if is_own_process else CLOCKS_DIFFER_S
        if not begin_s <= line.time_s <= end_s + late_s:
            continue
        subject = ""
        if line.message in TARGET_STATE and is_own_process:
            target = _target_of(line)
            subject = target[0]
            is_wanted = subject in targets or (not targets and target[1] in pools)
        elif line.message in WEIGHT_STATE:
            is_wanted = has_model
        else:
            is_wanted = line.message in OWN_STATE and is_own_process
        key = (line.process, line.message, subject)
        if is_wanted and (key not in last or last[key].time_s <= line.time_s):
            last[key] = line
    return sorted(last.values(), key=lambda line: line.time_s)


def _target_of(line: LogLine) -> tuple[str, str]:
    """Return the id and the pool of the target that a line is about."""
    target: Any = line.fields.get("target", "")
    if isinstance(target, dict):
        return str(target.get("id", "")), str(target.get("pool", ""))
    return str(target), ""


def _elapsed_s(line: LogLine) -> float:
    elapsed_ms = line.fields.get("elapsed_ms", 0)
    return elapsed_ms / 1000 if isinstance(elapsed_ms, int | float) else 0.0


def _conclude(ending: LogLine) -> str:
    """Return in plain words how the request ended, and where to read on."""
    targets = ending.fields.get("targets")
    words = [f"{ending.process}: {ending.message}."]
    if targets == []:
        words.append("It was handed to no target, so it has not run.")
    elif isinstance(targets, list):
        words.append(f"It was handed to {', '.join(map(str, targets))}, in this order.")
    failure = ending.fields.get("failure")
    if failure:
        words.append(f"{failure}.")
    hint = HINTS.get(ending.message.rpartition(" ")[2])
    if hint:
        words.append(hint)
    return " ".join(words)
