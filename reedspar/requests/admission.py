"""Admission control of a pool: AIMD window, priorities and max-min fair shares.

Each entry keeps a window for each pool, which limits the requests that it may
have in flight there.  The window grows with completions and shrinks when a
target refuses for load (additive increase, multiplicative decrease: Chiu and
Jain, "Analysis of the increase and decrease algorithms for congestion avoidance
in computer networks", 1989).  All entries together thus converge to the capacity
of the targets without communicating.  Within the window, low priorities are
refused first, and when capacity is scarce each workspace keeps its max-min fair
share.
"""

import math
from dataclasses import dataclass, field

from reedspar.errors import Failure, Reason, Step

__all__ = ["AdmissionControl", "WorkspaceLimits"]

INITIAL_WINDOW = 16.0
WINDOW_MIN = 1.0
WINDOW_MAX = 4096.0
WINDOW_DECREASE_FACTOR = 0.9
PRIORITY_MAX = 9
"""The most urgent priority, whose requests may use the whole window."""
PRIORITY_WINDOW_SPAN = 0.25
"""Share of the window that requests of the lowest priority may not use."""
SCARCITY_THRESHOLD = 0.6
"""Used share of a request's window above which fair shares are enforced."""
WORKSPACE_ACTIVE_S = 2.0
"""Time after its last request for which a workspace counts as active."""
INITIAL_LATENCY_S = 0.5
LATENCY_EWMA_WEIGHT = 0.1
DEMAND_EWMA_WEIGHT = 0.1
LATENCY_MIN_S = 0.001
DECREASE_INTERVAL_MIN_S = 0.05
DECREASE_INTERVAL_MAX_S = 1.0
RECOVERY_S = 5.0
"""Time without a refusal after which slow start resumes: capacity may be restored."""


@dataclass(frozen=True, slots=True)
class WorkspaceLimits:
    """Share, priority and concurrency limit of a workspace from the configuration."""

    share: float = 1.0
    priority: int = 1
    max_in_flight: int = 256


@dataclass(slots=True)
class _WorkspaceState:
    limits: WorkspaceLimits
    in_flight: int = 0
    last_request_s: float = 0.0
    recent_refusals: float = 0.0
    """Recent refusals, decayed over one latency.

    Estimates the additional requests that the workspace would have in flight."""
    last_refusal_s: float = 0.0
    demand_estimate: float = 0.0

    def demand(self) -> float:
        """Return the estimated number of slots that the workspace would use."""
        return self.demand_estimate + 1

    def record_refusal(self, latency_s: float, now_s: float) -> None:
        """Count a refusal; earlier ones decay exponentially with the latency."""
        decayed = math.exp(
            (self.last_refusal_s - now_s) / max(latency_s, LATENCY_MIN_S)
        )
        self.recent_refusals = self.recent_refusals * decayed + 1
        self.last_refusal_s = now_s

    def update_demand(self) -> None:
        """Update the moving average of the demand, at each arriving request."""
        current = self.in_flight + self.recent_refusals
        self.demand_estimate += DEMAND_EWMA_WEIGHT * (current - self.demand_estimate)


