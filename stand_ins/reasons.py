"""Why calls were not answered, counted."""

import json
from collections import Counter
from collections.abc import Iterable

from .caller import Call, Ending

__all__ = ["describe_reasons"]

SHOWN_MAX = 12


def describe_reasons(calls: Iterable[Call]) -> list[str]:
    """Return the reasons of what was not answered, the most frequent first."""
    reasons = Counter(
        f"{call.kind.value} {call.ending.value}: {read_reason(call)}"
        for call in calls
        if call.ending is not Ending.ANSWERED
    )
    return [f"{count} x {reason}" for reason, count in reasons.most_common(SHOWN_MAX)]


def read_reason(call: Call) -> str:
    """Return step, reason and detail of a refusal."""
    try:
        refusal = json.loads(call.detail)
    except ValueError:
        return call.detail
    return f"{refusal['step']} {refusal['reason']} {refusal['detail']}"
