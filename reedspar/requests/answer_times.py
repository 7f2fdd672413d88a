"""How long the answers of each route have taken lately."""

from collections import deque

__all__ = ["AnswerTimes"]

PERIOD_S = 30.0
"""Age up to which an answer tells how long the next ones may take."""
ANSWERS_MIN = 20
"""Answers of a route without which nothing is known of it."""
ANSWERS_MAX = 256
"""Maximum number of answers kept for a route."""
ROUTES_MAX = 1000


class AnswerTimes:
    """Keeps the times to the whole answers of each route."""

    def __init__(self) -> None:
        self._answers: dict[str, deque[tuple[float, float]]] = {}
        """When each answer ended, and how long it took, by route."""

    def record(self, route: str, duration_s: float, now_s: float) -> None:
        """Record an answer that was whole just now."""
        if route not in self._answers and len(self._answers) >= ROUTES_MAX:
            self._answers.clear()
        answers = self._answers.setdefault(route, deque(maxlen=ANSWERS_MAX))
        answers.append((now_s, duration_s))

    def longest_s(self, route: str, now_s: float) -> float | None:
        """Return the longest recent time, None if there are too few answers."""
        answers = self._answers.get(route, ())
        recent = [took_s for at_s, took_s in answers if at_s >= now_s - PERIOD_S]
        return max(recent) if len(recent) >= ANSWERS_MIN else None
