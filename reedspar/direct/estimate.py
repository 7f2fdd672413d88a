"""Estimates of a model engine's time to the first event of one more request.

An engine prefills prompts one after the other while it decodes for all requests of its
batch.  The first event of a request therefore follows the prefill of the prompts before
it and of its own, once a slot of the batch is free.
"""

import math
from dataclasses import dataclass

from reedspar.routes import EngineParameters

__all__ = [
    "Calibration",
    "EngineLoad",
    "estimate_first_event_s",
    "estimate_service_s",
    "estimate_stream_pause_s",
]

NETWORK_DELAY_S = 0.02
"""Time for connecting and for a round trip between zones."""

CALIBRATION_WEIGHT = 0.05
"""Weight of one request in the calibration factor.

It averages over about 3 s at an entry with six requests a second."""
CALIBRATION_FACTOR_MIN = 0.7
CALIBRATION_FACTOR_MAX = 2.5
"""Bounds of the calibration factor.

Engines that switch weights or restart cold delay a few first events by many times the
estimate.  Without bounds, entries would then refuse requests for seconds although the
engines have capacity."""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Known load of an engine."""

    waiting_tokens: float
    """Prompt tokens of requests whose answers have not begun."""
    decoding: float
    """Requests whose answers have begun."""
    waiting: float
    """Requests whose answers have not begun."""
    slowdown_factor: float = 1.0
    """Ratio of the engine's current processing time to its usual one."""


def estimate_first_event_s(
    engine: EngineParameters, engine_load: EngineLoad, prompt_tokens: float
) -> float:
    """Return the estimated time to the first event of one more request."""
    tokens = engine_load.waiting_tokens + prompt_tokens
    prefill_s = _prefill_time_s(engine, tokens, prompt_tokens)
    passes = math.ceil(tokens / engine.prefill_tokens_per_pass) if tokens else 1
    decoding_s = 0.0
    if engine_load.decoding >= 1:
        decoding_s = passes * _decode_pass_time_s(engine, engine_load.decoding)
    slot_wait_s = _slot_wait_s(engine, engine_load)
    return NETWORK_DELAY_S + engine_load.slowdown_factor * (
        prefill_s + decoding_s + slot_wait_s
    )


def estimate_stream_pause_s(engine: EngineParameters, engine_load: EngineLoad) -> float:
    """Return the longest pause that queued prompts cause in running streams.

    In each of the steps between two events an engine prefills up to a fixed number of
    prompt tokens, so all queued prompts may be prefilled between two events.  The
    new request's own prompt is not counted; otherwise long prompts would be refused
    more often than others.
    """
    if engine_load.decoding < 1:
        return 0.0
    max_tokens = engine.steps_per_pass * engine.prefill_tokens_per_pass
    prefill_s = _prefill_time_s(engine, min(engine_load.waiting_tokens, max_tokens), 0)
    return engine_load.slowdown_factor * (
        prefill_s + _decode_pass_time_s(engine, engine_load.decoding)
    )


class Calibration:
    """Ratio of measured to estimated times to the first event.

    Each entry knows only its own requests, so the estimate misses requests that others
    have just sent.  The moving average of the ratio corrects this on average.
    """

    def __init__(self) -> None:
        self._factor = 1.0

    @property
    def factor(self) -> float:
        """Return the factor by which estimates are multiplied."""
        return self._factor

    def record(self, expected_s: float, actual_s: float) -> None:
        """Record the estimated and the measured time to a first event."""
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
    engine: EngineParameters, batch: float, answer_tokens: float = 0.0
) -> float:
    """Return how long a typical request stays in a batch of that size."""
    tokens = answer_tokens or engine.typical_answer_tokens
    step_s = engine.step_s + batch * engine.step_per_request_s
    decode_s = tokens * step_s
    prefill_s = _prefill_time_s(
        engine, engine.typical_prompt_tokens, engine.typical_prompt_tokens
    )
    # Each other request of the batch is replaced once during this time, and the
    # prefill of each replacement delays decoding.
    return decode_s + prefill_s * max(1.0, batch)


def _prefill_time_s(
    engine: EngineParameters, tokens: float, prompt_tokens: float
) -> float:
    token_pairs = prompt_tokens * prompt_tokens / 2
    return (
        tokens / engine.prefill_tokens_per_s + token_pairs * engine.attention_s_per_pair
    )


def _decode_pass_time_s(engine: EngineParameters, decoding: float) -> float:
    step_s = engine.step_s + decoding * engine.step_per_request_s
    return engine.steps_per_pass * step_s


def _slot_wait_s(engine: EngineParameters, engine_load: EngineLoad) -> float:
    """Return how long a request waits for a slot of the batch."""
    excess = engine_load.decoding + engine_load.waiting + 1 - engine.slots
    if excess <= 0:
        return 0.0
    return excess * estimate_service_s(engine, engine.slots) / engine.slots
