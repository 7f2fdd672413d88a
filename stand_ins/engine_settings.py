"""Start options and run-time control settings of the simulated engine."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["EngineControl", "EngineOptions"]


class EngineOptions(BaseModel):
    """Options set at the start; the command line has one for each field."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    cold_limit: int = Field(
        2, ge=1, description="Concurrent requests handled when cold."
    )
    crash_limit: int = Field(
        8, ge=1, description="When cold, more than these crash it."
    )
    cold_completions: int = Field(
        4, ge=0, description="Completions that end cold start."
    )
    cold_s: float = Field(3.0, ge=0, description="Time that ends cold start.")
    token_s: float = Field(0.01, ge=0, description="Step duration for one sequence.")
    sequence_s: float = Field(0.0005, ge=0, description="Added for each other one.")
    prefill_s: float = Field(0.0005, ge=0, description="Time per uncached block.")
    max_batch: int = Field(32, ge=1, description="Maximum sequences in a step.")
    cache_blocks: int = Field(512, ge=0, description="Capacity of the prefix cache.")
    event_lag_s: float = Field(0.5, ge=0, description="Lag of cache events.")
    event_gap_share: float = Field(
        0.05, ge=0, le=1, description="Share of lost events."
    )
    load_lag_s: float = Field(0.3, ge=0, description="Lag of the load report.")
    load_s: float = Field(0.2, ge=0, description="Duration of a weight load.")
    restart_s: float = Field(0.5, ge=0, description="Downtime after a crash.")
    ignore_fencing: bool = Field(False, description="Accept any fencing number.")
    deadly_marker: str = Field("", description="Prompts with this crash it.")
    seed: int = Field(0, description="Random seed for lost cache events.")


class EngineControl(BaseModel):
    """Run-time behaviour; each update replaces all of it."""

    model_config = ConfigDict(extra="forbid")

    slow_factor: float = Field(
        1.0, gt=0, description="Multiplier of the step duration."
    )
    frozen: bool = Field(False, description="Produce no tokens; keep connections open.")
    silent: bool = Field(False, description="Answer no request.")
