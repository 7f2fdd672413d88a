"""How an engine stand-in behaves: settings at its start, and control while it runs."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["EngineControl", "EngineOptions"]


class EngineOptions(BaseModel):
    """Set at the start; the command line has one option for each."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    cold_limit: int = Field(2, ge=1, description="Concurrent requests borne when cold.")
    crash_limit: int = Field(8, ge=1, description="More when cold crash the engine.")
    cold_completions: int = Field(4, ge=0, description="Completions that warm it.")
    cold_s: float = Field(3.0, ge=0, description="Time that warms it.")
    token_s: float = Field(0.01, ge=0, description="Time of a step for one sequence.")
    sequence_s: float = Field(0.0005, ge=0, description="Added by each further one.")
    prefill_s: float = Field(0.0005, ge=0, description="Time of a block not cached.")
    max_batch: int = Field(32, ge=1, description="Sequences in one step.")
    cache_blocks: int = Field(512, ge=0, description="Capacity of the prefix cache.")
    event_lag_s: float = Field(0.5, ge=0, description="Lag of cache events.")
    event_gap_share: float = Field(0.05, ge=0, le=1, description="Lost cache events.")
    load_lag_s: float = Field(0.3, ge=0, description="Lag of the load report.")
    load_s: float = Field(0.2, ge=0, description="Time of a load.")
    restart_s: float = Field(0.5, ge=0, description="How long a crash takes it away.")
    ignore_fencing: bool = Field(False, description="Take orders of any number.")
    deadly_marker: str = Field("", description="A prompt with this crashes it.")
    seed: int = Field(0, description="Of the gaps in cache events.")


class EngineControl(BaseModel):
    """Lasting changes of behaviour; a new one replaces the last whole."""

    model_config = ConfigDict(extra="forbid")

    slow_factor: float = Field(1.0, gt=0, description="Stretch each step.")
    frozen: bool = Field(False, description="Produce no tokens; stay connected.")
    silent: bool = Field(False, description="Answer nothing at all.")
