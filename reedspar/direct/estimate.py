"""Decision: how soon a model engine would begin to answer one more request.

An engine reads prompts one after the other and writes for all requests of its
batch meanwhile, so the first event of a request comes once the prompts before
it and its own are read, and a place in the batch is free.
"""

import math
from dataclasses import dataclass

from reedspar.routes import EngineTerms

__all__ = ["EngineWork", "estimate_first_event_s", "estimate_service_s"]

NETWORK_S = 0.02
"""Connecting and two ways between zones; measured on a calm day as 12 to 25 ms."""


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
    terms: EngineTerms, work: EngineWork, prompt_tokens: float
) -> float:
    """Return the time until one more request would get its first event."""
    tokens = work.waiting_tokens + prompt_tokens
    reading_s = _read_time_s(terms, tokens, prompt_tokens)
    passes = math.ceil(tokens / terms.read_tokens_per_pass) if tokens else 1
    writing_s = 0.0
    if work.writing >= 1:
        writing_s = passes * _pass_time_s(terms, work.writing)
    place_s = _place_wait_s(terms, work)
    return NETWORK_S + work.pace * (reading_s + writing_s + place_s)


def estimate_service_s(
    terms: EngineTerms, batch: float, answer_tokens: float = 0.0
) -> float:
    """Return how long a usual request stays in a batch of that size."""
    tokens = answer_tokens or terms.usual_answer_tokens
    step_s = terms.step_s + batch * terms.step_per_request_s
    own_s = tokens * step_s
    prompt_s = _read_time_s(terms, terms.usual_prompt_tokens, terms.usual_prompt_tokens)
    # While it writes, the prompts of those that take its neighbours' places
    # are read: each neighbour is replaced once in the time of one request.
    return own_s + prompt_s * max(1.0, batch)


def _read_time_s(terms: EngineTerms, tokens: float, own_tokens: float) -> float:
    pairs = own_tokens * own_tokens / 2
    return tokens / terms.read_tokens_per_s + pairs * terms.pair_s


def _pass_time_s(terms: EngineTerms, writing: float) -> float:
    step_s = terms.step_s + writing * terms.step_per_request_s
    return terms.steps_per_pass * step_s


def _place_wait_s(terms: EngineTerms, work: EngineWork) -> float:
    """Return how long a request waits for a place in the batch."""
    excess = work.writing + work.waiting + 1 - terms.slots
    if excess <= 0:
        return 0.0
    return excess * estimate_service_s(terms, terms.slots) / terms.slots
