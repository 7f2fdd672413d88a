"""The counter that all entries advance together."""

__all__ = ["TurnCounter"]

TURN_INTERVAL_S = 1.0
TURN_MAX = 2**32 - 1


class TurnCounter:
    """Counts turns of about one second; the largest known value is in force."""

    def __init__(self, now_s: float) -> None:
        self._turn = 0
        self._moved_s = now_s

    @property
    def turn(self) -> int:
        """Return the present turn."""
        return self._turn

    def adopt(self, turn: int, now_s: float) -> None:
        """Adopt another entry's turn if it is larger."""
        if turn > self._turn:
            self._turn = turn
            self._moved_s = now_s

    def advance(self, now_s: float) -> None:
        """Begin the next turn if nobody has done so for a second; collectors do."""
        if now_s - self._moved_s >= TURN_INTERVAL_S:
            self._turn = min(self._turn + 1, TURN_MAX)
            self._moved_s = now_s
