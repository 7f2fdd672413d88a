"""How long plain targets take for a request, learned from their answers.

It answers services without engine parameters, whose targets tell only their load.
"""

__all__ = ["ServiceTimes", "queue_factor"]

START_TIME_S = 0.02
"""Time for a request that is assumed before the first answers."""
WEIGHT = 0.05
"""Weight of one answer once there are twenty."""
STEP_MAX = 2.0
"""Factor by which a single answer may differ before it is cut."""
FIRST_ANSWERS = 5
"""Answers that count in full, so that the assumption is left at once."""


def queue_factor(in_flight: float, slots: int) -> float:
    """Return the duration of one more request, relative to that at a free target."""
    return max(1.0, (in_flight + 1) / max(1, slots))


class ServiceTimes:
    """Usual times for a request at a free target of usual speed, by pool."""

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def usual_s(self, pool: str) -> float:
        """Return the usual time for a request."""
        return self._usual_s.get(pool, START_TIME_S)

    def record(self, pool: str, took_s: float, load_factor: float) -> None:
        """Record an answer's time.

        `load_factor` is the expected time relative to the usual one: slowdown times
        queue factor.
        """
        if took_s < 0 or load_factor <= 0:
            return
        sample_s = took_s / load_factor
        count = self._counts[pool] = min(self._counts.get(pool, 0) + 1, 1000)
        known_s = self.usual_s(pool)
        if count > FIRST_ANSWERS:
            sample_s = min(max(sample_s, known_s / STEP_MAX), known_s * STEP_MAX)
        self._usual_s[pool] = known_s + max(WEIGHT, 1 / count) * (sample_s - known_s)