@dataclass(slots=True)
class AdmissionControl:
    """Admission window of one pool at one entry."""

    window: float = INITIAL_WINDOW
    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    refused: int = 0
    _is_slow_start: bool = True
    _last_limited_s: float = -WORKSPACE_ACTIVE_S
    _last_decrease_s: float = -WORKSPACE_ACTIVE_S
    _last_cleanup_s: float = -WORKSPACE_ACTIVE_S
    _workspaces: dict[str, _WorkspaceState] = field(default_factory=dict)

    def try_admit(
        self,
        workspace: str,
        limits: WorkspaceLimits,
        now_s: float,
        *,
        has_spare_capacity: bool = False,
    ) -> Failure | None:
        """Admit a request, or return a failure with the time to retry after.

        While the targets report spare capacity, the window is not enforced: it
        grows only with answers, and those of long streams come too late for that.
        """
        self.remove_idle(now_s)
        state = self._workspaces.get(workspace)
        if state is None:
            state = self._workspaces[workspace] = _WorkspaceState(limits)
        state.limits = limits
        state.last_request_s = now_s
        state.update_demand()
        if state.in_flight >= limits.max_in_flight:
            return self._refuse(f"{workspace} has {state.in_flight} in flight")
        priority_limit = max(WINDOW_MIN, self.window * _priority_share(limits.priority))
        if has_spare_capacity:
            self.window = max(self.window, float(self.in_flight + 1))
            self._admit(state)
            return None
        is_over = self._is_over_share(state, priority_limit)
        # Workspaces within their share may use the whole window in a burst,
        # including the part closed to low priorities, which would otherwise be unused.
        is_full = self.in_flight + 1 > (
            priority_limit if is_over else max(priority_limit, self.window)
        )
        is_scarce = self.in_flight + 1 > priority_limit * SCARCITY_THRESHOLD
        if is_full or (is_scarce and is_over):
            self._last_limited_s = now_s
            state.record_refusal(self.latency_s, now_s)
            detail = "capacity is short" if is_full else f"{workspace} uses its share"
            return self._refuse(detail, overload=self.in_flight / priority_limit)
        self._admit(state)
        return None

    def on_answered(self, workspace: str, latency_s: float, now_s: float) -> None:
        """Free the slot after an answer, and grow the window if it limits requests."""
        self._release(workspace)
        self.latency_s += LATENCY_EWMA_WEIGHT * (latency_s - self.latency_s)
        if (
            now_s - self._last_limited_s > WORKSPACE_ACTIVE_S
            and self.in_flight < self.window / 2
        ):
            return
        if now_s - self._last_decrease_s > RECOVERY_S:
            self._is_slow_start = True
        step = 1.0 if self._is_slow_start else 1.0 / self.window
        self.window = min(WINDOW_MAX, self.window + step)

    def on_refused(self, workspace: str, now_s: float) -> None:
        """Free the slot after a refusal for load, and shrink the window.

        Refusals within one round trip are one overload signal, so the window
        shrinks only once for them.
        """
        self._release(workspace)
        round_trip_s = min(
            DECREASE_INTERVAL_MAX_S, max(DECREASE_INTERVAL_MIN_S, self.latency_s)
        )
        if now_s - self._last_decrease_s < round_trip_s:
            return
        self._is_slow_start = False
        self._last_decrease_s = now_s
        self.window = max(
            WINDOW_MIN,
            min(self.window, 2 * self.in_flight + 2) * WINDOW_DECREASE_FACTOR,
        )

    def on_neutral_end(self, workspace: str) -> None:
        """Free the slot after an ending that says nothing about the load."""
        self._release(workspace)

    def remove_idle(self, now_s: float) -> None:
        """Remove workspaces that are no longer active."""
        if now_s - self._last_cleanup_s < WORKSPACE_ACTIVE_S:
            return
        self._last_cleanup_s = now_s
        idle = [
            name
            for name, state in self._workspaces.items()
            if not state.in_flight and now_s - state.last_request_s > WORKSPACE_ACTIVE_S
        ]
        for name in idle:
            del self._workspaces[name]

    def _admit(self, state: _WorkspaceState) -> None:
        state.in_flight += 1
        self.in_flight += 1

    def _release(self, workspace: str) -> None:
        self._workspaces[workspace].in_flight -= 1
        self.in_flight -= 1

    def _is_over_share(self, state: _WorkspaceState, slots: float) -> bool:
        """Return whether one more request exceeds the weighted max-min fair share.

        What a workspace does not need of its share is divided among the others.
        """
        active = sorted(
            self._workspaces.values(),
            key=lambda item: item.demand() / item.limits.share,
        )
        remaining = slots
        shares = sum(item.limits.share for item in active)
        for item in active:
            fair_share = remaining * item.limits.share / shares
            if item is state:
                return state.in_flight + 1 > max(WINDOW_MIN, fair_share)
            remaining -= min(fair_share, item.demand())
            shares -= item.limits.share
        return False

    def _refuse(self, detail: str, overload: float = 1.0) -> Failure:
        self.refused += 1
        after_s = self.latency_s * max(1.0, overload)
        return Failure(
            Reason.OVERLOADED, Step.ADMIT, detail=detail, retry_after_s=after_s
        )


def _priority_share(priority: int) -> float:
    """Return the share of the window that requests of `priority` may fill."""
    return 1.0 - PRIORITY_WINDOW_SPAN * (PRIORITY_MAX - priority) / PRIORITY_MAX
