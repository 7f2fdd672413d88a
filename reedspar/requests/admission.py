"""Decision: whether a pool takes one more request of a workspace from this entry.

Each entry keeps a window per pool: how many requests it may have in flight
there.  The window grows by completions and shrinks by refusals for load
(additive increase, multiplicative decrease: Chiu and Jain, "Analysis of the
increase and decrease algorithms for congestion avoidance in computer
networks", 1989), so all entries together settle at what the targets bear
without talking to each other.  Within the window, low priority is refused
first, and under shortage each workspace keeps its max-min fair part.
"""

import math
from dataclasses import dataclass, field

from reedspar.errors import Failure, Reason, Step

__all__ = ["AdmissionControl", "WorkspaceLimits"]

FIRST_WINDOW = 16.0
WINDOW_MIN = 1.0
WINDOW_MAX = 4096.0
DECREASE = 0.9
PRIORITY_MAX = 9
PRIORITY_SPAN = 0.25
"""The lowest priority is refused from this share below the window's end."""
SHORT_PART = 0.6
"""Below this part of its places the window is not short: nobody is held to a share."""
ACTIVE_S = 2.0
"""A workspace counts as active this long after its last request."""
FIRST_LATENCY_S = 0.5
LATENCY_WEIGHT = 0.1
DEMAND_WEIGHT = 0.1
LATENCY_MIN_S = 0.001
DECREASE_MIN_S = 0.05
DECREASE_MAX_S = 1.0
FORGIVE_S = 5.0
"""Without a refusal for so long, capacity has come back: grow fast again."""


@dataclass(frozen=True, slots=True)
class WorkspaceLimits:
    """What the configuration grants a workspace."""

    share: float = 1.0
    priority: int = 1
    max_in_flight: int = 256


@dataclass(slots=True)
class _Workspace:
    terms: WorkspaceLimits
    in_flight: int = 0
    seen_s: float = 0.0
    refused: float = 0.0
    """Refusals within about one latency: what it would have in flight besides."""
    refused_s: float = 0.0
    wanted: float = 0.0

    def demand(self) -> float:
        """Return how many places it would use, as far as is known."""
        return self.wanted + 1

    def note_refused(self, latency_s: float, now_s: float) -> None:
        """Count a refusal; older ones fade with the latency."""
        faded = math.exp((self.refused_s - now_s) / max(latency_s, LATENCY_MIN_S))
        self.refused = self.refused * faded + 1
        self.refused_s = now_s

    def note_arrival(self) -> None:
        """Follow what it has in flight, or would have, as its requests come."""
        wanted = self.in_flight + self.refused
        self.wanted += DEMAND_WEIGHT * (wanted - self.wanted)


@dataclass(slots=True)
class AdmissionControl:
    """The window of one pool at one entry."""

    window: float = FIRST_WINDOW
    in_flight: int = 0
    latency_s: float = FIRST_LATENCY_S
    refused: int = 0
    _is_starting: bool = True
    _limited_s: float = -ACTIVE_S
    _decreased_s: float = -ACTIVE_S
    _forgot_s: float = -ACTIVE_S
    _workspaces: dict[str, _Workspace] = field(default_factory=dict)

    def try_admit(
        self,
        workspace: str,
        terms: WorkspaceLimits,
        now_s: float,
        *,
        has_spare_capacity: bool = False,
    ) -> Failure | None:
        """Take a place, or return why not and when to come back.

        While the targets report room, the window binds nobody: it grows by
        answers, and long streams would not answer before it is needed.
        """
        self.forget_idle(now_s)
        state = self._workspaces.get(workspace)
        if state is None:
            state = self._workspaces[workspace] = _Workspace(terms)
        state.terms = terms
        state.seen_s = now_s
        state.note_arrival()
        if state.in_flight >= terms.max_in_flight:
            return self._refuse(f"{workspace} has {state.in_flight} in flight")
        top = max(WINDOW_MIN, self.window * _priority_part(terms.priority))
        if has_spare_capacity:
            self.window = max(self.window, float(self.in_flight + 1))
            self._admit(state)
            return None
        is_over = self._is_over_share(state, top)
        # Bursts of those within their share go into what low priority leaves
        # free; kept free within the places, that room would be lost to all.
        is_full = self.in_flight + 1 > (top if is_over else max(top, self.window))
        is_short = self.in_flight + 1 > top * SHORT_PART
        if is_full or (is_short and is_over):
            self._limited_s = now_s
            state.note_refused(self.latency_s, now_s)
            detail = "capacity is short" if is_full else f"{workspace} uses its share"
            return self._refuse(detail, overload=self.in_flight / top)
        self._admit(state)
        return None

    def on_answered(self, workspace: str, latency_s: float, now_s: float) -> None:
        """Give the place back after an answer, and grow if places are short."""
        self._release(workspace)
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        if now_s - self._limited_s > ACTIVE_S and self.in_flight < self.window / 2:
            return
        if now_s - self._decreased_s > FORGIVE_S:
            self._is_starting = True
        step = 1.0 if self._is_starting else 1.0 / self.window
        self.window = min(WINDOW_MAX, self.window + step)

    def on_refused(self, workspace: str, now_s: float) -> None:
        """Give the place back after a refusal for load, and shrink.

        All refusals of one round trip are one sign of overload, so the window
        shrinks once for them.
        """
        self._release(workspace)
        round_trip_s = min(DECREASE_MAX_S, max(DECREASE_MIN_S, self.latency_s))
        if now_s - self._decreased_s < round_trip_s:
            return
        self._is_starting = False
        self._decreased_s = now_s
        self.window = max(
            WINDOW_MIN, min(self.window, 2 * self.in_flight + 2) * DECREASE
        )

    def on_other(self, workspace: str) -> None:
        """Give the place back after an ending that tells nothing of the load."""
        self._release(workspace)

    def forget_idle(self, now_s: float) -> None:
        """Drop the workspaces that were not seen for a while."""
        if now_s - self._forgot_s < ACTIVE_S:
            return
        self._forgot_s = now_s
        idle = [
            name
            for name, state in self._workspaces.items()
            if not state.in_flight and now_s - state.seen_s > ACTIVE_S
        ]
        for name in idle:
            del self._workspaces[name]

    def _admit(self, state: _Workspace) -> None:
        state.in_flight += 1
        self.in_flight += 1

    def _release(self, workspace: str) -> None:
        self._workspaces[workspace].in_flight -= 1
        self.in_flight -= 1

    def _is_over_share(self, state: _Workspace, places: float) -> bool:
        """Tell whether one more is beyond max-min fairness by share.

        Workspaces that want less than their part leave the rest to the others.
        """
        active = sorted(
            self._workspaces.values(), key=lambda item: item.demand() / item.terms.share
        )
        left = places
        shares = sum(item.terms.share for item in active)
        for item in active:
            part = left * item.terms.share / shares
            if item is state:
                return state.in_flight + 1 > max(WINDOW_MIN, part)
            left -= min(part, item.demand())
            shares -= item.terms.share
        return False

    def _refuse(self, detail: str, overload: float = 1.0) -> Failure:
        self.refused += 1
        after_s = self.latency_s * max(1.0, overload)
        return Failure(
            Reason.OVERLOADED, Step.ADMIT, detail=detail, retry_after_s=after_s
        )


def _priority_part(priority: int) -> float:
    """Return the share of the window that requests of `priority` may fill."""
    return 1.0 - PRIORITY_SPAN * (PRIORITY_MAX - priority) / PRIORITY_MAX
