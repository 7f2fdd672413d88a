"""Decision: how soon a model engine would begin to answer one more request.

An engine reads prompts one after the other and writes for all requests of its
batch meanwhile, so the first event of a request comes once the prompts before
it and its own are read, and a place in the batch is free.
"""

import math
from dataclasses import dataclass

from reedspar.routes import EngineTerms

__all__ = [
    "Calibration",
    "EngineLoad",
    "estimate_first_event_s",
    "estimate_service_s",
    "estimate_stream_pause_s",
]

NETWORK_DELAY_S = 0.02
"""Connecting and two ways between zones."""

CALIBRATION_WEIGHT = 0.05
"""Weight of one request in the calibration: about three seconds' worth of an entry's
requests at six a second."""
CALIBRATION_FACTOR_MIN = 0.7
CALIBRATION_FACTOR_MAX = 2.5
"""Bounds of the calibration.

Engines that switch their weights, or come back cold, hold up a few first events by many
times the estimate.  Unbounded, entries would refuse for seconds what engines bear."""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an engine has before it, as far as is known."""

    waiting_tokens: float
    """Prompt tokens of requests that have not begun to answer."""
    decoding: float
    """Requests that have begun to answer."""
    waiting: float
    """Requests that have not begun to answer."""
    pace: float = 1.0
    """How many times as long as usual the engine takes."""


def estimate_first_event_s(
    terms: EngineTerms, engine_load: EngineLoad, prompt_tokens: float
) -> float:
    """Return the time until one more request would get its first event."""
    tokens = engine_load.waiting_tokens + prompt_tokens
    prefill_s = _prefill_time_s(terms, tokens, prompt_tokens)
    passes = math.ceil(tokens / terms.read_tokens_per_pass) if tokens else 1
    decoding_s = 0.0
    if engine_load.decoding >= 1:
        decoding_s = passes * _decode_pass_time_s(terms, engine_load.decoding)
    slot_wait_s = _slot_wait_s(terms, engine_load)
    return NETWORK_DELAY_S + engine_load.pace * (prefill_s + decoding_s + slot_wait_s)


def estimate_stream_pause_s(terms: EngineTerms, engine_load: EngineLoad) -> float:
    """Return the longest pause that waiting prompts make in the streams beside them.

    An engine reads up to a fixed number of prompt tokens in each of the steps between
    two events, so all that waits may be read between two events of a stream.  A
    request's own prompt is not counted: large ones would be refused most.
    """
    if engine_load.decoding < 1:
        return 0.0
    max_tokens = terms.steps_per_pass * terms.read_tokens_per_pass
    prefill_s = _prefill_time_s(terms, min(engine_load.waiting_tokens, max_tokens), 0)
    return engine_load.pace * (
        prefill_s + _decode_pass_time_s(terms, engine_load.decoding)
    )


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

    def record(self, expected_s: float, actual_s: float) -> None:
        """Take in how long a first event took."""
        if expected_s <= 0:
            return
        ratio = min(
            max(actual_s / expected_s, CALIBRATION_FACTOR_MIN), CALIBRATION_FACTOR_MAX
        )
        self._factor += CALIBRATION_WEIGHT * (ratio - self._factor)
        self._factor = min(
            max(self._factor, CALIBRATION_FACTOR_MIN), CALIBRATION_FACTOR_MAX
        )


def estimate_service_s(
    terms: EngineTerms, batch: float, answer_tokens: float = 0.0
) -> float:
    """Return how long a usual request stays in a batch of that size."""
    tokens = answer_tokens or terms.usual_answer_tokens
    step_s = terms.step_s + batch * terms.step_per_request_s
    decode_s = tokens * step_s
    prefill_s = _prefill_time_s(
        terms, terms.usual_prompt_tokens, terms.usual_prompt_tokens
    )
    # While it writes, the prompts of those that take its neighbours' places
    # are read: each neighbour is replaced once in the time of one request.
    return decode_s + prefill_s * max(1.0, batch)


def _prefill_time_s(terms: EngineTerms, tokens: float, prompt_tokens: float) -> float:
    token_pairs = prompt_tokens * prompt_tokens / 2
    return tokens / terms.read_tokens_per_s + token_pairs * terms.pair_s


def _decode_pass_time_s(terms: EngineTerms, decoding: float) -> float:
    step_s = terms.step_s + decoding * terms.step_per_request_s
    return terms.steps_per_pass * step_s


def _slot_wait_s(terms: EngineTerms, engine_load: EngineLoad) -> float:
    """Return how long a request waits for a place in the batch."""
    excess = engine_load.decoding + engine_load.waiting + 1 - terms.slots
    if excess <= 0:
        return 0.0
    return excess * estimate_service_s(terms, terms.slots) / terms.slots
