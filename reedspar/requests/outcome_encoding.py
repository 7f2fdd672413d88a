"""HTTP encoding of outcomes: status codes, headers and the JSON of a refusal.

Status codes are those of RFC 9110, and 429 is from RFC 6585.  The table for
callers is in docs/requests.md.
"""

import json
import math
from collections.abc import Iterable

from reedspar.attempts import Header
from reedspar.errors import Failure, Reason, Step
from reedspar.utils import HOP_BY_HOP_HEADERS

from .request import Answer, Outcome

__all__ = [
    "OUTCOME_HEADER",
    "REQUEST_ID_HEADER",
    "WEIGHTS_HEADER",
    "encode_refusal",
    "make_headers",
    "make_not_run",
    "make_unknown",
    "status_of_failure",
]

OUTCOME_HEADER = "x-reedspar-outcome"
REQUEST_ID_HEADER = "x-request-id"
WEIGHTS_HEADER = "x-weights-digest"

DEFAULT_RETRY_AFTER_S = 1.0
OWN_HEADERS = frozenset({OUTCOME_HEADER, REQUEST_ID_HEADER, WEIGHTS_HEADER})

STATUS_BY_STEP_AND_REASON = {
    (Step.BOUND, Reason.OVERLOADED): 413,
    (Step.IDENTIFY, Reason.NOT_FOUND): 404,
    (Step.ADMIT, Reason.OVERLOADED): 429,
    (Step.RELAY, Reason.INVALID): 505,
    (Step.DEDUPLICATE, Reason.DUPLICATE): 409,
    (Step.DEDUPLICATE, Reason.EXPIRED): 410,
    (Step.DEDUPLICATE, Reason.CONFLICT): 422,
}
STATUS_BY_REASON = {Reason.INVALID: 400}
UNAVAILABLE_STATUS = 503
UNKNOWN_STATUS = 504
PERMANENT_STATUSES = frozenset({400, 404, 410, 413, 422, 505})


def make_not_run(failure: Failure) -> Answer:
    """Return the answer for a request that provably was not run."""
    return Answer(Outcome.NOT_RUN, failure=failure)


def make_unknown(failure: Failure) -> Answer:
    """Return the answer for a request that may have run."""
    return Answer(Outcome.UNKNOWN, failure=failure)


def status_of_failure(outcome: Outcome, failure: Failure) -> int:
    """Return the status code of an outcome without a target's answer."""
    by_step = STATUS_BY_STEP_AND_REASON.get((failure.step, failure.reason))
    if by_step is not None:
        return by_step
    if outcome is Outcome.UNKNOWN:
        return UNKNOWN_STATUS
    return STATUS_BY_REASON.get(failure.reason, UNAVAILABLE_STATUS)


def encode_refusal(
    outcome: Outcome, failure: Failure
) -> tuple[int, list[Header], bytes]:
    """Return status, headers and body for an outcome without a target's answer."""
    status = status_of_failure(outcome, failure)
    headers = [Header("content-type", "application/json")]
    may_retry = outcome is Outcome.NOT_RUN or failure.retry_after_s is not None
    if status not in PERMANENT_STATUSES and may_retry:
        after_s = failure.retry_after_s or DEFAULT_RETRY_AFTER_S
        headers.append(Header("retry-after", str(max(1, math.ceil(after_s)))))
    document = {
        "outcome": outcome.value,
        "reason": failure.reason.value,
        "step": failure.step.value,
        "peer": failure.peer,
        "detail": failure.detail,
        "retry_after_s": failure.retry_after_s,
    }
    return status, headers, json.dumps(document).encode()


def make_headers(
    outcome: Outcome,
    caller_request_id: str,
    weights_digest: str,
    headers: Iterable[Header],
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer in ASGI's format."""
    own = [Header(OUTCOME_HEADER, outcome.value)]
    own.append(Header(REQUEST_ID_HEADER, caller_request_id))
    if weights_digest:
        own.append(Header(WEIGHTS_HEADER, weights_digest))
    excluded = HOP_BY_HOP_HEADERS | OWN_HEADERS
    forwarded = [item for item in headers if item.name.lower() not in excluded]
    return [
        (item.name.lower().encode("latin-1"), item.value.encode("latin-1"))
        for item in [*forwarded, *own]
    ]
