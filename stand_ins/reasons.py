"""Summary of the reasons why calls were not answered."""

import json
from collections import Counter
from collections.abc import Iterable

from .caller import Call, Ending

__all__ = ["describe_reasons"]

REASONS_SHOWN_MAX = 12


def describe_reasons(calls: Iterable[Call]) -> list[str]:
    """Return counted reasons of unanswered calls, the most frequent first."""
    reasons = Counter(
        f"{call.kind.value} {call.ending.value}: {format_reason(call)}"
        for call in calls
        if call.ending is not Ending.ANSWERED
    )
    return [
        f"{count} x {reason}"
        for reason, count in reasons.most_common(REASONS_SHOWN_MAX)
    ]


def format_reason(call: Call) -> str:
    """Return step, reason and detail of a refusal, or the detail of another error."""
    try:
        refusal = json.loads(call.detail)
    except ValueError:
        return call.detail
    return f"{refusal['step']} {refusal['reason']} {refusal['detail']}"
