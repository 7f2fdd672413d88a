"""Decision: how soon a model engine would begin to answer one more request.

An engine reads prompts one after the other and writes for all requests of its
batch meanwhile, so the first event of a request comes once the prompts before
it and its own are read, and a place in the batch is free.
"""

import math
from dataclasses import dataclass

from reedspar.routes import EngineParameters

__all__ = [
    "Calibration",
    "EngineWork",
    "estimate_first_event_s",
    "estimate_pause_s",
    "estimate_service_s",
]

NETWORK_S = 0.02
"""Connecting and two ways between zones."""

FACTOR_WEIGHT = 0.05
"""Weight of one request in the calibration: about three seconds' worth of an entry's
requests at six a second."""
FACTOR_MIN = 0.7
FACTOR_MAX = 2.5
"""Bounds of the calibration.

Engines that switch their weights, or come back cold, hold up a few first events by many
times the estimate.  Unbounded, entries would refuse for seconds what engines bear."""


@dataclass(frozen=True, slots=True)
class EngineWork:
    """What an engine has before it, as far as is known."""

    waiting_tokens: float
    """Prompt tokens of requests that have not begun to answer."""
    writing: float
    """Requests that have begun to answer."""
    waiting: float
    """Requests that have not begun to answer."""
    pace: float = 1.0
    """How many times as long as usual the engine takes."""


def estimate_first_event_s(
    terms: EngineParameters, work: EngineWork, prompt_tokens: float
) -> float:
    """Return the time until one more request would get its first event."""
    tokens = work.waiting_tokens + prompt_tokens
    reading_s = _read_time_s(terms, tokens, prompt_tokens)
    passes = math.ceil(tokens / terms.prefill_tokens_per_pass) if tokens else 1
    writing_s = 0.0
    if work.writing >= 1:
        writing_s = passes * _pass_time_s(terms, work.writing)
    place_s = _place_wait_s(terms, work)
    return NETWORK_S + work.pace * (reading_s + writing_s + place_s)


def estimate_pause_s(terms: EngineParameters, work: EngineWork) -> float:
    """Return the longest pause that waiting prompts make in the streams beside them.

    An engine reads up to a fixed number of prompt tokens in each of the steps between
    two events, so all that waits may be read between two events of a stream.  A
    request's own prompt is not counted: large ones would be refused most.
    """
    if work.writing < 1:
        return 0.0
    most_tokens = terms.steps_per_pass * terms.prefill_tokens_per_pass
    reading_s = _read_time_s(terms, min(work.waiting_tokens, most_tokens), 0)
    return work.pace * (reading_s + _pass_time_s(terms, work.writing))


class Calibration:
    """How much longer first events take than the estimate says.

    Each entry knows its own requests alone, so the estimate misses what others have
    just sent.  Corrected by what came true, it is right on average again.
    """

    def __init__(self) -> None:
        self._factor = 1.0

    @property
    def factor(self) -> float:
        """Return what estimates are to be multiplied by."""
        return self._factor

    def note(self, expected_s: float, actual_s: float) -> None:
        """Take in how long a first event took."""
        if expected_s <= 0:
            return
        ratio = min(max(actual_s / expected_s, FACTOR_MIN), FACTOR_MAX)
        self._factor += FACTOR_WEIGHT * (ratio - self._factor)
        self._factor = min(max(self._factor, FACTOR_MIN), FACTOR_MAX)


def estimate_service_s(
    terms: EngineParameters, batch: float, answer_tokens: float = 0.0
) -> float:
    """Return how long a usual request stays in a batch of that size."""
    tokens = answer_tokens or terms.typical_answer_tokens
    step_s = terms.step_s + batch * terms.step_per_request_s
    own_s = tokens * step_s
    prompt_s = _read_time_s(
        terms, terms.typical_prompt_tokens, terms.typical_prompt_tokens
    )
    # While it writes, the prompts of those that take its neighbours' places
    # are read: each neighbour is replaced once in the time of one request.
    return own_s + prompt_s * max(1.0, batch)


def _read_time_s(terms: EngineParameters, tokens: float, own_tokens: float) -> float:
    pairs = own_tokens * own_tokens / 2
    return tokens / terms.prefill_tokens_per_s + pairs * terms.attention_s_per_pair


def _pass_time_s(terms: EngineParameters, writing: float) -> float:
    step_s = terms.step_s + writing * terms.step_per_request_s
    return terms.steps_per_pass * step_s


def _place_wait_s(terms: EngineParameters, work: EngineWork) -> float:
    """Return how long a request waits for a place in the batch."""
    excess = work.writing + work.waiting + 1 - terms.slots
    if excess <= 0:
        return 0.0
    return excess * estimate_service_s(terms, terms.slots) / terms.slots
