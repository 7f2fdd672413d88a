"""What a request costs, in seconds of a target's time."""

from reedspar.routes import EngineParameters

__all__ = ["request_work_s"]

ANSWER_TOKENS_MAX_FACTOR = 4.0
"""Largest expected answer, by the engine's typical one.

A limit that a caller sets far above what it needs would otherwise cost its workspace
all of its share."""


def request_work_s(
    engine: EngineParameters, prompt_tokens: int, answer_tokens: int = 0
) -> float:
    """Return the work of a request; `answer_tokens` is 0 if nothing is known of it.

    An engine prefills one prompt at a time, and decodes for as many requests at once
    as it has slots.  All slots are in use when the work of a second's requests is a
    second.
    """
    expected_tokens = min(
        answer_tokens or engine.typical_answer_tokens,
        ANSWER_TOKENS_MAX_FACTOR * engine.typical_answer_tokens,
    )
    step_s = engine.step_s + engine.slots * engine.step_per_request_s
    pairs = prompt_tokens * prompt_tokens / 2
    prefill_s = (
        prompt_tokens / engine.prefill_tokens_per_s
        + pairs * engine.attention_s_per_pair
    )
    return prefill_s + expected_tokens * step_s / engine.slots
