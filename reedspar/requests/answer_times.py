"""How long the answers of each route have taken lately."""

from collections import deque

__all__ = ["AnswerTimes"]

PERIOD_S = 30.0
"""Age up to which an answer tells how long the next ones may take."""
ANSWERS_MIN = 20
"""Answers of a route without which nothing is known of it."""
TAIL_ANSWERS_MIN = 100
"""Answers of a route among which one in twenty is met all but certainly."""
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
        recent = self._list_recent(route, now_s)
        return max(recent) if len(recent) >= ANSWERS_MIN else None

    def shows_tail(self, route: str, now_s: float) -> bool:
        """Return whether recent answers are enough to show rare long ones, too."""
        return len(self._list_recent(route, now_s)) >= TAIL_ANSWERS_MIN

    def _list_recent(self, route: str, now_s: float) -> list[float]:
        answers = self._answers.get(route, ())
        return [took_s for at_s, took_s in answers if at_s >= now_s - PERIOD_S]
