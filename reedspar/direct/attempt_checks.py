"""Checks of an attempt before it is sent and while it waits to begin."""

from reedspar.errors import Failure, Reason, Step
from reedspar.fleet import FleetView
from reedspar.timers import TimerService

from .eligibility import ineligibility_reason
from .loads import OwnAttempt, TargetLoads
from .notices import TargetNotices
from .refusals import RETRY_AFTER_S
from .versions import VersionRule

__all__ = ["AttemptChecks"]

LINK_DELAY_MAX_S = 0.4
"""Upper bound of the assumed delay to a target."""


class AttemptChecks:
    """Repeats the checks by which a target was chosen, with current information."""

    def __init__(
        self,
        view: FleetView,
        loads: TargetLoads,
        notices: TargetNotices,
        versions: VersionRule,
        timers: TimerService,
    ) -> None:
        self._view = view
        self._loads = loads
        self._notices = notices
        self._versions = versions
        self._timers = timers

    def check_hand_over(
        self, target_id: str, request_id: str, check_interval_s: float
    ) -> Failure | None:
        """Return why a request must not be sent now; otherwise record its hand-over.

        `check_interval_s` is the time between two calls of `check_waiting`.
        """
        now_s = self._timers.now_s()
        unavailable = self._unavailable_reason(target_id, now_s)
        if unavailable:
            return _refuse(target_id, f"while connecting was found: {unavailable}")
        attempt = self._loads.for_target(target_id).own_attempts.get(request_id)
        if attempt is None:
            return None
        version = self._version_of(target_id, attempt)
        if version is not None and not self._may_begin(
            attempt, version, now_s, check_interval_s
        ):
            detail = f"connected too late to begin on version {version}"
            return _refuse(target_id, detail)
        attempt.handed_over_s = now_s
        return None

    def record_data(self, target_id: str, request_id: str) -> None:
        """Record that a part of the answer's body has arrived."""
        attempt = self._loads.find_attempt(target_id, request_id)
        if attempt is not None and attempt.first_data_s is None:
            attempt.first_data_s = self._timers.now_s()

    def silence_limit_s(self, target_id: str, request_id: str) -> float | None:
        """Return after which silence an attempt hangs, None for the usual time."""
        attempt = self._loads.find_attempt(target_id, request_id)
        return attempt.silence_limit_s if attempt is not None else None

    def _unavailable_reason(self, target_id: str, now_s: float) -> str:
        """Return why a target may get no request now, or an empty string."""
        known = self._view.target(target_id)
        if known is None:
            return "it is gone"
        if self._notices.pause_left_s(known.record.boot_id, now_s):
            return "it asked for a pause"
        return ineligibility_reason(
            known.record, self._view, self._loads, self._notices
        )

    def check_waiting(
        self, target_id: str, request_id: str, check_interval_s: float
    ) -> Failure | None:
        """Return why a request that has not begun must be withdrawn, or None.

        The next check is `check_interval_s` later.  The withdrawal is assumed to reach
        the target within the time of a round trip, which is that of connecting.  So
        this check withdraws the request if a withdrawal by the next one would arrive
        too late.
        """
        attempt = self._loads.for_target(target_id).own_attempts.get(request_id)
        if attempt is None or attempt.handed_over_s is None:
            return None
        version = self._version_of(target_id, attempt)
        if version is None:
            return None
        withdrawal_arrives_s = (
            self._timers.now_s()
            + check_interval_s
            + _link_delay_s(attempt, attempt.handed_over_s)
        )
        if withdrawal_arrives_s < self._versions.service_deadline_s(
            attempt.model, version
        ):
            return None
        detail = f"withdrawn before it began on version {version}"
        return Failure(Reason.CANCELLED, Step.TARGET_CALL, target_id, detail)

    def _may_begin(
        self, attempt: OwnAttempt, version: int, now_s: float, check_interval_s: float
    ) -> bool:
        """Return whether an attempt would begin in time and not be withdrawn before."""
        begins_at_s = now_s + attempt.expected_wait_s
        withdrawn_at_s = begins_at_s + check_interval_s + _link_delay_s(attempt, now_s)
        begins_before_withdrawal = withdrawn_at_s < self._versions.service_deadline_s(
            attempt.model, version
        )
        return begins_before_withdrawal and self._versions.may_serve(
            attempt.model, version, attempt.expected_wait_s
        )

    def _version_of(self, target_id: str, attempt: OwnAttempt) -> int | None:
        """Return the version of the attempt's model that its target has now."""
        known = self._view.target(target_id)
        if known is None:
            return attempt.version
        return known.record.weights.get(attempt.model, attempt.version)


def _link_delay_s(attempt: OwnAttempt, handed_over_s: float) -> float:
    """Return the assumed delay to the target, derived from the connection time."""
    return min(LINK_DELAY_MAX_S, handed_over_s - attempt.started_s)


def _refuse(target_id: str, detail: str) -> Failure:
    return Failure(Reason.SUPERSEDED, Step.LINK, target_id, detail, RETRY_AFTER_S)
