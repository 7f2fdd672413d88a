"""Figures and estimates of how fast targets work at this moment."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

__all__ = ["SpeedEstimate", "SpeedEstimates", "SpeedFigure", "SpeedSource"]


class SpeedSource(Enum):
    """Where a figure comes from."""

    ANSWER = "answer"
    """The head of an answer to this entry."""
    AGENT = "agent"
    """The agent beside the target."""
    PEER = "peer"
    """Another entry."""
    MEASURED = "measured"
    """The times that this entry's answers took."""


@dataclass(frozen=True, slots=True)
class SpeedFigure:
    """How long work takes at one run of a target, as said or measured."""

    boot_id: str
    slowdown_factor: float
    """Ratio of the present duration of work to the usual one; 2 is half the speed."""
    source: SpeedSource
    age_s: float = 0.0
    """Time since the figure was true."""


@dataclass(frozen=True, slots=True)
class SpeedEstimate:
    """Present slowdown of a target, as far as it is known."""

    slowdown_factor: float = 1.0
    uncertainty: float = 0.0
    """Standard deviation of the slowdown."""
    age_s: float = float("inf")
    """Age of the figure that decided it; infinite without any."""
    source: SpeedSource | None = None
    """None: the target is taken for one of usual speed."""


class SpeedEstimates(Protocol):
    """Estimates the slowdown of targets."""

    def estimate(self, pool: str, boot_id: str, now_s: float) -> SpeedEstimate:
        """Return the estimate for one run of a target."""
        ...

    def record(self, pool: str, figure: SpeedFigure, now_s: float) -> None:
        """Record a figure that has just arrived."""
        ...
