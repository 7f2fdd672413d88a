"""States of single runs of targets' processes, by boot id.

They are kept apart from the loads, which are discarded with a target's registration: a
registration may lapse in an outage of the store and come back with the same run.
"""

from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["RunStates"]

State = TypeVar("State")


class RunStates(Generic[State]):
    """Keeps a state for each run of a target until it expires."""

    def __init__(
        self, create: Callable[[], State], is_expired: Callable[[State, float], bool]
    ) -> None:
        self._create = create
        self._is_expired = is_expired
        self._states: dict[str, State] = {}

    def find(self, boot_id: str, now_s: float) -> State | None:
        """Return the state of a run, None if there is none that has not expired."""
        state = self._states.get(boot_id)
        return None if state is None or self._is_expired(state, now_s) else state

    def find_or_add(self, boot_id: str, now_s: float) -> State:
        """Return the state of a run; a new one replaces all that have expired."""
        state = self.find(boot_id, now_s)
        if state is None:
            self._states = {
                known_id: known
                for known_id, known in self._states.items()
                if not self._is_expired(known, now_s)
            }
            state = self._states[boot_id] = self._create()
        return state
