"""What the operator's configuration says of a service and its model engines."""

from dataclasses import dataclass

__all__ = ["EngineParameters", "OriginParameters", "ServiceParameters"]


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """How the model engines of a service batch, read and write."""

    models: tuple[str, ...]
    slots: int
    """Requests in one batch."""
    step_s: float
    """Time of one step that writes one token for each request of the batch."""
    step_per_request_s: float
    """What each request that writes adds to a step."""
    prefill_tokens_per_s: float
    """Prompt tokens read a second, while nothing else runs."""
    attention_s_per_pair: float
    """What each pair of a prompt token and an earlier one adds to the reading."""
    steps_per_pass: int
    """Steps of one pass; between two passes the engine reads prompts."""
    prefill_tokens_per_pass: int
    """Prompt tokens read in one pass at most."""
    typical_prompt_tokens: int
    typical_answer_tokens: int
    layers: int
    warm_s: float
    """Time in which an engine loads a version that lies staged beside it."""


@dataclass(frozen=True, slots=True)
class OriginParameters:
    """Where the origin of weights is, and what its link carries."""

    host: str
    port: int
    zone: str
    link_bytes_per_s: float
    connections_max: int


@dataclass(frozen=True, slots=True)
class ServiceParameters:
    """A pool of alike targets."""

    name: str
    connections_max: int
    """Connections that one target bears from all callers together."""
    cold_s: float
    """How long a target is cold after its start."""
    cold_requests_per_s: float
    """Requests a second that a cold target bears from all entries; 0: unbounded."""
    engine: EngineParameters | None = None
    origin: OriginParameters | None = None
