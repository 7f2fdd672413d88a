"""Parameters of services, model engines and the origin from the configuration."""

from dataclasses import dataclass

__all__ = ["EngineParameters", "OriginParameters", "ServiceParameters"]


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """Batching and timing of a service's model engines.

    An engine alternates between prefill (reading prompts) and passes of decoding
    steps, each of which writes one token for every request in the batch.
    """

    models: tuple[str, ...]
    slots: int
    """Maximum number of requests in a batch."""
    step_s: float
    """Base duration of a decoding step."""
    step_per_request_s: float
    """Time that each decoding request adds to a step."""
    prefill_tokens_per_s: float
    """Prefill rate while nothing else runs."""
    attention_s_per_pair: float
    """Time that each pair of a prompt token and an earlier one adds to prefill."""
    steps_per_pass: int
    """Decoding steps in a pass; the engine reads prompts between passes."""
    prefill_tokens_per_pass: int
    """Maximum number of prompt tokens read in one pass."""
    typical_prompt_tokens: int
    typical_answer_tokens: int
    layers: int
    warm_s: float
    """Time that an engine takes to load a version already staged on its machine."""
    memory_tokens: int = 0
    """Tokens of all requests that an engine's memory holds; 0: unknown."""


@dataclass(frozen=True, slots=True)
class OriginParameters:
    """Address of the origin of weights, and the capacity of its link."""

    host: str
    port: int
    zone: str
    link_bytes_per_s: float
    connections_max: int


@dataclass(frozen=True, slots=True)
class ServiceParameters:
    """A pool of interchangeable targets."""

    name: str
    connections_max: int
    """Maximum number of connections to one target, from all clients together."""
    cold_s: float
    """How long a target is cold after its start."""
    cold_requests_per_s: float
    """Maximum request rate of a cold target from all entries; 0: unlimited."""
    engine: EngineParameters | None = None
    origin: OriginParameters | None = None
